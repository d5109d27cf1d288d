package leader

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// requestTimeout bounds one attempt of a request to a worker.
	requestTimeout = 400 * time.Millisecond

	// startDeadline bounds the time from the start record to the last attempt
	// of the start request. A leader that was paused for longer must not send
	// the request any more, and the members of a gang wait for each other only
	// for a limited time.
	startDeadline = 2 * time.Second

	// startRetryInterval is the shortest time between the attempts of a start
	// request after the second. A worker whose process has crashed refuses
	// connections at once.
	startRetryInterval = 100 * time.Millisecond

	// minStopPause and maxStopPause bound the pause between two steps to stop a
	// run. It doubles with each step.
	minStopPause = 150 * time.Millisecond
	maxStopPause = time.Second
)

// deliverStart sends a start request until the worker answers or the start is
// abandoned.
func (l *Leader) deliverStart(w *worker, n *run, req StartRequest) {
	ctx, cancel := context.WithDeadline(l.ctx, n.startedAt.Add(startDeadline))
	defer cancel()
	for try := 1; l.ctx.Err() == nil; try++ {
		release, ok := l.pacer.acquire(ctx, req.size())
		if !ok {
			l.startOverdue(w, n)
			return
		}
		finished, pause := l.tryStart(w, n, req, try)
		release()
		if finished {
			return
		}
		delay.For(l.ctx, pause)
	}
}

// tryStart sends a start request once. It reports whether the delivery is
// finished, and otherwise how long to wait before the next attempt.
func (l *Leader) tryStart(w *worker, n *run, req StartRequest, try int) (finished bool, pause time.Duration) {
	l.mu.Lock()
	if !n.mayBeStarted() {
		l.mu.Unlock()
		return true, 0
	}
	if n.incarnation != 0 && n.incarnation != w.incarnation {
		l.stopRun(w, n, "worker restarted")
		l.mu.Unlock()
		return true, 0
	}
	if w.unstoppable {
		l.stopRun(w, n, "worker carries out no stops")
		l.mu.Unlock()
		return true, 0
	}
	if l.Policy.Evacuated(w.entry.Zone) {
		l.stopRun(w, n, "failure domain evacuated")
		l.mu.Unlock()
		return true, 0
	}
	if time.Since(n.startedAt) > startDeadline || w.entry.Addr == "" {
		l.abandonStart(w, n)
		return true, 0
	}
	if !w.contacted {
		l.mu.Unlock()
		return false, syncRetryDelay
	}
	if w.reportSentAt.Before(n.unansweredAt) {
		// An attempt may have reached an incarnation that has crashed since.
		l.mu.Unlock()
		if !l.requestReport(w) {
			pause = startRetryInterval
		}
		return false, pause
	}
	t := l.target(w)
	req.LeaseEnd = w.extendLease(l.Bounds.Lease)
	n.openStarts, n.startSentAt, n.startToken = n.openStarts+1, time.Now(), t.Token
	delete(l.unsentStarts, n)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, requestTimeout)
	defer cancel()
	sent := time.Now()
	err := l.Client.Start(ctx, t, req)
	if try > 1 {
		pause = startRetryInterval - time.Since(sent)
	}
	return l.recordStartAnswer(w, n, try, err), pause
}

// recordStartAnswer records the answer of a worker to a start request and reports
// whether the delivery is finished.
func (l *Leader) recordStartAnswer(w *worker, n *run, try int, err error) bool {
	var refused *RefusedError
	l.mu.Lock()
	defer l.mu.Unlock()
	n.recordAnswer(settledBy(err))
	switch {
	case err == nil:
		n.accepted = true
		if records := l.noteBegun(n.unit.Job); records != nil {
			go l.Feed.Propose(l.Epoch, records...)
		}
		l.Logger.Debug("run started", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run), zap.Int("member", n.member), zap.Int("try", try))
		w.wakeSession()
		return true
	case errors.As(err, &refused):
		l.Logger.Info("worker refused start", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run), zap.String("reason", string(refused.Reason)), zap.Int("try", try), zap.Int("unanswered", n.openStarts))
		l.startRefused(w, n, refused.Reason)
		return true
	case l.ctx.Err() != nil:
		return true
	}
	switch {
	case settledBy(err) == settlesNothing:
		n.unansweredAt = time.Now()
	case n.stopping && n.neverStarted() && !n.endProposed:
		l.cancelStart(w, n, "stopped while the request was not sent")
		return true
	}
	if try == 1 {
		l.Logger.Info("start request not answered; trying again", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run), zap.Error(err))
	}
	return false
}

// startRefused handles a refused start request. It ends the run if that certainly
// did not start, and stops its unit if an earlier request may still start it. The
// caller holds l.mu.
func (l *Leader) startRefused(w *worker, n *run, reason Refusal) {
	switch reason {
	case RefusedStaleToken:
		if !n.stopping {
			return // the log tells of a newer leader, a report of the worker's new incarnation
		}
	case RefusedStaleRun:
		go l.requestReport(w) // it says how the run ended, or that the worker never had it
	case RefusedUnhealthy, RefusedIncarnation:
		w.unhealthyAt = time.Now()
	}
	switch {
	case n.endProposed || n.settled():
	case n.neverStarted():
		r := l.endRun(n, ledger.Stopped, n.checkpoint, time.Now())
		go l.Feed.Propose(l.Epoch, r)
	default:
		l.stopUnit(n.unit, "refused, but an earlier request was not answered")
	}
}

