package leader

import (
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// crashProbation is how long a run of a crash suspect is watched: meanwhile other
// work starts on its workers last, so that another crash hits little else.
const crashProbation = 5 * time.Second

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
	suspects := crashSuspects(w, lost, cause)
	var records []ledger.Record
	for _, n := range lost {
		outcome := ledger.WorkerLost
		if suspects[n] {
			outcome = ledger.WorkerCrashed
		}
		l.Logger.Info("run lost", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run), zap.Int("member", n.member),
			zap.String("cause", string(cause)), zap.String("bound", l.lossBound(w, n, cause)), zap.Bool("listed", w.listed),
			zap.Bool("suspect", suspects[n]), zap.Bool("reported", n.reported), zap.Bool("inherited", n.inherited),
			zap.Duration("ran", now.Sub(n.startedAt)), zap.Duration("silent", now.Sub(w.lastAnswer)))
		r := l.endRun(n, outcome, n.checkpoint, now)
		n.lossCause = cause
		r.End.Prompt = cause != lossUnreachable && n.accepted && !n.reported
		records = append(records, r)
	}
	return records
}

// lossBound returns what the time of a loss depended on, for the log. On a worker
// that does not answer it is the latest of several points in time. The caller holds
// l.mu.
func (l *Leader) lossBound(w *worker, n *run, cause lossCause) string {
	switch cause {
	case lossDrained, lossVanished:
		return "machine list"
	case lossRestarted, lossMissing:
		return "report"
	}
	late, silent := l.lateRunEnd(n), w.lastAnswer.Add(maxRenewSilence)
	switch {
	case late.After(w.leasesEnd) && late.After(silent):
		return "late start"
	case silent.After(w.leasesEnd):
		return "silence"
	}
	return "lease"
}

// crashSuspects returns the lost runs that may have crashed their worker. A task
// that crashes workers usually does so when it starts, so runs that the worker
// never reported are suspected before all others.
func crashSuspects(w *worker, lost []*run, cause lossCause) map[*run]bool {
	reported, unreported := make(map[*run]bool), make(map[*run]bool)
	for _, n := range lost {
		switch {
		case n.reported:
			reported[n] = true
		case !n.neverStarted():
			unreported[n] = true
		}
	}
	switch {
	case cause == lossUnreachable && !w.listed && !w.entry.Draining:
		return unreported // it may only be cut off
	case cause != lossVanished && cause != lossRestarted:
		return nil
	case len(unreported) > 0:
		return unreported
	}
	return reported
}

// crashSuspectHosts returns the workers on which a crash suspect was started
// lately. The caller holds the feed's lock and l.mu.
func (l *Leader) crashSuspectHosts(s *ledger.State, now time.Time) map[string]bool {
	hosts := make(map[string]bool)
	suspect := func(id ledger.UnitID) bool {
		js := s.Jobs[id.Job]
		if js == nil {
			return false
		}
		u := js.Unit(id)
		return u != nil && u.CrashSuspect()
	}
	for id, runs := range l.unitRuns {
		if now.Sub(runs[0].startedAt) > crashProbation || !suspect(id) {
			continue
		}
		for _, n := range runs {
			hosts[n.worker.id] = true
		}
	}
	for id, start := range l.proposedStarts {
		if !suspect(id) {
			continue
		}
		for _, worker := range start.Workers {
			hosts[worker] = true
		}
	}
	return hosts
}
