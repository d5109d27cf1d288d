package leader

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// lostRunWatch is how long after a loss a worker that is not listed is still asked
// for reports, because it may only have been cut off along with its failure domain.
const lostRunWatch = 30 * time.Second

// lossUnknown is the cause of a loss that an earlier leader recorded.
const lossUnknown lossCause = "recorded by an earlier leader"

// lostRun is a lost run that its worker may report again, see ledger.LostMember.
type lostRun struct {
	key         runKey
	unit        ledger.UnitID
	member      int
	worker      string
	incarnation int64 // of the worker; 0 is unknown
	lostAt      time.Time
	startedAt   time.Time // zero if an earlier leader started it
	proof       proof     // of the time of the loss
	stopped     bool      // it was being stopped
	cause       lossCause
	resumable   bool // the state lets it continue
	lasting     bool // its task lasts: the unit goes on whatever its outcome
	endProposed bool // a record of its reported end has been proposed
	outcome     ledger.RunOutcome
}

// taskOf returns the task of a member of the unit.
func taskOf(unit ledger.UnitID, member int) TaskID {
	return TaskID{unit.Job, unit.Occurrence, unit.Step, unit.Index + member}
}

// updateLost updates the lost runs of a unit from the state. Those of which an end
// is being stored are kept until then. The caller holds l.mu.
func (l *Leader) updateLost(js *ledger.JobState, u *ledger.Unit) {
	old := l.lost[u.ID]
	if len(old) == 0 && len(u.Lost) == 0 {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(old), func(r *lostRun) bool { return !r.endProposed })
	for _, m := range u.Lost {
		r := newLostRun(u.ID, m)
		if i := slices.IndexFunc(old, r.same); i >= 0 {
			r = old[i]
		}
		r.resumable = js.CanResume(u, m.Run)
		r.lasting = js.Job.Steps[u.ID.Step].LongRunning
		if !r.endProposed {
			kept = append(kept, r)
		}
	}
	l.setLost(u.ID, kept)
}

// setLost replaces the lost runs of a unit. The caller holds l.mu.
func (l *Leader) setLost(unit ledger.UnitID, runs []*lostRun) {
	if len(runs) == 0 {
		delete(l.lost, unit)
		return
	}
	l.lost[unit] = runs
}

// newLostRun returns the run of a lost member of the state.
func newLostRun(unit ledger.UnitID, m ledger.LostMember) *lostRun {
	key := runKey{taskOf(unit, m.Member), m.Run}
	return &lostRun{key: key, unit: unit, member: m.Member, worker: m.Worker, incarnation: m.Incarnation, lostAt: time.UnixMilli(m.At), cause: lossUnknown}
}

// same reports whether both are the same run on the same worker.
func (r *lostRun) same(o *lostRun) bool { return r.worker == o.worker && r.key == o.key }

// findLost returns the lost run of a worker, or nil. The caller holds l.mu.
func (l *Leader) findLost(w *worker, key runKey) *lostRun {
	for _, runs := range l.lost {
		for _, r := range runs {
			if r.worker == w.id && r.key == key {
				return r
			}
		}
	}
	return nil
}

// mayReturn reports whether a run on the worker was lost lately. The caller holds
// l.mu.
func (l *Leader) mayReturn(w *worker) bool {
	for _, runs := range l.lost {
		for _, r := range runs {
			if r.worker == w.id && time.Since(r.lostAt) < lostRunWatch {
				return true
			}
		}
	}
	return false
}

// runReturned reports whether the unit has a run on a worker although the state may
// have none, a reported end of a lost run that is not stored yet, or a lost run on a
// worker that is listed and that this leader is asking for the first time. The caller
// holds l.mu.
func (l *Leader) runReturned(unit ledger.UnitID) bool {
	return len(l.unitRuns[unit]) > 0 || slices.ContainsFunc(l.lost[unit], func(r *lostRun) bool {
		return r.endProposed || l.workers[r.worker].beingAsked()
	})
}

// beingAsked reports whether the worker may answer but has neither answered nor
// failed to answer a sync of this leader.
func (w *worker) beingAsked() bool {
	return w != nil && w.listed && w.entry.Addr != "" && !w.contacted && !w.unresponsive
}

