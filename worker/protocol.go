package worker

import (
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// Phases of a grant: what the worker is to do with a task. A task that is not
// listed is to be stopped at once.
const (
	PhaseHold       = "hold"       // keep the accelerators, run nothing
	PhaseArm        = "arm"        // the gang was started: get ready; a running task keeps running
	PhaseRun        = "run"        // every member is armed: run
	PhaseThrottle   = "throttle"   // run slowly
	PhaseCheckpoint = "checkpoint" // write a checkpoint, stop after the grace at the latest
)

// Phases of a status: what the worker did.
const (
	StatusWaiting = "waiting" // the accelerators are still held by a task that is being stopped
	StatusHeld    = "held"    // the accelerators are kept
	StatusArmed   = "armed"   // ready to run, runs on PhaseRun
	StatusRunning = "running" // also while throttled or writing a checkpoint
	StatusDone    = "done"    // result, kept until acknowledged
	StatusFailed  = "failed"  // result, kept until acknowledged
	StatusStopped = "stopped" // result, kept until acknowledged: ran, then stopped on request or by the lease
	StatusAbsent  = "absent"  // refused: this incarnation of the worker does not hold the grant
	StatusRefused = "refused" // refused: the worker has seen a newer token on these accelerators
)

// Grant is what one worker is to do for one job.
type Grant struct {
	Job        string     `json:"job"`
	Token      uint64     `json:"token"`
	Mask       shape.Mask `json:"mask"`
	Phase      string     `json:"phase"`
	Grace      int64      `json:"grace,omitempty"` // milliseconds, in PhaseCheckpoint
	Boot       uint64     `json:"boot,omitempty"`  // incarnation that held it when the gang was started; 0 before the start
	Once       bool       `json:"once,omitempty"`
	Checkpoint bool       `json:"checkpoint,omitempty"`
	Input      string     `json:"input,omitempty"`
	Kind       string     `json:"kind,omitempty"`
	Expect     int64      `json:"expect,omitempty"`   // milliseconds
	Progress   float64    `json:"progress,omitempty"` // 0 to 1, of the checkpoint to resume from
	Members    int        `json:"members"`            // workers of the whole gang
}

// SyncRequest states all tasks of a worker as of a log offset. In its short
// form, with Same set, it has no grants and stands for those of the last
// accepted request with the same Sum; a worker that has another sum answers
// 412 (Precondition Failed), and the request is sent again in full.
type SyncRequest struct {
	Worker string  `json:"worker"`
	Offset uint64  `json:"offset"`
	Lease  int64   `json:"lease"` // milliseconds from acceptance
	Grants []Grant `json:"grants,omitempty"`
	Acks   []Ack   `json:"acks,omitempty"`  // results that the log has settled
	Sum    uint64  `json:"sum,omitempty"`   // digest of the grants, opaque to the worker
	Known  uint64  `json:"known,omitempty"` // Sum of the answer that the sender has
	Same   bool    `json:"same,omitempty"`
	Full   bool    `json:"-"` // asks for the tasks even if their phases are known
}

// Ack tells a worker that a result is settled and need not be kept.
type Ack struct {
	Job   string `json:"job"`
	Token uint64 `json:"token"`
}

// SyncAnswer is what a worker runs and the results it keeps. With Same set it
// has no tasks on the wire and stands for those of the answer whose Sum the
// request names in Known; their progress may have grown.
type SyncAnswer struct {
	Offset uint64   `json:"offset"` // highest offset seen
	Boot   uint64   `json:"boot"`   // changes with each start of the worker, never 0
	Tasks  []Status `json:"tasks,omitempty"`
	Sum    uint64   `json:"sum,omitempty"` // digest of the tasks' phases, opaque to the sender
	Same   bool     `json:"same,omitempty"`
	Full   bool     `json:"-"` // asks for the tasks even if their phases are known
}

// Status is what a worker knows of one grant.
type Status struct {
	Job      string  `json:"job"`
	Token    uint64  `json:"token"`
	Phase    string  `json:"phase"`
	Progress float64 `json:"progress,omitempty"` // 0 to 1; of the checkpoint when stopped
	Ran      int64   `json:"ran,omitempty"`      // milliseconds
	Usage    float64 `json:"usage,omitempty"`    // accelerators in use, measured some time ago
}

// outcome returns the record's outcome of a status that is a result.
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
