package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/latency"
)

const (
	// maxPatience bounds the time without an answer after which a write counts as
	// failed, unless the store is slower.
	maxPatience = 1200 * time.Millisecond

	// minFailureGap is the shortest time between the starts of two writes that
	// count as two failures if their answers are overdue. Writes that are pending
	// at the same time show only once that the store has not answered.
	minFailureGap = 75 * time.Millisecond
)

// callResult is the result of one call.
type callResult struct {
	reply Reply
	sent  bool
	err   error
}

// direct makes a direct call and records what it says about the store. It reports
// whether Do should return the result. If not, the call should be tried through a
// peer.
func (r *Relay) direct(ctx context.Context, c Call) (Reply, bool, error, bool) {
	began := time.Now()
	var res callResult
	if c.writes() {
		res = r.directWrite(ctx, c, began)
	} else {
		res = r.directRead(ctx, c)
	}
	return res.reply, res.sent, res.err, r.recordResult(res, c, began)
}

// directWrite makes a direct call that may change the store. The call goes on when
// its answer is overdue, but then counts as failed.
func (r *Relay) directWrite(ctx context.Context, c Call, began time.Time) callResult {
	answered := make(chan struct{})
	defer close(answered)
	go r.watchOverdue(answered, began)
	reply, sent, err := r.CallDirect(ctx, c)
	return callResult{reply, sent, err}
}

// watchOverdue records a call as unanswered unless it is answered in time.
func (r *Relay) watchOverdue(answered <-chan struct{}, began time.Time) {
	for {
		// Failures of other calls may lengthen the patience meanwhile.
		if rest := r.remaining(began); rest > 0 {
			t := time.NewTimer(rest)
			select {
			case <-t.C:
			case <-answered:
				t.Stop()
				return
			}
		}
		select {
		case <-answered: // during a pause of the process both come at once
			return
		default:
		}
		if r.recordUnanswered(began) {
			return
		}
	}
}

// served reports whether the store has answered the call and serves this instance.
func (d callResult) served() bool {
	return d.err == nil && d.reply.Status != http.StatusServiceUnavailable && d.reply.Status != http.StatusTooManyRequests
}

// remaining returns the time that is left until a call that began at a time counts
// as failed without an answer.
func (r *Relay) remaining(began time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remainingLocked(began)
}

// remainingLocked is like remaining. The time doubles with each of the first two
// failures and runs from the last one, so that a store that has just become slow
// answers before the second one counts. The caller holds the lock.
func (r *Relay) remainingLocked(began time.Time) time.Duration {
	d := r.Latency.Overdue()
	d = max(d, min(d<<min(r.failures, failureThreshold), maxPatience))
	if r.failures > 0 && r.unansweredAt.After(began) {
		began = r.unansweredAt
	}
	return d - time.Since(began)
}

// recordUnanswered counts a call as failed whose answer is overdue, unless another one
// that was pending at the same time has been counted. It returns false if the answer is
// not overdue any more, because another call has failed meanwhile.
func (r *Relay) recordUnanswered(began time.Time) bool {
	r.mu.Lock()
	patient := time.Since(began) < maxPatience
	concurrent := began.Sub(r.lastUnanswered) < minFailureGap
	if patient && (concurrent || r.remainingLocked(began) > 0) {
		r.mu.Unlock()
		return concurrent
	}
	r.lastUnanswered, r.unansweredAt = began, time.Now()
	r.recordFailure(Reply{}, context.DeadlineExceeded)
	r.mu.Unlock()
	if r.CloseIdle != nil {
		r.CloseIdle() // what silenced this connection probably silenced the idle ones, too
	}
	return true
}

// recordResult records the result of a direct call and reports whether Do should
// return it. If not, the call should be tried through a peer.
func (r *Relay) recordResult(res callResult, c Call, began time.Time) bool {
	timedOut := errors.Is(res.err, context.DeadlineExceeded)
	if timedOut {
		// A timeout shorter than the latency says nothing about the store. A write
		// was counted when its answer became overdue.
		if !c.writes() && (!res.sent || time.Since(began)-c.Wait >= latency.Longest(r.Latency.Estimate())) {
			r.recordUnanswered(began)
		}
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(res.err, context.Canceled) {
		return true // the caller cancelled, which says nothing about the store
	}
	if res.served() {
		r.recordServed()
		return true
	}
	r.recordFailure(res.reply, res.err)
	return false
}

// recordServed records that the store has answered a direct call. The caller holds
// the lock.
func (r *Relay) recordServed() {
	r.failures = 0
	if r.down {
		r.down = false
		r.Logger.Info("store serves this instance again", zap.Duration("away", time.Since(r.downSince)), zap.Duration("latency", r.Latency.Estimate()))
	}
}

// recordFailure counts a failed direct call. The caller holds the lock.
func (r *Relay) recordFailure(rep Reply, err error) {
	// A single failure is not enough, because single answers get lost and single
	// connections are reset while the store is up.
	if r.failures++; r.failures >= failureThreshold && !r.down {
		r.down = true
		r.downSince = time.Now()
		r.Logger.Warn("store does not serve this instance; trying peers", zap.Int("status", rep.Status), zap.Error(err))
	}
}
