package caller

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
	"jasminelane.example/lane/state"
)

// Limits for recording the outcomes of non-repeatable requests in the log.
const (
	maxUnrecorded    = 10_000 // with this many outcomes not yet recorded, new claims are refused
	recordBatchSize  = 200    // records; well below the size limit of a batch, to leave space for other records
	recordTimeout    = 10 * time.Second
	notRunRecordWait = 250 * time.Millisecond // how long a notrun result is delayed until its outcome is in the log
)

// runOnce runs a non-repeatable request. The request is sent only after a claim
// for its id was accepted in the log, and at most once for each claim.
func (r *Router) runOnce(ctx context.Context, q *Request) Result {
	if _, ok := state.RequestTime(q.ID); !ok {
		return notRun(route.ReasonField, "Request-Id: want creation time in Unix milliseconds, a dash and more", 0)
	}
	if !r.holdID(q.ID) {
		return unknown(route.ReasonClaimed, "in progress on this instance")
	}
	if a, final := r.recordedOutcome(q); final {
		r.releaseID(q.ID)
		return a
	}
	if err := r.admit(q); err != nil {
		r.releaseID(q.ID)
		return notRun(err.Reason, "", err.RetryAfter)
	}
	if a, claimed := r.claim(ctx, q); !claimed {
		return a
	}
	// From here on the outcome is recorded even if the caller disconnects.
	sctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.Deadline)
	defer cancel()
	a := r.run(sctx, q)
	detail := string(a.Reason)
	if a.Outcome == record.RequestDone {
		detail = strconv.Itoa(a.Status)
	}
	recorded := r.recordOutcome(q.ID, a.Outcome, detail)
	if a.Outcome == record.RequestNotRun {
		awaitRecorded(recorded)
	}
	return a
}

// awaitRecorded waits up to notRunRecordWait until a notrun outcome is in the
// log, so that a caller that sends the request again at once can claim the id.
func awaitRecorded(recorded <-chan struct{}) {
	t := time.NewTimer(notRunRecordWait)
	defer t.Stop()
	select {
	case <-recorded:
	case <-t.C:
	}
}

// holdID reserves the id on this instance until the outcome of its request is
// recorded, and reports false if it is already reserved. The replicated state
// cannot tell a settle record for an instance's earlier claim from one for its
// later claim of the same id, so an instance must not have two such requests at
// a time. An id whose settle record may reach the log a second time stays held
// until the id expires. Other instances may still claim it.
func (r *Router) holdID(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until, held := r.heldIDs[id]; held && (until == 0 || nowMs() < until) {
		return false
	}
	if r.heldIDs == nil {
		r.heldIDs = map[string]int64{}
	}
	r.heldIDs[id] = 0
	return true
}

func (r *Router) releaseID(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.heldIDs, id)
}

// admit returns an error if the service's queue would refuse the request, so
// that nothing is written to the log for it.
func (r *Router) admit(q *Request) *route.RefusedError {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unrecorded >= maxUnrecorded {
		return &route.RefusedError{Reason: route.ReasonLogDown, RetryAfter: 1000}
	}
	if queue := r.queues[q.Service]; queue != nil {
		if err := queue.Admit(nowMs(), q.Account, q.Class); err != nil {
			return asRefused(err)
		}
	}
	return nil
}

// recordedOutcome returns the outcome of an earlier request with the same id, if
// the replicated state has one that is final for the caller.
func (r *Router) recordedOutcome(q *Request) (a Result, final bool) {
	r.View(func(s *state.State) {
		c := s.Claims[q.ID]
		if c == nil {
			return
		}
		if c.Account != q.Account || c.Service != q.Service {
			a, final = notRun(route.ReasonExists, "", 0), true
			return
		}
		switch c.Outcome {
		case record.RequestNotRun:
		case record.RequestDone:
			status, _ := strconv.Atoi(c.Detail)
			a, final = Result{Outcome: record.RequestDone, Reason: route.ReasonClaimed, Status: status}, true
		default:
			a, final = unknown(route.ReasonClaimed, c.Detail), true
		}
	})
	return a, final
}

