package fleettest

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

// The bounds that the workers keep.
const (
	GangWait  = 3 * time.Second // how long a gang's member waits for the others
	LeaseMax  = 6 * time.Second
	StopGrace = 100 * time.Millisecond

	tick = 10 * time.Millisecond
)

// NotListedError reports an order to an unknown worker.
type NotListedError struct {
	Worker string
}

// Error names the worker.
func (e *NotListedError) Error() string { return "no worker " + e.Worker }

var errSilent = errors.New("no answer")

// taskRun is one run of one task on a worker.
type taskRun struct {
	task     leader.TaskID
	run      int
	began    time.Time
	works    time.Time // since when it is at work; zero while its gang waits
	stopping time.Time // when its stop takes effect
	lateOrd  bool      // by an order that was carried out late
}

// Worker is one worker with the platform's rules for leases, fences and run
// numbers. The exported fields are set before Workers.Boot, and changed in
// Workers.Set.
type Worker struct {
	ID      string
	Addr    string // ID if empty
	Service string
	Rack    string
	Total   plan.Resources
	Rate    float64         // of its clock
	Failing bool            // fails all that it starts
	Cut     map[string]bool // instances that cannot reach it
	OneWay  bool            // cut instances' calls arrive, the answers do not
	Leaving bool
	Stays   time.Duration // while it leaves: the least time that it announces
	Down    bool
	// Unlisted keeps the worker out of the list of workers.
	Unlisted bool

	born    int64
	booted  time.Time
	fence   uint64
	until   int64
	runs    map[leader.TaskID]*taskRun
	high    map[leader.TaskID]int // highest run that ended or was stopped here
	ended   []leader.EndedTask
	number  uint64
	changed chan struct{}
	lapsed  time.Time            // last moment without a lease
	endedAt map[uint64]time.Time // by number
}

// Workers is all workers and what they have seen; it checks the rules. The
// exported fields are set before use, and changed in Set.
type Workers struct {
	Rnd    *rand.Rand
	Rules  *Rules
	List   map[string]*Worker
	Late   float64         // share of orders that are carried out seconds later, without an answer
	Lose   float64         // share of orders that are done without an answer
	Poison map[string]bool // jobs whose tasks always fail
	Flaky  float64         // share of runs that fail

	mu sync.Mutex
}

// NewWorkers returns no workers yet; faults are drawn from rnd.
func NewWorkers(rnd *rand.Rand, r *Rules) *Workers {
	return &Workers{Rnd: rnd, Rules: r, List: make(map[string]*Worker), Poison: make(map[string]bool)}
}

// Add starts a worker.
func (ws *Workers) Add(w *Worker) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w.Cut = make(map[string]bool)
	ws.boot(w)
	ws.List[w.ID] = w
}

// Running returns the number of runs on the worker.
func (w *Worker) Running() int { return len(w.runs) }

// length returns how long a task runs.
func (ws *Workers) length(t leader.TaskID) time.Duration {
	return time.Duration(ws.Rules.Jobs[t.Job].Steps[t.Step].Estimate) * time.Millisecond
}

// width returns the number of tasks of the task's gang, 1 if it has none.
func (ws *Workers) width(t leader.TaskID) int {
	if s := ws.Rules.Jobs[t.Job].Steps[t.Step]; s.Gang {
		return s.Count
	}
	return 1
}

func (ws *Workers) boot(w *Worker) {
	w.born = time.Now().UnixMilli()
	w.booted = time.Now()
	w.fence, w.until, w.number = 0, 0, 0
	w.runs = make(map[leader.TaskID]*taskRun)
	w.high = make(map[leader.TaskID]int)
	w.ended = nil
	w.lapsed = time.Time{}
	w.endedAt = make(map[uint64]time.Time)
	w.Down = false
	w.changed = make(chan struct{})
}

func (w *Worker) clock() int64 {
	return int64(float64(time.Since(w.booted).Milliseconds()) * w.Rate)
}

func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// enter delivers an order from the instance; done is false if it has no answer.
func (ws *Workers) enter(ctx context.Context, node, id string, order func(w *Worker, late bool) error) error {
	time.Sleep(time.Millisecond)
	ws.mu.Lock()
	w := ws.List[id]
	silent := w == nil || w.Down || w.Cut[node]
	oneWay := w != nil && !w.Down && w.Cut[node] && w.OneWay
	late, lose := ws.Rnd.Float64() < ws.Late, ws.Rnd.Float64() < ws.Lose
	wait := 2*time.Second + time.Duration(ws.Rnd.Int64N(int64(8*time.Second)))
	if ctx.Err() != nil {
		ws.mu.Unlock()
		return &leader.NoAnswerError{Err: ctx.Err()}
	}
	var err error
	switch {
	case late && !silent:
		boot := w.born
		time.AfterFunc(wait, func() {
			ws.mu.Lock()
			defer ws.mu.Unlock()
			if !w.Down && w.born == boot {
				_ = order(w, true)
			}
		})
		silent = true
	case !silent || oneWay:
		err = order(w, false)
		silent = oneWay || lose
	}
	ws.mu.Unlock()
	if silent {
		<-ctx.Done()
		return &leader.NoAnswerError{Err: errSilent}
	}
	return err
}

