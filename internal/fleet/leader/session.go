package leader

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// minSyncWait and maxSyncWait bound how long a worker may delay its answer
	// to a sync until a run ends. This is also the interval of lease renewals,
	// several of which fit into a lease. A short interval finds lost answers
	// sooner; a long one costs a leader with many workers less.
	minSyncWait = 800 * time.Millisecond
	maxSyncWait = 1600 * time.Millisecond

	// syncWaitPerWorker is how much each worker adds to this delay.
	syncWaitPerWorker = 4 * time.Millisecond

	// syncTimeout bounds the duration of a sync beyond this delay.
	syncTimeout = 400 * time.Millisecond

	// idleSyncInterval is the pause between two syncs of a worker without runs.
	idleSyncInterval = 4 * time.Second

	// maxStoreWait bounds the wait for reported ends to be stored before the
	// next sync. The worker would report ends that are not acknowledged again,
	// and at once.
	maxStoreWait = 400 * time.Millisecond

	// syncRetryDelay is the pause between two syncs of a worker that does not
	// answer.
	syncRetryDelay = 250 * time.Millisecond

	// unhealthyPause is how long no new runs are started on a worker that
	// refused a start as unhealthy or as another incarnation.
	unhealthyPause = 2 * time.Second

	// orphanStopInterval is the pause between two stop requests for a run that
	// the state does not have.
	orphanStopInterval = 500 * time.Millisecond
)

// runSession syncs with the worker until the epoch ends: it renews the worker's
// leases and applies its reports.
func (l *Leader) runSession(w *worker) {
	answered := true
	for l.ctx.Err() == nil {
		if !l.awaitSync(w, answered) {
			continue
		}
		answered = l.sync(w, answered)
	}
}

// awaitSync waits until the worker's next sync may be due and reports whether it
// is. answered reports whether the last sync succeeded.
func (l *Leader) awaitSync(w *worker, answered bool) bool {
	l.mu.Lock()
	l.expireLeases(w)
	pause := time.Duration(0)
	switch {
	case w.entry.Addr == "":
		pause = time.Second
	case !w.listed && len(w.runs) == 0:
		pause = time.Hour
	case !answered:
		pause = syncRetryDelay
	case w.hasUnstoredEnds():
		pause = maxStoreWait
	case w.contacted && len(w.runs) == 0 && len(w.ends) == 0:
		pause = idleSyncInterval - time.Since(w.lastAnswer)
	}
	hasAddr := w.entry.Addr != ""
	l.mu.Unlock()
	if pause <= 0 {
		return true
	}
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-l.ctx.Done():
		return false
	case <-w.wake:
		return hasAddr && answered && l.syncDue(w)
	case <-t.C:
		return hasAddr
	}
}

// syncDue reports whether a worker whose session was woken should be synced.
func (l *Leader) syncDue(w *worker) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return w.entry.Addr != "" && (!w.contacted || !w.hasUnstoredEnds())
}

// sync sends one sync request to the worker, applies the report, and reports
// whether the worker answered. answered says the same of the sync before.
func (l *Leader) sync(w *worker, answered bool) bool {
	mayRenew := l.logReadRecently()
	l.mu.Lock()
	t := l.target(w)
	req := SyncRequest{Ack: w.safeAck(time.Now())}
	if w.contacted && answered && len(w.runs) > 0 {
		if mayRenew {
			req.LeaseEnd = w.extendLease(l.Bounds.Lease)
		}
		if !w.hasUnstoredEnds() {
			req.MaxWait = min(max(minSyncWait, time.Duration(len(l.workers))*syncWaitPerWorker), maxSyncWait)
		}
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, req.MaxWait+syncTimeout)
	defer cancel()
	sent := time.Now()
	rep, err := l.Client.Sync(ctx, t, req)
	if err != nil {
		l.syncFailed(w, answered, err)
		return false
	}
	l.applyReport(w, rep, sent, req.Ack)
	return true
}

// logReadRecently reports whether the log was read recently enough to renew
// leases. A later leader waits that long before it considers the runs of
// workers that it cannot reach as lost.
func (l *Leader) logReadRecently() bool {
	return l.Feed.Status().Age < staleLeaderTime
}

// target returns the recipient of requests to the worker. The caller holds l.mu.
func (l *Leader) target(w *worker) Target {
	return Target{ID: w.id, Addr: w.entry.Addr, Epoch: l.Epoch}
}

