package ledger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Record is one entry of the log; exactly one field is set.
type Record struct {
	Claim  *Claim    `cbor:"1,keyasint,omitempty"`
	Submit *Job      `cbor:"2,keyasint,omitempty"`
	Cancel *Cancel   `cbor:"3,keyasint,omitempty"`
	Start  *Start    `cbor:"4,keyasint,omitempty"`
	End    *End      `cbor:"5,keyasint,omitempty"`
	Beat   *Beat     `cbor:"6,keyasint,omitempty"`
	Resign *Beat     `cbor:"7,keyasint,omitempty"`
	Carry  *JobState `cbor:"8,keyasint,omitempty"`
	Join   *Join     `cbor:"9,keyasint,omitempty"`
}

// Join tells where other instances reach one.
type Join struct {
	Node string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
}

// Claim makes an instance the leader of an epoch.
type Claim struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Node  string `cbor:"2,keyasint"`
	Boot  string `cbor:"3,keyasint"` // incarnation of the claimant
}

// Cancel ends a job at its caller's wish.
type Cancel struct {
	ID string `cbor:"1,keyasint"`
	At int64  `cbor:"2,keyasint,omitempty"` // Unix ms
}

// UnitID names a unit of scheduling: one task, or all tasks of a gang.
type UnitID struct {
	Job        string `cbor:"1,keyasint"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
	Index      int    `cbor:"4,keyasint,omitempty"` // 0 for a gang
}

// String formats the id as JOB.OCCURRENCE.STEP.INDEX.
func (u UnitID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", u.Job, u.Occurrence, u.Step, u.Index)
}

// Start assigns a run of a unit to workers, one for each member.
type Start struct {
	Epoch   uint64   `cbor:"1,keyasint"`
	Unit    UnitID   `cbor:"2,keyasint"`
	Run     int      `cbor:"3,keyasint"`
	Workers []string `cbor:"4,keyasint"`
}

// How says how a run of a task ended.
type How string

// The ways in which a run ends.
const (
	Done    How = "done"
	Failed  How = "failed"  // by the task's own fault or the worker's
	Stopped How = "stopped" // by an order
	Lapsed  How = "lapsed"  // its lease expired
	Broken  How = "broken"  // another member of its gang ended
	Alone   How = "alone"   // the other members of its gang did not start in time
	Lost    How = "lost"    // its worker restarted or was unreachable beyond the lease
)

// End reports that one member of a run has ended.
type End struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Unit   UnitID `cbor:"2,keyasint"`
	Run    int    `cbor:"3,keyasint"`
	Member int    `cbor:"4,keyasint,omitempty"`
	How    How    `cbor:"5,keyasint"`
	Saved  string `cbor:"6,keyasint,omitempty"` // newest checkpoint
	At     int64  `cbor:"7,keyasint,omitempty"` // Unix ms
}

// Beat shows that the leader of an epoch is alive, or that it resigns.
type Beat struct {
	Epoch uint64 `cbor:"1,keyasint"`
}

// DecodeError reports bytes that are not a record.
type DecodeError struct {
	Err error
}

// Error describes the codec's error.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode record: %v", e.Err) }

// Unwrap returns the codec's error.
func (e *DecodeError) Unwrap() error { return e.Err }

var decMode = mustDec()

func mustDec() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the record's bytes in the log.
func Encode(r Record) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, &DecodeError{err}
	}
	return data, nil
}

// Decode reads a record; it fails with *DecodeError.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := decMode.Unmarshal(data, &r); err != nil {
		return Record{}, &DecodeError{err}
	}
	return r, nil
}
