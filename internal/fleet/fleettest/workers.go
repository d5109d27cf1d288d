package fleettest

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

// Time limits of the workers.
const (
	GangTimeout = 3 * time.Second // how long a member waits until its gang is complete
	MaxLease    = 6 * time.Second
	StopGrace   = 100 * time.Millisecond

	tickInterval = 10 * time.Millisecond

	deadlyDelay = 10 * time.Millisecond // from the start of a deadly task to the crash of its worker
	crashTime   = 3 * time.Second       // from the crash to the worker's return
)

// taskRun is one run of one task on a worker.
type taskRun struct {
	task         leader.TaskID
	run          int
	startedAt    time.Time
	runningSince time.Time     // zero until its gang is complete
	saved        time.Duration // work of the checkpoint from which it began
	slowed       time.Duration // time that it lost beside tasks that slow it down
	stopAt       time.Time     // when a stop request takes effect
	delayed      bool          // started by a request that took effect late
	runTime      time.Duration // at speed 1
	speed        float64       // of its worker
	percent      float64       // reported progress
}

// anyLabel is a label of all workers. Their other one is their rack.
const anyLabel = "a"

// Worker is a fake worker that follows the platform's rules for leases, leader
// epochs and run numbers. The exported fields are set before Workers.Add and
// change only within Workers.WithLock.
type Worker struct {
	ID              string
	Addr            string // ID if empty
	Service         string
	Domain          string
	Rack            string
	Total           plan.Resources
	ClockRate       float64         // speed of its clock; 1 is real time
	Speed           float64         // of its tasks; 0 is 1
	FailsRuns       bool            // every run fails
	FailShare       float64         // share of the runs that it starts and that fail
	UnreachableFrom map[string]bool // instances whose requests are lost
	OnlyAnswersLost bool            // requests from UnreachableFrom take effect, only their answers are lost
	Draining        bool
	Remaining       time.Duration // while it drains: the least time that it announces to stay
	Down            bool
	Unlisted        bool  // it is not in the list of workers
	Absent          bool  // it is not in the list of machines
	StopErr         error // answer to all stop requests, which have no effect; nil if it carries them out

	incarnation  int64
	bootedAt     time.Time
	token        uint64 // highest fencing token that it has seen
	syncs        int    // syncs that the incarnation has answered
	leaseEnd     int64
	runs         map[leader.TaskID]*taskRun
	highestRun   map[leader.TaskID]int // highest run number that ended or was stopped here
	ended        []leader.EndedTask
	lastSeq      uint64
	changed      chan struct{}
	lastUnleased time.Time            // last time without a lease
	endedAt      map[uint64]time.Time // by sequence number
}

// Reach says on which incarnations of a worker a delayed request takes effect.
type Reach int

const (
	// ReachSame is the incarnation to which the request was sent.
	ReachSame Reach = iota

	// ReachSynced is any that has answered contactSyncs syncs.
	ReachSynced

	// ReachAny is any, from its start on.
	ReachAny
)

// contactSyncs is the number of syncs by which a leader contacts an incarnation: the
// first shows it, the second has its fencing token.
const contactSyncs = 2

// Workers is a set of fake workers that passes what they observe to Checker. The
// exported fields are set before use and change only within WithLock.
type Workers struct {
	Rnd              *rand.Rand
	Checker          *Checker
	List             map[string]*Worker
	DelayedRate      float64         // share of requests that take effect 2 s to 10 s later and are not answered
	DelayedReach     Reach           // which incarnations a delayed request takes effect on
	LostResponseRate float64         // share of requests that take effect but are not answered
	RefusedRate      float64         // share of requests that are refused as unhealthy and take no effect
	FailingJobs      map[string]bool // jobs of which every run fails
	FailureRate      float64         // share of runs that fail
	DeadlyJobs       map[string]bool // jobs whose tasks crash each worker that starts them
	ReplaceCrashed   bool            // a worker that a task crashed returns under another ID

	// Slowdown, if not nil, returns by what share a task of one image takes longer
	// beside tasks of another one. The workers report progress and figures only then.
	Slowdown        func(image, beside string) float64
	RunTime         func(t leader.TaskID) time.Duration // at speed 1; nil is the estimate of the step
	ReportsProgress bool                                // reports have the progress of the runs
	Lockstep        bool                                // members of a gang report the progress of the slowest one

	mu sync.Mutex
}

