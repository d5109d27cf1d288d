package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
)

// Replica is one instance's replica of the state. Exported fields are set before
// Run; a zero duration or count selects the documented default. The methods are
// safe for concurrent use.
type Replica struct {
	Log    *stream.Log
	Writer string      // unique to this incarnation of the instance; never reused
	Join   record.Join // the writer's first record; with an empty Name the instance does not join
	Logger *zap.Logger // no logging if nil

	// OnLoad is called with each loaded state, under the write lock, before the
	// state is visible; it may set hooks such as state.State.OnWorkerChange.
	OnLoad func(*state.State)
	// OnDecision is called for each record of each applied entry, in log order,
	// without a lock.
	OnDecision func(state.Decision)

	Clock            func() time.Time // default time.Now
	LongPollWait     time.Duration    // how long one read waits for new entries; default 1 s
	ReadTimeout      time.Duration    // of one read, in addition to its wait for new entries; default 2 s
	AppendTimeout    time.Duration    // timeout of one append; default 3 s
	FreshFor         time.Duration    // how long the state counts as fresh after a read to the end of the log; default 3 s
	ReadyDelay       time.Duration    // time from the join to readiness; default 1 s, negative for none
	MaxResumeDelay   time.Duration    // limit of the random delay of the first append after an outage; default 1 s
	MaxQueuedRecords int              // limit of the records waiting to be appended; default 10,000

	LogRetention      time.Duration // retention time of the log; a snapshot is due after a quarter of it; default 1 h
	SnapshotRecords   int           // a snapshot is due after this many records; default 20,000, negative for no snapshots
	SnapshotRankDelay time.Duration // delay before an instance writes a due snapshot, times its rank; default 5 s

	once      sync.Once
	mu        sync.RWMutex // guards st and view
	st        *state.State
	view      view
	queue     queue
	snapshots snapshotSchedule

	changed     signal // the state changed
	progress    signal // an entry was applied, or what is known about the log changed
	counters    counters
	snapshotEnd atomic.Uint64 // value of Batch.SnapshotEnd: log offset after the newest complete snapshot
}

// view is what the replica knows about the log and about its own writer, besides
// the state.
type view struct {
	loaded        bool
	caughtUp      bool // the end of the log was reached at least once
	logEnd        uint64
	endReadAt     time.Time // start of the last read that reached the end of the log
	failures      int       // consecutive failed reads
	failedAt      time.Time // end of the last failed read
	joinedAt      time.Time // when the instance's join was applied
	upgradeNeeded bool
	fenced        bool
	resumeAt      time.Time // after an outage, no append before this time
}

// Status describes how up to date a replica is.
type Status struct {
	Writer  string
	Offset  uint64 // next entry to apply
	End     uint64 // end of the log as of the last successful read
	Chain   uint64 // digest of all entries and decisions up to Offset
	Snap    uint64 // log offset after the newest complete snapshot
	Queue   int    // records waiting to be appended
	Ready   bool   // state loaded, caught up with the log, and a member for at least ReadyDelay
	Fresh   bool   // the end of the log was read within FreshFor, or the log is known to be down
	LogDown bool   // several consecutive reads failed, the last one recently
	Upgrade bool   // stopped at an entry that requires a newer program
	Fenced  bool   // the state no longer accepts this incarnation's batches
	Counts  Counts
}

// Counts are totals since the start of the replica.
type Counts struct {
	Entries    uint64 // applied
	Records    uint64 // applied
	Skipped    uint64 // entries that are not a valid batch
	Appends    uint64 // append attempts
	Lost       uint64 // append attempts whose response was lost
	Refused    uint64 // append attempts that certainly had no effect
	Reappends  uint64 // repeated append attempts of the same batch
	ReadErrors uint64 // failed reads and loads
	Reloads    uint64 // states loaded from a snapshot
	Snapshots  uint64 // snapshots written
}

