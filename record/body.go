package record

import "jasminelane.example/lane/shape"

// Join announces an incarnation of an instance; the batch's writer is its
// identity.
type Join struct {
	Name    string `cbor:"name" json:"name"`     // instance name, stable over restarts
	Addr    string `cbor:"addr" json:"addr"`     // net/rpc address, IP:port
	Domain  string `cbor:"domain" json:"domain"` // failure domain
	Version uint16 `cbor:"version" json:"version"`
}

// Leave ends the writer's own incarnation.
type Leave struct{}

// Evict ends another incarnation, whose later batches are refused.
type Evict struct {
	Writer string `cbor:"writer" json:"writer"`
	Cause  string `cbor:"cause" json:"cause"`
}

// Publish replaces a configuration record if its version is still Base.
type Publish struct {
	Name       string  `cbor:"name" json:"name"`     // for example account/asha
	Base       uint64  `cbor:"base" json:"base"`     // version replaced; 0 for a new name
	Schema     uint16  `cbor:"schema" json:"schema"` // schema version of Body
	MinVersion uint16  `cbor:"reader" json:"reader"` // lowest Version that interprets Body safely
	Body       []byte  `cbor:"body" json:"body"`     // JSON, kept as it came; empty deletes the name
	By         string  `cbor:"by" json:"by"`         // operator
	Blocks     []Block `cbor:"blocks,omitempty" json:"blocks"`
}

// Block proposes the accelerators that hold one promised shape; Promise and
// Copy say which shape of the account's guarantees and which of its copies.
type Block struct {
	GuaranteeIndex int          `cbor:"promise" json:"promise"`
	Copy           int          `cbor:"copy" json:"copy"`
	Slots          []shape.Slot `cbor:"slots" json:"slots"`
}

// Submit enters a job.
type Submit struct {
	Job        string      `cbor:"job" json:"job"`
	Account    string      `cbor:"account" json:"account"`
	Kind       string      `cbor:"kind" json:"kind"` // for example sheet, survey, proof
	Shape      shape.Shape `cbor:"shape" json:"shape"`
	Urgent     bool        `cbor:"urgent,omitempty" json:"urgent"`
	Once       bool        `cbor:"once,omitempty" json:"once"`             // not repeatable: starts at most once
	Checkpoint bool        `cbor:"checkpoint,omitempty" json:"checkpoint"` // can resume from a checkpoint
	ExpectedMs int64       `cbor:"expect,omitempty" json:"expect"`         // declared run time, milliseconds
	Cores      float64     `cbor:"cores,omitempty" json:"cores"`           // declared for each accelerator
	Memory     float64     `cbor:"memory,omitempty" json:"memory"`         // declared for each accelerator, GB
	Input      string      `cbor:"input,omitempty" json:"input"`           // opaque to the system
}

// Cancel ends a job that is not terminal.
type Cancel struct {
	Job string `cbor:"job" json:"job"`
	By  string `cbor:"by" json:"by"`
}

// Place assigns accelerators to a waiting job and evicts the named jobs from
// them.
type Place struct {
	Job      string       `cbor:"job" json:"job"`
	Revision uint64       `cbor:"rev" json:"rev"` // of the job when the decision was made
	Slots    []shape.Slot `cbor:"slots" json:"slots"`
	Evict    []Victim     `cbor:"evict,omitempty" json:"evict"`
	GraceMs  int64        `cbor:"grace,omitempty" json:"grace"` // for victims, milliseconds
}

// Victim names a placement that is to be evicted.
type Victim struct {
	Job   string `cbor:"job" json:"job"`
	Token uint64 `cbor:"token" json:"token"`
}

// Start lets a job run whose members all hold. Boots binds the start to the
// incarnations of the workers that hold: a worker that was restarted since
// refuses to run.
type Start struct {
	Job          string   `cbor:"job" json:"job"`
	Token        uint64   `cbor:"token" json:"token"`
	Incarnations []uint64 `cbor:"boots,omitempty" json:"boots"` // in the order of the job's slots; empty binds nothing
}

