// Package snapshot carries the state forward in the log: it splits a state
// into chunks, assembles and verifies them, and finds the newest complete
// snapshot, so that instances without disks survive the expiry of records.
package snapshot
