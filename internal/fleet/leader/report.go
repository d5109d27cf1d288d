package leader

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// applyReport updates the leader's view of the worker from its report. It
// proposes the ends of runs and stops orphan runs. sent is when the report was
// requested, and acked the last end that the request acknowledged.
func (l *Leader) applyReport(w *worker, rep Report, sent time.Time, acked uint64) {
	l.mu.Lock()
	if w.contacted && w.incarnation != rep.Incarnation && sent.Before(w.reportSentAt) {
		l.mu.Unlock()
		return // of an earlier incarnation; its ends are numbered differently
	}
	var records []ledger.Record
	now := time.Now()
	restarted := w.contacted && w.incarnation != rep.Incarnation
	var stops []*run
	if restarted {
		stops = l.recordRestart(w, rep.Incarnation)
	}
	l.recordContact(w, rep, sent, now)
	w.dropAcknowledged(acked)
	present := make(map[runKey]bool, len(rep.Running)+len(rep.Ended))
	orphans := make(map[runKey]bool)
	for _, t := range rep.Running {
		key := runKey{t.Task, t.Run}
		present[key] = true
		n := w.runs[key]
		if n != nil {
			n.updateFromReport(t, rep.Incarnation)
		}
		if n == nil || w.orphans[key] != nil { // it may have started again while its end is being stored
			orphans[key] = true
		}
	}
	for _, t := range rep.Ended {
		key := runKey{t.Task, t.Run}
		present[key] = true
		if t.Seq > w.lastEndSeq {
			w.lastEndSeq = t.Seq
			records = append(records, l.recordEnd(w, t, now)...)
		}
	}
	if len(rep.Ended) < MaxReportedEnds { // otherwise further runs may have ended
		records = append(records, l.endAbsent(w, present, restarted, sent, now)...)
	}
	stops = append(stops, w.updateOrphans(orphans, sent)...)
	l.mu.Unlock()
	l.Feed.Propose(l.Epoch, records...)
	for _, n := range stops {
		l.Logger.Info("orphan run on worker; stopping it", zap.String("worker", w.id), zap.String("job", n.key.task.Job), zap.Int("step", n.key.task.Step), zap.Int("index", n.key.task.Index), zap.Int("run", n.key.run))
		go l.deliverStop(w, n)
	}
}

// recordRestart updates the worker for a new incarnation and returns the orphan
// runs that may start on it. The caller holds l.mu.
func (l *Leader) recordRestart(w *worker, incarnation int64) []*run {
	l.Logger.Info("worker restarted", zap.String("worker", w.id), zap.Int64("born", incarnation), zap.Int("runs", len(w.runs)))
	w.ends = nil
	w.lastEndSeq = 0
	w.dropOrphans()
	return w.addLateOrphans()
}

// recordContact updates the worker from the figures of a report that was requested
// at the given time. The caller holds l.mu.
func (l *Leader) recordContact(w *worker, rep Report, sent, now time.Time) {
	w.incarnation = rep.Incarnation
	if !w.contacted {
		w.contacted = true
		// From now on the worker refuses renewals by earlier leaders.
		w.leasesEnd = now.Add(maxLeaseTime(l.Bounds.Lease))
		l.wakePlanner()
	}
	w.unresponsive = false
	w.clockMs, w.clockAt, w.lastAnswer = rep.ClockMs, now, now
	if sent.After(w.reportSentAt) {
		w.reportSentAt = sent
	}
}

// endAbsent returns records of the ends of the runs that the worker's newest
// report proves to be lost, and stops the units of those that may still start on the
// worker's new incarnation. present has the reported runs. The caller holds l.mu.
func (l *Leader) endAbsent(w *worker, present map[runKey]bool, restarted bool, sent, now time.Time) []ledger.Record {
	var missing, crashed, maybeLate []*run
	for _, n := range w.unendedRuns() {
		switch {
		case present[n.key] || !n.settledBefore(sent):
		case n.mayStartOn(w.incarnation):
			maybeLate = append(maybeLate, n)
		case restarted || n.incarnation != 0 && n.incarnation != w.incarnation:
			crashed = append(crashed, n)
		default:
			missing = append(missing, n)
		}
	}
	decideOutcomes(w, slices.Concat(crashed, maybeLate), lossRestarted)
	for _, n := range maybeLate {
		l.stopUnit(n.unit, "worker restarted")
	}
	return append(l.endLost(w, missing, lossMissing, now), l.endLost(w, crashed, lossRestarted, now)...)
}

// updateFromReport updates the run from the report of an incarnation of the worker.
func (n *run) updateFromReport(t RunningTask, incarnation int64) {
	n.settle(incarnation)
	n.reported, n.lossOutcome = true, ""
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
		w.ends = append(w.ends, reportedEnd{t.Seq, key, n == nil})
		return nil
	}
	w.ends = append(w.ends, reportedEnd{t.Seq, key, false})
	if t.Outcome != ledger.Done && t.Outcome != ledger.Stopped {
		l.Logger.Info("run ended", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", key.run), zap.Int("member", n.member), zap.String("how", string(t.Outcome)))
	}
	checkpoint := t.Checkpoint
	if checkpoint == "" {
		checkpoint = n.checkpoint
	}
	return []ledger.Record{l.endRun(n, t.Outcome, checkpoint, now)}
}

// endRun marks the run as ending and returns the record of its end, which the
// caller proposes. The caller holds l.mu.
func (l *Leader) endRun(n *run, outcome ledger.RunOutcome, checkpoint string, now time.Time) ledger.Record {
	n.endProposed = true
	return ledger.Record{End: &ledger.End{
		Epoch: l.Epoch, Unit: n.unit, Run: n.key.run, Member: n.member, Outcome: outcome, Checkpoint: checkpoint, At: now.UnixMilli(),
	}}
}
