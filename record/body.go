package record

import "jasminelane.example/lane/shape"

// Join makes a new incarnation of an instance a member. The batch's writer is the
// id of the incarnation.
type Join struct {
	Name    string `cbor:"name" json:"name"`     // instance name, the same after a restart
	Addr    string `cbor:"addr" json:"addr"`     // net/rpc address, IP:port
	Domain  string `cbor:"domain" json:"domain"` // failure domain
	Version uint16 `cbor:"version" json:"version"`
}

// Leave ends the membership of the batch's own writer.
type Leave struct{}

// Evict ends the membership of another incarnation. Its later batches are refused.
type Evict struct {
	Writer string `cbor:"writer" json:"writer"`
	Cause  string `cbor:"cause" json:"cause"`
}

// Publish replaces a configuration record if the record's version is still Base.
type Publish struct {
	Name       string  `cbor:"name" json:"name"`     // for example account/asha
	Base       uint64  `cbor:"base" json:"base"`     // version that is replaced; 0 for a new name
	Schema     uint16  `cbor:"schema" json:"schema"` // schema version of Body
	MinVersion uint16  `cbor:"reader" json:"reader"` // lowest Version that interprets Body correctly
	Body       []byte  `cbor:"body" json:"body"`     // JSON, stored unchanged; empty deletes the record
	By         string  `cbor:"by" json:"by"`         // name of the operator
	Blocks     []Block `cbor:"blocks,omitempty" json:"blocks"`
}

// Block proposes the accelerators that are reserved for one copy of a guaranteed
// shape. GuaranteeIndex is the index in the account's list of guarantees, Copy the
// number of the copy.
type Block struct {
	GuaranteeIndex int          `cbor:"promise" json:"promise"`
	Copy           int          `cbor:"copy" json:"copy"`
	Slots          []shape.Slot `cbor:"slots" json:"slots"`
}

// Submit adds a job.
type Submit struct {
	Job        string      `cbor:"job" json:"job"`
	Account    string      `cbor:"account" json:"account"`
	Kind       string      `cbor:"kind" json:"kind"` // for example sheet, survey, proof
	Shape      shape.Shape `cbor:"shape" json:"shape"`
	Urgent     bool        `cbor:"urgent,omitempty" json:"urgent"`
	Once       bool        `cbor:"once,omitempty" json:"once"`             // not repeatable: starts at most once
	Checkpoint bool        `cbor:"checkpoint,omitempty" json:"checkpoint"` // can resume from a checkpoint
	ExpectedMs int64       `cbor:"expect,omitempty" json:"expect"`         // declared run time
	Cores      float64     `cbor:"cores,omitempty" json:"cores"`           // declared per accelerator
	Memory     float64     `cbor:"memory,omitempty" json:"memory"`         // declared per accelerator, GB
	Input      string      `cbor:"input,omitempty" json:"input"`           // not interpreted by the system
}

// Cancel ends a job that has not ended.
type Cancel struct {
	Job string `cbor:"job" json:"job"`
	By  string `cbor:"by" json:"by"`
}

// Place assigns accelerators to a waiting job and evicts jobs from them.
type Place struct {
	Job      string       `cbor:"job" json:"job"`
	Revision uint64       `cbor:"rev" json:"rev"` // revision of the job when it was planned
	Slots    []shape.Slot `cbor:"slots" json:"slots"`
	Evict    []Victim     `cbor:"evict,omitempty" json:"evict"`
	GraceMs  int64        `cbor:"grace,omitempty" json:"grace"` // for the evicted jobs to save a checkpoint
}

// Victim names a placement to evict.
type Victim struct {
	Job   string `cbor:"job" json:"job"`
	Token uint64 `cbor:"token" json:"token"`
}

// Start lets a job run after all of its workers hold their accelerators for it.
// Incarnations binds the start to the incarnations of these workers: a worker that
// has been restarted since refuses to run the job.
type Start struct {
	Job          string   `cbor:"job" json:"job"`
	Token        uint64   `cbor:"token" json:"token"`
	Incarnations []uint64 `cbor:"boots,omitempty" json:"boots"` // in the order of the job's slots; empty for no binding
}

