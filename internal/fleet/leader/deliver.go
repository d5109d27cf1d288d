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
	// orderTimeout bounds one try of an order.
	orderTimeout = 400 * time.Millisecond

	// startWindow bounds the tries of a start: a leader that was paused for
	// longer must not give the order any more, and the members of a gang wait
	// for each other only for so long.
	startWindow = 2 * time.Second

	// stopPause separates the tries of a stop.
	stopPause = 150 * time.Millisecond
)

// deliver gives a start order until the worker answers.
func (l *Leader) deliver(w *worker, n *run, o StartOrder) {
	for try := 1; l.ctx.Err() == nil; try++ {
		release, ok := l.pace.acquire(l.ctx, o.bytes())
		if !ok {
			return
		}
		settled, pause := l.tryStart(w, n, o, try)
		release()
		if settled {
			return
		}
		delay.For(l.ctx, pause)
	}
}

// tryStart gives a start order once. It reports whether the order is settled,
// and otherwise how long to wait before the next try.
func (l *Leader) tryStart(w *worker, n *run, o StartOrder, try int) (settled bool, pause time.Duration) {
	l.mu.Lock()
	if n.stopping || n.ending || n.seen || w.runs[n.key] != n {
		l.mu.Unlock()
		return true, 0
	}
	if time.Since(n.start) > startWindow || w.entry.Addr == "" {
		l.abandon(w, n)
		return true, 0
	}
	if !w.looked {
		l.mu.Unlock()
		return false, failPause
	}
	t := l.target(w)
	o.Until = w.until(l.Bounds.Lease)
	n.sent = true
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	err := l.Orders.Start(ctx, t, o)
	return l.started(w, n, try, err), 0
}

// started takes note of a worker's answer to a start and reports whether the
// order is settled.
func (l *Leader) started(w *worker, n *run, try int, err error) bool {
	var refused *RefusedError
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		n.accepted = time.Now()
		l.Logger.Debug("run started", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run), zap.Int("member", n.member), zap.Int("try", try))
		w.kick()
		return true
	case errors.As(err, &refused):
		l.Logger.Info("start refused", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run), zap.String("reason", string(refused.Reason)))
		l.refused(w, n, refused.Reason)
		return true
	case l.ctx.Err() != nil:
		return true
	}
	if try == 1 {
		l.Logger.Info("start not answered", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run), zap.Error(err))
	}
	return false
}

// refused ends a run that certainly did not start; it is called with the lock
// held.
func (l *Leader) refused(w *worker, n *run, reason Refusal) {
	switch reason {
	case RefusedFence:
		return // the log will tell who leads
	case RefusedOld:
		// The run ended or was stopped there; the next report tells.
		n.accepted = time.Now()
		w.kick()
		return
	case RefusedBusy, RefusedBoot:
		w.refused = time.Now()
	}
	if n.ending {
		return
	}
	r := l.end(n, ledger.WorkerLost, n.saved, time.Now())
	go l.Feed.Propose(l.Epoch, r)
}

// abandon gives a start up whose order has not been answered in time: the
// stop makes the worker refuse the order if it arrives late. The lock is held
// and released here.
func (l *Leader) abandon(w *worker, n *run) {
	l.Logger.Info("start abandoned", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run))
	l.stop(w, n, "not answered")
	l.mu.Unlock()
}

// stop orders the run to stop until it has ended; it is called with the lock
// held.
func (l *Leader) stop(w *worker, n *run, cause string) {
	if n.stopping || n.ending {
		return
	}
	n.stopping = true
	if !n.sent && !n.inherited {
		l.Logger.Info("start withdrawn", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run), zap.String("cause", cause))
		r := l.end(n, ledger.Stopped, n.saved, time.Now())
		go l.Feed.Propose(l.Epoch, r)
		return
	}
	l.Logger.Info("stop", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", n.key.run), zap.Int("member", n.member), zap.String("cause", cause))
	go l.deliverStop(w, n)
}

// deliverStop gives a stop order until the worker answers or the run is gone.
func (l *Leader) deliverStop(w *worker, n *run) {
	for l.ctx.Err() == nil {
		l.mu.Lock()
		t := l.target(w)
		gone := n.ending || w.runs[n.key] != n
		l.mu.Unlock()
		if gone {
			return
		}
		if t.Addr != "" && l.tryStop(w, t, n) {
			return
		}
		delay.For(l.ctx, stopPause)
	}
}

func (l *Leader) tryStop(w *worker, t Target, n *run) bool {
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	err := l.Orders.Stop(ctx, t, StopOrder{n.key.task, n.key.run})
	var refused *RefusedError
	if err != nil && !errors.As(err, &refused) {
		return false
	}
	l.mu.Lock()
	unsure := n.accepted.IsZero()
	if unsure {
		// From now on a report without the run proves that it is not there
		// and never will be.
		n.accepted = time.Now()
	}
	l.mu.Unlock()
	if unsure {
		l.look(w)
	}
	return true
}

// look asks for a report at once, beside the session's exchange, which may
// wait for a run to end.
func (l *Leader) look(w *worker) {
	l.mu.Lock()
	t := l.target(w)
	ack := w.safeAck(time.Now())
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	sent := time.Now()
	rep, err := l.Orders.Sync(ctx, t, SyncOrder{Ack: ack})
	if err != nil {
		w.kick() // the session tries again
		return
	}
	l.takeIn(w, rep, sent, ack)
}

// stopStray stops a run that is not in the state.
func (l *Leader) stopStray(w *worker, key runKey) {
	l.mu.Lock()
	t := l.target(w)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	if err := l.Orders.Stop(ctx, t, StopOrder{key.task, key.run}); err != nil {
		l.Logger.Info("stop of stray run failed", zap.String("worker", w.id), zap.String("job", key.task.Job), zap.Error(err))
	}
}
