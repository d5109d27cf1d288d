package leader

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/policy"
)

// Leader acts for one epoch. The exported fields are set before Run.
type Leader struct {
	Epoch  uint64
	Feed   *feed.Feed
	Policy *policy.Current
	Orders Orders
	Bounds Bounds
	Logger *zap.Logger

	// Link is what the instance's link carries, in bytes a second; 0 is unknown.
	Link int64

	// Machines, if set, reads the platform's list of machines.
	Machines func(ctx context.Context) ([]Machine, error)

	mu       sync.Mutex
	workers  map[string]*worker
	proposed map[ledger.UnitID]ledger.Start // starts that are not folded yet
	holds    map[ledger.UnitID]hold
	since    map[ledger.UnitID]int64 // Unix ms at which a waiting unit was first seen
	pace     *pacer
	wake     chan struct{}
	ctx      context.Context
	began    time.Time
}

// Bounds are the deployment's times.
type Bounds struct {
	Lease     time.Duration // longest lease of a task
	StopGrace time.Duration // longest time that a stop takes
	Retention time.Duration // how long the log keeps records
}

// runKey names one run of one task.
type runKey struct {
	task TaskID
	run  int
}

// run is a run that is, or may be, on a worker.
type run struct {
	key       runKey
	unit      ledger.UnitID
	member    int
	start     time.Time
	sent      bool      // the order may have left
	inherited bool      // ordered by an earlier leader
	accepted  time.Time // the worker's answer; zero while unknown
	seen      bool      // listed as running
	saved     string
	progress  sample
	stopping  bool
	ending    bool // its end is proposed
}

// Init prepares the leader from the state; it is called with the feed's lock
// held, before any record of the epoch is folded.
func (l *Leader) Init(ctx context.Context, s *ledger.State, entries []Entry) {
	l.ctx = ctx
	l.began = time.Now()
	l.workers = make(map[string]*worker)
	l.proposed = make(map[ledger.UnitID]ledger.Start)
	l.holds = make(map[ledger.UnitID]hold)
	l.since = make(map[ledger.UnitID]int64)
	l.wake = make(chan struct{}, 1)
	l.pace = newPacer(l.Link)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		l.worker(e.ID).enlist(e)
	}
	for _, js := range s.Jobs {
		for i := range js.Units {
			l.inherit(js, &js.Units[i])
		}
	}
}

// inherit takes over the runs of earlier epochs. Those of jobs that ended since
// are stopped: nobody led when the end was written.
func (l *Leader) inherit(js *ledger.JobState, u *ledger.Unit) {
	for i, m := range u.Members {
		if m.Ended {
			continue
		}
		w := l.worker(m.Worker)
		r := newRun(js, u, i)
		r.accepted = l.began
		r.inherited = true
		r.saved = u.Checkpoint
		w.runs[r.key] = r
		switch {
		case js.Phase.Final():
			l.stop(w, r, string(js.Phase))
		case u.PartlyEnded():
			l.stop(w, r, "gang broken")
		}
	}
}

func newRun(js *ledger.JobState, u *ledger.Unit, member int) *run {
	index := u.ID.Index
	if js.Job.Steps[u.ID.Step].Gang {
		index = member
	}
	task := TaskID{u.ID.Job, u.ID.Occurrence, u.ID.Step, index}
	return &run{key: runKey{task, u.Run}, unit: u.ID, member: member, start: time.Now()}
}

// worker returns the worker with the id and starts its session if it is new;
// it is called with the lock held.
func (l *Leader) worker(id string) *worker {
	w := l.workers[id]
	if w == nil {
		w = newWorker(id, l.began.Add(l.inheritedLease()))
		l.workers[id] = w
		go l.session(w)
	}
	return w
}

// inheritedLease is how long runs may live on a worker that this leader cannot
// reach: an earlier leader may renew their lease until it learns of the new
// epoch from the log or from a worker.
func (l *Leader) inheritedLease() time.Duration {
	return leaseBound(l.Bounds.Lease) + unawareLeader
}

// Run plans and carries live jobs forward until the epoch ends.
func (l *Leader) Run() {
	l.Logger.Info("leader started", zap.Uint64("epoch", l.Epoch))
	go l.carryLoop()
	go l.reachLoop()
	go l.departLoop()
	go l.progressLoop()
	l.planLoop()
	l.Logger.Info("leader ended", zap.Uint64("epoch", l.Epoch))
}

