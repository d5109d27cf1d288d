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
	hopDelay    = 1    // to a backend server, or back; one way
	pumpEvery   = 10   // interval of the dispatch of queued requests when no response arrives
	maxAttempts = 4    // sends of one request
	maxTries    = 32   // sends and probes of one request
	firstWait   = 500  // until a hedged attempt while the usual service time is unknown
	joinDelay   = 1000 // from an instance's join until it uses its connection shares
)

// service simulates the product's request path with package route: connection
// shares, choice of server, circuit breakers, queueing, load shedding and
// retries, with a routing table and queues for each instance. Claims go through
// the log.
type service struct {
	r         *replay
	instances []*instance // empty while all instances are down
	servers   map[string]*backend
	names     []string // of the services
	calls     []*call
	byWire    map[string]*call
	outside   []*call // requests whose callers wait for an available instance
	next      int     // round-robin counter for the instance of the next request
	rand      *rand.Rand
	refused   map[string]int // requests that were not done, by type and reason
}

// instance is the request path of one entry instance.
type instance struct {
	table   *route.Table
	queues  map[string]*route.Queue
	budget  route.RetryBudget
	pumping bool
	gone    bool
}

// call is one request with the state of its attempts.
type call struct {
	Request
	wire     string // request id in the log; starts with the creation time
	instance *instance
	tries    int      // attempts, including those that ended with the probe
	sends    int      // attempts that sent the request
	running  int      // attempts in flight
	exclude  []string // addresses of the servers tried
	losers   []func() // abandon the attempts in flight
	maybe    bool     // a failed attempt may have run
	claimed  bool
	answered bool
	runs     int   // times that a server accepted it
	sent     int64 // time of the last attempt
	began    int64 // time at which it last began to run
	ended    int64
}

