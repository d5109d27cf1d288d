package leader

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/contention"
	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
	"jasminelane.example/lane/internal/fleet/policy"
	"jasminelane.example/lane/internal/fleet/workerhealth"
	"jasminelane.example/lane/metric"
)

// Leader schedules jobs and manages the workers during one epoch. The exported
// fields must be set before Init and not change afterwards.
type Leader struct {
	Epoch  uint64
	Feed   *feed.Feed
	Policy *policy.Current
	Client WorkerClient
	Bounds Bounds
	Logger *zap.Logger

	// LinkRate is the capacity of the instance's network link in bytes per
	// second; 0 means unknown.
	LinkRate int64

	// PlanPause is the shortest pause between two planning rounds; 0 means
	// planDebounce. Events that arrive meanwhile are handled in one round.
	PlanPause time.Duration

	// Decide plans a round; nil means plan.Decide.
	Decide func(plan.Input) plan.Output

	// WorkerHealth lets the planner use what is known of workers over all jobs.
	WorkerHealth bool

	// Sightings tells which workers were known before the epoch.
	Sightings Sightings

	// Metrics, if not nil, counts the log lines about waiting units by cause and ended
	// runs by priority and end, and observes the durations of planning rounds.
	Metrics *metric.Set

	// Sharing reports whether tasks that slow each other down are kept apart.
	Sharing bool

	// Machines, if not nil, reads the platform's list of machines.
	Machines func(ctx context.Context) ([]Machine, error)

	mu             sync.Mutex
	workers        map[string]*worker
	unitRuns       map[ledger.UnitID][]*run       // all runs of workers, by unit
	lost           map[ledger.UnitID][]*lostRun   // lost runs that may be reported again, by unit
	withOrphans    map[string]*worker             // workers with orphan runs, and some that had them
	unsentStarts   map[*run]int64                 // bytes of the start requests that are not sent yet
	proposedStarts map[ledger.UnitID]ledger.Start // start records that are not applied yet
	begun          map[string]bool                // jobs whose begin is stored or proposed
	reservations   map[ledger.UnitID]reservation
	waits          map[ledger.UnitID]*unitWait       // of the last planning round
	displaced      map[ledger.UnitID][]ledger.UnitID // by unit that runs or starts: those whose reserved resources it uses
	round          int64                             // number of the planning round
	waitsLoggedAt  int64                             // Unix ms of the last lines about waiting units
	pacer          *pacer
	urgent         map[string]*plan.DemandHistory // demand of the most urgent work, by service
	tally          *tally
	contention     *contention.Learner // nil unless Sharing
	health         *health             // nil if it is not used
	planWake       chan struct{}
	ctx            context.Context
	startedAt      time.Time

	unknownServices map[string]string // by worker: unknown service in its entry; used only by UpdateWorkers
}

// Bounds holds the time limits of the deployment.
type Bounds struct {
	Lease     time.Duration // duration of a full lease
	Retention time.Duration // how long the log keeps a record
}

// runKey identifies one run of one task.
type runKey struct {
	task TaskID
	run  int
}

// run is the leader's view of a run that is, or may be, on a worker.
type run struct {
	proof
	key         runKey
	worker      *worker
	unit        ledger.UnitID
	member      int
	incarnation int64 // of the worker for which it was decided, or which reported it; 0 is unknown
	startedAt   time.Time
	accepted    bool // the worker answered that it started the run
	reported    bool // the worker has reported it as running
	checkpoint  string
	progress    progressSample
	kind        *taskKind    // nil if it is not known, or the task has none
	step        *ledger.Step // nil if the run was lost before
	health      *workerhealth.Run
	stopping    bool
	stopCause   string    // why it is being stopped
	inherited   bool      // started by an earlier leader, and not reported to this one
	removed     bool      // no longer among the runs of its worker
	endProposed bool      // a record of its end has been proposed
	lossCause   lossCause // why this end was proposed, if the run is lost
	returned    bool      // the worker has reported it as running since
	resuming    bool      // it was lost; a record that takes it back has been proposed
}

// Init prepares the leader from the replicated state. The caller holds the
// feed's lock, and no record of the epoch has been applied yet.
func (l *Leader) Init(ctx context.Context, s *ledger.State, entries []WorkerEntry) {
	l.ctx = ctx
	l.startedAt = time.Now()
	l.workers = make(map[string]*worker)
	l.unitRuns = make(map[ledger.UnitID][]*run)
	l.lost = make(map[ledger.UnitID][]*lostRun)
	l.withOrphans = make(map[string]*worker)
	l.unsentStarts = make(map[*run]int64)
	l.proposedStarts = make(map[ledger.UnitID]ledger.Start)
	l.begun = make(map[string]bool)
	l.reservations = make(map[ledger.UnitID]reservation)
	l.waits = make(map[ledger.UnitID]*unitWait)
	l.displaced = make(map[ledger.UnitID][]ledger.UnitID)
	l.planWake = make(chan struct{}, 1)
	l.pacer = newPacer(l.LinkRate)
	l.urgent = make(map[string]*plan.DemandHistory)
	l.tally = newTally(l.startedAt)
	if l.Sharing {
		l.contention = contention.NewLearner()
	}
	l.health = newHealth(l.WorkerHealth)
	if l.Decide == nil {
		l.Decide = plan.Decide
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		l.ensureWorker(e.ID).setEntry(e)
	}
	for _, js := range s.Jobs {
		l.inheritBegun(js)
		for i := range js.Units {
			l.inheritRuns(js, &js.Units[i])
			l.updateLost(js, &js.Units[i])
		}
	}
}

