package replica

import (
	"fmt"

	"jasminelane.example/lane/state"
)

// NotAppendedError reports a proposal that certainly has no effect, neither now
// nor later.
type NotAppendedError struct {
	Err    error // why the proposal was not appended
	LogErr error // error of the last append to the log, or nil
}

// Error describes the causes.
func (e *NotAppendedError) Error() string {
	if e.LogErr == nil {
		return fmt.Sprintf("proposal not appended: %v", e.Err)
	}
	return fmt.Sprintf("proposal not appended: %v (log: %v)", e.Err, e.LogErr)
}

// Unwrap returns the causes.
func (e *NotAppendedError) Unwrap() []error {
	if e.LogErr == nil {
		return []error{e.Err}
	}
	return []error{e.Err, e.LogErr}
}

// UnknownOutcomeError reports a proposal that may have taken effect or may still
// do so. Whether it did can be seen in a later state, for example by the id of
// the job.
type UnknownOutcomeError struct {
	Writer string
	Seq    uint64 // sequence number of the batch that contains the proposal
	Err    error  // why waiting for the outcome ended
}

// Error describes the batch and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of batch %d of writer %s unknown: %v", e.Seq, e.Writer, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// FencedError reports that the state no longer accepts batches of this
// incarnation. The process continues with a new incarnation.
type FencedError struct {
	Writer string
	Reason state.Reason
}

// Error describes the writer and the reason.
func (e *FencedError) Error() string {
	return fmt.Sprintf("writer %s not accepted: %s", e.Writer, e.Reason)
}

// JoinError reports that the instance's join record was rejected.
type JoinError struct {
	Decision state.Decision
}

// Error describes the reason.
func (e *JoinError) Error() string {
	return fmt.Sprintf("join rejected: %s: %s", e.Decision.Reason, e.Decision.Detail)
}

// QueueFullError reports that the queue of proposals has no space for more
// records.
type QueueFullError struct {
	Limit int // records
}

// Error describes the limit.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("proposal queue is full: its limit is %d records", e.Limit)
}

// ClosedError reports that the replica's Run has returned.
type ClosedError struct{}

// Error describes the closed replica.
func (e *ClosedError) Error() string { return "replica is closed" }

// MissedDecisionError reports a proposal whose decision this replica did not
// see, because it loaded a snapshot that already includes the proposal.
type MissedDecisionError struct {
	Offset uint64 // log offset of the snapshot's state
}

// Error describes the snapshot.
func (e *MissedDecisionError) Error() string {
	return fmt.Sprintf("the decision precedes the loaded snapshot at offset %d", e.Offset)
}

// NoSnapshotError reports that the log has no snapshot from which its retained
// entries lead on to the current state.
type NoSnapshotError struct {
	First uint64 // offset of the oldest retained entry
}

// Error describes the oldest retained entry.
func (e *NoSnapshotError) Error() string {
	return fmt.Sprintf("no usable snapshot: none reaches the oldest retained entry %d", e.First)
}
