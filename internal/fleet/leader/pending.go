package leader

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// pendingInterval is the pause between two searches for pending runs.
	pendingInterval = 500 * time.Millisecond

	// minPendingTime is how long a run must be pending before it is logged. Most
	// runs end within a second of their stop.
	minPendingTime = 2 * time.Second

	// pendingLogInterval is the pause between two reports of the same run.
	pendingLogInterval = 4 * time.Second

	// maxPendingLines and maxPendingLinesPerUnit bound the lines of one search. A
	// failure domain that is cut off may leave thousands of runs pending.
	maxPendingLines        = 6
	maxPendingLinesPerUnit = 3
)

// pendingReason says for what a run is waiting.
type pendingReason string

// The reasons why a run is pending.
const (
	pendingNone   pendingReason = ""
	pendingSend   pendingReason = "start request not sent"
	pendingStore  pendingReason = "end not stored"
	pendingStop   pendingReason = "stop not carried out"
	pendingReport pendingReason = "no report since the stop"
	pendingEnd    pendingReason = "end not reported"
	pendingAddr   pendingReason = "worker has no address"
)

// pendingRuns remembers the runs that keep their unit from starting again.
type pendingRuns struct {
	since    map[*run]time.Time // when the run was first seen to be pending
	loggedAt map[*run]time.Time
}

// pendingLoop logs runs that are being stopped, or whose end is being stored, for
// long. Until they have ended, the planner does not see their unit.
func (l *Leader) pendingLoop() {
	p := &pendingRuns{make(map[*run]time.Time), make(map[*run]time.Time)}
	for l.ctx.Err() == nil {
		delay.For(l.ctx, pendingInterval)
		l.mu.Lock()
		l.logPending(p, time.Now())
		l.mu.Unlock()
	}
}

// logPending logs the runs that are pending for long. The caller holds l.mu.
func (l *Leader) logPending(p *pendingRuns, now time.Time) {
	overdue := p.update(l.pendingReasons(), now)
	perUnit := make(map[ledger.UnitID]int)
	lines := 0
	for _, n := range overdue {
		p.loggedAt[n] = now
		perUnit[n.unit]++
		if lines >= maxPendingLines || perUnit[n.unit] > maxPendingLinesPerUnit {
			continue
		}
		lines++
		l.logPendingRun(n, now.Sub(p.since[n]), now)
	}
	if omitted := len(overdue) - lines; omitted > 0 {
		l.Logger.Info("more runs have not ended", zap.Int("runs", omitted), zap.Int("units", len(perUnit)))
	}
}

// pendingReasons returns the pending runs, with the reason of each. The caller
// holds l.mu.
func (l *Leader) pendingReasons() map[*run]pendingReason {
	out := make(map[*run]pendingReason)
	for _, w := range l.workers {
		for _, runs := range []map[runKey]*run{w.runs, w.orphans} {
			for _, n := range runs {
				if reason := l.pendingReason(n); reason != pendingNone {
					out[n] = reason
				}
			}
		}
	}
	return out
}

// pendingReason returns for what the run is waiting. The caller holds l.mu.
func (l *Leader) pendingReason(n *run) pendingReason {
	w := n.worker
	_, unsent := l.unsentStarts[n]
	switch {
	case n.endProposed:
		return pendingStore
	case unsent:
		return pendingSend
	case !n.stopping && !n.orphan():
		return pendingNone
	}
	switch n.nextStopStep(w) {
	case stopRequest:
		return pendingStop
	case stopReport:
		return pendingReport
	}
	if w.entry.Addr == "" {
		return pendingAddr
	}
	return pendingEnd
}

// orphan reports whether the run is one that the state does not have. The caller
// holds the lock of the leader.
func (n *run) orphan() bool { return n.worker.orphans[n.key] == n }

// update replaces the pending runs and returns those that are to be logged: they
// are pending for long and were not logged lately. They are sorted by unit.
func (p *pendingRuns) update(pending map[*run]pendingReason, now time.Time) []*run {
	for n := range p.since {
		if pending[n] == pendingNone {
			delete(p.since, n)
			delete(p.loggedAt, n)
		}
	}
	var overdue []*run
	for n := range pending {
		if _, ok := p.since[n]; !ok {
			p.since[n] = now
		}
		if now.Sub(p.since[n]) >= minPendingTime && now.Sub(p.loggedAt[n]) >= pendingLogInterval {
			overdue = append(overdue, n)
		}
	}
	slices.SortFunc(overdue, func(a, b *run) int {
		return cmp.Or(p.since[a].Compare(p.since[b]), cmp.Compare(a.unit.String(), b.unit.String()), cmp.Compare(a.member, b.member))
	})
	return overdue
}

// logPendingRun logs what is missing for the proof that the run has ended. The
// caller holds l.mu.
func (l *Leader) logPendingRun(n *run, pending time.Duration, now time.Time) {
	w := n.worker
	l.Logger.Info("run has not ended", zap.String("worker", w.id), zap.String("job", n.key.task.Job), zap.Int("step", n.key.task.Step), zap.Int("index", n.key.task.Index), zap.Int("run", n.key.run),
		zap.String("waits", string(l.pendingReason(n))), zap.Duration("pending", pending), zap.Bool("orphan", n.orphan()),
		zap.Bool("answers", w.contacted && !w.unresponsive), zap.Bool("listed", w.listed), zap.Duration("silent", now.Sub(w.lastAnswer)), zap.Duration("lease", w.leasesEnd.Sub(now)),
		zap.Int("unanswered", n.openStarts), zap.Bool("inherited", n.inherited), zap.Bool("settled", n.settled()), zap.Bool("stopped", !n.stoppedAt.IsZero()))
}