// NewWorkers returns an empty set of workers that draws faults from rnd.
func NewWorkers(rnd *rand.Rand, r *Checker) *Workers {
	return &Workers{Rnd: rnd, Checker: r, List: make(map[string]*Worker), FailingJobs: make(map[string]bool), DeadlyJobs: make(map[string]bool)}
}

// Add boots a worker and adds it to the set.
func (ws *Workers) Add(w *Worker) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w.UnreachableFrom = make(map[string]bool)
	ws.boot(w)
	ws.List[w.ID] = w
}

// Running returns the number of runs on the worker.
func (w *Worker) Running() int { return len(w.runs) }

// runTime returns how long a task runs until it is done. A long-running task never
// is.
func (ws *Workers) runTime(t leader.TaskID) time.Duration {
	if ws.Checker.Jobs[t.Job].Steps[t.Step].LongRunning {
		return math.MaxInt64
	}
	if ws.RunTime != nil {
		return ws.RunTime(t)
	}
	return time.Duration(ws.Checker.Jobs[t.Job].Steps[t.Step].Estimate) * time.Millisecond
}

// gangSize returns the number of tasks in the task's gang, 1 without a gang.
func (ws *Workers) gangSize(t leader.TaskID) int {
	if s := ws.Checker.Jobs[t.Job].Steps[t.Step]; s.Gang {
		return s.Count
	}
	return 1
}

func (ws *Workers) boot(w *Worker) {
	w.incarnation = time.Now().UnixMilli()
	w.bootedAt = time.Now()
	w.token, w.syncs, w.leaseEnd, w.lastSeq = 0, 0, 0, 0
	w.runs = make(map[leader.TaskID]*taskRun)
	w.highestRun = make(map[leader.TaskID]int)
	w.ended = nil
	w.lastUnleased = time.Time{}
	w.endedAt = make(map[uint64]time.Time)
	w.Down = false
	w.changed = make(chan struct{})
}

func (w *Worker) clockMs() int64 {
	return int64(float64(time.Since(w.bootedAt).Milliseconds()) * w.ClockRate)
}

func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Run simulates the workers until the context ends.
func (ws *Workers) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			ws.advance(time.Now())
		}
	}
}

type gangKey struct {
	job                   string
	occurrence, step, run int
}

func (ws *Workers) advance(now time.Time) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	gangs := make(map[gangKey][]*taskRun)
	for _, w := range ws.List {
		if w.Down {
			continue
		}
		if w.clockMs() >= w.leaseEnd {
			w.lastUnleased = now
		}
		for _, r := range w.runs {
			switch {
			case w.clockMs() >= w.leaseEnd:
				ws.end(w, r, ledger.LeaseExpired)
			case !r.stopAt.IsZero() && !now.Before(r.stopAt):
				ws.end(w, r, ledger.Stopped)
			default:
				key := gangKey{r.task.Job, r.task.Occurrence, r.task.Step, r.run}
				gangs[key] = append(gangs[key], r)
			}
		}
	}
	for _, w := range ws.List {
		for _, r := range w.runs {
			ws.Checker.checkCancelled(r, w)
			members := gangs[gangKey{r.task.Job, r.task.Occurrence, r.task.Step, r.run}]
			if ws.ReportsProgress {
				r.percent = ws.percent(r, members, now)
			}
			ws.advanceRun(w, r, members, now)
		}
	}
	ws.Checker.checkStill(ws, now)
	ws.slowDown()
}

// advanceRun starts, continues or ends one run; members are the current runs of its gang.
func (ws *Workers) advanceRun(w *Worker, r *taskRun, members []*taskRun, now time.Time) {
	size := ws.gangSize(r.task)
	if size == 1 {
		members = members[:0:0]
		members = append(members, r)
	}
	if r.runningSince.IsZero() && len(members) == size {
		r.runningSince = now
		fails := w.FailsRuns || ws.FailingJobs[r.task.Job] || ws.Rnd.Float64() < ws.FailureRate || w.FailShare > 0 && ws.Rnd.Float64() < w.FailShare
		if fails && !ws.DeadlyJobs[r.task.Job] {
			ws.end(w, r, ledger.Failed)
			return
		}
	}
	switch {
	case !r.runningSince.IsZero() && len(members) < size:
		if ws.Checker.stepFinished[stepOf(r.task)] {
			ws.end(w, r, ledger.Done)
			return
		}
		ws.end(w, r, ledger.GangEnded)
	case !r.runningSince.IsZero() && !slices.ContainsFunc(members, func(m *taskRun) bool { return m.work(now) < m.runTime }):
		ws.end(w, r, ledger.Done)
	case r.runningSince.IsZero() && now.Sub(r.startedAt) > GangTimeout:
		ws.Checker.IncompleteGangs = append(ws.Checker.IncompleteGangs, fmt.Sprint(r.task))
		if ws.Checker.NoDisruption {
			ws.Checker.addViolation("GANG", r.task, " run ", r.run, " waited alone")
		}
		ws.end(w, r, ledger.GangIncomplete)
	}
}

