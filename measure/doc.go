// Package measure measures the memory, processor time and bytes that the parts of
// the system use at three sizes of a fleet, fits a line through the results, and
// computes the cost of one entry instance at the target size. docs/CAPACITY.md is
// written from its output.
package measure
