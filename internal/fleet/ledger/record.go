package ledger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Record is one entry of the log. Exactly one of its fields, besides Offset, is set.
type Record struct {
	Claim     *Claim        `cbor:"1,keyasint,omitempty"`
	Submit    *Job          `cbor:"2,keyasint,omitempty"`
	Cancel    *Cancel       `cbor:"3,keyasint,omitempty"`
	Start     *Start        `cbor:"4,keyasint,omitempty"`
	End       *End          `cbor:"5,keyasint,omitempty"`
	Heartbeat *LeaderNotice `cbor:"6,keyasint,omitempty"`
	Resign    *LeaderNotice `cbor:"7,keyasint,omitempty"`
	Rewrite   *JobState     `cbor:"8,keyasint,omitempty"`
	Join      *Join         `cbor:"9,keyasint,omitempty"`
	Resume    *Resume       `cbor:"10,keyasint,omitempty"`
	Begin     *Begin        `cbor:"11,keyasint,omitempty"`

	Offset uint64 `cbor:"-"` // in the log; set when the record is read from there
}

// Join publishes the address at which other instances reach an instance, and what
// a leader needs to choose its successor. Records of earlier versions have only the
// address.
type Join struct {
	Instance    string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint"`
	CPUs        int64  `cbor:"3,keyasint,omitempty"` // processor time in thousandths of a CPU; 0 is unknown
	Incarnation string `cbor:"4,keyasint,omitempty"` // see Claim
	Draining    bool   `cbor:"5,keyasint,omitempty"` // the instance is shutting down
}

// EpochStep is the distance between the epochs of two leaders. A leader uses the
// numbers in between as fencing tokens for workers that have restarted, so that an
// instance of an earlier version, which claims the very next number, can still lead.
const EpochStep = 1 << 16

// NextEpoch returns the epoch of the next leader.
func NextEpoch(epoch uint64) uint64 { return (epoch/EpochStep + 1) * EpochStep }

// Claim makes an instance the leader of an epoch.
type Claim struct {
	Epoch       uint64 `cbor:"1,keyasint"`
	Instance    string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"` // identifies one start of the claiming instance
}

// Cancel cancels a job on request of its caller.
type Cancel struct {
	ID string `cbor:"1,keyasint"`
	At int64  `cbor:"2,keyasint,omitempty"` // Unix ms
}

// UnitID identifies a unit of scheduling: one task, or all tasks of a gang.
type UnitID struct {
	Job        string `cbor:"1,keyasint"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
	Index      int    `cbor:"4,keyasint,omitempty"` // of the task within its step; 0 for a gang
}

// String formats the ID as JOB.OCCURRENCE.STEP.INDEX.
func (u UnitID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", u.Job, u.Occurrence, u.Step, u.Index)
}

// Start assigns a run of a unit to workers, one for each member of the run.
type Start struct {
	Epoch        uint64   `cbor:"1,keyasint"`
	Unit         UnitID   `cbor:"2,keyasint"`
	Run          int      `cbor:"3,keyasint"`
	Workers      []string `cbor:"4,keyasint"`
	Incarnations []int64  `cbor:"5,keyasint,omitempty"` // of the workers
	At           int64    `cbor:"6,keyasint,omitempty"` // Unix ms

	// ReportsBegin tells that a Begin record follows when the first task has begun. Versions
	// before it write none, so that their starts count as begun.
	ReportsBegin bool `cbor:"7,keyasint,omitempty"`
}

// Begin records that a task of a job has begun: its worker has accepted or reported it.
type Begin struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Job   string `cbor:"2,keyasint"`
}

// RunOutcome is the outcome of the run of one task.
type RunOutcome string

// The outcomes of a run.
const (
	Done           RunOutcome = "done"
	Failed         RunOutcome = "failed"  // because of the task or of its worker
	Stopped        RunOutcome = "stopped" // by a stop request
	LeaseExpired   RunOutcome = "lapsed"  // the lease of the run expired
	GangEnded      RunOutcome = "broken"  // another member of its gang ended first
	GangIncomplete RunOutcome = "alone"   // other members of its gang did not start in time
	WorkerLost     RunOutcome = "lost"    // its worker left or restarted, or was unreachable for longer than the lease
	WorkerCrashed  RunOutcome = "crashed" // its worker crashed, and the run may be the cause
)

// provesBegin reports whether only a task that has begun has the outcome.
func (o RunOutcome) provesBegin() bool {
	switch o {
	case Done, Failed, LeaseExpired, GangEnded, GangIncomplete:
		return true
	}
	return false // it may have ended without having begun
}

// End records that one member of a run has ended.
type End struct {
	Epoch      uint64     `cbor:"1,keyasint"`
	Unit       UnitID     `cbor:"2,keyasint"`
	Run        int        `cbor:"3,keyasint"`
	Member     int        `cbor:"4,keyasint,omitempty"`
	Outcome    RunOutcome `cbor:"5,keyasint"`
	Checkpoint string     `cbor:"6,keyasint,omitempty"` // newest checkpoint
	At         int64      `cbor:"7,keyasint,omitempty"` // Unix ms
	Prompt     bool       `cbor:"8,keyasint,omitempty"` // if its worker crashed: right after it had accepted the run
}

// LeaderNotice is sent by the leader of an epoch. It is a heartbeat or a
// resignation, depending on the field of Record that holds it.
type LeaderNotice struct {
	Epoch   uint64 `cbor:"1,keyasint"`
	Latency int64  `cbor:"2,keyasint,omitempty"` // of the store as known to the leader while it is slow, in ms
}

// CodecError reports a record that cannot be encoded, or bytes that cannot be
// decoded as a record.
type CodecError struct {
	Err error
}

// Error returns a message that contains the error of the CBOR codec.
func (e *CodecError) Error() string { return fmt.Sprintf("encode or decode record: %v", e.Err) }

// Unwrap returns the error of the CBOR codec.
func (e *CodecError) Unwrap() error { return e.Err }

// decMode limits the size and depth of a record that is decoded.
var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the record as it is stored in the log. It fails with
// *CodecError.
func Encode(r Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, &CodecError{err}
	}
	return data, nil
}

// Decode decodes a record from the log. It fails with *DecodeError.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := decMode.Unmarshal(data, &r); err != nil {
		return Record{}, &CodecError{err}
	}
	return r, nil
}
