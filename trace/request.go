package trace

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
	"jasminelane.example/lane/state"
)

// errBudget reports a retry that the retry budget does not allow.
var errBudget = errors.New("retry budget")

// Delays in milliseconds, and limits, of the request path. Those that package
// caller has too are the same there.
const (
	hopDelay         = 1    // to a backend server, or back; one way
	dispatchInterval = 10   // interval of the dispatch of queued requests when no response arrives
	maxSends         = 4    // sends of one request
	maxAttempts      = 32   // sends and probes of one request
	firstHedgeDelay  = 500  // until a hedged attempt while the usual service time is unknown
	shareDelay       = 1000 // from an instance's join until it uses its connection shares
)

// requestPath simulates the product's request path with package route:
// connection shares, choice of server, circuit breakers, queueing, load
// shedding and retries, with a routing table and queues for each instance.
// Claims go through the log.
type requestPath struct {
	r            *replay
	instances    []*instance // empty while all instances are down
	servers      map[string]*backend
	serviceNames []string
	calls        []*call
	byRequestID  map[string]*call
	unassigned   []*call // requests whose callers wait for an available instance
	nextInstance int     // round-robin counter for the instance of the next request
	rand         *rand.Rand
	notDone      map[string]int // requests that were not done, by type and reason
}

// instance is the request path of one entry instance.
type instance struct {
	table             *route.Table
	queues            map[string]*route.Queue
	budget            route.RetryBudget
	dispatchScheduled bool
	stopped           bool
}

// call is one request with the state of its attempts.
type call struct {
	Request
	requestID  string // in the log; starts with the creation time
	instance   *instance
	attempts   int      // including those that ended with the probe
	sends      int      // attempts that sent the request
	inFlight   int      // attempts that have not ended
	exclude    []string // addresses of the servers tried
	abandon    []func() // abandon the attempts in flight
	mayHaveRun bool     // a failed attempt may have run
	claimed    bool
	answered   bool
	runs       int   // times that a server accepted it
	sentAt     int64 // time of the last attempt
	startedAt  int64 // time at which it last began to run
	endedAt    int64
}

// newRequestPath schedules the requests of the trace.
func newRequestPath(r *replay) *requestPath {
	v := &requestPath{
		r: r, servers: map[string]*backend{}, byRequestID: map[string]*call{}, notDone: map[string]int{},
		rand: rand.New(rand.NewPCG(r.trace.Head.Seed, 1)),
	}
	for _, s := range r.trace.Services {
		v.serviceNames = append(v.serviceNames, s.Name)
		for _, b := range serviceBody(s, r.fleet.domains).Servers {
			v.servers[b.Addr] = &backend{r: r, domain: b.Domain, slots: b.Slots}
		}
	}
	for _, q := range r.trace.expandRequests() {
		c := &call{Request: q, requestID: fmt.Sprintf("%d-%s", startUnixMs+q.At, q.ID)}
		v.calls = append(v.calls, c)
		v.byRequestID[c.requestID] = c
		r.unfinished++
		r.clock.at(q.At, func() { v.arrive(c) })
		if q.Resend > 0 {
			r.clock.at(q.At+q.Resend, func() { v.resend(c) })
		}
	}
	v.join()
	return v
}

// join creates the routing tables and queues of new incarnations of the
// instances.
func (v *requestPath) join() {
	v.instances = nil
	for _, writer := range v.r.log.writers {
		in := &instance{table: &route.Table{Random: v.rand.Float64}, queues: map[string]*route.Queue{}}
		for _, s := range v.r.trace.Services {
			body := serviceBody(s, v.r.fleet.domains)
			in.table.UpdateService(s.Name, &body)
			in.queues[s.Name] = &route.Queue{}
		}
		in.table.SetMembers(writer, v.r.log.writers)
		v.instances = append(v.instances, in)
	}
}

// arrive passes a call to the next instance, round-robin as a load balancer
// does. A non-repeatable call is claimed first.
func (v *requestPath) arrive(c *call) {
	if len(v.instances) == 0 {
		v.unassigned = append(v.unassigned, c)
		return
	}
	if c.Once {
		v.claim(c)
		return
	}
	c.instance = v.instances[v.nextInstance%len(v.instances)]
	v.nextInstance++
	v.start(c)
}

