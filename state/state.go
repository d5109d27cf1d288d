package state

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// Limits on time and retention, by the state's clock.
const (
	MaxClockStepMs    = 10_000          // one batch advances Now by at most this, unless two writers agree
	MaxBatchAgeMs     = 10 * 60 * 1000  // older batches are refused as stale
	WriterRetentionMs = 60 * 60 * 1000  // of idle writers that are not members
	ClaimRetentionMs  = 60 * 60 * 1000  // of claims
	JobRetentionMs    = 6 * 60 * 60_000 // of jobs that have ended or are unknown
	sweepIntervalMs   = 30_000          // interval at which the retentions are applied
)

// State is the replicated state. Its zero value is the state before the first
// entry of the log. It is not safe for concurrent use.
type State struct {
	Offset      uint64 // log offset of the next entry to apply
	Now         int64  // the state's clock, Unix milliseconds; the batches' times advance it
	Ahead       Clock  // the last batch time that was too far ahead
	Chain       uint64 // digest of all entries and decisions so far
	SnapshotEnd uint64 // the highest record.Batch.SnapshotEnd applied so far
	Members     []*Member
	Writers     map[string]*Writer
	Configs     map[string]*Config
	Accounts    map[string]*Account
	Workers     []*Worker // by Worker.Index; removed workers stay, with Removed set
	Racks       []*Rack
	Domains     []*Domain
	Jobs        map[string]*Job
	Claims      map[string]*Claim
	Refused     map[Reason]uint64 // number of refused records by reason

	// OnWorkerChange, if not nil, is called after each change of a worker's tasks,
	// blocks, condition or size. It must not change the state.
	OnWorkerChange func(*Worker)

	// OnJobChange, if not nil, is called after a job is submitted and after each
	// change of its phase. It must not change the state.
	OnJobChange func(*Job)

	workerByName map[string]*Worker
	interned     map[string]string
	startingJobs map[*Job]struct{} // superset of StartingJobs; sweep removes the others
	lastSweep    int64
	hash         *xxhash.Digest
}

// Clock is the time of a batch that was further ahead of the state's clock than
// MaxClockStepMs.
type Clock struct {
	Writer string `cbor:"writer"`
	At     int64  `cbor:"at"` // Unix milliseconds
}

// Member is an incarnation of an instance that has joined and neither left nor
// been evicted.
type Member struct {
	Writer     string `cbor:"writer"`
	Name       string `cbor:"name"`
	Addr       string `cbor:"addr"`
	Domain     string `cbor:"domain"`
	Version    uint16 `cbor:"version"`
	JoinOffset uint64 `cbor:"joined"` // log offset of the join
	JoinedAt   int64  `cbor:"at"`     // state's clock at the join
}

// Writer is the state of one writer of batches.
type Writer struct {
	ID          string `cbor:"id"`
	Seq         uint64 `cbor:"seq"` // last sequence number applied
	LastBatchAt int64  `cbor:"at"`  // state's clock at that time
	Fenced      bool   `cbor:"fenced"`
}

// Config is the current version of a configuration record.
type Config struct {
	Name       string `cbor:"name"`
	Version    uint64 `cbor:"version"` // log offset of the entry that published it, plus one
	Schema     uint16 `cbor:"schema"`
	MinVersion uint16 `cbor:"reader"`
	By         string `cbor:"by"`
	Body       []byte `cbor:"body"` // as published
	Deleted    bool   `cbor:"gone"` // the version of a deleted record stays, for compare-and-set
}

// Account is a client account.
type Account struct {
	Name       string
	Revision   uint64
	Weight     float64
	Quota      int // largest number of accelerators in use; 0 means no limit
	Guarantees []Guarantee
	Blocks     []*Block
	Used       int // accelerators of its placed jobs
}

// Guarantee is a shape of which an account is guaranteed Count copies.
type Guarantee struct {
	Shape shape.Shape
	Count int
}

