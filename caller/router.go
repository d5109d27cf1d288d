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

// Limits of one request. A try that ends before the request is sent, such as
// a refused connection, costs servers next to nothing and is not in the retry
// budget; with a failure domain lost several servers may refuse in a row.
const (
	maxAttempts = 4  // sent
	maxTries    = 32 // in all; a lost failure domain may hold that many servers
)

// firstWait is the time until a second attempt while the usual service time
// is not known.
const firstWait = 500 * time.Millisecond

// Router sends callers' requests to backend servers. Fields are set before
// use; it is safe for concurrent use.
type Router struct {
	Table       *route.Table
	Budget      route.Budget
	Writer      string // this incarnation's identity in the log
	View        func(func(*state.State))
	Propose     func(ctx context.Context, recs ...record.Record) ([]state.Decision, error)
	Changed     func() <-chan struct{}
	NotAppended func(error) bool // reports that Propose certainly appended nothing; default never
	Send        func(ctx context.Context, addr string, q *backend.Request) (*backend.Answer, error)
	Probe       func(ctx context.Context, addr string) (backend.Notice, error)
	Trim        func()                     // called when the shares change; default nothing
	Count       func(event, reason string) // counts answers ("answer"), refusals and retries; default nothing
	Logger      *zap.Logger                // default none
	NewQueue    func() *route.Queue        // for each service; default the zero Queue
	JoinDelay   time.Duration              // from a join or leave in the log until shares grow; default 1 s, negative none
	ProbeWait   time.Duration              // default 250 ms

	mu       sync.Mutex
	queues   map[string]*route.Queue
	blocked  map[string]route.Reason // why no server was last free, by service
	ticking  bool
	draining bool
	inflight int
	settling int
	quiet    chan struct{}    // closed when a drain has nothing left
	drained  bool             // the shares are given up
	closed   bool             // fates that cannot be recorded are given up
	active   map[string]int64 // ids held: 0 until their fate is recorded, or a time until which they stay held
	sweep    int64            // when expired ids are next forgotten
	settles  []*settlement
	settler  bool

	joined   time.Time
	left     map[string]time.Time // when each former member was found to have left; zero for members
	departed bool                 // a member that left still counts
	ready    bool

	feeding  sync.Mutex        // before mu; guards services
	services map[string]uint64 // version of each service in the table
	fed      atomic.Uint64     // log offset that the table reflects
}

var started = time.Now()

// now is Unix milliseconds on the monotonic clock, so that a step of the wall
// clock changes no delay.
func now() int64 { return started.UnixMilli() + time.Since(started).Milliseconds() }

// Do runs the request and returns its fate. A request that is not repeatable
// goes on when ctx ends after it was claimed, so that its fate is recorded.
func (r *Router) Do(ctx context.Context, q *Request) Answer {
	if !r.enter() {
		return r.counted(notRun(route.ReasonDraining, "", 1000))
	}
	defer r.exit()
	if !q.Deadline.After(time.Now()) {
		return r.counted(notRun(route.ReasonDeadline, "", 0))
	}
	if !q.Repeatable {
		return r.counted(r.once(ctx, q))
	}
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	return r.counted(r.run(ctx, q))
}

func (r *Router) counted(a Answer) Answer {
	r.count("answer."+string(a.Fate), a.Reason)
	return a
}

func (r *Router) count(event string, reason route.Reason) {
	if r.Count != nil {
		r.Count(event, string(reason))
	}
}

// attempt is the end of one try at a server.
type attempt struct {
	answer *backend.Answer
	fail   *backend.Error
	sent   bool // more than a probe was sent
}