// counters holds the values of Counts.
type counters struct {
	entries, records, skipped, appends, lost, refused, reappends, readErrors, reloads, snapshots atomic.Uint64
}

// Run keeps the replica up to date until the context ends or the instance's own
// leave record is applied, and then returns nil. It fails with *FencedError if
// the state no longer accepts this incarnation, and with *JoinError if the join
// record is rejected. It may be called only once.
func (r *Replica) Run(ctx context.Context) error {
	r.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	for _, f := range []func(context.Context) error{r.tail, r.appendBatches, r.writeSnapshots} {
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	err := g.Run()
	r.closeQueue(err)
	r.progress.fire()
	if err != nil {
		r.Logger.Error("replica stopped by an error", zap.Error(err))
	}
	return err
}

// View calls f with the state under the read lock. f must not block, change the
// state or keep a reference to it.
func (r *Replica) View(f func(*state.State)) {
	r.init()
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.st)
}

// Changed returns a channel that is closed when the state changes next.
func (r *Replica) Changed() <-chan struct{} { return r.changed.wait() }

// Status returns how up to date the replica is.
func (r *Replica) Status() Status {
	r.init()
	now := r.Clock()
	r.mu.RLock()
	defer r.mu.RUnlock()
	v := &r.view
	s := Status{
		Writer: r.Writer, Offset: r.st.Offset, End: v.logEnd, Chain: r.st.Chain, Snap: r.snapshotEnd.Load(),
		Queue: r.queue.queuedRecords(), Upgrade: v.upgradeNeeded, Fenced: v.fenced,
	}
	// An old failure does not show that the log is down now, since the process
	// may have been paused after it.
	s.LogDown = v.failures >= failuresUntilDown && now.Sub(v.failedAt) <= 2*r.FreshFor
	s.Fresh = !v.upgradeNeeded && !v.fenced && v.caughtUp && (s.LogDown || now.Sub(v.endReadAt) <= r.FreshFor)
	member := r.Join.Name == "" || !v.joinedAt.IsZero() && now.Sub(v.joinedAt) >= r.ReadyDelay
	s.Ready = v.loaded && v.caughtUp && member && !v.upgradeNeeded && !v.fenced
	c := &r.counters
	s.Counts = Counts{
		Entries: c.entries.Load(), Records: c.records.Load(), Skipped: c.skipped.Load(),
		Appends: c.appends.Load(), Lost: c.lost.Load(), Refused: c.refused.Load(), Reappends: c.reappends.Load(),
		ReadErrors: c.readErrors.Load(), Reloads: c.reloads.Load(), Snapshots: c.snapshots.Load(),
	}
	return s
}

// Await waits until cond returns true for the status. It checks the status after
// each applied entry and each change of what is known about the log. It fails
// with the context's error, or with *ClosedError if Run returns first.
func (r *Replica) Await(ctx context.Context, cond func(Status) bool) error {
	for {
		wake := r.progress.wait()
		if cond(r.Status()) {
			return nil
		}
		if r.queue.isClosed() {
			return &ClosedError{}
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Replica) init() {
	r.once.Do(func() {
		r.st = &state.State{}
		if r.Logger == nil {
			r.Logger = zap.NewNop()
		}
		if r.Clock == nil {
			r.Clock = time.Now
		}
		setDefault(&r.LongPollWait, time.Second)
		setDefault(&r.ReadTimeout, 2*time.Second)
		setDefault(&r.AppendTimeout, 3*time.Second)
		setDefault(&r.FreshFor, 3*time.Second)
		setDefault(&r.ReadyDelay, time.Second)
		setDefault(&r.MaxResumeDelay, time.Second)
		setDefault(&r.MaxQueuedRecords, 10_000)
		setDefault(&r.LogRetention, time.Hour)
		setDefault(&r.SnapshotRecords, 20_000)
		setDefault(&r.SnapshotRankDelay, 5*time.Second)
	})
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// signal wakes all goroutines that wait for its next event.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *signal) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
