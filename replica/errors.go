package replica

import (
	"fmt"

	"jasminelane.example/lane/state"
)

// NotAppendedError reports a proposal that certainly has no effect, now or
// later.
type NotAppendedError struct {
	Err error // why it was given up
	Log error // the last error of the log, or nil
}

// Error describes the causes.
func (e *NotAppendedError) Error() string {
	if e.Log == nil {
		return fmt.Sprintf("proposal not appended: %v", e.Err)
	}
	return fmt.Sprintf("proposal not appended: %v (log: %v)", e.Err, e.Log)
}

// Unwrap returns the causes.
func (e *NotAppendedError) Unwrap() []error {
	if e.Log == nil {
		return []error{e.Err}
	}
	return []error{e.Err, e.Log}
}

// UnknownError reports a proposal that may have taken effect or may still do
// so; the state tells later, for example by the id of the job.
type UnknownError struct {
	Writer string
	Seq    uint64 // of the batch that carries the proposal
	Err    error  // why it was given up
}

// Error describes the batch and the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("fate of batch %d of %s unknown: %v", e.Seq, e.Writer, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// FencedError reports that the log refuses this incarnation; the process
// continues with a new one.
type FencedError struct {
	Writer string
	Reason state.Reason
}

// Error describes the writer and the reason.
func (e *FencedError) Error() string { return fmt.Sprintf("writer %s refused: %s", e.Writer, e.Reason) }

// JoinError reports that this instance may not join.
type JoinError struct {
	Outcome state.Decision
}

// Error describes the refusal.
func (e *JoinError) Error() string {
	return fmt.Sprintf("join refused: %s: %s", e.Outcome.Reason, e.Outcome.Detail)
}

// QueueError reports a queue of proposals that is at its limit.
type QueueError struct {
	Limit int // records
}

// Error describes the limit.
func (e *QueueError) Error() string { return fmt.Sprintf("queue holds %d records already", e.Limit) }

// ClosedError reports a replica whose Run has ended.
type ClosedError struct{}

// Error describes the condition.
func (e *ClosedError) Error() string { return "replica is closed" }

// ReloadError reports a proposal that was folded by others while this replica
// had to load a snapshot, so that its outcome was not seen.
type ReloadError struct {
	Offset uint64 // of the snapshot
}

// Error describes the snapshot.
func (e *ReloadError) Error() string {
	return fmt.Sprintf("outcome is older than the snapshot at %d", e.Offset)
}

// SnapshotError reports a log without a snapshot that its retained entries
// continue.
type SnapshotError struct {
	First uint64 // offset of the oldest retained entry
}

// Error describes the oldest retained entry.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("no snapshot from which entry %d can be reached", e.First)
}
