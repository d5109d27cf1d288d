// Package measure measures what the parts cost at three sizes, fits slopes, and
// works out the cost of each role at the target size. docs/CAPACITY.md is
// written from its output.
package measure
