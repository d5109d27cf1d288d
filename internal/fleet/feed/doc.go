// Package feed maintains the replicated state of an instance and elects the
// leader. It reads the log, applies the records to the state and appends the
// records of callers and of the leader.
//
// The log decides every election: an instance leads once it has read its own
// claim. From then on the log refuses appends of earlier epochs.
package feed
