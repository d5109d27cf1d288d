package caller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/backend"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
	"jasminelane.example/lane/state"
)

// Limits of one request. An attempt that ends before the request is sent, such
// as a refused connection, costs the servers little and does not count against
// the retry budget. After the loss of a failure domain several servers may
// refuse connections in a row.
const (
	maxSentAttempts = 4  // attempts that sent the request
	maxAttempts     = 32 // attempts in all; a lost failure domain may have that many servers
)

// initialHedgeDelay is the maximum time until a second attempt is started while
// the service's usual service time is not known.
const initialHedgeDelay = 500 * time.Millisecond

// Router sends callers' requests to backend servers. Its fields must be set
// before use. It is safe for concurrent use.
type Router struct {
	Table         *route.Table
	Budget        route.RetryBudget
	Writer        string // this incarnation's identity in the log
	View          func(func(*state.State))
	Propose       func(ctx context.Context, recs ...record.Record) ([]state.Decision, error)
	Changed       func() <-chan struct{}
	NotAppended   func(error) bool // reports whether Propose certainly appended nothing; default: always false
	Send          func(ctx context.Context, addr string, q *backend.Request) (*backend.Answer, error)
	Probe         func(ctx context.Context, addr string) (backend.Notice, error)
	OnShareChange func()                     // called when the connection shares change; default: nothing
	Count         func(event, reason string) // counts results ("answer."), refusals and retries; default: nothing
	Logger        *zap.Logger                // default: no logging
	NewQueue      func() *route.Queue        // creates the queue of a service; default: the zero Queue
	ShareDelay    time.Duration              // from a join or leave in the log until connection shares grow; default 1 s, negative: none
	ProbeTimeout  time.Duration              // default 250 ms

	mu               sync.Mutex
	queues           map[string]*route.Queue
	noServerReason   map[string]route.Reason // by service: why the last dispatch found no server
	dispatching      bool
	draining         bool
	inFlight         int
	unrecorded       int
	drainDone        chan struct{}    // closed when no request and no outcome is left to drain
	sharesReleased   bool             // a drain has released the connection shares
	recordingStopped bool             // a drain has ended; outcomes that fail to be recorded are dropped
	heldIDs          map[string]int64 // 0 until the outcome is recorded, or the Unix time in ms until which the id stays held
	nextIDExpiry     int64            // when held ids are next checked for expiry, Unix ms
	outcomeQueue     []*pendingOutcome
	recording        bool

	joinedAt       time.Time
	leftAt         map[string]time.Time // when each former member was found to have left; the zero time for members
	countsDeparted bool                 // the shares still count a member that left
	ready          bool

	updateMu        sync.Mutex        // locked before mu; guards serviceVersions
	serviceVersions map[string]uint64 // configuration version of each service in the table
	tableOffset     atomic.Uint64     // log offset of the state that the table reflects
}

var processStart = time.Now()

// nowMs returns the time in Unix milliseconds. It advances with the monotonic
// clock, so that a step of the wall clock changes no delay.
func nowMs() int64 { return processStart.UnixMilli() + time.Since(processStart).Milliseconds() }

// Do runs the request and returns its result. A non-repeatable request goes on
// if ctx ends after its id was claimed, so that its outcome is recorded.
func (r *Router) Do(ctx context.Context, q *Request) Result {
	if !r.enter() {
		return r.countResult(notRun(route.ReasonDraining, "", 1000))
	}
	defer r.exit()
	if !q.Deadline.After(time.Now()) {
		return r.countResult(notRun(route.ReasonDeadline, "", 0))
	}
	if !q.Repeatable {
		return r.countResult(r.runOnce(ctx, q))
	}
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	return r.countResult(r.run(ctx, q))
}

func (r *Router) countResult(a Result) Result {
	r.count("answer."+string(a.Outcome), a.Reason)
	return a
}

func (r *Router) count(event string, reason route.Reason) {
	if r.Count != nil {
		r.Count(event, string(reason))
	}
}

// attemptResult is the result of one attempt to send a request to a server.
type attemptResult struct {
	response *backend.Answer
	fail     *backend.Error
	sent     bool // more than a probe was sent
}

