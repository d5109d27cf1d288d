// Package ledger holds the records that an instance writes to the log for jobs
// and the state that every instance folds from them. The fold is
// deterministic: two instances at the same offset hold the same state.
package ledger
