// Package replica keeps one instance's replica of the state up to date. It
// loads the newest snapshot, tails the log and applies each entry. It appends
// the instance's proposals in batches, one append at a time. If the response to
// an append is lost, the outcome is always determined by reading the log.
package replica