// run sends the request until a server responds, the request cannot be retried,
// or its deadline passes. A repeatable request that takes longer than usual is
// hedged: within the retry budget it is sent to a second server too, and the
// first response is used. Ending the first attempt instead would lose requests
// that only take longer than others.
func (r *Router) run(ctx context.Context, q *Request) Result {
	r.Budget.CountRequest(nowMs())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &requestRun{r: r, q: q, results: make(chan attemptResult, maxAttempts)}
	s, err := r.acquireServer(ctx, q, nil)
	if err != nil {
		return w.resultWithoutResponse(err.Reason, string(err.WaitedFor), err.RetryAfter)
	}
	for {
		w.start(ctx, s)
		a, ok := w.await(ctx)
		if ok {
			return Result{Outcome: record.RequestDone, Status: a.response.Status, Body: a.response.Body}
		}
		fail := a.fail
		switch {
		case w.mayHaveRun && !q.Repeatable, ctx.Err() != nil, w.sentAttempts >= maxSentAttempts, w.attempts >= maxAttempts:
			return w.resultWithoutResponse(fail.Reason, failDetail(fail), 200)
		case a.sent && !r.Budget.TakeRetry(nowMs()):
			r.count("refused", route.ReasonBudget)
			return w.resultWithoutResponse(route.ReasonBudget, string(fail.Reason), 1000)
		}
		r.count("retry", fail.Reason)
		// The random delay spreads the retries of many callers. If nothing was
		// sent, there is no load to spread.
		if a.sent && !pause(ctx, route.RetryDelayMs(w.attempts, 10, 200, rand.Float64)) {
			return w.resultWithoutResponse(contextReason(ctx), string(fail.Reason), 0)
		}
		if s, err = r.acquireServer(ctx, q, w.tried); err != nil {
			return w.resultWithoutResponse(err.Reason, string(fail.Reason), err.RetryAfter)
		}
	}
}

// requestRun is the state of one call of run.
type requestRun struct {
	r               *Router
	q               *Request
	results         chan attemptResult
	tried           []string // addresses of the servers that were tried
	attempts        int
	sentAttempts    int // attempts that have ended and sent the request
	runningAttempts int
	mayHaveRun      bool // an attempt may have run the request
	hedgeDelay      time.Duration
}

// resultWithoutResponse returns the result when no server responded: unknown if an
// attempt may have run the request, otherwise notrun.
func (w *requestRun) resultWithoutResponse(reason route.Reason, detail string, retryAfterMs int64) Result {
	if w.mayHaveRun {
		return unknown(reason, detail)
	}
	return notRun(reason, detail, retryAfterMs)
}

func (w *requestRun) start(ctx context.Context, s *route.Server) {
	w.attempts++
	w.runningAttempts++
	w.tried = append(w.tried, s.Addr)
	w.hedgeDelay = time.Duration(w.r.Table.AttemptTimeoutMs(s, w.q.Class)) * time.Millisecond
	if w.r.Table.ServiceTimeMs(w.q.Service, w.q.Class) == 0 {
		w.hedgeDelay = min(w.hedgeDelay, initialHedgeDelay) // the first server that an instance tries may have stalled
	}
	go func() {
		a := attemptResult{}
		a.response, a.fail, a.sent = w.r.send(ctx, w.q, s)
		w.results <- a
	}()
}

// await returns the first successful attempt, or the last failed one once no
// attempt is running. It hedges a repeatable request after hedgeDelay.
func (w *requestRun) await(ctx context.Context) (attemptResult, bool) {
	t := time.NewTimer(w.hedgeDelay)
	defer t.Stop()
	for {
		select {
		case a := <-w.results:
			w.runningAttempts--
			if a.sent {
				w.sentAttempts++
			}
			if a.fail == nil {
				return a, true
			}
			w.mayHaveRun = w.mayHaveRun || !a.fail.NotRun
			if w.runningAttempts == 0 {
				return a, false
			}
		case <-t.C:
			if w.q.Repeatable && w.attempts < maxSentAttempts {
				w.hedge(ctx)
				t.Reset(w.hedgeDelay)
			}
		}
	}
}

// hedge starts one more attempt if a server is available at once and the retry
// budget allows it.
func (w *requestRun) hedge(ctx context.Context) {
	s, err := w.r.Table.Pick(w.q.Service, nowMs(), w.tried, w.q.Class)
	if err != nil {
		return
	}
	if !w.r.Budget.TakeRetry(nowMs()) {
		w.r.count("refused", route.ReasonBudget)
		w.r.Table.Done(s, nowMs(), route.Result{Outcome: route.Abandoned, Class: w.q.Class})
		return
	}
	w.r.count("retry", route.ReasonTimeout)
	w.start(ctx, s)
}

func failDetail(e *backend.Error) string {
	if e.Err == nil {
		return ""
	}
	return e.Err.Error()
}

// send probes the server if the table has no recent report of it, sends the
// request once, and reports the outcome to the table.
func (r *Router) send(ctx context.Context, q *Request, s *route.Server) (a *backend.Answer, fail *backend.Error, sent bool) {
	res := route.Result{Outcome: route.Abandoned}
	defer func() {
		res.Class = q.Class
		r.Table.Done(s, nowMs(), res)
		r.dispatch()
	}()
	timeout := time.Duration(r.Table.AttemptTimeoutMs(s, q.Class)) * time.Millisecond
	if !r.Table.CanSend(s, nowMs()) {
		if err := r.probe(ctx, s, timeout, &res); err != nil {
			return nil, err, false
		}
	}
	if ctx.Err() != nil || !q.Deadline.After(time.Now()) {
		return nil, &backend.Error{Reason: contextReason(ctx), NotRun: true}, false
	}
	begin := time.Now()
	a, err := r.Send(ctx, s.Addr, &backend.Request{
		ID: q.ID, Service: q.Service, Account: q.Account, Repeatable: q.Repeatable, Body: q.Body,
	})
	took := time.Since(begin)
	if err != nil {
		fail := asBackendError(err)
		res = classifyFailure(fail, took >= timeout)
		return nil, fail, fail.Reason != route.ReasonConnect && fail.Reason != route.ReasonConnections
	}
	res = noticeResult(a.Notice)
	res.Outcome, res.ServerError, res.DurationMs = route.Answered, a.Status >= 500, took.Milliseconds()
	return a, nil, true
}

