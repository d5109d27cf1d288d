package leader

import (
	"cmp"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

// The causes of waiting that are found before and after planning; see also
// package plan.
const (
	waitPause      plan.WaitCause = "pause before the next run"
	waitOrphan     plan.WaitCause = "orphan run of its tasks"
	waitReturned   plan.WaitCause = "run reported again"
	waitNotApplied plan.WaitCause = "start not in the log yet"
	waitPaced      plan.WaitCause = "link busy with starts"
)

const (
	// minLoggedWaitMs is how long a unit waits before the log says why.
	minLoggedWaitMs = 1000

	// waitLogIntervalMs is the time after which the line is repeated although
	// the cause is the same.
	waitLogIntervalMs = 5000

	// waitLogPauseMs and maxWaitLines bound the lines about waiting units.
	waitLogPauseMs = 500
	maxWaitLines   = 8
)

// unitWait is what the leader knows of a unit that waits for its start.
type unitWait struct {
	since int64 // Unix ms at which this leader first saw it ready to be placed; 0 if it has not
	began int64 // Unix ms at which this leader first saw it waiting for any cause
	round int64 // number of the last round in which it waited

	cause plan.WaitCause
	fits  int
	width int

	loggedAt    int64 // Unix ms; 0 is never
	loggedCause plan.WaitCause
}

// waiting returns the entry of a unit that waits in this round. The caller holds
// l.mu.
func (l *Leader) waiting(unit ledger.UnitID, now int64) *unitWait {
	w := l.waits[unit]
	if w == nil {
		w = &unitWait{began: now}
		l.waits[unit] = w
	}
	w.round = l.round
	return w
}

// noteWait notes what keeps a unit that waits in this round. The caller holds l.mu.
func (l *Leader) noteWait(unit ledger.UnitID, now int64, cause plan.WaitCause) {
	w := l.waiting(unit, now)
	w.cause, w.fits, w.width = cause, 0, 0
}

// notePlan notes what keeps the units that a round did not place, and those whose
// placements were not admitted. The caller holds l.mu.
func (l *Leader) notePlan(in plan.Input, out plan.Output, planned []plan.Placement) {
	for _, wait := range out.Waits {
		w := l.waiting(wait.Unit.ID, in.Now)
		w.cause, w.fits, w.width = wait.Cause, wait.Fits, wait.Unit.Width
	}
	for _, st := range planned {
		l.noteWait(st.Unit.ID, in.Now, waitPaced)
	}
	for _, st := range out.Placements {
		l.noteWait(st.Unit.ID, in.Now, waitNotApplied)
	}
}

// endRound forgets the units that did not wait in this round, and logs what keeps
// those that have waited for long. The caller holds l.mu.
func (l *Leader) endRound(now int64) {
	var due []ledger.UnitID
	for unit, w := range l.waits {
		if w.round != l.round {
			delete(l.waits, unit)
			continue
		}
		if w.dueForLog(now) {
			due = append(due, unit)
		}
	}
	l.round++
	if len(due) == 0 || now >= l.waitsLoggedAt && now < l.waitsLoggedAt+waitLogPauseMs {
		return
	}
	l.waitsLoggedAt = now
	slices.SortFunc(due, func(a, b ledger.UnitID) int {
		return cmp.Or(cmp.Compare(l.waits[a].began, l.waits[b].began), cmp.Compare(a.String(), b.String()))
	})
	for _, unit := range due[:min(len(due), maxWaitLines)] {
		l.logWait(unit, now)
	}
}

// dueForLog reports whether a line about the unit is due.
func (w *unitWait) dueForLog(now int64) bool {
	if now-w.began < minLoggedWaitMs {
		return false
	}
	return w.cause != w.loggedCause || now-w.loggedAt >= waitLogIntervalMs
}

// logWait logs what keeps a unit waiting. The caller holds l.mu.
func (l *Leader) logWait(unit ledger.UnitID, now int64) {
	w := l.waits[unit]
	w.loggedAt, w.loggedCause = now, w.cause
	_, reserved := l.reservations[unit]
	l.Logger.Info("unit waits", zap.Stringer("unit", unit), zap.String("cause", string(w.cause)), zap.Int64("waited", now-w.began),
		zap.String("fits", strconv.Itoa(w.fits)+"/"+strconv.Itoa(w.width)), zap.Bool("reserved", reserved), zap.Int("queue", len(l.waits)))
	if l.Metrics != nil {
		l.Metrics.Count("waits." + string(w.cause))
	}
}
