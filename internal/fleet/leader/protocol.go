package leader

import (
	"context"
	"fmt"
	"time"

	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

// TaskID identifies one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// WorkerEntry is a worker's entry in the platform's list of workers.
type WorkerEntry struct {
	ID          string
	Addr        string
	Service     string
	Zone        string
	Rack        string
	Labels      []string
	Total       plan.Resources
	Draining    bool
	Remaining   time.Duration // least time that a draining worker stays
	Incarnation int64         // Unix ms at which it started; identifies the incarnation
	ColdUntil   time.Time     // end of the slow period after its start

	// Unreadable is set if the newest entry of the worker cannot be used. The other
	// fields are those of the newest readable one; Addr is empty if there is none.
	Unreadable bool
}

// Machine is a machine in the platform's list. It runs one worker at a time, and
// different workers over time.
type Machine struct {
	Name   string
	Worker string // id of the worker that runs on it
}

// Target is the recipient of a request: one worker, in one epoch.
type Target struct {
	ID    string
	Addr  string
	Token uint64 // fencing token: a worker refuses requests with a lower one than it has seen
}

// StartRequest asks a worker to run a task.
type StartRequest struct {
	Task       TaskID
	Run        int
	Spec       string
	LeaseEnd   int64 // ms on the worker's clock
	Checkpoint string
}

// size returns the approximate size of the request on the link, in bytes.
func (r StartRequest) size() int64 { return startOverheadBytes + int64(len(r.Spec)) }

// StopRequest asks a worker to stop a run. If the run is not on the worker, the
// worker refuses to start it from then on.
type StopRequest struct {
	Task TaskID
	Run  int
}

// SyncRequest renews the leases of all runs on a worker and requests its report.
type SyncRequest struct {
	LeaseEnd int64         // ms on the worker's clock; 0 leaves the leases unchanged
	Ack      uint64        // ends up to this Seq are stored; the worker may forget them
	MaxWait  time.Duration // how long the worker may delay its answer until a run ends
}

// MaxReportedEnds is the largest number of ends in one report. Later ends are
// reported once these are acknowledged.
const MaxReportedEnds = 500

// Report is a worker's answer to a sync.
type Report struct {
	ClockMs     int64 // ms on the worker's clock
	Incarnation int64
	Running     []RunningTask
	Ended       []EndedTask
}

// RunningTask is a run in progress on the worker.
type RunningTask struct {
	Task       TaskID
	Run        int
	Checkpoint string // newest checkpoint
	Percent    float64

	// Figure is a rough figure for the last half second: the tail latency in ms of a
	// task that serves with a target, for any other the CPU time in use in thousandths
	// of a core. 0 is unknown.
	Figure float64
}

// EndedTask is a run that has ended on the worker and was not acknowledged
// yet.
type EndedTask struct {
	Seq        uint64 // sequence number of the end within the worker's incarnation
	Task       TaskID
	Run        int
	Outcome    ledger.RunOutcome
	Checkpoint string
}

// Refusal is the reason why a worker did not carry out a request.
type Refusal string

// The reasons of refusals.
const (
	RefusedStaleToken  Refusal = "fence"  // the worker has seen a higher fencing token
	RefusedStaleRun    Refusal = "old"    // this or a later run of the task has ended or been stopped on the worker
	RefusedLeaseEnded  Refusal = "late"   // the lease has already ended
	RefusedCapacity    Refusal = "room"   // the worker does not have the resources
	RefusedIncarnation Refusal = "boot"   // another incarnation of the worker answers at the address
	RefusedUnhealthy   Refusal = "busy"   // the worker is unhealthy
	RefusedInvalid     Refusal = "other"  // the worker found the request invalid
	RefusedTicket      Refusal = "ticket" // the request carries no valid ticket
)

// RefusedError reports a request that was certainly not carried out.
type RefusedError struct {
	Reason Refusal
}

// Error returns a message with the reason of the refusal.
func (e *RefusedError) Error() string { return fmt.Sprintf("worker refused the request: %s", e.Reason) }

// NotSentError reports a request that certainly was not carried out, because no
// connection to the worker was established.
type NotSentError struct {
	Err error
}

// Error returns a message with the cause.
func (e *NotSentError) Error() string { return fmt.Sprintf("no connection to worker: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// NoAnswerError reports a request of unknown outcome: it may have been carried
// out, or may still be.
type NoAnswerError struct {
	Err error
}

// Error returns a message with the cause.
func (e *NoAnswerError) Error() string { return fmt.Sprintf("no valid answer from worker: %v", e.Err) }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// WorkerClient holds the functions that send requests to workers. They fail with
// *RefusedError or *NotSentError if the request was certainly not carried out, and
// with *NoAnswerError if its outcome is unknown.
type WorkerClient struct {
	Start func(ctx context.Context, t Target, req StartRequest) error
	Stop  func(ctx context.Context, t Target, req StopRequest) error
	Sync  func(ctx context.Context, t Target, req SyncRequest) (Report, error)
}
