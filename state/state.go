package state

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// Limits on time and retention in the fold, in milliseconds.
const (
	MaxClockStepMs    = 10_000          // one batch advances Now by at most this
	MaxBatchAgeMs     = 10 * 60 * 1000  // older batches are stale
	WriterRetentionMs = 60 * 60 * 1000  // idle writers are forgotten after this
	ClaimRetentionMs  = 60 * 60 * 1000  // claims are forgotten after this
	JobRetentionMs    = 6 * 60 * 60_000 // terminal jobs are forgotten after this
	sweepInterval     = 30_000          // how often the retentions are applied
)

// State is everything that instances agree on. The zero value is the state
// before the first entry. It is not safe for concurrent use.
type State struct {
	Offset      uint64 // next log offset to apply
	Now         int64  // the fold's clock, Unix milliseconds
	Ahead       Clock  // last clock that was too far ahead
	Chain       uint64 // digest of all entries and outcomes so far
	SnapshotEnd uint64 // newest snapshot that a batch has named; see record.Batch
	Members     []*Member
	Writers     map[string]*Writer
	Configs     map[string]*Config
	Accounts    map[string]*Account
	Workers     []*Worker // index is the worker's number; removed workers stay as Gone
	Racks       []*Rack
	Domains     []*Domain
	Jobs        map[string]*Job
	Claims      map[string]*Claim
	Refused     map[Reason]uint64 // refused records by reason

	// Touched is called after each change to a worker's accelerators, condition or
	// size; nil means no listener. It must not change the state.
	OnWorkerChange func(*Worker)

	// Moved is called after each submission of a job and each change of its phase,
	// under the same rules.
	OnJobChange func(*Job)

	workerByName map[string]*Worker
	interned     map[string]string
	placedJobs   map[*Job]struct{} // jobs that Starting may return, and some that have gone on
	lastSweep    int64
	hash         *xxhash.Digest
}

// Clock is a writer's clock that was further ahead of the fold's clock than
// one batch may move it.
type Clock struct {
	Writer string `cbor:"writer"`
	At     int64  `cbor:"at"` // Unix milliseconds
}

// Member is a live incarnation of an instance.
type Member struct {
	Writer     string `cbor:"writer"`
	Name       string `cbor:"name"`
	Addr       string `cbor:"addr"`
	Domain     string `cbor:"domain"`
	Version    uint16 `cbor:"version"`
	JoinOffset uint64 `cbor:"joined"` // offset of the join
	JoinedAt   int64  `cbor:"at"`     // fold's clock at the join
}

// Writer is what the fold knows of one writer of batches.
type Writer struct {
	ID          string `cbor:"id"`
	Seq         uint64 `cbor:"seq"` // last sequence number applied
	LastBatchAt int64  `cbor:"at"`  // fold's clock at that time
	Fenced      bool   `cbor:"fenced"`
}

// Config is the version of a configuration record that is in force.
type Config struct {
	Name       string `cbor:"name"`
	Version    uint64 `cbor:"version"` // offset of the publish, plus one
	Schema     uint16 `cbor:"schema"`
	MinVersion uint16 `cbor:"reader"`
	By         string `cbor:"by"`
	Body       []byte `cbor:"body"` // as published
	Deleted    bool   `cbor:"gone"` // deleted; the version stays for compare-and-set
}

// Account is a client account in force.
type Account struct {
	Name       string
	Revision   uint64
	Weight     float64
	Quota      int // accelerators in use at most; 0 means no limit
	Guarantees []Guarantee
	Blocks     []*Block
	Used       int // accelerators held by its jobs
}

// Promise is a shape that is guaranteed Count times.
type Guarantee struct {
	Shape shape.Shape
	Count int
}

// Block is the set of accelerators reserved for one copy of a promised shape.
type Block struct {
	Account        string       `cbor:"account"`
	GuaranteeIndex int          `cbor:"promise"`
	Copy           int          `cbor:"copy"`
	Shape          shape.Shape  `cbor:"shape"`
	Slots          []shape.Slot `cbor:"slots"`
	Broken         bool         `cbor:"broken"` // a worker of it is lost, aside or gone
}

// Domain is a failure domain.
type Domain struct {
	Index int
	Name  string
	Racks []*Rack
}

// Rack is a rack of workers in one failure domain.
type Rack struct {
	Index   int
	Name    string
	Domain  *Domain
	Workers []*Worker
}

