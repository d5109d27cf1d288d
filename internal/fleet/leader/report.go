package leader

import (
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// syncExchange describes the sync request that a report answers.
type syncExchange struct {
	token uint64    // fencing token of the request
	sent  time.Time // when it was sent
	acked uint64    // the last end that it acknowledged
}

// applyReport updates the leader's view of the worker from its report. It
// proposes the ends of runs and stops orphan runs. It reports whether the worker
// has restarted: such a report says nothing more, since the new incarnation
// carries out requests to earlier ones until a request with its token reaches it.
func (l *Leader) applyReport(w *worker, rep Report, ex syncExchange) (restarted bool) {
	l.mu.Lock()
	switch {
	case ex.token != l.target(w).Token:
		l.mu.Unlock()
		return false // it may be of an earlier incarnation
	case w.incarnation != 0 && w.incarnation != rep.Incarnation:
		l.recordRestart(w, rep.Incarnation)
		l.mu.Unlock()
		return true
	}
	var records []ledger.Record
	now := time.Now()
	l.recordContact(w, rep, ex.sent, now)
	w.dropAcknowledged(ex.acked)
	present := make(map[runKey]bool, len(rep.Running)+len(rep.Ended))
	orphans := make(map[runKey]bool)
	for _, t := range rep.Running {
		key := runKey{t.Task, t.Run}
		present[key] = true
		records = append(records, l.noteBegun(t.Task.Job)...)
		n := w.runs[key]
		if n == nil && !ex.sent.Before(w.reportSentAt) { // otherwise it may have ended since
			var resume []ledger.Record
			n, resume = l.resumeReported(w, key, rep.Incarnation)
			records = append(records, resume...)
		}
		if n == nil || n.endProposed && n.incarnation != rep.Incarnation { // it has started again while its end is being stored
			orphans[key] = true
			l.stopUnsent(key)
			continue
		}
		n.updateFromReport(t, rep.Incarnation)
		l.observeProgress(w, n, t.Percent, now)
	}
	for _, t := range rep.Ended {
		key := runKey{t.Task, t.Run}
		present[key] = true
		if t.Seq > w.lastEndSeq {
			w.lastEndSeq = t.Seq
			records = append(records, l.noteBegun(t.Task.Job)...)
			records = append(records, l.recordEnd(w, t, now)...)
		}
	}
	if len(rep.Ended) < MaxReportedEnds { // otherwise further runs may have ended
		records = append(records, l.endAbsent(w, present, ex.sent, now)...)
	}
	for _, n := range w.updateOrphans(orphans, ex.sent) {
		l.logOrphan(w, n)
		go l.deliverStop(w, n)
	}
	l.noteOrphans(w)
	l.observeContention(w, rep, ex.sent, now)
	l.mu.Unlock()
	l.Feed.Propose(l.Epoch, records...)
	return false
}

// recordRestart updates the worker for a new incarnation, which the next sync
// contacts with a token of its own. The caller holds l.mu.
func (l *Leader) recordRestart(w *worker, incarnation int64) {
	l.Logger.Info("worker restarted", zap.String("worker", w.id), zap.Int64("born", incarnation), zap.Int("runs", len(w.runs)))
	w.contacted = false
	w.generation++
	w.incarnation = incarnation
	w.ends = nil
	w.lastEndSeq = 0
	w.dropOrphans()
	l.observeRestart(w)
}

// recordContact updates the worker from the figures of a report that was requested
// at the given time. The caller holds l.mu.
func (l *Leader) recordContact(w *worker, rep Report, sent, now time.Time) {
	w.incarnation = rep.Incarnation
	if !w.contacted {
		w.contacted = true
		// From now on the worker refuses renewals by earlier leaders and those
		// that were sent to its earlier incarnations.
		w.leasesEnd = now.Add(maxLeaseTime(l.Bounds.Lease))
		l.wakePlanner()
	}
	w.unresponsive = false
	w.clockMs, w.clockAt, w.lastAnswer = rep.ClockMs, now, now
	if sent.After(w.reportSentAt) {
		w.reportSentAt = sent
	}
}

// endAbsent returns records of the ends of the runs that the worker's report proves
// to be lost. present has the reported runs. The caller holds l.mu.
func (l *Leader) endAbsent(w *worker, present map[runKey]bool, sent, now time.Time) []ledger.Record {
	var missing, crashed []*run
	token := l.target(w).Token
	for _, n := range w.unendedRuns() {
		switch {
		case present[n.key]:
		case n.refusedFrom(token) && n.incarnation != w.incarnation:
			crashed = append(crashed, n)
		case !n.settledBefore(sent):
		case n.incarnation != 0 && n.incarnation != w.incarnation:
			crashed = append(crashed, n)
		default:
			missing = append(missing, n)
		}
	}
	return append(l.endLost(w, missing, lossMissing, now), l.endLost(w, crashed, lossRestarted, now)...)
}

// updateFromReport updates the run from the report of an incarnation of the worker.
func (n *run) updateFromReport(t RunningTask, incarnation int64) {
	n.settle()
	n.reported, n.inherited, n.incarnation = true, false, incarnation
	n.returned = n.endProposed && n.lossCause != ""
	n.progress.add(t.Percent, time.Now())
	if t.Checkpoint != "" {
		n.checkpoint = t.Checkpoint
	}
}

// recordEnd notes a reported end and returns the record that stores it, if there
// is none yet. The caller holds l.mu.
func (l *Leader) recordEnd(w *worker, t EndedTask, now time.Time) []ledger.Record {
	key := runKey{t.Task, t.Run}
	n := w.runs[key]
	if n == nil || n.endProposed {
		return l.recordLostEnd(w, t, n, now)
	}
	w.ends = append(w.ends, reportedEnd{t.Seq, key, false})
	l.observeEnd(w, n, t.Outcome, now)
	if t.Outcome != ledger.Done && t.Outcome != ledger.Stopped {
		l.Logger.Info("run ended", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", key.run), zap.Int("member", n.member), zap.String("how", string(t.Outcome)))
	}
	checkpoint := t.Checkpoint
	if checkpoint == "" {
		checkpoint = n.checkpoint
	}
	return []ledger.Record{l.endRun(n, t.Outcome, checkpoint, now)}
}

// logDroppedEnd logs a reported end that has no effect: the state does not have the
// run, or a record of another end is being stored. It is called once for each end
// that an incarnation reports. A new leader also gets ends that the one before has
// stored and not acknowledged.
func (l *Leader) logDroppedEnd(w *worker, t EndedTask, n *run) {
	level := zap.DebugLevel
	if t.Outcome == ledger.Done || t.Outcome == ledger.Failed {
		level = zap.InfoLevel
	}
	l.Logger.Log(level, "reported end has no effect", zap.String("worker", w.id), zap.String("job", t.Task.Job), zap.Int("step", t.Task.Step), zap.Int("index", t.Task.Index),
		zap.Int("occurrence", t.Task.Occurrence), zap.Int("run", t.Run), zap.String("how", string(t.Outcome)), zap.Bool("ending", n != nil), zap.Duration("led", time.Since(l.startedAt)))
}

// endRun marks the run as ending and returns the record of its end, which the
// caller proposes. The caller holds l.mu.
func (l *Leader) endRun(n *run, outcome ledger.RunOutcome, checkpoint string, now time.Time) ledger.Record {
	n.endProposed = true
	return ledger.Record{End: &ledger.End{
		Epoch: l.Epoch, Unit: n.unit, Run: n.key.run, Member: n.member, Outcome: outcome, Checkpoint: checkpoint, At: now.UnixMilli(),
	}}
}
