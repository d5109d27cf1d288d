package leader

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// minSyncWait and maxSyncWait bound how long a worker may hold a sync back
	// until a run ends; this is the period of renewal, several of which fit
	// into a lease. A short one finds lost answers sooner, a long one costs a
	// leader of many workers less.
	minSyncWait = 800 * time.Millisecond
	maxSyncWait = 1600 * time.Millisecond

	// syncShare is what each worker adds to the wait.
	syncShare = 4 * time.Millisecond

	// syncTimeout bounds the rest of a sync.
	syncTimeout = 400 * time.Millisecond

	// idleSync separates the syncs of a worker without runs.
	idleSync = 4 * time.Second

	// storeWait bounds the wait for reported ends to be stored before the next
	// sync, which would report them at once again.
	storeWait = 400 * time.Millisecond

	// failPause separates the syncs of a worker that does not answer.
	failPause = 250 * time.Millisecond

	// refusedPause keeps new runs from a worker that called itself unhealthy.
	refusedPause = 2 * time.Second

	// strayPeriod separates the stop orders for a run that is not in the state.
	strayPeriod = 500 * time.Millisecond
)

// session renews the worker's leases and takes in its reports until the epoch
// ends.
func (l *Leader) session(w *worker) {
	ok := true
	for l.ctx.Err() == nil {
		if !l.await(w, ok) {
			continue
		}
		ok = l.sync(w, ok)
	}
}

// await waits until the worker's next sync is due; false means to look again.
func (l *Leader) await(w *worker, ok bool) bool {
	l.mu.Lock()
	l.expire(w)
	pause := time.Duration(0)
	switch {
	case w.entry.Addr == "":
		pause = time.Second
	case !w.listed && len(w.runs) == 0:
		pause = time.Hour
	case !ok:
		pause = failPause
	case w.unstored():
		pause = storeWait
	case w.looked && len(w.runs) == 0 && len(w.ends) == 0:
		pause = idleSync - time.Since(w.lastOK)
	}
	known := w.entry.Addr != ""
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
		return known && ok && l.due(w)
	case <-t.C:
		return known
	}
}

// due reports whether a kicked worker has something to sync about.
func (l *Leader) due(w *worker) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return w.entry.Addr != "" && (!w.looked || !w.unstored())
}

// sync makes one exchange with the worker.
func (l *Leader) sync(w *worker, ok bool) bool {
	confirmed := l.confirmed()
	l.mu.Lock()
	t := l.target(w)
	o := SyncOrder{Ack: w.safeAck(time.Now())}
	if w.looked && ok && len(w.runs) > 0 {
		if confirmed {
			o.Until = w.until(l.Bounds.Lease)
		}
		if !w.unstored() {
			o.Wait = min(max(minSyncWait, time.Duration(len(l.workers))*syncShare), maxSyncWait)
		}
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, o.Wait+syncTimeout)
	defer cancel()
	sent := time.Now()
	rep, err := l.Orders.Sync(ctx, t, o)
	if err != nil {
		l.syncFailed(w, ok, err)
		return false
	}
	l.takeIn(w, rep, sent, o.Ack)
	return true
}

// confirmed reports whether the log was read lately enough to renew leases: a
// later leader waits that long before it takes the runs of workers that it
// cannot reach for lost.
func (l *Leader) confirmed() bool {
	return l.Feed.Status().Age < unawareLeader
}

func (l *Leader) target(w *worker) Target {
	return Target{ID: w.id, Addr: w.entry.Addr, Epoch: l.Epoch}
}

