// Package ledger defines the log records for jobs and the replicated state that
// each instance builds by applying them in log order. Applying a record is
// deterministic: two instances that have read the log to the same offset hold
// the same state.
package ledger