// Enlist takes over what the platform's list says of all workers.
func (l *Leader) Enlist(entries []Entry) {
	leaving := l.enlist(entries)
	l.poke()
	if len(leaving) == 0 {
		return
	}
	l.Feed.View(func(s *ledger.State) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, w := range leaving {
			l.evacuate(w, s)
		}
	})
}

// enlist returns the workers that have begun to drain.
func (l *Leader) enlist(entries []Entry) (leaving []*worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		w := l.worker(e.ID)
		if e.Draining && !(w.listed && w.entry.Draining) {
			leaving = append(leaving, w)
			l.Logger.Info("worker draining", zap.String("worker", e.ID), zap.Duration("stays", e.Leaves), zap.Int("runs", len(w.runs)))
		}
		if !w.listed {
			l.Logger.Debug("worker listed", zap.String("worker", e.ID), zap.String("addr", e.Addr), zap.String("rack", e.Rack))
		}
		if w.enlist(e) {
			w.kick()
		}
	}
	for id, w := range l.workers {
		if w.listed && !listed[id] {
			w.listed = false
			l.Logger.Info("worker not listed", zap.String("worker", id), zap.Int("runs", len(w.runs)))
		}
	}
	return leaving
}

// Applied takes note of a folded record; it is called with the feed's lock
// held.
func (l *Leader) Applied(s *ledger.State, r ledger.Record, took bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.Start != nil && r.Start.Epoch == l.Epoch:
		l.appliedStart(s, r.Start, took)
	case r.End != nil && r.End.Epoch == l.Epoch:
		l.appliedEnd(s, r.End, took)
	case r.Cancel != nil && took:
		l.stopJob(r.Cancel.ID, "cancelled")
	case r.Submit != nil && took:
		l.poke()
	}
}

func (l *Leader) appliedStart(s *ledger.State, r *ledger.Start, took bool) {
	delete(l.proposed, r.Unit)
	delete(l.holds, r.Unit)
	if !took {
		l.Logger.Info("start void", zap.Stringer("unit", r.Unit), zap.Int("run", r.Run))
		l.poke()
		return
	}
	delete(l.since, r.Unit)
	js := s.Jobs[r.Unit.Job]
	u := js.Unit(r.Unit)
	for i, id := range r.Workers {
		w := l.worker(id)
		n := newRun(js, u, i)
		w.runs[n.key] = n
		go l.deliver(w, n, StartOrder{Task: n.key.task, Run: n.key.run, Spec: js.Job.Spec, Saved: u.Checkpoint})
	}
}

func (l *Leader) appliedEnd(s *ledger.State, r *ledger.End, took bool) {
	js := s.Jobs[r.Unit.Job]
	for _, w := range l.workers {
		for key, n := range w.runs {
			if n.unit == r.Unit && n.member == r.Member && key.run == r.Run {
				delete(w.runs, key)
				w.stored(key)
				w.judge(r)
				w.kick()
			}
		}
	}
	l.poke()
	if js == nil {
		return
	}
	if took && js.Phase.Final() && js.Phase != ledger.Finished {
		l.stopJob(r.Unit.Job, string(js.Phase))
		return
	}
	if u := js.Unit(r.Unit); u != nil && u.Active() && took && r.Outcome != ledger.Done {
		l.stopUnit(r.Unit, "gang broken")
	}
	if took && js.Phase == ledger.Finished {
		l.Logger.Info("job done", zap.String("job", js.Job.ID), zap.String("queue", js.Job.Queue), zap.Int64("took", r.At-js.Job.AcceptedAt))
	}
}

// stopJob stops all runs of a job.
func (l *Leader) stopJob(job, cause string) {
	for _, w := range l.workers {
		for _, n := range w.runs {
			if n.unit.Job == job {
				l.stop(w, n, cause)
			}
		}
	}
}

// stopUnit stops all members of a unit's run.
func (l *Leader) stopUnit(unit ledger.UnitID, cause string) {
	for _, w := range l.workers {
		for _, n := range w.runs {
			if n.unit == unit {
				l.stop(w, n, cause)
			}
		}
	}
}

// poke asks for a round of planning.
func (l *Leader) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