// syncFailed marks the worker as unresponsive. firstFailure reports whether the
// sync before succeeded.
func (l *Leader) syncFailed(w *worker, firstFailure bool, err error) {
	if l.ctx.Err() != nil {
		return
	}
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Reason == RefusedStaleEpoch {
		l.Logger.Warn("worker refused the sync: it has seen a higher epoch", zap.String("worker", w.id), zap.Uint64("epoch", l.Epoch))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w.unresponsive = true
	if firstFailure {
		l.Logger.Info("worker does not answer", zap.String("worker", w.id), zap.Int("runs", len(w.runs)), zap.Duration("lease", time.Until(w.leasesEnd)), zap.Error(err))
	}
}

// applyReport updates the leader's view of the worker from its report. It
// proposes the ends of runs and stops orphan runs. sent is when the report was
// requested, and acked the last end that the request acknowledged.
func (l *Leader) applyReport(w *worker, rep Report, sent time.Time, acked uint64) {
	l.mu.Lock()
	var records []ledger.Record
	now := time.Now()
	if w.contacted && w.incarnation != rep.Incarnation {
		l.Logger.Info("worker restarted", zap.String("worker", w.id), zap.Int64("born", rep.Incarnation), zap.Int("runs", len(w.runs)))
		w.ends = nil
		w.lastEndSeq = 0
		clear(w.orphans)
	}
	restarted := w.contacted && w.incarnation != rep.Incarnation
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
	w.dropAcknowledged(acked)
	present := make(map[runKey]bool, len(rep.Running)+len(rep.Ended))
	orphans := make(map[runKey]bool)
	for _, t := range rep.Running {
		key := runKey{t.Task, t.Run}
		present[key] = true
		if n := w.runs[key]; n != nil {
			n.updateFromReport(t)
		} else {
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
	var missing, crashed []*run
	for _, n := range w.unendedRuns() {
		if present[n.key] || !n.absent(sent) {
			continue
		}
		if restarted || n.incarnation != 0 && n.incarnation != rep.Incarnation {
			crashed = append(crashed, n)
			continue
		}
		missing = append(missing, n)
	}
	records = append(records, l.endLost(w, missing, lossMissing, now)...)
	records = append(records, l.endLost(w, crashed, lossRestarted, now)...)
	stops := w.updateOrphans(orphans, now)
	l.mu.Unlock()
	l.Feed.Propose(l.Epoch, records...)
	for _, key := range stops {
		l.Logger.Info("orphan run on worker; stopping it", zap.String("worker", w.id), zap.String("job", key.task.Job), zap.Int("step", key.task.Step), zap.Int("index", key.task.Index), zap.Int("run", key.run))
		go l.stopOrphan(w, key)
	}
}

// updateFromReport updates the run from the worker's report.
func (n *run) updateFromReport(t RunningTask) {
	n.settle()
	n.reported = true
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

// expireLeases ends the runs of a worker whose leases have certainly ended. The
// caller holds l.mu.
func (l *Leader) expireLeases(w *worker) {
	now := time.Now()
	leasesEnd := w.leasesEnd
	if gone := l.startedAt.Add(maxLeaseTime(l.Bounds.Lease)); !w.contacted && !w.listed && leasesEnd.After(gone) {
		leasesEnd = gone // the platform does not list it any more
	}
	if len(w.runs) == 0 || now.Before(leasesEnd) || now.Sub(w.lastAnswer) < maxRenewSilence {
		return
	}
	records := l.endLost(w, w.unendedRuns(), lossUnreachable, now)
	if len(records) == 0 {
		return
	}
	l.Logger.Info("worker unreachable until its leases ended; its runs are lost", zap.String("worker", w.id), zap.Int("runs", len(records)), zap.Duration("silent", now.Sub(w.lastAnswer)))
	// Propose takes the feed's lock, which comes before l.mu in the lock order.
	go l.Feed.Propose(l.Epoch, records...)
}

// updateOrphans replaces the worker's orphan runs by the reported ones and
// returns those for which a stop request is due.
func (w *worker) updateOrphans(reported map[runKey]bool, now time.Time) []runKey {
	for key := range w.orphans {
		if !reported[key] {
			delete(w.orphans, key)
		}
	}
	var due []runKey
	for key := range reported {
		if last, ok := w.orphans[key]; !ok || now.Sub(last) > orphanStopInterval {
			w.orphans[key] = now
			due = append(due, key)
		}
	}
	return due
}
