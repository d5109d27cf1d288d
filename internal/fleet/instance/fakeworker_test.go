package instance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

const (
	gangWait  = 3 * time.Second
	leaseMax  = 6 * time.Second
	worldTick = 10 * time.Millisecond
	stopGrace = 100 * time.Millisecond
)

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

// fakeWorker is one worker with the platform's rules for leases, fences and
// run numbers.
type fakeWorker struct {
	id, rack string
	total    plan.Room
	born     int64
	booted   time.Time
	rate     float64 // of its clock
	fence    uint64
	until    int64
	runs     map[leader.TaskID]*taskRun
	high     map[leader.TaskID]int // highest run that ended or was stopped here
	ended    []leader.EndedTask
	number   uint64
	down     bool
	failing  bool            // fails all that it starts
	cut      map[string]bool // instances that cannot reach it
	oneWay   bool            // cut instances' calls arrive, the answers do not
	leaving  bool
	changed  chan struct{}
	lapsed   time.Time            // last moment without a lease
	endedAt  map[uint64]time.Time // by number
}

// fakeWorkers is all workers and what they have seen; it checks the rules.
type fakeWorkers struct {
	rnd *rand.Rand

	mu      sync.Mutex
	list    map[string]*fakeWorker
	late    float64 // share of orders that are carried out seconds later, without an answer
	lose    float64 // share of orders that are done without an answer
	rules   *rules
	poison  map[string]bool // jobs whose tasks always fail
	flaky   float64         // share of runs that fail
	lengths func(leader.TaskID) time.Duration
	widths  func(leader.TaskID) int // of the task's gang; 1 if it has none
}

func (ws *fakeWorkers) boot(w *fakeWorker) {
	w.born = time.Now().UnixMilli()
	w.booted = time.Now()
	w.fence, w.until, w.number = 0, 0, 0
	w.runs = make(map[leader.TaskID]*taskRun)
	w.high = make(map[leader.TaskID]int)
	w.ended = nil
	w.lapsed = time.Time{}
	w.endedAt = make(map[uint64]time.Time)
	w.down = false
	w.changed = make(chan struct{})
}

func (w *fakeWorker) clock() int64 {
	return int64(float64(time.Since(w.booted).Milliseconds()) * w.rate)
}