// resumeReported takes a lost run back that its worker reports as running, if that
// is possible, and returns the record that does so. Until it is stored the run
// counts as one of the worker, so that its resources and its lease are kept. The
// caller holds l.mu.
func (l *Leader) resumeReported(w *worker, key runKey, incarnation int64) (*run, []ledger.Record) {
	r := l.findLost(w, key)
	if r == nil || !r.resumable || r.stopped || r.endProposed || r.incarnation != incarnation || w.orphans[key] != nil || len(l.unitRuns[r.unit]) > 0 {
		return nil, nil
	}
	if _, ok := l.proposedStarts[r.unit]; ok {
		return nil, nil
	}
	n := &run{proof: r.proof, key: key, unit: r.unit, member: r.member, incarnation: incarnation, startedAt: r.startedAt, accepted: true, resuming: true}
	if n.startedAt.IsZero() {
		n.startedAt = time.Now()
	}
	n.reported = true
	n.settle()
	l.addRun(w, n)
	l.Logger.Info("lost run has come back; it goes on", r.fields()...)
	return n, []ledger.Record{{Resume: &ledger.Resume{Epoch: l.Epoch, Unit: r.unit, Run: key.run, Incarnation: incarnation}}}
}

// fields returns what the log tells of a lost run.
func (r *lostRun) fields() []zap.Field {
	return []zap.Field{
		zap.String("worker", r.worker), zap.Stringer("unit", r.unit), zap.Int("run", r.key.run), zap.Int("member", r.member),
		zap.Duration("after", time.Since(r.lostAt)), zap.String("cause", string(r.cause)),
	}
}

// applyResume notes whether a lost run was taken back. If not, it is an orphan run
// from the next report on. The caller holds the feed's lock and l.mu.
func (l *Leader) applyResume(s *ledger.State, r *ledger.Resume, effective bool) {
	for _, n := range slices.Clone(l.unitRuns[r.Unit]) {
		if n.key.run != r.Run || !n.resuming {
			continue
		}
		n.resuming = false
		n.setKind(s)
		if !effective {
			l.Logger.Info("lost run cannot go on", zap.String("worker", n.worker.id), zap.Stringer("unit", r.Unit), zap.Int("run", r.Run))
		}
		if !effective && !n.endProposed {
			l.removeRun(n)
			n.worker.wakeSession()
		}
	}
	if effective && len(l.unitRuns[r.Unit]) == 0 { // a record that loses the run again was stored before
		js := s.Jobs[r.Unit.Job]
		l.inheritRuns(js, js.Unit(r.Unit))
	}
	l.updateLostOf(s, r.Unit)
}

// updateLostOf is like updateLost for a unit of the state, which may be gone. The
// caller holds the feed's lock and l.mu.
func (l *Leader) updateLostOf(s *ledger.State, unit ledger.UnitID) {
	js := s.Jobs[unit.Job]
	if js == nil {
		l.setLost(unit, slices.DeleteFunc(l.lost[unit], func(r *lostRun) bool { return !r.endProposed }))
		return
	}
	if u := js.Unit(unit); u != nil {
		l.updateLost(js, u)
	}
}

// recordLostEnd notes a reported end of a run that the state does not have, or of
// which it is about to store that it is lost; n is the run in the latter case. It
// returns the record that stores the end. The caller holds l.mu.
func (l *Leader) recordLostEnd(w *worker, t EndedTask, n *run, now time.Time) []ledger.Record {
	key := runKey{t.Task, t.Run}
	r := l.findLost(w, key)
	if r == nil && n != nil && n.lossCause != "" {
		r = &lostRun{key: key, unit: n.unit, member: n.member, worker: w.id, incarnation: n.incarnation, lostAt: now, cause: n.lossCause}
		l.lost[r.unit] = append(l.lost[r.unit], r)
	}
	w.ends = append(w.ends, reportedEnd{t.Seq, key, r == nil && n == nil})
	if r == nil || r.endProposed {
		l.logDroppedEnd(w, t, n)
		return nil
	}
	l.Logger.Info("lost run has come back; it has ended", append(r.fields(), zap.String("how", string(t.Outcome)))...)
	r.endProposed, r.outcome = true, t.Outcome
	l.stopSuccessors(r)
	end := ledger.End{Epoch: l.Epoch, Unit: r.unit, Run: key.run, Member: r.member, Outcome: t.Outcome, Checkpoint: t.Checkpoint, At: now.UnixMilli()}
	return []ledger.Record{{End: &end}}
}

