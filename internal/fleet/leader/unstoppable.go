package leader

import (
	"time"

	"go.uber.org/zap"
)

// maxStopFailure is how long a worker that answers syncs may refuse to stop a run,
// or not answer the requests to do so. Then only the end of its lease ends the run.
// It is longer than a lease, which would be over by then on a worker that does not
// answer at all.
const maxStopFailure = 10 * time.Second

// updateUnstoppable notes whether the worker carries out no requests to stop a run.
// Its leases are not renewed then, so that its runs end and start again elsewhere.
// The caller holds l.mu.
func (l *Leader) updateUnstoppable(w *worker, now time.Time) {
	failing := w.failingStop(now)
	switch {
	case failing != nil && !w.unstoppable:
		l.Logger.Warn("worker answers but carries out no stop requests; its leases are not renewed", zap.String("worker", w.id), zap.Int("runs", len(w.runs)),
			zap.String("job", failing.key.task.Job), zap.Int("run", failing.key.run), zap.Duration("failing", now.Sub(failing.stopFailedAt)))
	case failing == nil && w.unstoppable:
		l.Logger.Info("all runs that the worker did not stop have ended", zap.String("worker", w.id))
	}
	w.unstoppable = failing != nil
}

// failingStop returns a run that the worker has not stopped for maxStopFailure, or
// nil if there is none.
func (w *worker) failingStop(now time.Time) *run {
	for _, runs := range []map[runKey]*run{w.runs, w.orphans} {
		for _, n := range runs {
			if !n.stopFailedAt.IsZero() && now.Sub(n.stopFailedAt) > maxStopFailure {
				return n
			}
		}
	}
	return nil
}