// Worker is one worker and what is placed on it.
type Worker struct {
	Index           uint32
	Name            string
	Addr            string
	Rack            *Rack
	GPUs            int
	Cores           float64
	Memory          float64 // GB
	Condition       record.Condition
	Revision        uint64 // grows with each change of Condition
	ConditionSince  int64  // fold's clock at that change
	Removed         bool   // removed from the configuration
	Cause           string // of the current Condition
	LastMissedStart int64  // fold's clock when it last kept a gang from starting
	QuarantineCount uint32 // how often it was set aside for failures since its last success
	RecentDone      uint32 // members done here recently
	RecentFailed    uint32 // jobs failed here recently
	Failures        []Failure
	Tasks           []*Task
	Blocks          []*Block

	edition  uint64     // changes with each change of Tasks; not part of the image
	used     shape.Mask // held by any task
	reserved shape.Mask // in any block that is not broken
}

// Task is a job's members on one worker.
type Task struct {
	Job         *Job
	Token       uint64
	Mask        shape.Mask
	Phase       TaskPhase
	GraceMs     int64  // milliseconds to checkpoint, in phase TaskStopping
	Incarnation uint64 // incarnation of the worker that held it at the start; 0 if not started or not stated
}

// TaskPhase is what the worker should do with a task.
type TaskPhase uint8

// Phases of a task.
const (
	TaskHold TaskPhase = iota
	TaskRun
	TaskStopping // checkpoint within the grace, then stop
	TaskDone     // finished on this worker, other workers still run the job
)

// JobPhase is where a job stands.
type JobPhase uint8

// Phases of a job.
const (
	JobWaiting JobPhase = iota
	JobHolding
	JobRunning
	JobStopping // evicted or preempted; waits again when all workers have stopped
	JobDone
	JobFailed
	JobCancelled
	JobUnknown // not repeatable, and its worker was lost while it may have run
)

var jobPhaseNames = []string{"waiting", "holding", "running", "stopping", "done", "failed", "cancelled", "unknown"}

// String returns the phase's name as callers see it.
func (p JobPhase) String() string {
	if int(p) < len(jobPhaseNames) {
		return jobPhaseNames[p]
	}
	return fmt.Sprintf("phase%d", p)
}

// Terminal reports whether the phase is final.
func (p JobPhase) Terminal() bool { return p >= JobDone && p != JobUnknown }

// Job is one submitted job.
type Job struct {
	ID             string
	Spec           record.Submit
	Phase          JobPhase
	Revision       uint64 // grows with each change; proposals are based on it
	Token          uint64 // of the current or last placement
	Slots          []shape.Slot
	Guaranteed     bool     // wholly within blocks of its own account
	PendingWorkers int      // workers that still hold members of the current placement
	SubmittedAt    int64    // fold's clock
	PhaseChangedAt int64    // fold's clock at the last change of phase
	StartedAt      int64    // fold's clock at the last start
	Starts         int      // how often it was started
	Failures       int      // starts that ended in a failure of the job itself
	FailedOn       []uint32 // workers on which it failed
	Progress       float64  // 0 to 1, kept by its last checkpoint
	StopProgress   float64  // in phase JobStopping: least progress that its members have kept so far
	LostMs         int64    // milliseconds of work lost by evictions and failures
	Cause          string   // why it stands where it stands
}

// Evictable reports whether the job may be evicted from borrowed
// accelerators: it can be started again.
func (j *Job) Evictable() bool { return !j.Spec.Once && !j.Guaranteed }

// Claim is the right to run a request that is not repeatable.
type Claim struct {
	Request   string                `cbor:"request"`
	Account   string                `cbor:"account"`
	Service   string                `cbor:"service"`
	Writer    string                `cbor:"writer"`
	Token     uint64                `cbor:"token"`
	Outcome   record.RequestOutcome `cbor:"fate"` // empty while open
	Detail    string                `cbor:"detail"`
	ClaimedAt int64                 `cbor:"at"` // fold's clock at the claim
}

// Outcome is what the fold decided on one record.
type Decision struct {
	Kind   record.Kind
	ID     string
	Reason Reason // empty when accepted
	Detail string // for example the field at fault
	Offset uint64
}

// Accepted reports whether the record took effect.
func (o Decision) Accepted() bool { return o.Reason == "" }

// GapError reports an entry that is not the next one.
type GapError struct {
	Want, Got uint64
}

// Error describes the gap.
func (e *GapError) Error() string {
	return fmt.Sprintf("entry %d is not the next one, %d", e.Got, e.Want)
}

// UpgradeError reports a batch that needs a newer program.
type UpgradeError struct {
	Offset     uint64
	MinVersion uint16
}

// Error describes the version that is needed.
func (e *UpgradeError) Error() string {
	return fmt.Sprintf("entry %d needs version %d of the fold, this is %d", e.Offset, e.MinVersion, record.Version)
}

