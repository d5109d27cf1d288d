package leader

import (
	"cmp"
	"slices"
	"strconv"
	"time"

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
	waitOutdated   plan.WaitCause = "state changed during planning"
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

	roomSince     int64 // see plan.WaitingUnit
	noRoomSince   int64 // see plan.WaitingUnit
	triedAt       int64 // see plan.WaitingUnit
	reservedSince int64 // Unix ms since which it has had reservations without a gap; 0 if it has none

	cause plan.WaitCause
	fits  int
	width int

	loggedAt    int64 // Unix ms; 0 is never
	loggedCause plan.WaitCause
}

// now returns the time in Unix ms from which waits are counted. It does not follow
// the jumps of the instance's clock.
func (l *Leader) now() int64 { return l.startedAt.Add(time.Since(l.startedAt)).UnixMilli() }

// pausing reports whether the unit still has to pause before its next run. A pause
// is one of the waits by choice; a task that lasts may pause for longer, because
// callers expect it back only some seconds later. The end of the last run is
// another instance's time, so the pause ends at the latest when this leader has
// seen all of it. The caller holds l.mu.
func (l *Leader) pausing(js *ledger.JobState, u *ledger.Unit, now int64) bool {
	pause := pauseOf(js, u)
	if pause == 0 || now >= u.RunEndedAt+pause {
		return false
	}
	return now < l.waiting(u.ID, now).began+pause
}

// pauseOf returns the pause in ms from the end of the unit's last run to its next.
func pauseOf(js *ledger.JobState, u *ledger.Unit) int64 {
	pause := u.RetryDelay()
	if js.Job.Steps[u.ID.Step].LongRunning {
		return pause
	}
	return min(pause, plan.MaxChoiceWaitMs)
}

// couldRunSince returns the Unix time in ms from which on the unit could run. It is
// the time at which this leader first saw it waiting, with the pause if its task
// lasts, or the time that follows from the state if the unit waited before this
// leader's first round. The caller holds l.mu.
func (l *Leader) couldRunSince(js *ledger.JobState, u *ledger.Unit, dependenciesEndedAt, now int64) int64 {
	switch {
	case l.round == 0:
		return readySince(js, u, dependenciesEndedAt, now)
	case js.Job.Steps[u.ID.Step].LongRunning:
		return now
	}
	return l.waiting(u.ID, now).began
}

// readySince returns the Unix time in ms from which on the unit could run by the
// state: when its job was accepted, it was due, the steps before it ended and its
// last run ended, with the pause if its task lasts. The times are those of several
// instances' clocks; the result is at most MaxChoiceWaitMs before now.
func readySince(js *ledger.JobState, u *ledger.Unit, dependenciesEndedAt, now int64) int64 {
	since := max(js.Job.AcceptedAt, js.Job.Due(u.ID.Occurrence), dependenciesEndedAt, u.RunEndedAt)
	if js.Job.Steps[u.ID.Step].LongRunning {
		since = max(since, u.RunEndedAt+pauseOf(js, u))
	}
	return max(min(since, now), now-plan.MaxChoiceWaitMs)
}

// idle reports whether no unit of the job runs or is about to start. A run that is
// being stopped does not count: its end may be known only much later. The caller
// holds l.mu.
func (l *Leader) idle(js *ledger.JobState) bool {
	for i := range js.Units {
		unit := js.Units[i].ID
		if _, proposed := l.proposedStarts[unit]; proposed || slices.ContainsFunc(l.unitRuns[unit], (*run).goesOn) {
			return false
		}
	}
	return true
}

// goesOn reports whether the run is neither ending nor being stopped. The caller
// holds the lock of the leader.
func (n *run) goesOn() bool { return !n.stopping && !n.endProposed }