// Block is the set of accelerators reserved for one copy of a guaranteed shape.
type Block struct {
	Account        string       `cbor:"account"`
	GuaranteeIndex int          `cbor:"promise"`
	Copy           int          `cbor:"copy"`
	Shape          shape.Shape  `cbor:"shape"`
	Slots          []shape.Slot `cbor:"slots"`
	Broken         bool         `cbor:"broken"` // one of its workers is lost, set aside or removed
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

// Worker is a worker with its tasks and blocks.
type Worker struct {
	Index           uint32
	Name            string
	Addr            string
	Rack            *Rack
	GPUs            int
	Cores           float64
	Memory          float64 // GB
	Condition       record.Condition
	Revision        uint64 // token of the last change of Condition
	ConditionSince  int64  // state's clock at that change
	Removed         bool   // its configuration has been removed
	Cause           string // cause of the current Condition
	LastMissedStart int64  // state's clock when a gang last failed to start because of this worker
	QuarantineCount uint32 // times that it was set aside for failures since its last success
	RecentDone      uint32 // recent tasks done here; see halveCounts
	RecentFailed    uint32 // recent failures here; see halveCounts
	Failures        []Failure
	Tasks           []*Task
	Blocks          []*Block

	localRevision uint64     // see LocalRevision; not part of the image
	used          shape.Mask // accelerators of all tasks
	reserved      shape.Mask // accelerators in blocks that are not broken
}

// Task is the members of a job on one worker.
type Task struct {
	Job         *Job
	Token       uint64
	Mask        shape.Mask
	Phase       TaskPhase
	GraceMs     int64  // time to save a checkpoint, in phase TaskStopping
	Incarnation uint64 // of the worker when the job started; 0 if not started or not given
}

// TaskPhase is what a worker has to do with a task.
type TaskPhase uint8

// Phases of a task.
const (
	TaskHold TaskPhase = iota // reserve the accelerators, but do not run yet
	TaskRun
	TaskStopping // save a checkpoint within GraceMs, then stop
	TaskDone     // done on this worker; other workers still run the job
)

// JobPhase is the phase of a job.
type JobPhase uint8

// Phases of a job.
const (
	JobWaiting JobPhase = iota
	JobHolding          // placed; its workers hold the accelerators until the start
	JobRunning
	JobStopping // for example evicted; waits again when all of its workers have stopped it
	JobDone
	JobFailed
	JobCancelled
	JobUnknown // not repeatable, and it may have run on a worker that was lost or stopped it
)

var jobPhaseNames = []string{"waiting", "holding", "running", "stopping", "done", "failed", "cancelled", "unknown"}

// String returns the name of the phase that callers see.
func (p JobPhase) String() string {
	if int(p) < len(jobPhaseNames) {
		return jobPhaseNames[p]
	}
	return fmt.Sprintf("phase%d", p)
}

// Terminal reports whether the phase is final. JobUnknown is not, because a late
// result may still tell how the job ended.
func (p JobPhase) Terminal() bool { return p >= JobDone && p != JobUnknown }

// Job is a submitted job.
type Job struct {
	ID             string
	Spec           record.Submit
	Phase          JobPhase
	Revision       uint64 // token of the last change; proposals name it
	Token          uint64 // token of the current or last placement
	Slots          []shape.Slot
	Guaranteed     bool     // placed, and all Slots lie in blocks of its own account
	PendingWorkers int      // workers on which tasks of the current placement have not ended
	SubmittedAt    int64    // state's clock
	PhaseChangedAt int64    // state's clock
	StartedAt      int64    // state's clock at the last start
	Starts         int      // number of starts
	Failures       int      // number of failures of the job itself
	FailedOn       []uint32 // the worker of each failure
	Progress       float64  // 0 to 1, saved by its last checkpoint
	StopProgress   float64  // in phase JobStopping: lowest progress that its workers have saved so far
	LostMs         int64    // run time lost by evictions and failures
	Cause          string   // cause of the current phase
}

// Evictable reports whether the job may be evicted: it can be started again and
// is not guaranteed, so that it runs on borrowed accelerators.
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
	ClaimedAt int64                 `cbor:"at"` // state's clock at the claim
}

// Decision is the result of applying one record.
type Decision struct {
	Kind   record.Kind
	ID     string
	Reason Reason // empty if accepted
	Detail string // for example the invalid field
	Offset uint64
}

// Accepted reports whether the record took effect.
func (o Decision) Accepted() bool { return o.Reason == "" }

// GapError reports an entry whose offset is not the next one.
type GapError struct {
	Want, Got uint64
}

