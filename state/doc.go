// Package state is the deterministic fold over the log: instances that have
// applied the same entries hold the same State.
package state
