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

// Limits of the recording of fates.
const (
	maxSettling   = 10_000 // unrecorded fates beyond which no claim is made
	settleBatch   = 200    // well below the size limit of a batch, so that others fit in
	settleTimeout = 10 * time.Second
	settleWait    = 250 * time.Millisecond // how long a notrun answer waits for its record
)

// once runs a request that is not repeatable: it is sent only after a claim
// for its id was accepted in the log, and at most once for each claim.
func (r *Router) once(ctx context.Context, q *Request) Answer {
	if _, ok := state.RequestTime(q.ID); !ok {
		return notRun(route.ReasonField, "Request-Id: want creation time in Unix milliseconds, a dash and more", 0)
	}
	if !r.hold(q.ID) {
		return unknown(route.ReasonClaimed, "in progress on this instance")
	}
	if a, final := r.recorded(q); final {
		r.unhold(q.ID)
		return a
	}
	if err := r.admit(q); err != nil {
		r.unhold(q.ID)
		return notRun(err.Reason, "", err.RetryAfter)
	}
	if a, claimed := r.claim(ctx, q); !claimed {
		return a
	}
	// From here on the fate is recorded whether or not the caller waits.
	sctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.Deadline)
	defer cancel()
	a := r.run(sctx, q)
	detail := string(a.Reason)
	if a.Fate == record.RequestDone {
		detail = strconv.Itoa(a.Status)
	}
	settled := r.settle(q.ID, a.Fate, detail)
	if a.Fate == record.RequestNotRun {
		await(settled)
	}
	return a
}

// await gives a notrun fate a moment to reach the log, so that a caller that
// resends at once finds the id free.
func await(settled <-chan struct{}) {
	t := time.NewTimer(settleWait)
	defer t.Stop()
	select {
	case <-settled:
	case <-t.C:
	}
}

// hold keeps other requests with the id away from this instance until its fate is
// recorded. The fold cannot tell an instance's settle of an earlier claim from
// one of a later claim for the same id, so there must not be two at a time. An
// id whose settle may reach the log once more stays held until it expires;
// other instances may claim it.
func (r *Router) hold(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until, held := r.active[id]; held && (until == 0 || now() < until) {
		return false
	}
	if r.active == nil {
		r.active = map[string]int64{}
	}
	r.active[id] = 0
	return true
}

func (r *Router) unhold(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, id)
}

// admit refuses before anything is written to the log what the queue would
// refuse.
func (r *Router) admit(q *Request) *route.RefusedError {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.settling >= maxSettling {
		return &route.RefusedError{Reason: route.ReasonLogDown, RetryAfter: 1000}
	}
	if queue := r.queues[q.Service]; queue != nil {
		if err := queue.Admit(now(), q.Account, q.Class); err != nil {
			return refused(err)
		}
	}
	return nil
}

// recorded returns the fate of an earlier sending of the id, if the state
// knows one that is final for the caller.
func (r *Router) recorded(q *Request) (a Answer, final bool) {
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
			a, final = Answer{Fate: record.RequestDone, Reason: route.ReasonClaimed, Status: status}, true
		default:
			a, final = unknown(route.ReasonClaimed, c.Detail), true
		}
	})
	return a, final
}

// claim reports whether the request may be sent; otherwise the answer says
// why not, and the id is released here or by the settlement.
func (r *Router) claim(ctx context.Context, q *Request) (Answer, bool) {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	rec, err := record.New(record.KindClaim, q.ID, record.Claim{Request: q.ID, Account: q.Account, Service: q.Service})
	if err != nil {
		r.unhold(q.ID)
		return notRun(route.ReasonField, err.Error(), 0), false
	}
	out, err := r.Propose(ctx, rec)
	if err != nil || len(out) != 1 {
		if err != nil && r.NotAppended != nil && r.NotAppended(err) {
			r.unhold(q.ID)
		} else {
			// The claim may be in the log or reach it later. It will not be used.
			await(r.settle(q.ID, record.RequestNotRun, string(route.ReasonLogDown)))
		}
		return notRun(route.ReasonLogDown, "", 1000), false
	}
	if out[0].Accepted() {
		return Answer{}, true
	}
	r.unhold(q.ID)
	switch out[0].Reason {
	case state.ReasonClaimed:
		if a, final := r.recorded(q); final {
			return a, false
		}
		return unknown(route.ReasonClaimed, out[0].Detail), false
	case state.ReasonExpired:
		// An earlier sending of the id may have run; its claim is forgotten.
		return unknown(route.ReasonExpired, q.ID), false
	default:
		return notRun(route.Reason(out[0].Reason), out[0].Detail, 0), false
	}
}

// settlement is a fate that is to be recorded.
type settlement struct {
	id     string
	fate   record.RequestOutcome
	detail string
	done   chan struct{} // closed when it is recorded or can never be
	lost   bool          // an earlier proposal of it may still reach the log
}

// settle records the fate in the background and releases the id afterwards.
func (r *Router) settle(id string, fate record.RequestOutcome, detail string) <-chan struct{} {
	e := &settlement{id: id, fate: fate, detail: detail, done: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settles = append(r.settles, e)
	r.settling++
	if !r.settler {
		r.settler = true
		go r.settleAll()
	}
	return e.done
}

// settleAll proposes fates, many in one batch, until none is left. While the
// log is down it tries again with growing delays.
func (r *Router) settleAll() {
	for attempt := 1; ; {
		r.mu.Lock()
		n := min(len(r.settles), settleBatch)
		batch := r.settles[:n:n]
		if n == 0 {
			r.settler = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		if err := r.proposeFates(batch); err != nil {
			r.logger().Warn("settle", zap.Int("fates", n), zap.Error(err))
			r.count("retry", route.ReasonLogDown)
			if r.NotAppended == nil || !r.NotAppended(err) {
				for _, e := range batch {
					e.lost = true
				}
			}
			if r.giveUp() {
				return
			}
			time.Sleep(time.Duration(50+route.RetryDelayMs(attempt, 50, 5000, rand.Float64)) * time.Millisecond)
			attempt++
			continue
		}
		attempt = 1
		r.mu.Lock()
		for _, e := range batch {
			if e.lost {
				r.active[e.id] = now() + state.ClaimRetentionMs
			} else {
				delete(r.active, e.id)
			}
			close(e.done)
		}
		r.settles = r.settles[n:]
		r.settling -= n
		r.checkQuiet()
		r.mu.Unlock()
	}
}

// giveUp leaves the claims open after a drain that ended without them; an
// open claim is answered unknown.
func (r *Router) giveUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		r.settler = false
	}
	return r.closed
}

// proposeFates returns nil when the fold has decided on every fate. A refusal
// is final too: the claim never reached the log, or the instance was evicted.
func (r *Router) proposeFates(batch []*settlement) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	recs := make([]record.Record, len(batch))
	for i, e := range batch {
		rec, err := record.New(record.KindSettle, e.id, record.Settle{Request: e.id, Outcome: e.fate, Detail: e.detail})
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
