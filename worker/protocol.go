package worker

import (
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// Phases of a grant: what the worker must do with a task. A worker stops a
// task that is not listed at once.
const (
	PhaseHold       = "hold"       // reserve the accelerators, run nothing
	PhaseArm        = "arm"        // the gang was started: prepare to run; a running task keeps running
	PhaseRun        = "run"        // all members are armed: run
	PhaseThrottle   = "throttle"   // run at reduced speed
	PhaseCheckpoint = "checkpoint" // write a checkpoint and stop, at the latest when the grace period ends
)

// Phases of a status: the state of a task on the worker.
const (
	StatusWaiting = "waiting" // a task that is being stopped still uses the accelerators
	StatusHeld    = "held"    // the accelerators are reserved
	StatusArmed   = "armed"   // ready; starts to run on PhaseRun
	StatusRunning = "running" // also while throttled or writing a checkpoint
	StatusDone    = "done"    // result, kept until acknowledged
	StatusFailed  = "failed"  // result, kept until acknowledged
	StatusStopped = "stopped" // result, kept until acknowledged: ran, then stopped on request or because the lease expired
	StatusAbsent  = "absent"  // refused: this incarnation of the worker does not have the grant
	StatusRefused = "refused" // refused: the worker has seen a newer token on these accelerators
)

// Grant tells a worker what to do for one job.
type Grant struct {
	Job         string     `json:"job"`
	Token       uint64     `json:"token"`
	Mask        shape.Mask `json:"mask"`
	Phase       string     `json:"phase"`
	GraceMs     int64      `json:"grace,omitempty"` // milliseconds, in PhaseCheckpoint
	Incarnation uint64     `json:"boot,omitempty"`  // incarnation of the worker that held the grant when the gang was started; 0 before the start
	Once        bool       `json:"once,omitempty"`
	Checkpoint  bool       `json:"checkpoint,omitempty"`
	Input       string     `json:"input,omitempty"`
	Kind        string     `json:"kind,omitempty"`
	ExpectedMs  int64      `json:"expect,omitempty"`   // milliseconds
	Progress    float64    `json:"progress,omitempty"` // 0 to 1, of the checkpoint to resume from
	Members     int        `json:"members"`            // workers of the whole gang
}

// SyncRequest states all tasks of a worker as of a log offset. Its short form,
// with Unchanged set, has no grants and refers to those of the last accepted
// request with the same Digest. A worker that has another digest answers 412
// (Precondition Failed), and the request is sent again in full.
type SyncRequest struct {
	Worker      string  `json:"worker"`
	Offset      uint64  `json:"offset"`
	LeaseMs     int64   `json:"lease"` // milliseconds, from when the worker accepts the request
	Grants      []Grant `json:"grants,omitempty"`
	Acks        []Ack   `json:"acks,omitempty"`  // results that the worker need not keep
	Digest      uint64  `json:"sum,omitempty"`   // of the grants; opaque to the worker
	KnownDigest uint64  `json:"known,omitempty"` // Digest of the answer that the sender has
	Unchanged   bool    `json:"same,omitempty"`
	Full        bool    `json:"-"` // requests the tasks even if the sender has an answer with the same phases
}

// Ack tells a worker that the log has settled a result, so that the worker can
// delete it.
type Ack struct {
	Job   string `json:"job"`
	Token uint64 `json:"token"`
}

// SyncAnswer lists the tasks that a worker runs and the results that it keeps.
// With Unchanged set it has no tasks on the wire and refers to those of the
// answer whose Digest is the request's KnownDigest; their progress may have
// grown since.
type SyncAnswer struct {
	Offset      uint64   `json:"offset"` // highest log offset that the worker has seen
	Incarnation uint64   `json:"boot"`   // changes with each start of the worker; never 0
	Tasks       []Status `json:"tasks,omitempty"`
	Digest      uint64   `json:"sum,omitempty"` // of the tasks' phases; opaque to the sender
	Unchanged   bool     `json:"same,omitempty"`
}

// Status is the state of one grant on its worker.
type Status struct {
	Job      string  `json:"job"`
	Token    uint64  `json:"token"`
	Phase    string  `json:"phase"`
	Progress float64 `json:"progress,omitempty"` // 0 to 1; that of the checkpoint when the task is stopped
	RanMs    int64   `json:"ran,omitempty"`      // milliseconds
	Usage    float64 `json:"usage,omitempty"`    // accelerators in use, measured some time ago
}

// outcome maps the status to the outcome in a record; it returns false if the
// status is not a result.
func (t Status) outcome() (record.RunOutcome, bool) {
	switch t.Phase {
	case StatusDone:
		return record.RunDone, true
	case StatusFailed:
		return record.RunFailed, true
	case StatusStopped:
		return record.RunStopped, true
	case StatusAbsent, StatusRefused:
		return record.RunAbsent, true
	}
	return "", false
}
