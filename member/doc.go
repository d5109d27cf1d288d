// Package member ranks the member instances for a subject by rendezvous hashing,
// detects members that cannot be reached, and proposes to evict those that have
// failed.
package member
