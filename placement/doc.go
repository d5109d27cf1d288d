// Package placement chooses the accelerators for waiting jobs and for the
// blocks that an account's guarantees reserve. It only reads the replicated
// state and returns records to propose; it changes no state and does no I/O.
//
// Terms of this package:
//   - A shape is a number of members of equal size that lie on one worker, in
//     one rack or in one failure domain. A unit is one worker, rack or domain,
//     whichever the shape's level names.
//   - A block is a set of accelerators that is reserved for one copy of a
//     guaranteed shape. While its account does not use it, the block is lent:
//     jobs that can be evicted may borrow it.
//   - A target is one of the largest guaranteed shapes. Fragmentation is the
//     share of free accelerators that the largest of them cannot use.
package placement
