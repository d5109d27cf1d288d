// Package replica keeps one instance's copy of the state current: it loads the
// newest snapshot, tails the log, folds each entry, and appends the instance's
// proposals in batches, one append at a time. An append whose answer was lost
// is settled by reading the log, never by guessing.
package replica
