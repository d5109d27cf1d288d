// Package member ranks the live instances for a subject by rendezvous hashing,
// watches whether they can be reached, and decides when one is evicted.
package member
