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

// Replica is one instance's copy of the state. Exported fields are set before
// Run; zero durations and counts mean the documented defaults. Its methods are
// safe for concurrent use.
type Replica struct {
	Log    *stream.Log
	Writer string      // unique to this incarnation; never used again
	Join   record.Join // appended first; an empty Name makes no member
	Logger *zap.Logger // none if nil

	// OnLoad is called with each loaded state, under the write lock, before the
	// state is visible; it may set state.State.Touched.
	OnLoad func(*state.State)
	// OnOutcome is called for each record of each folded entry, in log order,
	// without a lock.
	OnOutcome func(state.Decision)

	Clock         func() time.Time // default time.Now
	Wait          time.Duration    // of one long poll; default 1 s
	ReadTimeout   time.Duration    // of a read, beyond the long poll; default 2 s
	AppendTimeout time.Duration    // of one append; default 3 s
	FreshFor      time.Duration    // how long a read to the end keeps the view fresh; default 3 s
	ReadyDelay    time.Duration    // between the join and readiness; default 1 s, negative for none
	ReturnDelay   time.Duration    // longest delay of the first append after an outage; default 1 s
	MaxQueue      int              // records waiting to be appended; default 10,000

	Retention       time.Duration // of the log; a snapshot is due after a quarter of it; default 1 h
	SnapshotRecords int           // a snapshot is due after as many records; default 20,000, negative for no snapshots
	SnapshotDelay   time.Duration // for each rank, before it writes a snapshot; default 5 s

	once     sync.Once
	mu       sync.RWMutex // guards st and view
	st       *state.State
	view     view
	queue    queue
	schedule schedule

	changed  signal // an entry was applied
	progress signal // an entry was applied, or the view changed
	counts   counters
	snap     atomic.Uint64 // Batch.Snap: end of the newest complete snapshot
}

// view is what the tail knows about the log besides the state.
type view struct {
	loaded   bool
	caughtUp bool // the end was reached once
	end      uint64
	readEnd  time.Time // start of the last read that reached the end
	failures int       // consecutive failed reads
	failed   time.Time // end of the last of them
	joined   time.Time // when the own join was folded
	upgrade  bool
	fenced   bool
	resume   time.Time // no append before, after an outage
}

// Status describes how current a replica is.
type Status struct {
	Writer  string
	Offset  uint64 // next entry to fold
	End     uint64 // end of the log when last read
	Chain   uint64 // digest at Offset
	Snap    uint64 // end of the newest complete snapshot
	Queue   int    // records waiting to be appended
	Ready   bool   // loaded, caught up, and a member for ReadyDelay
	Fresh   bool   // read to its end within FreshFor, or the log is known to be down
	LogDown bool   // reads fail
	Upgrade bool   // stopped at an entry that needs a newer program
	Fenced  bool   // this incarnation has ended
	Counts  Counts
}

// Counts are totals since the start.
type Counts struct {
	Entries    uint64 // folded
	Records    uint64 // folded
	Skipped    uint64 // entries that are no valid batch
	Appends    uint64 // attempts
	Lost       uint64 // attempts whose answer was lost
	Refused    uint64 // attempts that certainly had no effect
	Reappends  uint64 // attempts to append the same batch again
	ReadErrors uint64
	Reloads    uint64 // states loaded from a snapshot
	Snapshots  uint64 // written
}

type counters struct {
	entries, records, skipped, appends, lost, refused, reappends, readErrors, reloads, snapshots atomic.Uint64
}

// Run keeps the replica current until the context ends or the instance's own
// leave is folded, and then returns nil. It fails with *FencedError when the
// log refuses this incarnation, and with *JoinError when it may not join. It
// is called once.
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
		r.Logger.Error("replica ended", zap.Error(err))
	}
	return err
}

// View calls f with the state under the read lock; f must not keep or change
// the state, nor block.
func (r *Replica) View(f func(*state.State)) {
	r.init()
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.st)
}

// Changed returns a channel that is closed when the next entry is applied.
func (r *Replica) Changed() <-chan struct{} { return r.changed.wait() }

// Status returns how current the replica is.
func (r *Replica) Status() Status {
	r.init()
	now := r.Clock()
	r.mu.RLock()
	defer r.mu.RUnlock()
	v := &r.view
	s := Status{
		Writer: r.Writer, Offset: r.st.Offset, End: v.end, Chain: r.st.Chain, Snap: r.snap.Load(),
		Queue: r.queue.length(), Upgrade: v.upgrade, Fenced: v.fenced,
	}
	// A failure that was seen long ago says nothing about the log now: the
	// process may have been paused since.
	s.LogDown = v.failures >= downFailures && now.Sub(v.failed) <= 2*r.FreshFor
	s.Fresh = !v.upgrade && !v.fenced && v.caughtUp && (s.LogDown || now.Sub(v.readEnd) <= r.FreshFor)
	member := r.Join.Name == "" || !v.joined.IsZero() && now.Sub(v.joined) >= r.ReadyDelay
	s.Ready = v.loaded && v.caughtUp && member && !v.upgrade && !v.fenced
	c := &r.counts
	s.Counts = Counts{
		Entries: c.entries.Load(), Records: c.records.Load(), Skipped: c.skipped.Load(),
		Appends: c.appends.Load(), Lost: c.lost.Load(), Refused: c.refused.Load(), Reappends: c.reappends.Load(),
		ReadErrors: c.readErrors.Load(), Reloads: c.reloads.Load(), Snapshots: c.snapshots.Load(),
	}
	return s
}

// Await waits until the condition holds for the status, which is examined
// after each entry and each change of the view. It fails with the context's
// error, or with *ClosedError when Run has ended before.
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
		def(&r.Wait, time.Second)
		def(&r.ReadTimeout, 2*time.Second)
		def(&r.AppendTimeout, 3*time.Second)
		def(&r.FreshFor, 3*time.Second)
		def(&r.ReadyDelay, time.Second)
		def(&r.ReturnDelay, time.Second)
		def(&r.MaxQueue, 10_000)
		def(&r.Retention, time.Hour)
		def(&r.SnapshotRecords, 20_000)
		def(&r.SnapshotDelay, 5*time.Second)
	})
}

func def[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// signal wakes all that wait for its next event.
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