// forgetDisplaced forgets which reservations ended runs used. The caller holds l.mu.
func (l *Leader) forgetDisplaced() {
	for unit := range l.displaced {
		if _, proposed := l.proposedStarts[unit]; !proposed && len(l.unitRuns[unit]) == 0 {
			delete(l.displaced, unit)
		}
	}
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
		w.roomSince, w.noRoomSince = wait.RoomSince, wait.NoRoomSince
		if wait.Cause != plan.WaitRoundLimit {
			w.triedAt = in.Now
		}
	}
	for _, st := range planned {
		l.noteWait(st.Unit.ID, in.Now, waitPaced)
		if w := l.waits[st.Unit.ID]; w.roomSince == 0 {
			w.roomSince = in.Now
		}
	}
	for _, st := range out.Placements {
		l.noteWait(st.Unit.ID, in.Now, waitNotApplied)
	}
}

// endWaits forgets the units that did not wait in this round, and logs what keeps
// those that have waited for long. The caller holds l.mu.
func (l *Leader) endWaits(now int64) {
	mayLog := now < l.waitsLoggedAt || now >= l.waitsLoggedAt+waitLogPauseMs
	var due dueWaits
	for unit, w := range l.waits {
		if w.round != l.round {
			delete(l.waits, unit)
			continue
		}
		if _, ok := l.reservations[unit]; !ok {
			w.reservedSince = 0
		}
		if mayLog && w.dueForLog(now) {
			due.add(dueWait{unit, w.began})
		}
	}
	l.round++
	if len(due) == 0 {
		return
	}
	l.waitsLoggedAt = now
	usable, others := l.countUsable(time.Now())
	workers := []zap.Field{zap.Int("workers", usable), zap.String("unusable", others)}
	for _, d := range due {
		l.logWait(d.unit, now, workers)
	}
}

// dueWait is a unit of which a line is due, and when it was first seen waiting, Unix ms.
type dueWait struct {
	unit  ledger.UnitID
	began int64
}

// compare orders units by how long they wait, the longest first.
func (d dueWait) compare(o dueWait) int {
	return cmp.Or(cmp.Compare(d.began, o.began), cmp.Compare(d.unit.Job, o.unit.Job),
		cmp.Compare(d.unit.Occurrence, o.unit.Occurrence), cmp.Compare(d.unit.Step, o.unit.Step), cmp.Compare(d.unit.Index, o.unit.Index))
}

// dueWaits are the maxWaitLines units that wait the longest, in order.
type dueWaits []dueWait

// add adds a unit if it is one of them.
func (s *dueWaits) add(d dueWait) {
	if len(*s) == maxWaitLines && (*s)[maxWaitLines-1].compare(d) <= 0 {
		return
	}
	i, _ := slices.BinarySearchFunc(*s, d, dueWait.compare)
	*s = slices.Insert(*s, i, d)
	*s = (*s)[:min(len(*s), maxWaitLines)]
}

// dueForLog reports whether a line about the unit is due.
func (w *unitWait) dueForLog(now int64) bool {
	if now-w.began < minLoggedWaitMs {
		return false
	}
	return w.cause != w.loggedCause || now-w.loggedAt >= waitLogIntervalMs
}

// logWait logs what keeps a unit waiting, with fields about the workers. The caller
// holds l.mu.
func (l *Leader) logWait(unit ledger.UnitID, now int64, workers []zap.Field) {
	w := l.waits[unit]
	w.loggedAt, w.loggedCause = now, w.cause
	_, reserved := l.reservations[unit]
	fields := []zap.Field{zap.Stringer("unit", unit), zap.String("cause", string(w.cause)), zap.Int64("waited", now-w.began),
		zap.String("fits", strconv.Itoa(w.fits)+"/"+strconv.Itoa(w.width)), zap.Bool("reserved", reserved), zap.Int("queue", len(l.waits))}
	l.Logger.Info("unit waits", append(fields, workers...)...)
	if l.Metrics != nil {
		l.Metrics.Count("waits." + string(w.cause))
	}
}
