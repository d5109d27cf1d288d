package leader

import (
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

const (
	// departPeriod separates the looks for workers that may have left, and so
	// the readings of the list of machines while there are any.
	departPeriod = 400 * time.Millisecond

	// absentLists is how many lists of machines in a row must miss a worker
	// before it is taken to have left: pages of one list are read one after the
	// other, and a machine can move from one to the other in between.
	absentLists = 2

	// listLag is how long the list of machines may take to name a new worker.
	listLag = 5 * time.Second
)

// departLoop ends the runs of workers that have left. Without it they would be
// taken for lost only when their leases have ended, seconds later.
func (l *Leader) departLoop() {
	if l.Machines == nil {
		return
	}
	failing := false
	for l.ctx.Err() == nil {
		delay.For(l.ctx, departPeriod)
		if !l.anyMissing() {
			continue
		}
		machines, err := l.Machines(l.ctx)
		if l.ctx.Err() != nil {
			return
		}
		if err != nil && !failing {
			l.Logger.Warn("list of machines lost", zap.Error(err))
		}
		if err == nil && failing {
			l.Logger.Info("list of machines regained", zap.Int("machines", len(machines)))
		}
		failing = err != nil
		if err != nil || len(machines) == 0 {
			continue
		}
		l.Feed.Propose(l.Epoch, l.departed(machines)...)
	}
}

// anyMissing reports whether a worker with runs may have left, and restarts the
// count of the lists for those that answer.
func (l *Leader) anyMissing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := false
	for _, w := range l.workers {
		if !w.missing() {
			w.absent = 0
			continue
		}
		found = true
	}
	return found
}

// missing reports whether the worker has runs and neither answers nor is so
// new that the list of machines may not name it yet.
func (w *worker) missing() bool {
	return len(w.runs) > 0 && (w.silent || !w.listed) && time.Since(w.known) > listLag
}

// departed returns the ends of the runs on workers that are on no machine any
// more.
func (l *Leader) departed(machines []Machine) []ledger.Record {
	there := make(map[string]bool, len(machines))
	for _, m := range machines {
		there[m.Worker] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []ledger.Record
	for _, w := range l.workers {
		if !w.missing() || there[w.id] {
			w.absent = 0
			continue
		}
		if w.absent++; w.absent < absentLists {
			continue
		}
		ends := l.lose(w)
		if len(ends) > 0 {
			l.Logger.Info("worker has left", zap.String("worker", w.id), zap.Int("runs", len(ends)), zap.Int("machines", len(machines)), zap.Duration("silent", time.Since(w.lastOK)))
		}
		records = append(records, ends...)
	}
	return records
}

// lose returns the ends of the runs of a worker on which nothing runs any
// more; it is called with the lock held.
func (l *Leader) lose(w *worker) []ledger.Record {
	now := time.Now()
	var records []ledger.Record
	for _, n := range w.runs {
		if !n.ending {
			l.Logger.Info("run left behind", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run), zap.Int("member", n.member), zap.Duration("silent", now.Sub(w.lastOK)))
			records = append(records, l.end(n, ledger.Lost, n.saved, now))
		}
	}
	return records
}

// evacuate stops the units that will not end before the worker leaves, so that
// they go on elsewhere at once; both locks are held.
func (l *Leader) evacuate(w *worker, s *ledger.State) {
	now := time.Now()
	for _, n := range w.runs {
		js := s.Jobs[n.unit.Job]
		if js == nil || n.stopping || n.ending {
			continue
		}
		step := &js.Job.Steps[n.unit.Step]
		ran := now.Sub(n.start)
		v := plan.DrainingRun{Remaining: time.Duration(step.Estimate)*time.Millisecond - ran, Elapsed: ran, Checkpointable: step.Checkpointable, WorkerRemaining: w.entry.Leaves}
		if v.ShouldMigrate() {
			l.stopUnit(n.unit, "worker leaves")
		}
	}
}