// Error names both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("entry %d is not the next entry, %d", e.Got, e.Want)
}

// UpgradeError reports a batch that requires a newer program.
type UpgradeError struct {
	Offset     uint64
	MinVersion uint16
}

// Error names the required and the supported version.
func (e *UpgradeError) Error() string {
	return fmt.Sprintf("entry %d requires record version %d; this program supports %d", e.Offset, e.MinVersion, record.Version)
}

// Apply applies the log entry at the offset and returns a decision on each
// record. It fails with *GapError or *UpgradeError and then leaves the state
// unchanged.
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
		s.advanceClock(b)
		s.Writers[b.Writer].LastBatchAt = s.Now
		s.SnapshotEnd = max(s.SnapshotEnd, b.SnapshotEnd)
	}
	out := make([]Decision, len(b.Records))
	for i, r := range b.Records {
		o := Decision{Kind: r.Kind, ID: r.ID, Reason: reason, Offset: offset}
		if reason == "" {
			o.Reason, o.Detail = s.applyRecord(b, r)
		}
		if o.Reason != "" {
			s.Refused[o.Reason]++
		}
		out[i] = o
	}
	s.updateChain(offset, b, out)
	if s.Now-s.lastSweep >= sweepIntervalMs {
		s.sweep()
	}
	return out, nil
}

// Skip advances past an entry that is not a valid batch and counts it as
// corrupt; it fails with *GapError.
func (s *State) Skip(offset uint64) error {
	if offset != s.Offset {
		return &GapError{s.Offset, offset}
	}
	s.init()
	s.Offset++
	s.Refused[ReasonCorrupt]++
	s.updateChain(offset, &record.Batch{}, nil)
	return nil
}

// init creates the maps of a zero State.
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
	s.startingJobs = map[*Job]struct{}{}
}

// admit returns why the batch as a whole is refused, or an empty reason. It
// records the writer's sequence number if the batch is accepted.
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

// advanceClock advances the state's clock to the time of the batch, but by at
// most MaxClockStepMs, so that one fast clock cannot move it far. If two writers
// are further ahead, as after an outage of the log, it advances to the earlier
// of their times.
func (s *State) advanceClock(b *record.Batch) {
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

// applyRecord applies one record of the batch. It returns the reason for refusal,
// empty if the record took effect, and its detail.
func (s *State) applyRecord(b *record.Batch, r record.Record) (Reason, string) {
	switch r.Kind {
	case record.KindJoin:
		return withBody(r, func(j record.Join) (Reason, string) { return s.join(b, j) })
	case record.KindLeave:
		return s.leave(b.Writer)
	case record.KindEvict:
		return withBody(r, s.evictMember)
	case record.KindPublish:
		return withBody(r, func(p record.Publish) (Reason, string) { return s.publish(b, p) })
	case record.KindSubmit:
		return withBody(r, s.submit)
	case record.KindCancel:
		return withBody(r, s.cancel)
	case record.KindPlace:
		return withBody(r, s.place)
	case record.KindStart:
		return withBody(r, s.start)
	case record.KindAbort:
		return withBody(r, s.abort)
	case record.KindPreempt:
		return withBody(r, s.preempt)
	case record.KindReport:
		return withBody(r, s.report)
	case record.KindHealth:
		return withBody(r, s.health)
	case record.KindReserve:
		return withBody(r, s.reserve)
	case record.KindClaim:
		return withBody(r, func(c record.Claim) (Reason, string) { return s.claim(b, c) })
	case record.KindSettle:
		return withBody(r, func(e record.Settle) (Reason, string) { return s.settle(b, e) })
	case record.KindChunk, record.KindFence:
		return "", ""
	default:
		return ReasonKind, string(r.Kind)
	}
}

// withBody calls f with the record's decoded body.
func withBody[T any](r record.Record, f func(T) (Reason, string)) (Reason, string) {
	body, err := record.Body[T](r)
	if err != nil {
		return ReasonCorrupt, err.Error()
	}
	return f(body)
}

// entryToken returns the token of the entry that is being applied: its offset
// plus one. Placements, claims, revisions and versions use it.
func (s *State) entryToken() uint64 { return s.Offset }