// probe probes the server. It returns an error if no request must be sent to it.
func (r *Router) probe(ctx context.Context, s *route.Server, timeout time.Duration, res *route.Result) *backend.Error {
	wait := r.ProbeTimeout
	if wait == 0 {
		wait = 250 * time.Millisecond
	}
	pctx, cancel := context.WithTimeout(ctx, min(wait, timeout))
	defer cancel()
	n, err := r.Probe(pctx, s.Addr)
	if err != nil {
		fail := asBackendError(err)
		fail.NotRun = true // only the probe was sent
		if ctx.Err() == nil && fail.Reason != route.ReasonConnections {
			res.Outcome = route.Unreachable
		}
		return fail
	}
	r.Table.ProbeAnswered(s, nowMs(), noticeResult(n))
	if n.Leaving {
		return &backend.Error{Reason: route.ReasonLeaving, NotRun: true, Told: true, Notice: n}
	}
	return nil
}

func asBackendError(err error) *backend.Error {
	var e *backend.Error
	if errors.As(err, &e) {
		return e
	}
	return &backend.Error{Reason: route.ReasonReset, Err: err}
}

func noticeResult(n backend.Notice) route.Result {
	return route.Result{HasLoad: n.HasLoad, Load: n.Load, Leaving: n.Leaving}
}

// classifyFailure returns what a failed attempt tells the table about the
// server. waitedFully says that the server had as long as it usually needs.
func classifyFailure(e *backend.Error, waitedFully bool) route.Result {
	switch e.Reason {
	case route.ReasonConnections, route.ReasonDeadline, route.ReasonField:
		if !e.Told {
			return route.Result{Outcome: route.Abandoned}
		}
	case route.ReasonConnect:
		return route.Result{Outcome: route.Unreachable}
	case route.ReasonTimeout:
		if !waitedFully {
			return route.Result{Outcome: route.CallerTimeout}
		}
	case route.ReasonCancelled: // the caller disconnected, or another server responded first
		if !waitedFully {
			return route.Result{Outcome: route.Abandoned}
		}
	}
	if e.Told {
		res := noticeResult(e.Notice)
		res.Outcome = route.Refused
		return res
	}
	return route.Result{Outcome: route.Failed}
}

func contextReason(ctx context.Context) route.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return route.ReasonCancelled
	}
	return route.ReasonDeadline
}

// pause waits for the time in milliseconds and reports false if ctx ends first.
func pause(ctx context.Context, ms int64) bool {
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Router) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.inFlight++
	return true
}

func (r *Router) exit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.checkDrained()
}

// checkDrained signals Drain if nothing is left to drain. The caller must hold
// r.mu.
func (r *Router) checkDrained() {
	if r.draining && r.inFlight == 0 && r.unrecorded == 0 && r.drainDone != nil {
		close(r.drainDone)
		r.drainDone = nil
	}
}

// DrainError reports what was left when the context of a drain ended.
type DrainError struct {
	InFlight   int // requests
	Unrecorded int // outcomes not yet in the log; their claims stay open
}

// Error describes what was left.
func (e *DrainError) Error() string {
	return fmt.Sprintf("drain ended with %d requests in flight and %d outcomes not recorded", e.InFlight, e.Unrecorded)
}

// Drain refuses new requests and returns once all accepted requests have their
// result and all outcomes are in the log. If ctx ends first, it returns a
// *DrainError. The leave record must be appended after Drain returns.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	if r.drainDone == nil {
		r.drainDone = make(chan struct{})
	}
	drainDone := r.drainDone
	r.checkDrained()
	r.mu.Unlock()
	var err error
	select {
	case <-drainDone:
	case <-ctx.Done():
		r.mu.Lock()
		err = &DrainError{r.inFlight, r.unrecorded}
		r.mu.Unlock()
	}
	r.releaseShares()
	return err
}

// releaseShares closes the idle connections to backend servers, so that they
// are free when the other instances apply the leave record and increase their
// shares.
func (r *Router) releaseShares() {
	r.mu.Lock()
	r.sharesReleased, r.recordingStopped = true, true
	r.mu.Unlock()
	r.Table.SetMembers(r.Writer, nil)
	if r.OnShareChange != nil {
		r.OnShareChange()
	}
}
