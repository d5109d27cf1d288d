package leader

import (
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// updateOrphans updates the worker's orphan runs from a report that was requested
// at the given time, and returns those that are new. reported has the running runs
// that the state does not have.
func (w *worker) updateOrphans(reported map[runKey]bool, requested time.Time) []*run {
	for key, n := range w.orphans {
		if !reported[key] && n.settledBefore(requested) {
			n.removed = true
			delete(w.orphans, key)
		}
	}
	if requested.Before(w.reportSentAt) {
		return nil // these runs may have ended since
	}
	var found []*run
	for key := range reported {
		if w.orphans[key] != nil {
			continue
		}
		found = append(found, w.addOrphan(key))
	}
	return found
}

// addOrphan adds an orphan run that the worker has reported as running.
func (w *worker) addOrphan(key runKey) *run {
	n := &run{key: key, worker: w}
	n.settle()
	w.orphans[key] = n
	return n
}

// noteOrphans updates withOrphans after the orphan runs of a worker have changed. The
// caller holds l.mu.
func (l *Leader) noteOrphans(w *worker) {
	if len(w.orphans) == 0 {
		delete(l.withOrphans, w.id)
		return
	}
	l.withOrphans[w.id] = w
}

// logOrphan logs an orphan run that was found, and how it was lost if that is known.
// The caller holds l.mu.
func (l *Leader) logOrphan(w *worker, n *run) {
	fields := []zap.Field{zap.String("worker", w.id), zap.String("job", n.key.task.Job), zap.Int("step", n.key.task.Step), zap.Int("index", n.key.task.Index), zap.Int("run", n.key.run)}
	if r := l.findLost(w, n.key); r != nil {
		fields = append(fields, zap.String("lost", string(r.cause)), zap.Duration("after", time.Since(r.lostAt)))
	}
	l.Logger.Info("orphan run on worker; stopping it", fields...)
}

// dropOrphans removes all orphan runs of a worker on which they have ended.
func (w *worker) dropOrphans() {
	for _, n := range w.orphans {
		n.removed = true
	}
	clear(w.orphans)
}

// orphanUnits returns the units of which a task runs on a worker as an orphan run.
// The caller holds the feed's lock and l.mu.
func (l *Leader) orphanUnits(s *ledger.State) map[ledger.UnitID]bool {
	units := make(map[ledger.UnitID]bool)
	for _, w := range l.workers {
		for key := range w.orphans {
			if js := s.Jobs[key.task.Job]; js != nil && key.task.Step >= 0 && key.task.Step < len(js.Job.Steps) {
				units[unitOf(js, key.task)] = true
			}
		}
	}
	return units
}

// unitOf returns the unit of a task of the job.
func unitOf(js *ledger.JobState, t TaskID) ledger.UnitID {
	id := ledger.UnitID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
	if js.Job.Steps[t.Step].Gang {
		id.Index = 0
	}
	return id
}
