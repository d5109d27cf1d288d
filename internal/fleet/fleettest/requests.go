package fleettest

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"jasminelane.example/lane/internal/fleet/leader"
)

var (
	errNoAnswer    = errors.New("no answer")
	errRefusedConn = errors.New("connection refused")
)

// deliver applies a request from the instance to a worker, subject to the
// faults. A request to a worker that is down fails with *leader.NotSentError at
// once, one without an answer with *leader.NoAnswerError when ctx ends.
func (ws *Workers) deliver(ctx context.Context, instance, id string, apply func(w *Worker, late bool) error) error {
	time.Sleep(time.Millisecond)
	ws.mu.Lock()
	w := ws.List[id]
	unanswered := w == nil || w.Down || w.UnreachableFrom[instance]
	answerLost := w != nil && !w.Down && w.UnreachableFrom[instance] && w.OnlyAnswersLost
	late, lose := ws.Rnd.Float64() < ws.DelayedRate, ws.Rnd.Float64() < ws.LostResponseRate
	wait := 2*time.Second + time.Duration(ws.Rnd.Int64N(int64(8*time.Second)))
	if ctx.Err() != nil {
		ws.mu.Unlock()
		return &leader.NoAnswerError{Err: ctx.Err()}
	}
	if w != nil && w.Down && !w.UnreachableFrom[instance] {
		ws.mu.Unlock()
		return &leader.NotSentError{Err: errRefusedConn}
	}
	var err error
	switch {
	case !unanswered && ws.RefusedRate > 0 && ws.Rnd.Float64() < ws.RefusedRate:
		err = &leader.RefusedError{Reason: leader.RefusedUnhealthy}
	case late && !unanswered:
		incarnation := w.incarnation
		time.AfterFunc(wait, func() {
			ws.mu.Lock()
			defer ws.mu.Unlock()
			if !w.Down && (w.incarnation == incarnation || w.ID == id && ws.reaches(w)) {
				_ = apply(w, true)
			}
		})
		unanswered = true
	case !unanswered || answerLost:
		err = apply(w, false)
		unanswered = answerLost || lose
	}
	ws.mu.Unlock()
	if unanswered {
		<-ctx.Done()
		return &leader.NoAnswerError{Err: errNoAnswer}
	}
	return err
}

// reaches reports whether a delayed request that was sent to an earlier incarnation
// takes effect on the worker.
func (ws *Workers) reaches(w *Worker) bool {
	switch ws.DelayedReach {
	case ReachSynced:
		return w.syncs >= contactSyncs
	case ReachAny:
		return true
	}
	return false
}

// admit refuses a fencing token that is lower than the highest seen.
func (w *Worker) admit(token uint64) error {
	if token < w.token {
		return &leader.RefusedError{Reason: leader.RefusedStaleToken}
	}
	w.token = token
	return nil
}

// extendLease extends the lease up to a time on the worker's clock, by at most
// MaxLease from now.
func (w *Worker) extendLease(end int64) {
	w.leaseEnd = max(w.leaseEnd, min(end, w.clockMs()+MaxLease.Milliseconds()))
}

// Start serves a start request of the instance.
func (ws *Workers) Start(ctx context.Context, instance string, t leader.Target, o leader.StartRequest) error {
	return ws.deliver(ctx, instance, t.ID, func(w *Worker, late bool) error {
		if err := w.admit(t.Token); err != nil {
			return err
		}
		if r := w.runs[o.Task]; r != nil && r.run == o.Run {
			return nil
		}
		if o.Run <= w.highestRun[o.Task] {
			return &leader.RefusedError{Reason: leader.RefusedStaleRun}
		}
		if o.LeaseEnd <= w.clockMs() {
			return &leader.RefusedError{Reason: leader.RefusedLeaseEnded}
		}
		w.extendLease(o.LeaseEnd)
		if !ws.Checker.checkStart(ws, w, o, late) {
			return &leader.RefusedError{Reason: leader.RefusedInvalid}
		}
		w.runs[o.Task] = &taskRun{task: o.Task, run: o.Run, startedAt: time.Now(), saved: savedWork(o.Checkpoint), delayed: late, runTime: ws.runTime(o.Task), speed: cmp.Or(w.Speed, 1)}
		if ws.DeadlyJobs[o.Task.Job] {
			ws.crashByTask(w)
		}
		return nil
	})
}

// Stop serves a stop request of the instance.
func (ws *Workers) Stop(ctx context.Context, instance string, t leader.Target, o leader.StopRequest) error {
	return ws.deliver(ctx, instance, t.ID, func(w *Worker, _ bool) error {
		if err := w.admit(t.Token); err != nil {
			return err
		}
		if w.StopErr != nil {
			return w.StopErr
		}
		w.highestRun[o.Task] = max(w.highestRun[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.run <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(StopGrace)
		}
		return nil
	})
}

// Sync serves a sync request of the instance.
func (ws *Workers) Sync(ctx context.Context, instance string, t leader.Target, o leader.SyncRequest) (leader.Report, error) {
	var report leader.Report
	deadline := time.Now().Add(o.MaxWait)
	for {
		var changed chan struct{}
		err := ws.deliver(ctx, instance, t.ID, func(w *Worker, late bool) error {
			if err := w.admit(t.Token); err != nil {
				return err
			}
			if !late {
				w.syncs++
			}
			ws.acknowledge(w, o.Ack)
			w.extendLease(o.LeaseEnd)
			ended := slices.Clone(w.ended[:min(len(w.ended), leader.MaxReportedEnds)])
			ws.Checker.recordListed(ended)
			if late {
				return nil // the caller has given up
			}
			report = leader.Report{ClockMs: w.clockMs(), Incarnation: w.incarnation, Ended: ended}
			for _, r := range w.runs {
				report.Running = append(report.Running, ws.running(w, r))
			}
			changed = w.changed
			return nil
		})
		if err != nil || len(report.Ended) > 0 || !time.Now().Before(deadline) {
			return report, err
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return report, &leader.NoAnswerError{Err: ctx.Err()}
		}
		timer.Stop()
	}
}

// acknowledge drops the ends that the system reported as stored.
func (ws *Workers) acknowledge(w *Worker, ack uint64) {
	for len(w.ended) > 0 && w.ended[0].Seq <= ack {
		// An acknowledgement does not count if the lease expired after the
		// end: the system must then treat the worker's runs as lost.
		if e := w.ended[0]; !w.lastUnleased.After(w.endedAt[e.Seq]) {
			ws.Checker.recordAck(e)
		}
		w.ended = w.ended[1:]
	}
}