// run sends the request until it is answered, cannot be retried, or its
// deadline passes. A repeatable request that waits for longer than usual is
// sent to a second server too, within the retry budget, and the first answer
// counts: ending the first attempt instead would lose requests that only take
// longer than others.
func (r *Router) run(ctx context.Context, q *Request) Answer {
	r.Budget.Request(now())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &work{r: r, q: q, ends: make(chan attempt, maxTries)}
	s, err := r.acquire(ctx, q, nil)
	if err != nil {
		return w.end(err.Reason, string(err.Cause), err.RetryAfter)
	}
	for {
		w.start(ctx, s)
		a, ok := w.await(ctx)
		if ok {
			return Answer{Fate: record.RequestDone, Status: a.answer.Status, Body: a.answer.Body}
		}
		fail := a.fail
		switch {
		case w.maybe && !q.Repeatable, ctx.Err() != nil, w.sent >= maxAttempts, w.tries >= maxTries:
			return w.end(fail.Reason, failDetail(fail), 200)
		case a.sent && !r.Budget.Retry(now()):
			r.count("refused", route.ReasonBudget)
			return w.end(route.ReasonBudget, string(fail.Reason), 1000)
		}
		r.count("retry", fail.Reason)
		// The delay keeps retries of many callers apart; without anything sent
		// there is no load to spread.
		if a.sent && !pause(ctx, route.Jitter(w.tries, 10, 200, rand.Float64)) {
			return w.end(ended(ctx), string(fail.Reason), 0)
		}
		if s, err = r.acquire(ctx, q, w.exclude); err != nil {
			return w.end(err.Reason, string(fail.Reason), err.RetryAfter)
		}
	}
}

// work is the state of one run.
type work struct {
	r       *Router
	q       *Request
	ends    chan attempt
	exclude []string // servers that were tried
	tries   int
	sent    int // of the tries, those that sent the request
	running int
	maybe   bool // an attempt may have run
	wait    time.Duration
}

func (w *work) end(reason route.Reason, detail string, after int64) Answer {
	if w.maybe {
		return unknown(reason, detail)
	}
	return notRun(reason, detail, after)
}

func (w *work) start(ctx context.Context, s *route.Server) {
	w.tries++
	w.running++
	w.exclude = append(w.exclude, s.Addr)
	w.wait = time.Duration(w.r.Table.AttemptTimeout(s, w.q.Class)) * time.Millisecond
	if w.r.Table.Usual(w.q.Service, w.q.Class) == 0 {
		w.wait = min(w.wait, firstWait) // the first server that an instance tries may be a stalled one
	}
	go func() {
		a := attempt{}
		a.answer, a.fail, a.sent = w.r.send(ctx, w.q, s)
		w.ends <- a
	}()
}

// await returns the first answer, or the last failure when no attempt runs
// any more.
func (w *work) await(ctx context.Context) (attempt, bool) {
	t := time.NewTimer(w.wait)
	defer t.Stop()
	for {
		select {
		case a := <-w.ends:
			w.running--
			if a.sent {
				w.sent++
			}
			if a.fail == nil {
				return a, true
			}
			w.maybe = w.maybe || !a.fail.NotRun
			if w.running == 0 {
				return a, false
			}
		case <-t.C:
			if w.q.Repeatable && w.tries < maxAttempts {
				w.another(ctx)
				t.Reset(w.wait)
			}
		}
	}
}