// Apply folds the entry at the offset and returns an outcome for each record.
// It fails with *GapError or *UpgradeError, and then changes nothing.
func (s *State) Apply(offset uint64, b *record.Batch) ([]Decision, error) {
	if offset != s.Offset {
		return nil, &GapError{s.Offset, offset}
	}
	if b.MinVersion > record.Version {
		return nil, &UpgradeError{offset, b.MinVersion}
	}
	s.init()
	s.Offset++
	reason := s.admit(b)
	if reason == "" {
		s.tick(b)
		s.Writers[b.Writer].LastBatchAt = s.Now
		s.SnapshotEnd = max(s.SnapshotEnd, b.SnapshotEnd)
	}
	out := make([]Decision, len(b.Records))
	for i, r := range b.Records {
		o := Decision{Kind: r.Kind, ID: r.ID, Reason: reason, Offset: offset}
		if reason == "" {
			o.Reason, o.Detail = s.apply(b, r)
		}
		if o.Reason != "" {
			s.Refused[o.Reason]++
		}
		out[i] = o
	}
	s.mix(offset, b, out)
	if s.Now-s.lastSweep >= sweepInterval {
		s.sweep()
	}
	return out, nil
}

// Skip passes over an entry that is no valid batch.
func (s *State) Skip(offset uint64) error {
	if offset != s.Offset {
		return &GapError{s.Offset, offset}
	}
	s.init()
	s.Offset++
	s.Refused[ReasonCorrupt]++
	s.mix(offset, &record.Batch{}, nil)
	return nil
}

func (s *State) init() {
	if s.Writers != nil {
		return
	}
	s.Writers = map[string]*Writer{}
	s.Configs = map[string]*Config{}
	s.Accounts = map[string]*Account{}
	s.Jobs = map[string]*Job{}
	s.Claims = map[string]*Claim{}
	s.Refused = map[Reason]uint64{}
	s.workerByName = map[string]*Worker{}
	s.interned = map[string]string{}
	s.placedJobs = map[*Job]struct{}{}
}

// admit decides whether the batch as a whole may take effect, and notes the
// writer's sequence number.
func (s *State) admit(b *record.Batch) Reason {
	w := s.Writers[b.Writer]
	if w != nil && w.Fenced {
		return ReasonFenced
	}
	if s.Now-b.At > MaxBatchAgeMs {
		return ReasonStale
	}
	if w == nil {
		if b.Seq != 1 {
			return ReasonSequence
		}
		w = &Writer{ID: b.Writer}
		s.Writers[b.Writer] = w
	}
	if b.Seq <= w.Seq {
		return ReasonDuplicate
	}
	if b.Seq != w.Seq+1 {
		return ReasonSequence
	}
	w.Seq = b.Seq
	return ""
}

// tick advances the fold's clock. One writer moves it by at most MaxClockStep
// for each batch; where two writers agree that more time has passed, as after
// an outage of the log, it follows the earlier of the two.
func (s *State) tick(b *record.Batch) {
	if s.Now == 0 {
		s.Now = max(0, b.At)
	}
	limit := s.Now + MaxClockStepMs
	if b.At > limit {
		if s.Ahead.Writer != "" && s.Ahead.Writer != b.Writer {
			limit = max(limit, s.Ahead.At)
		}
		if s.Ahead.Writer == "" || s.Ahead.Writer == b.Writer || s.Ahead.At <= s.Now {
			s.Ahead = Clock{b.Writer, b.At}
		}
	}
	s.Now = max(s.Now, min(b.At, limit))
}

func (s *State) apply(b *record.Batch, r record.Record) (Reason, string) {
	switch r.Kind {
	case record.KindJoin:
		return with(r, func(j record.Join) (Reason, string) { return s.join(b, j) })
	case record.KindLeave:
		return s.leave(b.Writer)
	case record.KindEvict:
		return with(r, s.evictMember)
	case record.KindPublish:
		return with(r, func(p record.Publish) (Reason, string) { return s.publish(b, p) })
	case record.KindSubmit:
		return with(r, s.submit)
	case record.KindCancel:
		return with(r, s.cancel)
	case record.KindPlace:
		return with(r, s.place)
	case record.KindStart:
		return with(r, s.start)
	case record.KindAbort:
		return with(r, s.abort)
	case record.KindPreempt:
		return with(r, s.preempt)
	case record.KindReport:
		return with(r, s.report)
	case record.KindHealth:
		return with(r, s.health)
	case record.KindReserve:
		return with(r, s.reserve)
	case record.KindClaim:
		return with(r, func(c record.Claim) (Reason, string) { return s.claim(b, c) })
	case record.KindSettle:
		return with(r, func(e record.Settle) (Reason, string) { return s.settle(b, e) })
	case record.KindChunk, record.KindFence:
		return "", ""
	default:
		return ReasonKind, string(r.Kind)
	}
}

func with[T any](r record.Record, f func(T) (Reason, string)) (Reason, string) {
	body, err := record.Body[T](r)
	if err != nil {
		return ReasonCorrupt, err.Error()
	}
	return f(body)
}

// token returns the token of a grant accepted in the entry being applied.
func (s *State) token() uint64 { return s.Offset }