// newService schedules the requests of the trace.
func newService(r *replay) *service {
	v := &service{
		r: r, servers: map[string]*backend{}, byWire: map[string]*call{}, refused: map[string]int{},
		rand: rand.New(rand.NewPCG(r.trace.Head.Seed, 1)),
	}
	for _, s := range r.trace.Services {
		v.names = append(v.names, s.Name)
		for _, b := range serviceBody(s, r.fleet.domains).Servers {
			v.servers[b.Addr] = &backend{r: r, domain: b.Domain, slots: b.Slots}
		}
	}
	for _, q := range r.trace.expand() {
		c := &call{Request: q, wire: fmt.Sprintf("%d-%s", epoch+q.At, q.ID)}
		v.calls = append(v.calls, c)
		v.byWire[c.wire] = c
		r.open++
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
func (v *service) join() {
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

// arrive passes a call to the next instance, round-robin as a load balancer does.
// A non-repeatable call is claimed first.
func (v *service) arrive(c *call) {
	if len(v.instances) == 0 {
		v.outside = append(v.outside, c)
		return
	}
	if c.Once {
		v.claim(c)
		return
	}
	c.instance = v.instances[v.next%len(v.instances)]
	v.next++
	v.first(c)
}

// claim proposes a claim of the call, without which it must not run. The instance
// that writes the record is the claimant.
func (v *service) claim(c *call) {
	v.r.log.propose(v.r.record(record.KindClaim, c.wire, record.Claim{Request: c.wire, Account: c.Account, Service: c.Service}))
}

// resend sends the same request through another instance. The claim prevents it
// from running twice.
func (v *service) resend(c *call) {
	if c.Once && !c.answered && len(v.instances) > 0 {
		v.claim(c)
	}
}

// claimed handles the decision on a claim. Once the call is claimed, further
// decisions are ignored: a refusal then means that an earlier claim of the same
// id was accepted, whose claimant answers.
func (v *service) claimed(wire string, o state.Decision) {
	c := v.byWire[wire]
	switch {
	case c.claimed || c.answered:
	case !o.Accepted():
		v.answer(c, record.RequestNotRun, string(o.Reason))
	case len(v.instances) == 0: // the claimant stopped before it could send the request
		c.claimed = true
		v.answer(c, record.RequestUnknown, "restart")
	default:
		c.claimed = true
		c.instance = v.instances[v.r.log.writer(wire)]
		v.first(c)
	}
}

// first starts the routing of a call that counts toward the retry budget.
func (v *service) first(c *call) {
	c.instance.budget.CountRequest(v.r.now())
	v.acquire(c)
}

// acquire sends the call if a server is free and no call of its class or a
// higher one is queued. Otherwise it queues the call.
func (v *service) acquire(c *call) {
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
	if err := q.Push(now, &route.Item{Account: c.Account, Class: c.class(), Deadline: epoch + c.due(), Value: c}); err != nil {
		v.end(c, reason(err))
		return
	}
	v.tick(in)
}

// reason returns the reason of a refusal by package route.
func reason(err error) string {
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

// due returns the time of the deadline; without one, a time after any replay.
func (c *call) due() int64 {
	if c.Deadline == 0 {
		return 10 * MaxTimeMs
	}
	return c.At + c.Deadline
}

// tick dispatches the instance's queued calls periodically until none is left.
func (v *service) tick(in *instance) {
	if in.pumping || in.gone {
		return
	}
	in.pumping = true
	v.r.clock.after(pumpEvery, func() {
		in.pumping = false
		if v.pump(in) {
			v.tick(in)
		}
	})
}

// pump sends the instance's queued calls to free servers. It reports whether any
// call is still queued.
func (v *service) pump(in *instance) bool {
	if in.gone {
		return false
	}
	waiting, now := false, v.r.now()
	for _, name := range v.names {
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
func (v *service) expire(items []*route.Item) {
	for _, it := range items {
		v.end(it.Value.(*call), string(route.ReasonDeadline))
	}
}

// send makes one attempt: it probes the server first if the routing table
// requires that, then sends the call.
func (v *service) send(c *call, s *route.Server) {
	in, b := c.instance, v.servers[s.Addr]
	c.sent = v.r.clock.now
	c.tries++
	c.running++
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
		if in.gone {
			return
		}
		if c.answered {
			in.table.Done(s, v.r.now(), route.Result{Outcome: route.Abandoned, Class: c.class()})
			return
		}
		if b.down {
			v.failed(c, s, route.ReasonConnect, true)
			return
		}
		in.table.ProbeAnswered(s, v.r.now(), route.Result{HasLoad: true, Load: b.load()})
		v.deliver(c, s, timeout)
	})
}

// deliver sends the call to the server and handles the response.
func (v *service) deliver(c *call, s *route.Server, timeout int64) {
	in, b, began := c.instance, v.servers[s.Addr], v.r.clock.now
	settled := false // the result of this attempt is in the routing table
	// The attempt is abandoned when another server answers first.
	c.losers = append(c.losers, func() {
		if in.gone || settled {
			return
		}
		settled = true
		res := route.Result{Outcome: route.Abandoned, Class: c.class()}
		if v.r.clock.now-began >= timeout {
			res.Outcome = route.Failed
		}
		in.table.Done(s, v.r.now(), res)
	})
	v.r.clock.after(hopDelay, func() {
		if in.gone || settled {
			return
		}
		if b.down {
			settled = true
			v.failed(c, s, route.ReasonConnect, true)
			return
		}
		c.sends++
		if b.full() {
			settled = true
			v.failed(c, s, route.ReasonBusy, true)
			return
		}
		c.runs++
		b.accept(c, func(ok bool) {
			if in.gone || settled {
				return
			}
			settled = true
			if !ok {
				v.failed(c, s, route.ReasonReset, false)
				return
			}
			in.table.Done(s, v.r.now(), route.Result{
				Outcome: route.Answered, Class: c.class(), HasLoad: true, Load: b.load(), DurationMs: v.r.clock.now - began,
			})
			v.answer(c, record.RequestDone, "")
			v.pump(in)
		})
	})
}

// hedge makes a second attempt in parallel if the call is not answered within
// the attempt timeout, a server is free and the retry budget allows it.
func (v *service) hedge(c *call, timeout int64) {
	in, try := c.instance, c.tries
	if in.table.ServiceTimeMs(c.Service, c.class()) == 0 {
		timeout = min(timeout, firstWait)
	}
	v.r.clock.after(timeout, func() {
		if in.gone || c.answered || c.tries != try || c.running == 0 || c.tries >= maxAttempts || v.r.clock.now >= c.due() {
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

// failed handles a failed attempt. It retries the call on another server unless
// the call may have run and is not repeatable, or a limit, the deadline or the
// retry budget forbids it.
func (v *service) failed(c *call, s *route.Server, why route.Reason, notRun bool) {
	in := c.instance
	res := route.Result{Outcome: route.Failed, Class: c.class()}
	switch why {
	case route.ReasonConnect:
		res.Outcome = route.Unreachable
	case route.ReasonBusy:
		res = route.Result{Outcome: route.Refused, Class: c.class(), HasLoad: true, Load: v.servers[s.Addr].load()}
	}
	in.table.Done(s, v.r.now(), res)
	v.pump(in)
	c.running--
	c.maybe = c.maybe || !notRun
	switch {
	case c.running > 0: // another attempt is in flight
	case c.maybe && c.Once, c.sends >= maxAttempts, c.tries >= maxTries, v.r.clock.now >= c.due():
		v.end(c, string(why))
	case why != route.ReasonConnect && !in.budget.TakeRetry(v.r.now()):
		v.end(c, string(route.ReasonBudget))
	default:
		delay := route.RetryDelayMs(c.tries, 10, 200, v.rand.Float64)
		if why == route.ReasonConnect {
			delay = 0
		}
		v.r.clock.after(delay, func() {
			if !in.gone {
				v.acquire(c)
			}
		})
	}
}

// end answers a call that no server answered: unknown if it may have run, not run
// otherwise.
func (v *service) end(c *call, why string) {
	if c.maybe {
		v.answer(c, record.RequestUnknown, why)
		return
	}
	v.answer(c, record.RequestNotRun, why)
}

// answer ends a call with its outcome, abandons its attempts in flight, and
// records the outcome of a claimed call.
func (v *service) answer(c *call, fate record.RequestOutcome, why string) {
	if c.answered {
		return
	}
	c.answered, c.ended = true, v.r.clock.now
	for _, lose := range c.losers {
		lose()
	}
	v.r.open--
	v.r.side.answered(c.Request, string(fate), v.r.clock.now)
	if fate != record.RequestDone {
		v.refused[c.Type+" "+why]++
	}
	if c.claimed && len(v.instances) > 0 {
		v.r.log.propose(v.r.record(record.KindSettle, c.wire, record.Settle{Request: c.wire, Outcome: fate}))
	}
}

// domain begins or ends the loss of a failure domain's backend servers.
func (v *service) domain(name string, begin bool) {
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
				v.servers[sb.Addr].lose()
			}
		}
	}
}

// restart ends all instances, or starts their new incarnations. Calls in flight
// are lost: callers of repeatable requests send them again, and the outcome of
// claimed requests is unknown.
func (v *service) restart(begin bool) {
	if !begin {
		v.join()
		v.r.clock.after(joinDelay, func() {
			again := v.outside
			v.outside = nil
			for _, c := range again {
				v.arrive(c)
			}
		})
		return
	}
	for _, in := range v.instances {
		in.gone = true
	}
	v.instances = nil
	for _, c := range v.calls {
		switch {
		case c.answered || c.instance == nil:
		case c.claimed:
			v.answer(c, record.RequestUnknown, "restart")
		case !slices.Contains(v.outside, c):
			c.instance, c.tries, c.sends, c.running, c.exclude, c.losers, c.maybe = nil, 0, 0, 0, nil, nil, false
			v.outside = append(v.outside, c)
		}
	}
}