// claim proposes a claim of the call, without which it must not run. The
// instance that writes the record is the claimant.
func (v *requestPath) claim(c *call) {
	v.r.log.propose(v.r.record(record.KindClaim, c.requestID, record.Claim{Request: c.requestID, Account: c.Account, Service: c.Service}))
}

// resend sends the same request through another instance. The claim prevents it
// from running twice.
func (v *requestPath) resend(c *call) {
	if c.Once && !c.answered && len(v.instances) > 0 {
		v.claim(c)
	}
}

// claimed handles the decision on a claim. Once the call is claimed, further
// decisions are ignored: a refusal then means that an earlier claim of the same
// id was accepted, whose claimant answers.
func (v *requestPath) claimed(requestID string, o state.Decision) {
	c := v.byRequestID[requestID]
	switch {
	case c.claimed || c.answered:
	case !o.Accepted():
		v.answer(c, record.RequestNotRun, string(o.Reason))
	case len(v.instances) == 0: // the claimant stopped before it could send the request
		c.claimed = true
		v.answer(c, record.RequestUnknown, "restart")
	default:
		c.claimed = true
		c.instance = v.instances[v.r.log.writerIndex(requestID)]
		v.start(c)
	}
}

// start counts the call toward the retry budget and begins its routing.
func (v *requestPath) start(c *call) {
	c.instance.budget.CountRequest(v.r.now())
	v.sendOrQueue(c)
}

// sendOrQueue sends the call if a server is free and no call of its class or a
// higher one is queued. Otherwise it queues the call.
func (v *requestPath) sendOrQueue(c *call) {
	in, now := c.instance, v.r.now()
	q := in.queues[c.Service]
	q.ServiceTimeMs[c.class()] = cmp.Or(in.table.ServiceTimeMs(c.Service, c.class()), route.DefaultServiceTimeMs)
	if q.Ahead(c.class()) == 0 {
		s, err := in.table.Pick(c.Service, now, c.exclude, c.class())
		if err != nil && len(c.exclude) > 0 {
			s, err = in.table.Pick(c.Service, now, nil, c.class())
		}
		if err == nil {
			v.send(c, s)
			return
		}
	}
	if err := q.Push(now, &route.Item{Account: c.Account, Class: c.class(), Deadline: startUnixMs + c.deadlineAt(), Value: c}); err != nil {
		v.endWithoutAnswer(c, refusalReason(err))
		return
	}
	v.scheduleDispatch(in)
}

// refusalReason returns the reason of a refusal by package route.
func refusalReason(err error) string {
	var e *route.RefusedError
	if errors.As(err, &e) {
		return string(e.Reason)
	}
	return "error"
}

// class returns the priority class of the request.
func (c *call) class() route.Class {
	class, _ := route.ParseClass(c.Class)
	return class
}

// deadlineAt returns the time of the deadline; without one, a time after any
// replay.
func (c *call) deadlineAt() int64 {
	if c.Deadline == 0 {
		return 10 * MaxTimeMs
	}
	return c.At + c.Deadline
}

// scheduleDispatch dispatches the instance's queued calls periodically until
// none is left.
func (v *requestPath) scheduleDispatch(in *instance) {
	if in.dispatchScheduled || in.stopped {
		return
	}
	in.dispatchScheduled = true
	v.r.clock.after(dispatchInterval, func() {
		in.dispatchScheduled = false
		if v.dispatch(in) {
			v.scheduleDispatch(in)
		}
	})
}

// dispatch sends the instance's queued calls to free servers. It reports
// whether any call is still queued.
func (v *requestPath) dispatch(in *instance) bool {
	if in.stopped {
		return false
	}
	waiting, now := false, v.r.now()
	for _, name := range v.serviceNames {
		q := in.queues[name]
		v.expire(q.Expire(now))
		for q.Len() > 0 {
			s, err := in.table.Pick(name, now, nil, q.Peek().Class)
			if err != nil {
				break
			}
			it, _ := q.Pop(now)
			v.send(it.Value.(*call), s)
		}
		waiting = waiting || q.Len() > 0
	}
	return waiting
}