// Abort releases a job whose start failed before any member ran.
type Abort struct {
	Job            string   `cbor:"job" json:"job"`
	Token          uint64   `cbor:"token" json:"token"`
	Cause          string   `cbor:"cause" json:"cause"`
	MissingWorkers []uint32 `cbor:"missed,omitempty" json:"missed"` // workers that did not hold
}

// Preempt checkpoints and stops a running job, which then waits again.
type Preempt struct {
	Job     string `cbor:"job" json:"job"`
	Token   uint64 `cbor:"token" json:"token"`
	GraceMs int64  `cbor:"grace" json:"grace"` // milliseconds
	Cause   string `cbor:"cause" json:"cause"`
}

// Outcome is what became of a job's members on one worker.
type RunOutcome string

// Outcomes that a worker reports.
const (
	RunDone    RunOutcome = "done"
	RunFailed  RunOutcome = "failed"
	RunStopped RunOutcome = "stopped" // stopped on request, or the lease lapsed
	RunAbsent  RunOutcome = "absent"  // the worker does not know the grant: it never ran there since the worker's start
)

// Result is the outcome of one job's members on the reporting worker.
type Result struct {
	Job      string     `cbor:"job" json:"job"`
	Token    uint64     `cbor:"token" json:"token"`
	Outcome  RunOutcome `cbor:"out" json:"out"`
	RanMs    int64      `cbor:"ran,omitempty" json:"ran"`           // milliseconds of running
	Progress float64    `cbor:"progress,omitempty" json:"progress"` // 0 to 1, kept by a checkpoint
}

// Report carries results from one worker.
type Report struct {
	Worker  uint32   `cbor:"worker" json:"worker"`
	Results []Result `cbor:"results" json:"results"`
}

// Condition is a worker's condition.
type Condition string

// Conditions of a worker; the empty value means ready.
const (
	ConditionReady Condition = ""
	ConditionLost  Condition = "lost"
	ConditionAside Condition = "aside" // set aside: nothing new is placed there
)

// Health changes a worker's condition.
type Health struct {
	Worker    uint32    `cbor:"worker" json:"worker"`
	Revision  uint64    `cbor:"rev" json:"rev"`
	Condition Condition `cbor:"cond" json:"cond"`
	Cause     string    `cbor:"cause,omitempty" json:"cause"`
}

// Reserve moves one guarantee block to other accelerators.
type Reserve struct {
	Account  string `cbor:"account" json:"account"`
	Revision uint64 `cbor:"rev" json:"rev"` // of the account
	Block    Block  `cbor:"block" json:"block"`
}

// Claim takes the right to run a request that is not repeatable.
type Claim struct {
	Request string `cbor:"request" json:"request"` // starts with its creation time, Unix milliseconds, and a dash
	Account string `cbor:"account" json:"account"`
	Service string `cbor:"service" json:"service"`
}

// Fate is what became of a request or job, as its caller is told.
type RequestOutcome string

// Fates.
const (
	RequestDone    RequestOutcome = "done"
	RequestNotRun  RequestOutcome = "notrun"
	RequestUnknown RequestOutcome = "unknown"
)

// Settle records the fate of a claimed request.
type Settle struct {
	Request string         `cbor:"request" json:"request"`
	Outcome RequestOutcome `cbor:"fate" json:"fate"`
	Detail  string         `cbor:"detail,omitempty" json:"detail"`
}

// Chunk is a part of a snapshot.
type Chunk struct {
	Snapshot string `cbor:"snapshot" json:"snapshot"`
	Offset   uint64 `cbor:"offset" json:"offset"` // state.Offset of the snapshot
	Index    int    `cbor:"index" json:"index"`
	Count    int    `cbor:"count" json:"count"`
	Format   uint16 `cbor:"format" json:"format"`
	Sum      uint64 `cbor:"sum" json:"sum"` // xxhash of the whole compressed snapshot
	Data     []byte `cbor:"data" json:"data"`
}

// Fence carries nothing; reading it back shows that all before it was read.
type Fence struct{}
