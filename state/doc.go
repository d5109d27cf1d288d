// Package state is the replicated state machine of the system. Each instance
// applies the entries of the platform's log in order. Apply is deterministic,
// so that instances that have applied the same entries hold the same State.
//
// A record in the log is a proposal. Applying it either changes the state or
// refuses the record with a Reason; all instances reach the same Decision.
package state