// another starts one more attempt if a server is free at once.
func (w *work) another(ctx context.Context) {
	s, err := w.r.Table.Pick(w.q.Service, now(), w.exclude, w.q.Class)
	if err != nil {
		return
	}
	if !w.r.Budget.Retry(now()) {
		w.r.count("refused", route.ReasonBudget)
		w.r.Table.Done(s, now(), route.Result{Verdict: route.Dropped, Class: w.q.Class})
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

// send probes the server if need be, sends the request once, and tells the
// table what it learned.
func (r *Router) send(ctx context.Context, q *Request, s *route.Server) (a *backend.Answer, fail *backend.Error, sent bool) {
	res := route.Result{Verdict: route.Dropped}
	defer func() {
		res.Class = q.Class
		r.Table.Done(s, now(), res)
		r.pump()
	}()
	timeout := time.Duration(r.Table.AttemptTimeout(s, q.Class)) * time.Millisecond
	if !r.Table.Fresh(s, now()) {
		if err := r.check(ctx, s, timeout, &res); err != nil {
			return nil, err, false
		}
	}
	if ctx.Err() != nil || !q.Deadline.After(time.Now()) {
		return nil, &backend.Error{Reason: ended(ctx), NotRun: true}, false
	}
	begin := time.Now()
	a, err := r.Send(ctx, s.Addr, &backend.Request{
		ID: q.ID, Service: q.Service, Account: q.Account, Repeatable: q.Repeatable, Body: q.Body,
	})
	took := time.Since(begin)
	if err != nil {
		fail := failure(err)
		res = result(fail, took >= timeout)
		return nil, fail, fail.Reason != route.ReasonConnect && fail.Reason != route.ReasonConnections
	}
	res = told(a.Notice)
	res.Verdict, res.Fault, res.Took = route.Answered, a.Status >= 500, took.Milliseconds()
	return a, nil, true
}

// check probes the server; an error says why it gets no work.
func (r *Router) check(ctx context.Context, s *route.Server, timeout time.Duration, res *route.Result) *backend.Error {
	wait := r.ProbeWait
	if wait == 0 {
		wait = 250 * time.Millisecond
	}
	pctx, cancel := context.WithTimeout(ctx, min(wait, timeout))
	defer cancel()
	n, err := r.Probe(pctx, s.Addr)
	if err != nil {
		fail := failure(err)
		fail.NotRun = true // nothing but the probe was sent
		if ctx.Err() == nil && fail.Reason != route.ReasonConnections {
			res.Verdict = route.Gone
		}
		return fail
	}
	r.Table.Heard(s, now(), told(n))
	if n.Leaving {
		return &backend.Error{Reason: route.ReasonLeaving, NotRun: true, Told: true, Notice: n}
	}
	return nil
}

func failure(err error) *backend.Error {
	var e *backend.Error
	if errors.As(err, &e) {
		return e
	}
	return &backend.Error{Reason: route.ReasonReset, Err: err}
}

func told(n backend.Notice) route.Result {
	return route.Result{Loaded: n.HasLoad, Busy: n.Load, Leaving: n.Leaving}
}

// result classifies a failure; patient says that the server had as long as
// it usually needs.
func result(e *backend.Error, patient bool) route.Result {
	switch e.Reason {
	case route.ReasonConnections, route.ReasonDeadline, route.ReasonField:
		if !e.Told {
			return route.Result{Verdict: route.Dropped}
		}
	case route.ReasonConnect:
		return route.Result{Verdict: route.Gone}
	case route.ReasonTimeout:
		if !patient {
			return route.Result{Verdict: route.Late}
		}
	case route.ReasonCancelled: // the caller went away, or another server answered first
		if !patient {
			return route.Result{Verdict: route.Dropped}
		}
	}
	if e.Told {
		res := told(e.Notice)
		res.Verdict = route.Refused
		return res
	}
	return route.Result{Verdict: route.Failed}
}

func ended(ctx context.Context) route.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return route.ReasonCancelled
	}
	return route.ReasonDeadline
}

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
	r.inflight++
	return true
}

func (r *Router) exit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inflight--
	r.checkQuiet()
}

func (r *Router) checkQuiet() {
	if r.draining && r.inflight == 0 && r.settling == 0 && r.quiet != nil {
		close(r.quiet)
		r.quiet = nil
	}
}

// DrainError reports what was left when the drain's context ended.
type DrainError struct {
	Inflight int // requests
	Settling int // fates not yet in the log; their claims stay open
}

// Error describes what was left.
func (e *DrainError) Error() string {
	return fmt.Sprintf("drain: %d requests in flight, %d fates not recorded", e.Inflight, e.Settling)
}

// Drain takes nothing new and returns when all accepted requests have their
// answer and all fates are in the log. It fails with *DrainError when ctx ends
// first. The leave record is to be appended after it.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	if r.quiet == nil {
		r.quiet = make(chan struct{})
	}
	quiet := r.quiet
	r.checkQuiet()
	r.mu.Unlock()
	var err error
	select {
	case <-quiet:
	case <-ctx.Done():
		r.mu.Lock()
		err = &DrainError{r.inflight, r.settling}
		r.mu.Unlock()
	}
	r.giveUpShares()
	return err
}

// giveUpShares closes the idle connections to backend servers, so that they
// are free when the other instances fold the leave and grow their shares.
func (r *Router) giveUpShares() {
	r.mu.Lock()
	r.drained, r.closed = true, true
	r.mu.Unlock()
	r.Table.SetMembers(r.Writer, nil)
	if r.Trim != nil {
		r.Trim()
	}
}