// inheritRuns takes over the unit's runs from earlier epochs. It stops the runs
// of jobs that have ended and of broken gangs: there was no leader to stop them
// when the end was written.
func (l *Leader) inheritRuns(js *ledger.JobState, u *ledger.Unit) {
	for i, m := range u.Members {
		if m.Ended {
			continue
		}
		w := l.ensureWorker(m.Worker)
		w.noteSighting(m.Incarnation, l.Sightings[Incarnation{m.Worker, m.Incarnation}])
		r := newRun(js, u, i)
		r.settledAt = l.startedAt // a worker that has answered this leader refuses the requests of earlier ones
		r.inherited = true
		r.checkpoint = u.Checkpoint
		l.addRun(w, r)
		switch {
		case js.Phase.Final():
			l.stopRun(w, r, string(js.Phase))
		case u.PartlyEnded():
			l.stopRun(w, r, "gang broken")
		}
	}
}

// newRun returns the run of one member of the unit's current run.
func newRun(js *ledger.JobState, u *ledger.Unit, member int) *run {
	index := u.ID.Index
	if js.Job.Steps[u.ID.Step].Gang {
		index = member
	}
	task := TaskID{u.ID.Job, u.ID.Occurrence, u.ID.Step, index}
	return &run{key: runKey{task, u.Run}, unit: u.ID, member: member, incarnation: u.Members[member].Incarnation, startedAt: time.Now(), kind: kindOf(js, u.ID), step: &js.Job.Steps[u.ID.Step]}
}

// addRun adds a run to its worker. The caller holds l.mu.
func (l *Leader) addRun(w *worker, n *run) {
	n.worker = w
	w.runs[n.key] = n
	l.unitRuns[n.unit] = append(l.unitRuns[n.unit], n)
}

// removeRun removes a run from its worker. The caller holds l.mu.
func (l *Leader) removeRun(n *run) {
	n.removed = true
	delete(n.worker.runs, n.key)
	delete(l.unsentStarts, n)
	rest := slices.DeleteFunc(l.unitRuns[n.unit], func(o *run) bool { return o == n })
	if len(rest) == 0 {
		delete(l.unitRuns, n.unit)
		return
	}
	l.unitRuns[n.unit] = rest
}

// ensureWorker returns the worker with the id. A new worker is added and its
// session started. The caller holds l.mu.
func (l *Leader) ensureWorker(id string) *worker {
	w := l.workers[id]
	if w == nil {
		w = newWorker(id, l.startedAt.Add(l.inheritedLease()))
		l.workers[id] = w
		go l.runSession(w)
	}
	return w
}

// inheritedLease returns how long inherited runs may continue on a worker that
// this leader cannot reach. An earlier leader may renew their leases until it
// learns of the new epoch from the log or from a worker.
func (l *Leader) inheritedLease() time.Duration {
	return maxLeaseTime(l.Bounds.Lease) + staleLeaderTime
}

// Run starts the background loops and plans until the epoch ends.
func (l *Leader) Run() {
	l.Logger.Info("leader started", zap.Uint64("epoch", l.Epoch))
	go l.rewriteLoop()
	go l.reachabilityLoop()
	go l.departureLoop()
	go l.stragglerLoop()
	go l.healthLoop()
	go l.pendingLoop()
	l.planLoop()
	l.Logger.Info("leader ended", zap.Uint64("epoch", l.Epoch))
}

// UpdateWorkers replaces the platform's list of workers and moves work off the
// workers that have begun to drain.
func (l *Leader) UpdateWorkers(entries []WorkerEntry) {
	leaving := l.mergeEntries(l.withoutUnknownServices(entries))
	l.wakePlanner()
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

// mergeEntries stores the platform's entries of all workers, marks the workers
// that are no longer listed, and returns those that have begun to drain.
func (l *Leader) mergeEntries(entries []WorkerEntry) (leaving []*worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		if e.Unreadable && l.workers[e.ID] == nil {
			continue // it has no runs, and its address is unknown
		}
		w := l.ensureWorker(e.ID)
		if e.Draining && !(w.listed && w.entry.Draining) {
			leaving = append(leaving, w)
			l.Logger.Info("worker draining", zap.String("worker", e.ID), zap.Duration("stays", e.Remaining), zap.Int("runs", len(w.runs)))
		}
		if !w.listed {
			l.Logger.Debug("worker added to the platform's list", zap.String("worker", e.ID), zap.String("addr", e.Addr), zap.String("rack", e.Rack))
		}
		if w.setEntry(e) {
			w.wakeSession()
		}
	}
	for id, w := range l.workers {
		if w.listed && !listed[id] {
			w.listed = false
			l.Logger.Info("worker removed from the platform's list", zap.String("worker", id), zap.Int("runs", len(w.runs)))
		}
	}
	return leaving
}