// work returns how much of its run time at speed 1 the run has done.
func (r *taskRun) work(now time.Time) time.Duration {
	if r.runningSince.IsZero() {
		return r.saved
	}
	return r.saved + time.Duration(r.speed*float64(now.Sub(r.runningSince))) - r.slowed
}

// percent returns the progress that a report has of the run; members are the current
// runs of its gang.
func (ws *Workers) percent(r *taskRun, members []*taskRun, now time.Time) float64 {
	done := func(r *taskRun) float64 {
		return math.Floor(100 * min(1, float64(r.work(now))/float64(r.runTime)))
	}
	least := done(r)
	if ws.Lockstep && ws.gangSize(r.task) > 1 {
		for _, m := range members {
			least = min(least, done(m))
		}
	}
	return least
}

func (ws *Workers) end(w *Worker, r *taskRun, how ledger.RunOutcome) {
	delete(w.runs, r.task)
	w.highestRun[r.task] = max(w.highestRun[r.task], r.run)
	w.lastSeq++
	w.endedAt[w.lastSeq] = time.Now()
	w.ended = append(w.ended, leader.EndedTask{Seq: w.lastSeq, Task: r.task, Run: r.run, Outcome: how, Checkpoint: ws.checkpoint(r, how)})
	ws.Checker.recordEnd(r, how)
	w.notify()
}

// checkpoint returns the checkpoint that a run writes when it ends, or none.
func (ws *Workers) checkpoint(r *taskRun, how ledger.RunOutcome) string {
	if how != ledger.Stopped || r.runningSince.IsZero() || !ws.Checker.Jobs[r.task.Job].Steps[r.task.Step].Checkpointable {
		return ""
	}
	return r.work(time.Now()).String()
}

// savedWork returns the work of a checkpoint; an empty one has none.
func savedWork(checkpoint string) time.Duration {
	d, _ := time.ParseDuration(checkpoint)
	return d
}

// WithLock calls f while it holds the lock of all workers.
func (ws *Workers) WithLock(f func()) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	f()
}

// Entries returns the platform's entries of the workers that are up and listed.
func (ws *Workers) Entries() []leader.WorkerEntry {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var out []leader.WorkerEntry
	for _, w := range ws.List {
		if !w.Down && !w.Unlisted {
			out = append(out, leader.WorkerEntry{ID: w.ID, Addr: cmp.Or(w.Addr, w.ID), Service: w.Service, Zone: w.Domain, Rack: w.Rack, Labels: []string{anyLabel, w.Rack}, Total: w.Total, Incarnation: w.incarnation, Draining: w.Draining, Remaining: w.Remaining})
		}
	}
	return out
}

// PendingRuns describes the runs that have not ended and, for each worker, the
// number of ends that are not acknowledged.
func (ws *Workers) PendingRuns() []string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var out []string
	for _, w := range ws.List {
		for task := range w.runs {
			out = append(out, fmt.Sprintf("UNASKED: %v still runs on %s", task, w.ID))
		}
		if len(w.ended) > 0 {
			out = append(out, fmt.Sprintf("Acks: %d ends on %s", len(w.ended), w.ID))
		}
	}
	return out
}

// Machines lists the machines of the workers that were not removed.
func (ws *Workers) Machines() []leader.Machine {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var out []leader.Machine
	for _, id := range slices.Sorted(maps.Keys(ws.List)) {
		if !ws.List[id].Absent {
			out = append(out, leader.Machine{Name: "machine of " + id, Worker: id})
		}
	}
	return out
}