// Start is a start order of the instance.
func (ws *Workers) Start(ctx context.Context, node string, t leader.Target, o leader.StartRequest) error {
	return ws.enter(ctx, node, t.ID, func(w *Worker, late bool) error {
		if t.Epoch < w.fence {
			return &leader.RefusedError{Reason: leader.RefusedStaleEpoch}
		}
		w.fence = t.Epoch
		if r := w.runs[o.Task]; r != nil && r.run == o.Run {
			return nil
		}
		if o.Run <= w.high[o.Task] {
			return &leader.RefusedError{Reason: leader.RefusedStaleRun}
		}
		if o.LeaseEnd <= w.clock() {
			return &leader.RefusedError{Reason: leader.RefusedLeaseEnded}
		}
		w.until = max(w.until, min(o.LeaseEnd, w.clock()+LeaseMax.Milliseconds()))
		if !ws.Rules.started(ws, w, o, late) {
			return &leader.RefusedError{Reason: leader.RefusedInvalid}
		}
		w.runs[o.Task] = &taskRun{task: o.Task, run: o.Run, began: time.Now(), lateOrd: late}
		return nil
	})
}

// Stop is a stop order of the instance.
func (ws *Workers) Stop(ctx context.Context, node string, t leader.Target, o leader.StopRequest) error {
	return ws.enter(ctx, node, t.ID, func(w *Worker, _ bool) error {
		if t.Epoch < w.fence {
			return &leader.RefusedError{Reason: leader.RefusedStaleEpoch}
		}
		w.fence = t.Epoch
		w.high[o.Task] = max(w.high[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.run <= o.Run && r.stopping.IsZero() {
			r.stopping = time.Now().Add(StopGrace)
		}
		return nil
	})
}

// Sync is a sync of the instance.
func (ws *Workers) Sync(ctx context.Context, node string, t leader.Target, o leader.SyncRequest) (leader.Report, error) {
	var rep leader.Report
	deadline := time.Now().Add(o.MaxWait)
	for {
		var changed chan struct{}
		err := ws.enter(ctx, node, t.ID, func(w *Worker, _ bool) error {
			if t.Epoch < w.fence {
				return &leader.RefusedError{Reason: leader.RefusedStaleEpoch}
			}
			w.fence = t.Epoch
			ws.acknowledge(w, o.Ack)
			if o.LeaseEnd > 0 {
				w.until = max(w.until, min(o.LeaseEnd, w.clock()+LeaseMax.Milliseconds()))
			}
			rep = leader.Report{ClockMs: w.clock(), Incarnation: w.born, Ended: append([]leader.EndedTask(nil), w.ended...)}
			for _, r := range w.runs {
				rep.Running = append(rep.Running, leader.RunningTask{Task: r.task, Run: r.run})
			}
			changed = w.changed
			return nil
		})
		if err != nil || len(rep.Ended) > 0 || !time.Now().Before(deadline) {
			return rep, err
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return rep, &leader.NoAnswerError{Err: ctx.Err()}
		}
		timer.Stop()
	}
}

// acknowledge drops the ends that the system says are stored.
func (ws *Workers) acknowledge(w *Worker, ack uint64) {
	for len(w.ended) > 0 && w.ended[0].Seq <= ack {
		// An end does not count as noted if the lease lapsed after it: the
		// system must then take the worker's runs for lost.
		if e := w.ended[0]; !w.lapsed.After(w.endedAt[e.Seq]) {
			ws.Rules.noted(e)
		}
		w.ended = w.ended[1:]
	}
}

// Run plays the workers' part until the context ends.
func (ws *Workers) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			ws.step(time.Now())
		}
	}
}

type gangKey struct {
	job                   string
	occurrence, step, run int
}

