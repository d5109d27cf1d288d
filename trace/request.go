package trace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// service answers the requests of the product's replay: claims through the
// log, the queue, the choice of backend server, and callers that send again.
type service struct {
	r       *replay
	servers []*backend
	queue   []*call
	calls   map[string]*call // by id on the wire
	outside []*call          // callers that wait for an instance
	rand    *rand.Rand
	runs    map[string]int // runs of requests that may run once only
}

// backend is one backend server.
type backend struct {
	domain  string
	slots   int
	down    bool
	epoch   int // grows when it is lost
	running map[*call]bool
}

// call is one request on its way.
type call struct {
	Request
	wire     string // id; starts with its creation time
	claimed  bool
	sent     bool
	answered bool
	instance int // grows with each restart, to recognize answers to an instance that ended
}

func newService(r *replay) *service {
	v := &service{r: r, calls: map[string]*call{}, rand: rand.New(rand.NewPCG(r.trace.Head.Seed, 1)), runs: map[string]int{}}
	for _, s := range r.trace.Services {
		for i := range s.Servers {
			v.servers = append(v.servers, &backend{domain: r.fleet.domains[i%len(r.fleet.domains)], slots: s.Slots, running: map[*call]bool{}})
		}
	}
	for _, q := range r.trace.expand() {
		c := &call{Request: q, wire: fmt.Sprintf("%d-%s", epoch+q.At, q.ID)}
		v.calls[c.wire] = c
		r.open++
		r.clock.at(q.At, func() { v.arrive(c) })
		if q.Resend > 0 {
			r.clock.at(q.At+q.Resend, func() { v.resend(c) })
		}
	}
	return v
}

// arrive takes a call at an instance.
func (v *service) arrive(c *call) {
	if v.r.decide == nil {
		v.outside = append(v.outside, c)
		return
	}
	c.instance = v.r.log.epoch
	if c.Once && !c.claimed {
		v.r.log.propose(v.r.record(record.KindClaim, c.wire, record.Claim{Request: c.wire, Account: c.Account, Service: c.Service}))
		return
	}
	v.push(c)
}

// resend is the same request again, through another instance; the claim keeps
// it from running twice.
func (v *service) resend(c *call) {
	if c.answered || v.r.decide == nil {
		return
	}
	v.r.log.propose(v.r.record(record.KindClaim, c.wire, record.Claim{Request: c.wire, Account: c.Account, Service: c.Service}))
}

// claimed takes the fold's answer to a claim. A refusal means that another
// claim of the same id came first; its holder answers.
func (v *service) claimed(wire string, o state.Outcome) {
	c := v.calls[wire]
	if !o.Accepted() || c.claimed {
		return
	}
	c.claimed = true
	c.instance = v.r.log.epoch
	if v.r.decide == nil {
		// The claimant ended before it could send.
		v.answer(c, record.FateUnknown)
		return
	}
	v.push(c)
}

func (v *service) push(c *call) {
	v.queue = append(v.queue, c)
	slices.SortStableFunc(v.queue, func(a, b *call) int {
		return cmp.Or(cmp.Compare(rank(a.Class), rank(b.Class)), cmp.Compare(a.due(), b.due()))
	})
	v.dispatch()
}

func rank(class string) int { return slices.Index([]string{"urgent", "normal", "bulk"}, class) }

// due returns the time of the call's deadline.
func (c *call) due() int64 {
	if c.Deadline == 0 {
		return MaxTime * 10
	}
	return c.At + c.Deadline
}

func (v *service) dispatch() {
	for len(v.queue) > 0 && v.r.decide != nil {
		c := v.queue[0]
		if v.r.clock.now > c.due() {
			v.queue = v.queue[1:]
			v.answer(c, record.FateNotRun)
			continue
		}
		s := v.pick()
		if s == nil {
			return
		}
		v.queue = v.queue[1:]
		v.send(s, c)
	}
}

// pick stands in for the choice of backend server: the less loaded of two, or
// any with a free slot.
func (v *service) pick() *backend {
	free := func(s *backend) bool { return !s.down && len(s.running) < s.slots }
	a, b := v.servers[v.rand.IntN(len(v.servers))], v.servers[v.rand.IntN(len(v.servers))]
	if len(b.running) < len(a.running) && free(b) || !free(a) {
		a = b
	}
	if free(a) {
		return a
	}
	if k := slices.IndexFunc(v.servers, free); k >= 0 {
		return v.servers[k]
	}
	return nil
}

func (v *service) send(s *backend, c *call) {
	s.running[c] = true
	c.sent = true
	if c.Once {
		v.runs[c.wire]++
	}
	epoch, instance := s.epoch, c.instance
	v.r.clock.after(c.Run, func() {
		if s.epoch != epoch {
			return
		}
		delete(s.running, c)
		if c.instance == instance && instance == v.r.log.epoch {
			v.answer(c, record.FateDone)
		}
		v.dispatch()
	})
}

// answer gives the caller its answer, and settles a claim.
func (v *service) answer(c *call, fate record.Fate) {
	if c.answered {
		return
	}
	c.answered = true
	v.r.open--
	v.r.side.answered(c.Request, string(fate), v.r.clock.now)
	if c.claimed && v.r.decide != nil {
		v.r.log.propose(v.r.record(record.KindSettle, "settle-"+c.wire, record.Settle{Request: c.wire, Fate: fate}))
	}
}

// domain loses the backend servers of a failure domain, or brings them back.
func (v *service) domain(name string, begin bool) {
	for _, s := range v.servers {
		if s.domain != name {
			continue
		}
		s.down = begin
		if !begin {
			continue
		}
		s.epoch++
		for _, c := range v.sorted(s) {
			delete(s.running, c)
			if c.Once {
				v.answer(c, record.FateUnknown)
			} else {
				v.push(c)
			}
		}
	}
	v.dispatch()
}

func (v *service) sorted(s *backend) []*call {
	var out []*call
	for c := range s.running {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int { return cmp.Compare(a.wire, b.wire) })
	return out
}

// restart loses what the instances had accepted: callers of repeatable
// requests send again, the fate of claimed ones is unknown.
func (v *service) restart(begin bool) {
	if !begin {
		again := v.outside
		v.outside = nil
		for _, c := range again {
			v.arrive(c)
		}
		v.dispatch()
		return
	}
	hurt := v.queue
	v.queue = nil
	for _, s := range v.servers {
		hurt = append(hurt, v.sorted(s)...)
	}
	for _, c := range hurt {
		switch {
		case c.answered:
		case c.claimed:
			v.answer(c, record.FateUnknown)
		default:
			v.outside = append(v.outside, c)
		}
	}
}
