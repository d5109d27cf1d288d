package leader

import (
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

const (
	// departureInterval is the pause between two checks for workers that may
	// have left. While there are any, each check reads the list of machines.
	departureInterval = 400 * time.Millisecond

	// minAbsentLists is the number of consecutive lists of machines without a
	// worker after which it counts as departed. One list is not enough: its
	// pages are read one after the other, and a machine can move between pages
	// meanwhile.
	minAbsentLists = 2

	// machineListDelay is how long the list of machines may take to include a
	// new worker.
	machineListDelay = 5 * time.Second

	// entryReturnTime is how long after the begin of an epoch a worker that is up
	// may have no entry. Entries that expired while the store was unavailable are
	// written again within two seconds of its return.
	entryReturnTime = 3 * time.Second
)

// departureLoop ends the runs of workers that have left the platform. Without
// it these runs would count as lost only seconds later, when their leases have
// ended.
func (l *Leader) departureLoop() {
	if l.Machines == nil {
		return
	}
	failing := false
	for l.ctx.Err() == nil {
		delay.For(l.ctx, departureInterval)
		if !l.anyMayHaveLeft() {
			continue
		}
		machines, err := l.Machines(l.ctx)
		if l.ctx.Err() != nil {
			return
		}
		if err != nil && !failing {
			l.Logger.Warn("reading the list of machines failed; runs of departed workers end with their leases", zap.Error(err))
		}
		if err == nil && failing {
			l.Logger.Info("reading the list of machines works again", zap.Int("machines", len(machines)))
		}
		failing = err != nil
		if err != nil || len(machines) == 0 {
			continue
		}
		l.Feed.Propose(l.Epoch, l.endDeparted(machines)...)
	}
}

// anyMayHaveLeft reports whether a worker with runs may have left. It resets
// the count of absent lists of all other workers.
func (l *Leader) anyMayHaveLeft() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := false
	for _, w := range l.workers {
		if !w.mayHaveLeft() {
			w.absentLists = 0
			continue
		}
		found = true
	}
	return found
}

// mayHaveLeft reports whether the worker has runs, does not answer or cannot be
// asked, and has been known for long enough to be in the list of machines. The runs
// of a worker that still answers go on, whatever the platform lists.
func (w *worker) mayHaveLeft() bool {
	switch {
	case !w.busy() || time.Since(w.listedSince()) <= machineListDelay:
		return false
	case w.unresponsive:
		return true
	}
	return w.unknown() && time.Since(w.knownSince) > entryReturnTime
}

// unknown reports whether the worker is known from the runs of an earlier leader
// only. It has had no entry since, so that there is no address to ask.
func (w *worker) unknown() bool { return !w.listed && w.entry.Addr == "" }

// endDeparted returns records of the ends of the runs on workers that are no
// longer on any machine.
func (l *Leader) endDeparted(machines []Machine) []ledger.Record {
	listed := make(map[string]bool, len(machines))
	for _, m := range machines {
		listed[m.Worker] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []ledger.Record
	for _, w := range l.workers {
		if !w.mayHaveLeft() || listed[w.id] {
			w.absentLists = 0
			continue
		}
		if w.absentLists++; w.absentLists < minAbsentLists {
			continue
		}
		cause := lossVanished
		if w.entry.Draining {
			cause = lossDrained
		}
		w.dropOrphans()
		ends := l.endLost(w, w.unendedRuns(), cause, time.Now())
		if len(ends) > 0 {
			l.Logger.Info("worker has left the platform; its runs are lost", zap.String("worker", w.id), zap.Int("runs", len(ends)), zap.Int("machines", len(machines)), zap.Duration("silent", time.Since(w.lastAnswer)))
		}
		records = append(records, ends...)
	}
	return records
}

// evacuate stops the units that would not end before the draining worker
// leaves, so that they continue on other workers at once. The caller holds the
// feed's lock and l.mu.
func (l *Leader) evacuate(w *worker, s *ledger.State) {
	now := time.Now()
	for _, n := range w.runs {
		js := s.Jobs[n.unit.Job]
		if js == nil || n.stopping || n.endProposed {
			continue
		}
		step := &js.Job.Steps[n.unit.Step]
		ran := now.Sub(n.startedAt)
		v := plan.DrainingRun{Remaining: time.Duration(step.Estimate)*time.Millisecond - ran, Elapsed: ran, Checkpointable: step.Checkpointable, WorkerRemaining: w.entry.Remaining}
		if v.ShouldMigrate() {
			l.stopUnit(n.unit, "worker leaves")
		}
	}
}
