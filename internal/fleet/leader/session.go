package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"
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

	// maxRequestDelay is how long after it was sent a request without an answer may
	// still be carried out.
	maxRequestDelay = 15 * time.Second

	// unhealthyPause is how long no new runs are started on a worker that
	// refused a start as unhealthy or as another incarnation.
	unhealthyPause = 2 * time.Second
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
	pause, wake := time.Duration(0), w.wake
	switch {
	case w.entry.Addr == "":
		pause = time.Second
	case !w.listed && !w.busy() && !l.mayReturn(w):
		pause = time.Hour
	case !answered:
		pause = syncRetryDelay
		wake = nil // other requests that fail must not postpone the next sync
	case w.hasUnstoredEnds():
		pause = maxStoreWait
	case w.contacted && !w.busy() && len(w.ends) == 0:
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
	case <-wake:
		return hasAddr && l.syncDue(w)
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
	l.updateUnstoppable(w, time.Now())
	t := l.target(w)
	req := SyncRequest{Ack: w.safeAck(time.Now())}
	if w.contacted && answered && w.busy() {
		if mayRenew && w.mayRenew() && !w.unstoppable {
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
		l.syncFailed(w, t, answered, err)
		return false
	}
	l.applyReport(w, rep, syncExchange{t.Token, sent, req.Ack})
	return true
}

// logReadRecently reports whether the log was read recently enough to renew
// leases. A later leader waits that long before it considers the runs of
// workers that it cannot reach as lost.
func (l *Leader) logReadRecently() bool {
	return l.Feed.Status().Age < staleLeaderTime
}

// syncFailed marks the worker as unresponsive, unless another request to it had a
// newer fencing token. firstFailure reports whether the sync before succeeded.
func (l *Leader) syncFailed(w *worker, t Target, firstFailure bool, err error) {
	if l.ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Reason == RefusedStaleToken {
		if t.Token < l.target(w).Token {
			return
		}
		l.Logger.Warn("worker refused the sync: it has seen a higher fencing token", zap.String("worker", w.id), zap.Uint64("epoch", l.Epoch), zap.Uint64("token", t.Token))
	}
	w.unresponsive = true
	if firstFailure {
		l.Logger.Info("worker does not answer", zap.String("worker", w.id), zap.Int("runs", len(w.runs)), zap.Duration("lease", time.Until(w.leasesEnd)), zap.Error(err))
	}
}

// lateRunEnd returns until when a worker that does not answer may run the run even
// though its leases have ended: it may have restarted, and its new incarnation may
// have carried out a start request without an answer, whose lease it measures on a
// clock that began anew. The request may be one of the leader before. The caller
// holds l.mu.
func (l *Leader) lateRunEnd(n *run) time.Time {
	switch {
	case n.openStarts > 0:
		return n.startSentAt.Add(maxRequestDelay + maxLeaseTime(l.Bounds.Lease))
	case n.inherited:
		return l.startedAt.Add(startDeadline + maxRequestDelay + maxLeaseTime(l.Bounds.Lease))
	}
	return time.Time{}
}

// expireLeases ends the runs of a worker whose leases have certainly ended. The
// caller holds l.mu.
func (l *Leader) expireLeases(w *worker) {
	now := time.Now()
	if !w.busy() || now.Before(w.leasesEnd) || now.Sub(w.lastAnswer) < maxRenewSilence {
		return
	}
	w.dropOrphans()
	lost := slices.DeleteFunc(w.unendedRuns(), func(n *run) bool { return now.Before(l.lateRunEnd(n)) })
	records := l.endLost(w, lost, lossUnreachable, now)
	if len(records) == 0 {
		return
	}
	l.Logger.Info("worker unreachable until its leases ended; its runs are lost", zap.String("worker", w.id), zap.Int("runs", len(records)), zap.Duration("silent", now.Sub(w.lastAnswer)))
	// Propose takes the feed's lock, which comes before l.mu in the lock order.
	go l.Feed.Propose(l.Epoch, records...)
}
