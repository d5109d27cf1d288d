package record

import (
	"github.com/fxamacker/cbor/v2"
)

// Version is the record version that this program supports. It cannot apply a
// batch with a higher MinVersion.
const Version = 1

// Limits of one batch.
const (
	MaxBatchBytes   = 256 << 10
	MaxBatchRecords = 1000
)

// Batch is one entry of the log: records that one instance appended together.
type Batch struct {
	Writer      string   `cbor:"writer" json:"writer"`             // id of the instance's incarnation
	Seq         uint64   `cbor:"seq" json:"seq"`                   // 1, 2, 3, ... for each writer
	At          int64    `cbor:"at" json:"at"`                     // writer's clock, Unix milliseconds
	SnapshotEnd uint64   `cbor:"snap,omitempty" json:"snap"`       // log offset after the last chunk of the newest known snapshot
	MinVersion  uint16   `cbor:"reader,omitempty" json:"reader"`   // lowest Version that can apply this batch
	Records     []Record `cbor:"records,omitempty" json:"records"` // applied in this order
}

// Record is a proposal to change the replicated state. Body is the struct of its
// kind in CBOR.
type Record struct {
	Kind Kind            `cbor:"kind" json:"kind"`
	ID   string          `cbor:"id,omitempty" json:"id"` // unique, chosen by the proposer
	Body cbor.RawMessage `cbor:"body,omitempty" json:"body"`
}

// Kind is the kind of a record.
type Kind string

// Kinds of records.
const (
	KindJoin    Kind = "join"
	KindLeave   Kind = "leave"
	KindEvict   Kind = "evict"
	KindPublish Kind = "publish"
	KindSubmit  Kind = "submit"
	KindCancel  Kind = "cancel"
	KindPlace   Kind = "place"
	KindStart   Kind = "start"
	KindAbort   Kind = "abort"
	KindPreempt Kind = "preempt"
	KindReport  Kind = "report"
	KindHealth  Kind = "health"
	KindReserve Kind = "reserve"
	KindClaim   Kind = "claim"
	KindSettle  Kind = "settle"
	KindChunk   Kind = "chunk"
	KindFence   Kind = "fence"
)

// Priority returns the rank in which the batcher takes records of this kind when
// the log is slow; 0 is taken first.
func (k Kind) Priority() int {
	switch k {
	case KindJoin, KindLeave, KindEvict, KindPublish, KindCancel, KindFence:
		return 0
	case KindStart, KindAbort, KindPlace, KindPreempt, KindHealth, KindReserve:
		return 1
	case KindClaim, KindSettle, KindSubmit:
		return 2
	case KindReport:
		return 3
	default:
		return 4
	}
}
