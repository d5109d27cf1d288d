package leader

import (
	"context"
	"fmt"
	"time"

	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

// TaskID names one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// Entry is what the platform's list says of a worker.
type Entry struct {
	ID       string
	Addr     string
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Total    plan.Resources
	Draining bool
	Leaves   time.Duration // while it drains: the least time that it stays
	Born     int64         // Unix ms of the start of its incarnation
}

// Machine is what the platform says of a machine, which carries one worker
// after the other.
type Machine struct {
	Name   string
	Worker string // id of the worker on it
}

// Target addresses one worker in one epoch.
type Target struct {
	ID    string
	Addr  string
	Epoch uint64 // fencing token: workers ignore orders of lower epochs
}

// StartOrder asks a worker to run a task.
type StartOrder struct {
	Task  TaskID
	Run   int
	Spec  string
	Until int64 // end of the lease on the worker's clock, ms
	Saved string
}

// bytes returns about what the order takes on the link.
func (o StartOrder) bytes() int64 { return startBytes + int64(len(o.Spec)) }

// StopOrder asks a worker to stop a run; a run that is not there is refused
// from then on.
type StopOrder struct {
	Task TaskID
	Run  int
}

// SyncOrder renews the lease of all that runs on a worker and asks for its
// report.
type SyncOrder struct {
	Until int64         // end of the lease on the worker's clock, ms; 0 leaves it
	Ack   uint64        // ends up to here are stored
	Wait  time.Duration // the worker may answer this much later, when a run ends
}

// Report is a worker's answer to a sync.
type Report struct {
	Clock   int64 // ms on the worker's clock
	Born    int64
	Running []RunningTask
	Ended   []EndedTask
}

// RunningTask is a run that is on the worker.
type RunningTask struct {
	Task    TaskID
	Run     int
	Saved   string // newest checkpoint
	Percent float64
}

// EndedTask is a run that has ended on the worker.
type EndedTask struct {
	Number uint64 // counts the ends of the worker's incarnation
	Task   TaskID
	Run    int
	How    ledger.How
	Saved  string
}

// Refusal is why a worker did not carry out an order.
type Refusal string

// The reasons of refusals.
const (
	RefusedFence  Refusal = "fence"  // it has seen a higher epoch
	RefusedOld    Refusal = "old"    // a run as high has ended or been stopped there
	RefusedLate   Refusal = "late"   // the lease has ended already
	RefusedRoom   Refusal = "room"   // it does not fit
	RefusedBoot   Refusal = "boot"   // another incarnation answers at the address
	RefusedBusy   Refusal = "busy"   // the worker is unhealthy
	RefusedOther  Refusal = "other"  // the worker found the order invalid
	RefusedTicket Refusal = "ticket" // it carries no valid ticket
)

// RefusedError reports an order that was certainly not carried out.
type RefusedError struct {
	Reason Refusal
}

// Error names the reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("order refused: %s", e.Reason) }

// NoAnswerError reports an order that may have been carried out, or may still
// be.
type NoAnswerError struct {
	Err error
}

// Error describes the cause.
func (e *NoAnswerError) Error() string { return fmt.Sprintf("no answer: %v", e.Err) }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// Orders are the calls to workers.
type Orders struct {
	Start func(ctx context.Context, t Target, o StartOrder) error
	Stop  func(ctx context.Context, t Target, o StopOrder) error
	Sync  func(ctx context.Context, t Target, o SyncOrder) (Report, error)
}