// expire ends queued calls whose deadline has passed.
func (v *requestPath) expire(items []*route.Item) {
	for _, it := range items {
		v.endWithoutAnswer(it.Value.(*call), string(route.ReasonDeadline))
	}
}

// send makes one attempt: it probes the server first if the routing table
// requires that, then sends the call.
func (v *requestPath) send(c *call, s *route.Server) {
	in, b := c.instance, v.servers[s.Addr]
	c.sentAt = v.r.clock.now
	c.attempts++
	c.inFlight++
	c.exclude = append(c.exclude, s.Addr)
	timeout := in.table.AttemptTimeoutMs(s, c.class())
	if !c.Once {
		v.hedge(c, timeout)
	}
	if in.table.CanSend(s, v.r.now()) {
		v.deliver(c, s, timeout)
		return
	}
	v.r.clock.after(2*hopDelay, func() {
		if in.stopped {
			return
		}
		if c.answered {
			in.table.Done(s, v.r.now(), route.Result{Outcome: route.Abandoned, Class: c.class()})
			return
		}
		if b.down {
			v.attemptFailed(c, s, route.ReasonConnect, true)
			return
		}
		in.table.ProbeAnswered(s, v.r.now(), route.Result{HasLoad: true, Load: b.load()})
		v.deliver(c, s, timeout)
	})
}

// deliver sends the call to the server and handles the response.
func (v *requestPath) deliver(c *call, s *route.Server, timeout int64) {
	in, b, began := c.instance, v.servers[s.Addr], v.r.clock.now
	reported := false // the result of this attempt is in the routing table
	// The attempt is abandoned when another server answers first.
	c.abandon = append(c.abandon, func() {
		if in.stopped || reported {
			return
		}
		reported = true
		res := route.Result{Outcome: route.Abandoned, Class: c.class()}
		if v.r.clock.now-began >= timeout {
			res.Outcome = route.Failed
		}
		in.table.Done(s, v.r.now(), res)
	})
	v.r.clock.after(hopDelay, func() {
		if in.stopped || reported {
			return
		}
		if b.down {
			reported = true
			v.attemptFailed(c, s, route.ReasonConnect, true)
			return
		}
		c.sends++
		if b.full() {
			reported = true
			v.attemptFailed(c, s, route.ReasonBusy, true)
			return
		}
		c.runs++
		b.accept(c, func(ok bool) {
			if in.stopped || reported {
				return
			}
			reported = true
			if !ok {
				v.attemptFailed(c, s, route.ReasonReset, false)
				return
			}
			in.table.Done(s, v.r.now(), route.Result{
				Outcome: route.Answered, Class: c.class(), HasLoad: true, Load: b.load(), DurationMs: v.r.clock.now - began,
			})
			v.answer(c, record.RequestDone, "")
			v.dispatch(in)
		})
	})
}

// hedge makes a second attempt in parallel if the call is not answered within
// the attempt timeout, a server is free and the retry budget allows it.
func (v *requestPath) hedge(c *call, timeout int64) {
	in, attempt := c.instance, c.attempts
	if in.table.ServiceTimeMs(c.Service, c.class()) == 0 {
		timeout = min(timeout, firstHedgeDelay)
	}
	v.r.clock.after(timeout, func() {
		if in.stopped || c.answered || c.attempts != attempt || c.inFlight == 0 || c.attempts >= maxSends || v.r.clock.now >= c.deadlineAt() {
			return
		}
		s, err := in.table.Pick(c.Service, v.r.now(), c.exclude, c.class())
		if err == nil && !in.budget.TakeRetry(v.r.now()) {
			in.table.Done(s, v.r.now(), route.Result{Outcome: route.Abandoned, Class: c.class()})
			err = errBudget
		}
		if err != nil {
			v.hedge(c, timeout)
			return
		}
		v.send(c, s)
	})
}

