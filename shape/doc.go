// Package shape describes groups of adjacent accelerators: how many members,
// how many accelerators each, and the unit of the hierarchy that must hold
// them all.
package shape