// RecordApplied acts on a record that has been applied to the state; effective
// reports whether it changed the state. The caller holds the feed's lock.
func (l *Leader) RecordApplied(s *ledger.State, r ledger.Record, effective bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.Start != nil && r.Start.Epoch == l.Epoch:
		l.applyStart(s, r.Start, effective)
	case r.End != nil && r.End.Epoch == l.Epoch:
		l.applyEnd(s, r.End, effective)
	case r.Resume != nil && r.Resume.Epoch == l.Epoch:
		l.applyResume(s, r.Resume, effective)
	case r.Cancel != nil && effective:
		if js := s.Jobs[r.Cancel.ID]; js != nil {
			l.stopJob(js, "cancelled")
		}
	case r.Submit != nil && effective:
		l.wakePlanner()
	}
}

// applyStart sends the start requests of a start record that took effect. The
// caller holds the feed's lock and l.mu.
func (l *Leader) applyStart(s *ledger.State, r *ledger.Start, effective bool) {
	delete(l.proposedStarts, r.Unit)
	delete(l.reservations, r.Unit)
	if !effective {
		l.Logger.Info("start record had no effect; planning again", zap.Stringer("unit", r.Unit), zap.Int("run", r.Run))
		l.wakePlanner()
		return
	}
	delete(l.waits, r.Unit)
	js := s.Jobs[r.Unit.Job]
	u := js.Unit(r.Unit)
	for i, id := range r.Workers {
		w := l.ensureWorker(id)
		n := newRun(js, u, i)
		l.addRun(w, n)
		req := StartRequest{Task: n.key.task, Run: n.key.run, Spec: js.Job.Spec, Checkpoint: u.Checkpoint}
		l.unsentStarts[n] = req.size()
		go l.deliverStart(w, n, req)
	}
	l.updateLost(js, u)
	l.stopBlocked(u.ID)
}

// applyEnd removes the run whose end is stored, and stops the other runs of its
// gang or job if these cannot go on. The caller holds the feed's lock and l.mu.
func (l *Leader) applyEnd(s *ledger.State, r *ledger.End, effective bool) {
	js := s.Jobs[r.Unit.Job]
	l.removeEnded(s, r, effective)
	l.wakePlanner()
	if js == nil {
		return
	}
	u := js.Unit(r.Unit)
	if effective && js.Phase.Final() && js.Phase != ledger.Finished {
		l.stopJob(js, string(js.Phase))
		if js.Phase == ledger.JobFailed && js.EndedAt == r.At && u != nil && !u.Done {
			l.Logger.Info("job failed", zap.String("job", js.Job.ID), zap.String("queue", js.Job.Queue), zap.Stringer("unit", r.Unit),
				zap.String("how", string(r.Outcome)), zap.Int("failures", u.Failures), zap.Any("crashes", u.Crashes))
		}
		return
	}
	if u != nil && u.Active() && u.Run == r.Run && effective && r.Outcome != ledger.Done {
		l.breakGang(u, r)
	}
	if effective && js.Phase == ledger.Finished {
		l.tally.jobs[js.Job.Priority]++
		l.Logger.Info("job done", zap.String("job", js.Job.ID), zap.String("queue", js.Job.Queue), zap.Int64("took", r.At-js.Job.AcceptedAt))
	}
}

// removeEnded removes the run whose end is stored from its worker and from the lost
// runs. The caller holds the feed's lock and l.mu.
func (l *Leader) removeEnded(s *ledger.State, r *ledger.End, effective bool) {
	lost := r.Outcome == ledger.WorkerLost || r.Outcome == ledger.WorkerCrashed
	if !lost {
		l.applyLostEnd(r, effective, unitDone(s, r.Unit))
	}
	var ended []*run
	for _, n := range slices.Clone(l.unitRuns[r.Unit]) {
		if n.member != r.Member || n.key.run != r.Run {
			continue
		}
		ended = append(ended, n)
		l.countEnd(s, n, r.Outcome)
		l.removeRun(n)
		if !lost || !l.hasEnded(n) {
			n.worker.markStored(n.key)
		}
		n.worker.recordOutcome(r)
		n.worker.wakeSession()
	}
	l.updateLostOf(s, r.Unit)
	for _, n := range ended {
		if lost {
			l.applyLoss(n)
		}
	}
}

// stopJob stops all runs of a job. The caller holds l.mu.
func (l *Leader) stopJob(js *ledger.JobState, cause string) {
	for i := range js.Units {
		l.updateLost(js, &js.Units[i])
		l.stopUnit(js.Units[i].ID, cause)
	}
}

// stopUnit stops all members of a unit's run. The caller holds l.mu.
func (l *Leader) stopUnit(unit ledger.UnitID, cause string) {
	for _, n := range l.unitRuns[unit] {
		l.stopRun(n.worker, n, cause)
	}
}

// wakePlanner requests a planning round without blocking.
func (l *Leader) wakePlanner() {
	select {
	case l.planWake <- struct{}{}:
	default:
	}
}