func (l *Leader) syncFailed(w *worker, first bool, err error) {
	if l.ctx.Err() != nil {
		return
	}
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Reason == RefusedFence {
		l.Logger.Warn("worker knows a newer leader", zap.String("worker", w.id), zap.Uint64("epoch", l.Epoch))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w.silent = true
	if first {
		l.Logger.Info("worker not answering", zap.String("worker", w.id), zap.Int("runs", len(w.runs)), zap.Duration("lease", time.Until(w.lapse)), zap.Error(err))
	}
}

// takeIn folds a report into the view of the worker.
func (l *Leader) takeIn(w *worker, rep Report, sent time.Time, acked uint64) {
	l.mu.Lock()
	var records []ledger.Record
	now := time.Now()
	if w.looked && w.born != rep.Born {
		l.Logger.Info("worker restarted", zap.String("worker", w.id), zap.Int64("born", rep.Born), zap.Int("runs", len(w.runs)))
		w.ends = nil
		w.seenEnd = 0
		clear(w.foreign)
	}
	reborn := w.looked && w.born != rep.Born
	w.born = rep.Born
	if !w.looked {
		w.looked = true
		// The worker refuses earlier leaders' renewals from now on.
		w.lapse = now.Add(leaseBound(l.Bounds.Lease))
		l.poke()
	}
	w.silent = false
	w.clock, w.clockAt, w.lastOK = rep.Clock, now, now
	w.prune(acked)
	present := make(map[runKey]bool, len(rep.Running)+len(rep.Ended))
	stray := make(map[runKey]bool)
	for _, t := range rep.Running {
		key := runKey{t.Task, t.Run}
		present[key] = true
		if n := w.runs[key]; n != nil {
			n.listed(t)
		} else {
			stray[key] = true
		}
	}
	for _, t := range rep.Ended {
		key := runKey{t.Task, t.Run}
		present[key] = true
		if t.Number > w.seenEnd {
			w.seenEnd = t.Number
			records = append(records, l.ended(w, t, now)...)
		}
	}
	for key, n := range w.runs {
		// A report that was asked for before the worker accepted the run may be
		// older than the run, also when the worker has restarted in between.
		if !present[key] && !n.ending && !n.accepted.IsZero() && n.accepted.Before(sent) {
			records = append(records, l.end(n, ledger.WorkerLost, n.saved, now))
			l.Logger.Info("run lost", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", key.run), zap.Bool("restarted", reborn))
		}
	}
	stops := w.strays(stray, now)
	l.mu.Unlock()
	l.Feed.Propose(l.Epoch, records...)
	for _, key := range stops {
		l.Logger.Info("stray run", zap.String("worker", w.id), zap.String("job", key.task.Job), zap.Int("step", key.task.Step), zap.Int("index", key.task.Index), zap.Int("run", key.run))
		go l.stopStray(w, key)
	}
}

// listed takes over a row about a running task.
func (n *run) listed(t RunningTask) {
	if n.accepted.IsZero() {
		n.accepted = time.Now()
	}
	n.seen = true
	n.progress.add(t.Percent, time.Now())
	if t.Saved != "" {
		n.saved = t.Saved
	}
}

// ended notes a reported end and returns the record that stores it.
func (l *Leader) ended(w *worker, t EndedTask, now time.Time) []ledger.Record {
	key := runKey{t.Task, t.Run}
	n := w.runs[key]
	if n == nil || n.ending {
		w.ends = append(w.ends, end{t.Number, key, n == nil})
		return nil
	}
	w.ends = append(w.ends, end{t.Number, key, false})
	if t.How != ledger.Done && t.How != ledger.Stopped {
		l.Logger.Info("run ended", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Int("run", key.run), zap.Int("member", n.member), zap.String("how", string(t.How)))
	}
	saved := t.Saved
	if saved == "" {
		saved = n.saved
	}
	return []ledger.Record{l.end(n, t.How, saved, now)}
}

func (l *Leader) end(n *run, how ledger.RunOutcome, saved string, now time.Time) ledger.Record {
	n.ending = true
	return ledger.Record{End: &ledger.End{
		Epoch: l.Epoch, Unit: n.unit, Run: n.key.run, Member: n.member, Outcome: how, Checkpoint: saved, At: now.UnixMilli(),
	}}
}

// expire ends the runs of a worker whose leases have certainly ended; it is
// called with the lock held.
func (l *Leader) expire(w *worker) {
	now := time.Now()
	lapse := w.lapse
	if gone := l.began.Add(leaseBound(l.Bounds.Lease)); !w.looked && !w.listed && lapse.After(gone) {
		lapse = gone // the platform says that it has left
	}
	if len(w.runs) == 0 || now.Before(lapse) || now.Sub(w.lastOK) < renewSilence {
		return
	}
	records := l.lose(w)
	if len(records) == 0 {
		return
	}
	l.Logger.Info("worker unreachable beyond its lease", zap.String("worker", w.id), zap.Int("runs", len(records)), zap.Duration("silent", now.Sub(w.lastOK)))
	// Propose takes the feed's lock, which comes before the leader's.
	go l.Feed.Propose(l.Epoch, records...)
}

// strays updates the runs that are not in the state and returns those for
// which a stop order is due.
func (w *worker) strays(now map[runKey]bool, at time.Time) []runKey {
	for key := range w.foreign {
		if !now[key] {
			delete(w.foreign, key)
		}
	}
	var due []runKey
	for key := range now {
		if last, ok := w.foreign[key]; !ok || at.Sub(last) > strayPeriod {
			w.foreign[key] = at
			due = append(due, key)
		}
	}
	return due
}
