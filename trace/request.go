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

// errBudget is a retry that the budget does not allow.
var errBudget = errors.New("retry budget")

// Delays and limits of the request path, as package caller has them, in
// milliseconds.
const (
	hopDelay    = 1    // to a backend server, or back
	pumpEvery   = 10   // waiting requests are looked at although no answer came
	maxAttempts = 4    // sends of one request
	maxTries    = 32   // sends and probes of one request
	firstWait   = 500  // until a second attempt while the usual service time is not known
	joinDelay   = 1000 // after its join before an instance uses its shares
)

// service takes the requests of the product's replay through package route:
// shares, choice of server, breakers, queue, shedding and retries, with one
// table and queue for each instance. Claims go through the log.
type service struct {
	r         *replay
	instances []*instance // empty while every instance is down
	servers   map[string]*backend
	names     []string // of services
	calls     []*call
	byWire    map[string]*call
	outside   []*call // callers that wait for an instance
	next      int     // instance of the next caller
	rand      *rand.Rand
	refused   map[string]int // answers that are not done, by reason
}

// instance is the request path of one entry instance.
type instance struct {
	table   *route.Table
	queues  map[string]*route.Queue
	budget  route.RetryBudget
	pumping bool
	gone    bool
}

// call is one request on its way.
type call struct {
	Request
	wire     string // id; starts with its creation time
	instance *instance
	tries    int
	sends    int // of the tries, those that sent the request
	running  int
	exclude  []string
	losers   []func() // give up the attempts that still run
	maybe    bool     // an attempt may have run
	claimed  bool
	answered bool
	runs     int
	sent     int64 // to a server, last
	began    int64 // to run there, last
	ended    int64
}

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

// join makes the instances of a new incarnation.
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

// arrive takes a call at the next instance, as a balancer distributes it.
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

// claim proposes the right to run the call once. The instance that writes the
// record is the claimant.
func (v *service) claim(c *call) {
	v.r.log.propose(v.r.record(record.KindClaim, c.wire, record.Claim{Request: c.wire, Account: c.Account, Service: c.Service}))
}

// resend is the same request again, through another instance; the claim keeps
// it from running twice.
func (v *service) resend(c *call) {
	if c.Once && !c.answered && len(v.instances) > 0 {
		v.claim(c)
	}
}

// claimed takes the fold's answer to a claim. A refusal means that a claim of
// the same id came first, whose holder answers.
func (v *service) claimed(wire string, o state.Decision) {
	c := v.byWire[wire]
	switch {
	case c.claimed || c.answered:
	case !o.Accepted():
		v.answer(c, record.RequestNotRun, string(o.Reason))
	case len(v.instances) == 0: // the claimant ended before it could send
		c.claimed = true
		v.answer(c, record.RequestUnknown, "restart")
	default:
		c.claimed = true
		c.instance = v.instances[v.r.log.writer(wire)]
		v.first(c)
	}
}

func (v *service) first(c *call) {
	c.instance.budget.CountRequest(v.r.now())
	v.acquire(c)
}

// acquire sends the call if a server is free for it, and queues it otherwise.
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

func reason(err error) string {
	var e *route.RefusedError
	if errors.As(err, &e) {
		return string(e.Reason)
	}
	return "error"
}

func (c *call) class() route.Class {
	class, _ := route.ParseClass(c.Class)
	return class
}

// due returns the time of the call's deadline.
func (c *call) due() int64 {
	if c.Deadline == 0 {
		return 10 * MaxTime
	}
	return c.At + c.Deadline
}

// tick pumps until nothing waits.
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

// pump sends waiting calls to free servers and reports whether any still wait.
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

func (v *service) expire(items []*route.Item) {
	for _, it := range items {
		v.end(it.Value.(*call), string(route.ReasonDeadline))
	}
}

// send probes the server if need be and sends the call once.
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

func (v *service) deliver(c *call, s *route.Server, timeout int64) {
	in, b, began := c.instance, v.servers[s.Addr], v.r.clock.now
	settled := false // the table has heard of this attempt
	// When another server answers first, the attempt is given up.
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

// hedge sends a call that waits longer than usual to a second server too, if
// one is free and the retry budget allows it.
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

// failed ends an attempt and tries another server if that is allowed.
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
	case c.running > 0: // another attempt may still answer
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

// end answers a call that no server answered.
func (v *service) end(c *call, why string) {
	if c.maybe {
		v.answer(c, record.RequestUnknown, why)
		return
	}
	v.answer(c, record.RequestNotRun, why)
}

// answer gives the caller its answer, and settles a claim.
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

// domain loses the backend servers of a failure domain, or brings them back.
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

// restart loses what the instances had accepted: callers of repeatable
// requests send again, the fate of claimed ones is unknown.
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