// stopSuccessors stops the runs that were started after a lost one that is done.
// After one that has failed it stops those that have not begun, because it may have
// used up the attempts. The caller holds l.mu.
func (l *Leader) stopSuccessors(r *lostRun) {
	for _, n := range l.unitRuns[r.unit] {
		switch {
		case n.key.run <= r.key.run:
		case r.outcome == ledger.Done && !r.lasting:
			l.stopRun(n.worker, n, "an earlier run is done")
		case r.outcome == ledger.Failed && n.neverStarted():
			l.stopRun(n.worker, n, "an earlier run has failed")
		}
	}
}

// stopBlocked stops runs that were just decided if an earlier run of their unit has
// been reported since. The caller holds l.mu.
func (l *Leader) stopBlocked(unit ledger.UnitID) {
	for _, r := range l.lost[unit] {
		if r.endProposed {
			l.stopSuccessors(r)
		}
	}
	for _, w := range l.withOrphans {
		for key := range w.orphans {
			if key.task.Job == unit.Job {
				l.stopUnsent(key)
			}
		}
	}
}

// stopUnsent stops the runs that have not begun of the unit of an orphan run: they
// must not run beside it. The caller holds l.mu.
func (l *Leader) stopUnsent(orphan runKey) {
	unit := ledger.UnitID{Job: orphan.task.Job, Occurrence: orphan.task.Occurrence, Step: orphan.task.Step, Index: orphan.task.Index}
	gang := unit
	gang.Index = 0
	for _, id := range []ledger.UnitID{unit, gang} {
		runs := l.unitRuns[id]
		if !slices.ContainsFunc(runs, func(n *run) bool { return n.key.task == orphan.task }) {
			continue
		}
		for _, n := range runs {
			if n.neverStarted() {
				l.stopRun(n.worker, n, "an earlier run goes on")
			}
		}
	}
}

// applyLostEnd acts on a stored end of a lost run: the worker may forget it, and
// what was started after a run that is done is stopped. done reports whether the unit
// is done. The caller holds l.mu.
func (l *Leader) applyLostEnd(r *ledger.End, effective, done bool) {
	for _, o := range slices.Clone(l.lost[r.Unit]) {
		if o.key.run != r.Run || o.member != r.Member || !o.endProposed {
			continue
		}
		l.setLost(r.Unit, slices.DeleteFunc(l.lost[r.Unit], func(x *lostRun) bool { return x == o }))
		switch {
		case effective:
			l.stopSuccessors(o)
		case !done: // otherwise another member of the gang was done first
			l.Logger.Info("reported end of a lost run has no effect", append(o.fields(), zap.String("how", string(r.Outcome)))...)
		}
		if w := l.workers[o.worker]; w != nil {
			w.markStored(o.key)
			w.recordOutcome(r)
			w.wakeSession()
		}
	}
}

// unitDone reports whether the state has the unit and it is done.
func unitDone(s *ledger.State, id ledger.UnitID) bool {
	js := s.Jobs[id.Job]
	if js == nil {
		return false
	}
	u := js.Unit(id)
	return u != nil && u.Done
}

// hasEnded reports whether the worker has reported an end of a run that counts as
// lost. The caller holds l.mu.
func (l *Leader) hasEnded(n *run) bool {
	r := l.findLost(n.worker, n.key)
	return r != nil && r.endProposed
}

// applyLoss notes why a run was lost. If its worker has reported it as running
// meanwhile, it is taken back or else stopped as an orphan run. The caller holds the
// feed's lock and l.mu.
func (l *Leader) applyLoss(n *run) {
	r := l.findLost(n.worker, n.key)
	if r != nil {
		r.cause, r.startedAt, r.proof, r.stopped = n.lossCause, n.startedAt, n.proof, n.stopping
	}
	if !n.returned || n.incarnation != n.worker.incarnation || r != nil && r.endProposed {
		return
	}
	if _, records := l.resumeReported(n.worker, n.key, n.worker.incarnation); len(records) > 0 {
		l.Feed.ProposeLocked(l.Epoch, records...)
		return
	}
	if n.worker.orphans[n.key] != nil {
		return
	}
	orphan := n.worker.addOrphan(n.key)
	l.noteOrphans(n.worker)
	l.logOrphan(n.worker, orphan)
	go l.deliverStop(n.worker, orphan)
}