// claim appends a claim for the request's id and reports whether the request
// may be sent. If not, the result gives the reason, and the id is released here
// or once the outcome is recorded.
func (r *Router) claim(ctx context.Context, q *Request) (Result, bool) {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	rec, err := record.New(record.KindClaim, q.ID, record.Claim{Request: q.ID, Account: q.Account, Service: q.Service})
	if err != nil {
		r.releaseID(q.ID)
		return notRun(route.ReasonField, err.Error(), 0), false
	}
	out, err := r.Propose(ctx, rec)
	if err != nil || len(out) != 1 {
		if err != nil && r.NotAppended != nil && r.NotAppended(err) {
			r.releaseID(q.ID)
		} else {
			// The claim may be in the log or reach it later, but the request is not sent.
			awaitRecorded(r.recordOutcome(q.ID, record.RequestNotRun, string(route.ReasonLogDown)))
		}
		return notRun(route.ReasonLogDown, "", 1000), false
	}
	if out[0].Accepted() {
		return Result{}, true
	}
	r.releaseID(q.ID)
	switch out[0].Reason {
	case state.ReasonClaimed:
		if a, final := r.recordedOutcome(q); final {
			return a, false
		}
		return unknown(route.ReasonClaimed, out[0].Detail), false
	case state.ReasonExpired:
		// An earlier request with this id may have run; its claim is no longer kept.
		return unknown(route.ReasonExpired, q.ID), false
	default:
		return notRun(route.Reason(out[0].Reason), out[0].Detail, 0), false
	}
}

// pendingOutcome is an outcome that is not yet recorded in the log.
type pendingOutcome struct {
	id            string
	outcome       record.RequestOutcome
	detail        string
	recorded      chan struct{} // closed once the state has accepted or refused the record
	mayBeAppended bool          // an earlier attempt to append it may still reach the log
}

// recordOutcome records the outcome in the background, then releases the id. It
// returns a channel that is closed at that point.
func (r *Router) recordOutcome(id string, outcome record.RequestOutcome, detail string) <-chan struct{} {
	e := &pendingOutcome{id: id, outcome: outcome, detail: detail, recorded: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomeQueue = append(r.outcomeQueue, e)
	r.unrecorded++
	if !r.recording {
		r.recording = true
		go r.recordOutcomes()
	}
	return e.recorded
}

// recordOutcomes proposes the queued outcomes in batches until none is left.
// While the log is down it retries with exponential backoff.
func (r *Router) recordOutcomes() {
	for attempt := 1; ; {
		r.mu.Lock()
		n := min(len(r.outcomeQueue), recordBatchSize)
		batch := r.outcomeQueue[:n:n]
		if n == 0 {
			r.recording = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		if err := r.proposeOutcomes(batch); err != nil {
			r.logger().Warn("request outcomes could not be recorded in the log; their claims stay open until they are", zap.Int("fates", n), zap.Error(err))
			r.count("retry", route.ReasonLogDown)
			if r.NotAppended == nil || !r.NotAppended(err) {
				for _, e := range batch {
					e.mayBeAppended = true
				}
			}
			if r.stopRecording() {
				return
			}
			time.Sleep(time.Duration(50+route.RetryDelayMs(attempt, 50, 5000, rand.Float64)) * time.Millisecond)
			attempt++
			continue
		}
		attempt = 1
		r.mu.Lock()
		for _, e := range batch {
			if e.mayBeAppended {
				r.heldIDs[e.id] = nowMs() + state.ClaimRetentionMs
			} else {
				delete(r.heldIDs, e.id)
			}
			close(e.recorded)
		}
		r.outcomeQueue = r.outcomeQueue[n:]
		r.unrecorded -= n
		r.checkDrained()
		r.mu.Unlock()
	}
}

// stopRecording reports whether recording has to stop because the drain has
// ended. Claims without a recorded outcome stay open, and requests for their ids
// get the outcome unknown.
func (r *Router) stopRecording() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recordingStopped {
		r.recording = false
	}
	return r.recordingStopped
}

// proposeOutcomes returns nil once the replicated state has accepted or refused
// each outcome. A refusal is final too: the claim never reached the log, or the
// instance was evicted.
func (r *Router) proposeOutcomes(batch []*pendingOutcome) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	recs := make([]record.Record, len(batch))
	for i, e := range batch {
		rec, err := record.New(record.KindSettle, e.id, record.Settle{Request: e.id, Outcome: e.outcome, Detail: e.detail})
		if err != nil {
			return err
		}
		recs[i] = rec
	}
	out, err := r.Propose(ctx, recs...)
	if err != nil {
		return err
	}
	for _, o := range out {
		if !o.Accepted() {
			r.count("settle", route.Reason(o.Reason))
		}
	}
	return nil
}

func (r *Router) logger() *zap.Logger {
	if r.Logger == nil {
		return zap.NewNop()
	}
	return r.Logger
}
