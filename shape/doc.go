// Package shape describes groups of adjacent accelerators: the number of members,
// the number of accelerators of each member, and the level of the hierarchy
// (worker, rack or failure domain) within which all members must be placed.
package shape