// attemptFailed handles a failed attempt. It retries the call on another server
// unless the call may have run and is not repeatable, or a limit, the deadline
// or the retry budget forbids it.
func (v *requestPath) attemptFailed(c *call, s *route.Server, reason route.Reason, notRun bool) {
	in := c.instance
	res := route.Result{Outcome: route.Failed, Class: c.class()}
	switch reason {
	case route.ReasonConnect:
		res.Outcome = route.Unreachable
	case route.ReasonBusy:
		res = route.Result{Outcome: route.Refused, Class: c.class(), HasLoad: true, Load: v.servers[s.Addr].load()}
	}
	in.table.Done(s, v.r.now(), res)
	v.dispatch(in)
	c.inFlight--
	c.mayHaveRun = c.mayHaveRun || !notRun
	switch {
	case c.inFlight > 0: // another attempt is in flight
	case c.mayHaveRun && c.Once, c.sends >= maxSends, c.attempts >= maxAttempts, v.r.clock.now >= c.deadlineAt():
		v.endWithoutAnswer(c, string(reason))
	case reason != route.ReasonConnect && !in.budget.TakeRetry(v.r.now()):
		v.endWithoutAnswer(c, string(route.ReasonBudget))
	default:
		delay := route.RetryDelayMs(c.attempts, 10, 200, v.rand.Float64)
		if reason == route.ReasonConnect {
			delay = 0
		}
		v.r.clock.after(delay, func() {
			if !in.stopped {
				v.sendOrQueue(c)
			}
		})
	}
}

// endWithoutAnswer answers a call that no server answered: unknown if it may
// have run, not run otherwise.
func (v *requestPath) endWithoutAnswer(c *call, reason string) {
	if c.mayHaveRun {
		v.answer(c, record.RequestUnknown, reason)
		return
	}
	v.answer(c, record.RequestNotRun, reason)
}

// answer ends a call with its outcome, abandons its attempts in flight, and
// records the outcome of a claimed call.
func (v *requestPath) answer(c *call, outcome record.RequestOutcome, reason string) {
	if c.answered {
		return
	}
	c.answered, c.endedAt = true, v.r.clock.now
	for _, abandon := range c.abandon {
		abandon()
	}
	v.r.unfinished--
	v.r.recorder.requestEnded(c.Request, string(outcome), v.r.clock.now)
	if outcome != record.RequestDone {
		v.notDone[c.Type+" "+reason]++
	}
	if c.claimed && len(v.instances) > 0 {
		v.r.log.propose(v.r.record(record.KindSettle, c.requestID, record.Settle{Request: c.requestID, Outcome: outcome}))
	}
}

// setDomainDown begins or ends the loss of a failure domain's backend servers.
func (v *requestPath) setDomainDown(name string, begin bool) {
	for _, b := range v.servers {
		if b.domain == name {
			b.down = begin
		}
	}
	if !begin {
		return
	}
	for _, s := range v.r.trace.Services {
		for _, sb := range serviceBody(s, v.r.fleet.domains).Servers {
			if sb.Domain == name {
				v.servers[sb.Addr].dropAll()
			}
		}
	}
}

// restart ends all instances, or starts their new incarnations. Calls in flight
// are lost: callers of repeatable requests send them again, and the outcome of
// claimed requests is unknown.
func (v *requestPath) restart(begin bool) {
	if !begin {
		v.join()
		v.r.clock.after(shareDelay, func() {
			waiting := v.unassigned
			v.unassigned = nil
			for _, c := range waiting {
				v.arrive(c)
			}
		})
		return
	}
	for _, in := range v.instances {
		in.stopped = true
	}
	v.instances = nil
	for _, c := range v.calls {
		switch {
		case c.answered || c.instance == nil:
		case c.claimed:
			v.answer(c, record.RequestUnknown, "restart")
		case !slices.Contains(v.unassigned, c):
			c.instance, c.attempts, c.sends, c.inFlight, c.exclude, c.abandon, c.mayHaveRun = nil, 0, 0, 0, nil, nil, false
			v.unassigned = append(v.unassigned, c)
		}
	}
}