// Abort releases the accelerators of a job whose start failed before any of its
// members ran.
type Abort struct {
	Job            string   `cbor:"job" json:"job"`
	Token          uint64   `cbor:"token" json:"token"`
	Cause          string   `cbor:"cause" json:"cause"`
	MissingWorkers []uint32 `cbor:"missed,omitempty" json:"missed"` // indexes of the workers that did not hold their accelerators
}

// Preempt lets a running job save a checkpoint and stops it. The job then waits
// again.
type Preempt struct {
	Job     string `cbor:"job" json:"job"`
	Token   uint64 `cbor:"token" json:"token"`
	GraceMs int64  `cbor:"grace" json:"grace"` // to save a checkpoint
	Cause   string `cbor:"cause" json:"cause"`
}

// RunOutcome is how the run of a job's members on one worker ended.
type RunOutcome string

// Outcomes of a run that a worker reports.
const (
	RunDone    RunOutcome = "done"
	RunFailed  RunOutcome = "failed"
	RunStopped RunOutcome = "stopped" // stopped on request, or the lease expired
	RunAbsent  RunOutcome = "absent"  // unknown to the worker: it has not run there since the worker's start
)

// Result is the outcome of a run of a job's members on the reporting worker.
type Result struct {
	Job      string     `cbor:"job" json:"job"`
	Token    uint64     `cbor:"token" json:"token"`
	Outcome  RunOutcome `cbor:"out" json:"out"`
	RanMs    int64      `cbor:"ran,omitempty" json:"ran"`           // run time
	Progress float64    `cbor:"progress,omitempty" json:"progress"` // 0 to 1, saved by a checkpoint
}

// Report holds results of one worker.
type Report struct {
	Worker  uint32   `cbor:"worker" json:"worker"`
	Results []Result `cbor:"results" json:"results"`
}

// Condition is the condition of a worker.
type Condition string

// Conditions of a worker; the empty value is ready.
const (
	ConditionReady Condition = ""
	ConditionLost  Condition = "lost"
	ConditionAside Condition = "aside" // set aside by an operator or for failures: no new work is placed there
)

// Health changes a worker's condition.
type Health struct {
	Worker    uint32    `cbor:"worker" json:"worker"`
	Revision  uint64    `cbor:"rev" json:"rev"`
	Condition Condition `cbor:"cond" json:"cond"`
	Cause     string    `cbor:"cause,omitempty" json:"cause"`
}

// Reserve moves a block of a guarantee to other accelerators.
type Reserve struct {
	Account  string `cbor:"account" json:"account"`
	Revision uint64 `cbor:"rev" json:"rev"` // revision of the account
	Block    Block  `cbor:"block" json:"block"`
}

// Claim gives the batch's writer the right to run a request that is not repeatable.
type Claim struct {
	Request string `cbor:"request" json:"request"` // id; starts with its creation time in Unix milliseconds and a dash
	Account string `cbor:"account" json:"account"`
	Service string `cbor:"service" json:"service"`
}

// RequestOutcome is the outcome of a request or job that its caller sees.
type RequestOutcome string

// Outcomes of requests and jobs.
const (
	RequestDone    RequestOutcome = "done"
	RequestNotRun  RequestOutcome = "notrun"
	RequestUnknown RequestOutcome = "unknown"
)

// Settle records the outcome of a claimed request.
type Settle struct {
	Request string         `cbor:"request" json:"request"`
	Outcome RequestOutcome `cbor:"fate" json:"fate"`
	Detail  string         `cbor:"detail,omitempty" json:"detail"`
}

// Chunk is one part of a compressed snapshot.
type Chunk struct {
	Snapshot string `cbor:"snapshot" json:"snapshot"`
	Offset   uint64 `cbor:"offset" json:"offset"` // state.State.Offset in the snapshot
	Index    int    `cbor:"index" json:"index"`
	Count    int    `cbor:"count" json:"count"`
	Format   uint16 `cbor:"format" json:"format"`
	Sum      uint64 `cbor:"sum" json:"sum"` // xxhash of the whole compressed snapshot
	Data     []byte `cbor:"data" json:"data"`
}

// Fence is an empty record. An instance that reads back its own Fence has read all
// entries before it.
type Fence struct{}