func (ws *Workers) step(now time.Time) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	gangs := make(map[gangKey][]*taskRun)
	for _, w := range ws.List {
		if w.Down {
			continue
		}
		if w.clock() >= w.until {
			w.lapsed = now
		}
		for _, r := range w.runs {
			switch {
			case w.clock() >= w.until:
				ws.end(w, r, ledger.LeaseExpired)
			case !r.stopping.IsZero() && !now.Before(r.stopping):
				ws.end(w, r, ledger.Stopped)
			default:
				key := gangKey{r.task.Job, r.task.Occurrence, r.task.Step, r.run}
				gangs[key] = append(gangs[key], r)
			}
		}
	}
	for _, w := range ws.List {
		for _, r := range w.runs {
			ws.Rules.overdue(r, w)
			members := gangs[gangKey{r.task.Job, r.task.Occurrence, r.task.Step, r.run}]
			ws.work(w, r, members, now)
		}
	}
}

// work moves one run on; members are the present runs of its gang.
func (ws *Workers) work(w *Worker, r *taskRun, members []*taskRun, now time.Time) {
	width := ws.width(r.task)
	if width == 1 {
		members = members[:0:0]
		members = append(members, r)
	}
	if r.works.IsZero() && len(members) == width {
		r.works = now
		if w.Failing || ws.Poison[r.task.Job] || ws.Rnd.Float64() < ws.Flaky {
			ws.end(w, r, ledger.Failed)
			return
		}
	}
	switch {
	case !r.works.IsZero() && len(members) < width:
		if ws.Rules.finished[step(r.task)] {
			ws.end(w, r, ledger.Done)
			return
		}
		ws.end(w, r, ledger.GangEnded)
	case !r.works.IsZero() && now.Sub(r.works) >= ws.length(r.task):
		ws.end(w, r, ledger.Done)
	case r.works.IsZero() && now.Sub(r.began) > GangWait:
		ws.Rules.Alone = append(ws.Rules.Alone, fmt.Sprint(r.task))
		if ws.Rules.Calm {
			ws.Rules.breach("GANG", r.task, " run ", r.run, " waited alone")
		}
		ws.end(w, r, ledger.GangIncomplete)
	}
}

func (ws *Workers) end(w *Worker, r *taskRun, how ledger.RunOutcome) {
	delete(w.runs, r.task)
	w.high[r.task] = max(w.high[r.task], r.run)
	w.number++
	w.endedAt[w.number] = time.Now()
	w.ended = append(w.ended, leader.EndedTask{Seq: w.number, Task: r.task, Run: r.run, Outcome: how})
	ws.Rules.ended(r, how)
	w.notify()
}

// Crash ends all that runs on a worker without a trace.
func (ws *Workers) Crash(id string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.List[id]
	if w == nil {
		return
	}
	w.Down = true
	w.runs = make(map[leader.TaskID]*taskRun)
	w.notify()
}

// Leave announces that the worker leaves, and takes it away after the time.
func (ws *Workers) Leave(id string, stays time.Duration) {
	ws.Set(func() {
		if w := ws.List[id]; w != nil {
			w.Leaving, w.Stays = true, stays
		}
	})
	time.AfterFunc(stays, func() { ws.Remove(id) })
}

// Remove takes a worker away for good.
func (ws *Workers) Remove(id string) {
	ws.Crash(id)
	ws.Set(func() { delete(ws.List, id) })
}

// Machines lists the machines of the workers that have not been taken away.
func (ws *Workers) Machines() []leader.Machine {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var out []leader.Machine
	for _, id := range slices.Sorted(maps.Keys(ws.List)) {
		out = append(out, leader.Machine{Name: "machine of " + id, Worker: id})
	}
	return out
}

// Reboot starts a crashed worker again.
func (ws *Workers) Reboot(id string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w := ws.List[id]; w != nil {
		ws.boot(w)
	}
}

// Set calls f under the lock of all workers.
func (ws *Workers) Set(f func()) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	f()
}

// Entries lists the workers that are up.
func (ws *Workers) Entries() []leader.WorkerEntry {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var out []leader.WorkerEntry
	for _, w := range ws.List {
		if !w.Down && !w.Unlisted {
			out = append(out, leader.WorkerEntry{ID: w.ID, Addr: cmp.Or(w.Addr, w.ID), Service: w.Service, Rack: w.Rack, Labels: []string{"a", w.Rack}, Total: w.Total, Incarnation: w.born, Draining: w.Leaving, Remaining: w.Stays})
		}
	}
	return out
}

// Open lists the runs that have not ended and the ends that are not
// acknowledged.
func (ws *Workers) Open() []string {
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

// Heal ends all faults.
func (ws *Workers) Heal() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.Late, ws.Lose = 0, 0
	for _, w := range ws.List {
		clear(w.Cut)
		if w.Down {
			ws.boot(w)
		}
	}
}