// mayBeStarted reports whether a request to start the run may be sent. The caller
// holds the lock of the leader.
func (n *run) mayBeStarted() bool {
	return !n.stopping && !n.endProposed && !n.reported && n.worker.runs[n.key] == n
}

// startOverdue abandons a start that waited for the network link until its deadline.
func (l *Leader) startOverdue(w *worker, n *run) {
	l.mu.Lock()
	if l.ctx.Err() != nil || !n.mayBeStarted() {
		l.mu.Unlock()
		return
	}
	l.abandonStart(w, n)
}

// abandonStart gives up a start whose request was not answered in time. The
// stop request makes the worker refuse a start request that arrives late. The
// caller holds l.mu, and abandonStart releases it.
func (l *Leader) abandonStart(w *worker, n *run) {
	l.Logger.Info("start not accepted in time; stopping the run", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run))
	l.stopRun(w, n, "not answered")
	l.mu.Unlock()
}

// stopRun stops a run. A run whose start request was never sent is ended at
// once; for any other, stop requests are sent in the background. The caller
// holds l.mu.
func (l *Leader) stopRun(w *worker, n *run, cause string) {
	if n.stopping || n.endProposed {
		return
	}
	n.stopping, n.stopCause = true, cause
	delete(l.unsentStarts, n)
	if n.neverStarted() {
		l.cancelStart(w, n, cause)
		return
	}
	l.Logger.Info("stopping run", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run), zap.Int("member", n.member), zap.String("cause", cause))
	go l.deliverStop(w, n)
}

// cancelStart ends a run that is being stopped and certainly has not started. The
// caller holds l.mu.
func (l *Leader) cancelStart(w *worker, n *run, cause string) {
	l.Logger.Info("start cancelled before the request was sent", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run), zap.Int("member", n.member), zap.String("cause", cause))
	r := l.endRun(n, ledger.Stopped, n.checkpoint, time.Now())
	go l.Feed.Propose(l.Epoch, r)
}

// deliverStop stops a run: it sends stop requests until the worker has carried
// one out, and requests reports until one shows what has become of the run.
func (l *Leader) deliverStop(w *worker, n *run) {
	for pause := minStopPause; l.ctx.Err() == nil; pause = min(2*pause, maxStopPause) {
		l.mu.Lock()
		step := n.nextStopStep(w)
		l.mu.Unlock()
		if step == stopDone {
			return
		}
		if !l.takeStopStep(w, n, step) {
			delay.For(l.ctx, pause)
		}
	}
}

// takeStopStep takes one step to stop a run and reports whether the next one is
// due at once.
func (l *Leader) takeStopStep(w *worker, n *run, step stopStep) bool {
	switch step {
	case stopRequest:
		return l.tryStop(w, n)
	case stopReport:
		l.requestReport(w)
	}
	return false
}

// tryStop sends a stop request once and reports whether the worker refuses the
// run from now on.
func (l *Leader) tryStop(w *worker, n *run) bool {
	l.mu.Lock()
	t, incarnation := l.target(w), w.incarnation
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, requestTimeout)
	defer cancel()
	if err := l.Client.Stop(ctx, t, StopRequest{n.key.task, n.key.run}); settledBy(err) != settlesRun {
		l.logStopFailed(w, n, err)
		if !isRefusal(err) {
			w.wakeSession() // the worker may be gone
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		n.recordStopFailure(w.unresponsive)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n.stoppedAt, n.stoppedOn, n.stopFailedAt = time.Now(), incarnation, time.Time{}
	n.settle()
	return true
}

// logStopFailed logs a stop request that the worker refused or did not answer.
func (l *Leader) logStopFailed(w *worker, n *run, err error) {
	fields := []zap.Field{zap.String("worker", w.id), zap.String("job", n.key.task.Job), zap.Int("step", n.key.task.Step), zap.Int("index", n.key.task.Index), zap.Int("run", n.key.run), zap.Error(err)}
	if isRefusal(err) {
		l.Logger.Info("worker refused stop; trying again", fields...)
		return
	}
	l.Logger.Debug("stop request not answered; trying again", fields...)
}

// isRefusal reports whether the worker answered a request with a refusal.
func isRefusal(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// requestReport requests a report at once and reports whether the worker answered.
// It does so beside the session, whose sync may wait for a run to end.
func (l *Leader) requestReport(w *worker) bool {
	for restarted := true; restarted; {
		l.mu.Lock()
		t := l.target(w)
		ack := w.safeAck(time.Now())
		l.mu.Unlock()
		ctx, cancel := context.WithTimeout(l.ctx, requestTimeout)
		sent := time.Now()
		rep, err := l.Client.Sync(ctx, t, SyncRequest{Ack: ack})
		cancel()
		if err != nil {
			w.wakeSession() // the session syncs again
			return false
		}
		restarted = l.applyReport(w, rep, syncExchange{t.Token, sent, ack})
	}
	return true
}