func (w *fakeWorker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// enter delivers an order from the instance; done is false if it has no answer.
func (ws *fakeWorkers) enter(ctx context.Context, node, id string, order func(w *fakeWorker, late bool) error) error {
	time.Sleep(time.Millisecond)
	ws.mu.Lock()
	w := ws.list[id]
	silent := w == nil || w.down || w.cut[node]
	oneWay := w != nil && !w.down && w.cut[node] && w.oneWay
	late, lose := ws.rnd.Float64() < ws.late, ws.rnd.Float64() < ws.lose
	wait := 2*time.Second + time.Duration(ws.rnd.Int64N(int64(8*time.Second)))
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
			if !w.down && w.born == boot {
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

func (ws *fakeWorkers) start(ctx context.Context, node string, t leader.Target, o leader.StartOrder) error {
	return ws.enter(ctx, node, t.ID, func(w *fakeWorker, late bool) error {
		if t.Epoch < w.fence {
			return &leader.RefusedError{Reason: leader.RefusedFence}
		}
		w.fence = t.Epoch
		if r := w.runs[o.Task]; r != nil && r.run == o.Run {
			return nil
		}
		if o.Run <= w.high[o.Task] {
			return &leader.RefusedError{Reason: leader.RefusedOld}
		}
		if o.Until <= w.clock() {
			return &leader.RefusedError{Reason: leader.RefusedLate}
		}
		w.until = max(w.until, min(o.Until, w.clock()+leaseMax.Milliseconds()))
		ws.rules.started(ws, w, o, late)
		w.runs[o.Task] = &taskRun{task: o.Task, run: o.Run, began: time.Now(), lateOrd: late}
		return nil
	})
}

func (ws *fakeWorkers) stop(ctx context.Context, node string, t leader.Target, o leader.StopOrder) error {
	return ws.enter(ctx, node, t.ID, func(w *fakeWorker, _ bool) error {
		if t.Epoch < w.fence {
			return &leader.RefusedError{Reason: leader.RefusedFence}
		}
		w.fence = t.Epoch
		w.high[o.Task] = max(w.high[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.run <= o.Run && r.stopping.IsZero() {
			r.stopping = time.Now().Add(stopGrace)
		}
		return nil
	})
}

func (ws *fakeWorkers) sync(ctx context.Context, node string, t leader.Target, o leader.SyncOrder) (leader.Report, error) {
	var rep leader.Report
	deadline := time.Now().Add(o.Wait)
	for {
		var changed chan struct{}
		err := ws.enter(ctx, node, t.ID, func(w *fakeWorker, _ bool) error {
			if t.Epoch < w.fence {
				return &leader.RefusedError{Reason: leader.RefusedFence}
			}
			w.fence = t.Epoch
			ws.acknowledge(w, o.Ack)
			if o.Until > 0 {
				w.until = max(w.until, min(o.Until, w.clock()+leaseMax.Milliseconds()))
			}
			rep = leader.Report{Clock: w.clock(), Born: w.born, Ended: append([]leader.EndedTask(nil), w.ended...)}
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
func (ws *fakeWorkers) acknowledge(w *fakeWorker, ack uint64) {
	for len(w.ended) > 0 && w.ended[0].Number <= ack {
		// An end does not count as noted if the lease lapsed after it: the
		// system must then take the worker's runs for lost.
		if e := w.ended[0]; !w.lapsed.After(w.endedAt[e.Number]) {
			ws.rules.noted(e)
		}
		w.ended = w.ended[1:]
	}
}

// tick moves the world on until the context ends.
func (ws *fakeWorkers) tick(ctx context.Context) {
	t := time.NewTicker(worldTick)
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

func (ws *fakeWorkers) step(now time.Time) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	gangs := make(map[gangKey][]*taskRun)
	for _, w := range ws.list {
		if w.down {
			continue
		}
		if w.clock() >= w.until {
			w.lapsed = now
		}
		for _, r := range w.runs {
			switch {
			case w.clock() >= w.until:
				ws.end(w, r, ledger.Lapsed)
			case !r.stopping.IsZero() && !now.Before(r.stopping):
				ws.end(w, r, ledger.Stopped)
			default:
				key := gangKey{r.task.Job, r.task.Occurrence, r.task.Step, r.run}
				gangs[key] = append(gangs[key], r)
			}
		}
	}
	for _, w := range ws.list {
		for _, r := range w.runs {
			ws.rules.overdue(r, w)
			members := gangs[gangKey{r.task.Job, r.task.Occurrence, r.task.Step, r.run}]
			ws.work(w, r, members, now)
		}
	}
}

// work moves one run on; members are the present runs of its gang.
func (ws *fakeWorkers) work(w *fakeWorker, r *taskRun, members []*taskRun, now time.Time) {
	width := ws.widths(r.task)
	if width == 1 {
		members = members[:0:0]
		members = append(members, r)
	}
	if r.works.IsZero() && len(members) == width {
		r.works = now
		if w.failing || ws.poison[r.task.Job] || ws.rnd.Float64() < ws.flaky {
			ws.end(w, r, ledger.Failed)
			return
		}
	}
	switch {
	case !r.works.IsZero() && len(members) < width:
		if ws.rules.finished[step(r.task)] {
			ws.end(w, r, ledger.Done)
			return
		}
		ws.end(w, r, ledger.Broken)
	case !r.works.IsZero() && now.Sub(r.works) >= ws.lengths(r.task):
		ws.end(w, r, ledger.Done)
	case r.works.IsZero() && now.Sub(r.began) > gangWait:
		ws.rules.alone = append(ws.rules.alone, fmt.Sprint(r.task))
		if ws.rules.calm {
			ws.rules.breach("GANG", r.task, " run ", r.run, " waited alone")
		}
		ws.end(w, r, ledger.Alone)
	}
}

func (ws *fakeWorkers) end(w *fakeWorker, r *taskRun, how ledger.How) {
	delete(w.runs, r.task)
	w.high[r.task] = max(w.high[r.task], r.run)
	w.number++
	w.endedAt[w.number] = time.Now()
	w.ended = append(w.ended, leader.EndedTask{Number: w.number, Task: r.task, Run: r.run, How: how})
	ws.rules.ended(r, how)
	w.notify()
}

// crash ends all that runs on a worker without a trace.
func (ws *fakeWorkers) crash(id string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.list[id]
	w.down = true
	w.runs = make(map[leader.TaskID]*taskRun)
	w.notify()
}

// reboot starts a crashed worker again.
func (ws *fakeWorkers) reboot(id string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.boot(ws.list[id])
}

func (ws *fakeWorkers) set(f func()) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	f()
}

// entries lists the workers that are up.
func (ws *fakeWorkers) entries() []leader.Entry {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var out []leader.Entry
	for _, w := range ws.list {
		if !w.down {
			out = append(out, leader.Entry{ID: w.id, Addr: w.id, Service: service, Rack: w.rack, Labels: []string{"a", w.rack}, Total: w.total, Born: w.born, Draining: w.leaving})
		}
	}
	return out
}
