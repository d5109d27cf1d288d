package leader

import (
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// lossCause tells why runs on a worker are lost.
type lossCause string

// The causes of lost runs.
const (
	lossDrained     lossCause = "worker left after draining"
	lossVanished    lossCause = "worker left without draining"
	lossRestarted   lossCause = "worker restarted"
	lossMissing     lossCause = "worker does not report the run"
	lossUnreachable lossCause = "worker unreachable until its leases ended"
)

// unendedRuns returns the worker's runs of which no end is proposed. The caller
// holds l.mu.
func (w *worker) unendedRuns() []*run {
	var out []*run
	for _, n := range w.runs {
		if !n.endProposed {
			out = append(out, n)
		}
	}
	return out
}

// endLost marks lost runs of a worker as ending and returns the records of their
// ends. The caller holds l.mu.
func (l *Leader) endLost(w *worker, lost []*run, cause lossCause, now time.Time) []ledger.Record {
	var records []ledger.Record
	for _, n := range lost {
		l.Logger.Info("run lost", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run), zap.Int("member", n.member),
			zap.String("cause", string(cause)), zap.Bool("reported", n.reported), zap.Duration("ran", now.Sub(n.startedAt)), zap.Duration("silent", now.Sub(w.lastAnswer)))
		records = append(records, l.endRun(n, ledger.WorkerLost, n.checkpoint, now))
	}
	return records
}
