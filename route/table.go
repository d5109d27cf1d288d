package route

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"jasminelane.example/lane/state"
)

// Table holds the backend servers of all services with what this instance
// knows of them. Fields are set before use. It is safe for concurrent use.
type Table struct {
	Random     func() float64 // in [0, 1); default math/rand/v2
	ReportAge  int64          // reported load counts less with age and nothing after this or the usual service time, milliseconds; default 1000
	StallAfter int64          // a server with requests in flight that says nothing for this long is stalled, milliseconds; default 500
	FreshFor   int64          // a server not heard for this long is asked before it gets work, milliseconds; default 2000
	LeaveFor   int64          // a leaving mark from a header holds for this long, milliseconds; default 60000

	mu       sync.Mutex
	services map[string]*service
	servers  map[string]*Server // by address
	self     string
	members  []string
	open     []*Server // memory of Pick, reused
}

type service struct {
	body    *state.ServiceBody
	servers []*Server
	usual   [classes]float64 // service time of each class, milliseconds; 0 when not known
}

// Server is one backend server. Its address identifies it in all services.
type Server struct {
	Name   string
	Addr   string
	Domain string

	// Guarded by Table.mu.
	slots       int
	connections int
	share       int          // connections that this instance may open
	parts       [classes]int // slots of this instance's own, by class
	retired     bool         // leaving by configuration
	listed      bool         // leaving by the instance list
	leaving     int64
	inflight    int
	flight      [classes]int // inflight by class
	busy        int          // requests that the server last reported
	own         int          // of these, in flight from this instance
	reported    int64        // time of that report
	heard       int64        // time of the last word from the server
	silent      int64        // since when, with requests in flight, it has said nothing
	home        *service     // the first by name that it belongs to
	breaker     breaker
}

// Verdict classifies how a request to a server ended, as the table sees it.
type Verdict uint8

// Verdicts.
const (
	Answered Verdict = iota // a complete answer
	Refused                 // the server refused: busy or leaving
	Failed                  // no answer in time, or a damaged one
	Gone                    // no connection, or no answer to a probe
	Late                    // the caller's deadline passed before the attempt's timeout
	Dropped                 // given up for reasons of the caller, or never sent; says nothing about the server
)

// Result is what became of one request to a server.
type Result struct {
	Verdict Verdict
	Class   Class // of the request
	Fault   bool  // the answer has a 5xx status
	Loaded  bool  // Busy is valid
	Busy    int   // requests running or waiting in the server
	Leaving bool  // the server says that it is leaving
	Took    int64 // milliseconds from sending to the answer
}

// Update replaces the servers of a service; a nil body removes it.
func (t *Table) Update(name string, body *state.ServiceBody) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services == nil {
		t.services = map[string]*service{}
		t.servers = map[string]*Server{}
	}
	if body == nil {
		delete(t.services, name)
	} else {
		v := &service{body: body}
		if old := t.services[name]; old != nil {
			v.usual = old.usual
		}
		t.services[name] = v
	}
	t.rebuild()
}

// rebuild derives the servers from all services. A server in two services has
// the smaller of its limits, because both use the same process.
func (t *Table) rebuild() {
	old := t.servers
	t.servers = map[string]*Server{}
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		v := t.services[name]
		v.servers = v.servers[:0]
		for _, b := range v.body.Servers {
			s := t.servers[b.Addr]
			switch {
			case s != nil:
				s.slots, s.connections = min(s.slots, b.Slots), min(s.connections, b.Connections)
				s.retired = s.retired || b.Leaving
			case old[b.Addr] != nil && old[b.Addr].Name == b.Name:
				s = old[b.Addr]
				s.slots, s.connections, s.retired, s.home = b.Slots, b.Connections, b.Leaving, v
			default:
				s = &Server{
					Name: b.Name, Addr: b.Addr, Domain: b.Domain,
					slots: b.Slots, connections: b.Connections, retired: b.Leaving, home: v,
				}
			}
			t.servers[b.Addr] = s
			v.servers = append(v.servers, s)
		}
	}
	t.reshare()
}

// SetMembers sets the live instances, by their identity in the log, and which
// of them this one is. Without members the instance has no shares.
func (t *Table) SetMembers(self string, members []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self == self && slices.Equal(t.members, members) {
		return
	}
	t.self, t.members = self, slices.Clone(members)
	t.reshare()
}

// SetListed marks as leaving the servers that the platform's list shows as
// leaving, by address, and clears the mark of all others.
func (t *Table) SetListed(leaving []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for addr, s := range t.servers {
		s.listed = slices.Contains(leaving, addr)
	}
}

// Connections returns how many connections this instance may open to the
// address.
func (t *Table) Connections(addr string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[addr]; s != nil {
		return s.share
	}
	return 0
}

// Pick chooses a server by the power of two choices and counts the request as
// in flight there until Done. Servers whose address is in exclude are not
// chosen. It fails with *RefusedError.
func (t *Table) Pick(name string, now int64, exclude []string, c Class) (*Server, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.services[name]
	if v == nil || len(v.servers) == 0 {
		return nil, &RefusedError{Reason: ReasonService}
	}
	open := t.open[:0]
	full := false
	var spare *Server // the least loaded server of those that are full
	holds := false    // a part of the slots of a full server, or a request in flight
	for _, s := range v.servers {
		for _, n := range s.flight[c:] {
			holds = holds || n > 0
		}
		if slices.Contains(exclude, s.Addr) || t.leaving(s, now) {
			continue
		}
		ok, test := t.ready(s, now)
		if !ok || test && s.inflight >= s.share {
			continue
		}
		if s.inflight >= t.limit(s, now, c) {
			full = true
			holds = holds || s.parts[c] > 0
			if s.inflight < s.share && (spare == nil || t.score(s, now) < t.score(spare, now)) {
				spare = s
			}
			continue
		}
		if test {
			return t.begin(s, now, c), nil
		}
		open = append(open, s)
	}
	t.open = open
	if len(open) == 0 {
		// Without a slot of its own on any usable server, an instance would
		// never send the class and so never get a report that lends it one.
		if spare != nil && !holds {
			return t.begin(spare, now, c), nil
		}
		if full {
			return nil, &RefusedError{Reason: ReasonBusy, RetryAfter: 100}
		}
		return nil, &RefusedError{Reason: ReasonServer, RetryAfter: 1000}
	}
	s := open[t.intn(len(open))]
	if len(open) > 1 {
		o := open[t.intn(len(open))]
		if t.score(o, now) < t.score(s, now) {
			s = o
		}
	}
	return t.begin(s, now, c), nil
}

func (t *Table) begin(s *Server, now int64, c Class) *Server {
	s.breaker.trial = s.breaker.until != 0
	if s.inflight == 0 {
		s.silent = now
	}
	s.inflight++
	s.flight[c]++
	return s
}

// Done ends a request that Pick counted.
func (t *Table) Done(s *Server, now int64, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := s.inflight
	s.inflight--
	s.flight[r.Class]--
	switch r.Verdict {
	case Answered, Refused:
		t.hear(s, now, r, own)
		switch {
		case r.Fault:
			s.breaker.fault(now, t.random)
		default:
			s.breaker.success() // a refusal too shows that the server is neither stalled nor gone
		}
		if r.Verdict == Answered {
			learn(&s.home.usual[r.Class], r.Took)
		}
	case Failed:
		s.breaker.failure(now, t.random)
	case Gone:
		s.breaker.gone(now, t.random)
	case Late:
		// One short deadline is no fault of the server, many in a row are.
		s.breaker.fault(now, t.random)
	case Dropped:
		s.breaker.trial = false
	}
}

// Heard notes the answer to a probe of a server.
func (t *Table) Heard(s *Server, now int64, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hear(s, now, r, s.inflight)
	if !r.Leaving {
		s.leaving = 0
	}
}

func (t *Table) hear(s *Server, now int64, r Result, own int) {
	s.heard, s.silent = now, now
	if r.Loaded {
		s.busy, s.own, s.reported = r.Busy, own, now
	}
	// Answers overtake each other, so only a probe clears the mark.
	if r.Leaving {
		s.leaving = now
	}
}

// Fresh reports whether a picked server may get the request at once. It must
// be probed first when it was not heard for FreshFor, so that it cannot have
// been leaving for longer, when it was marked as leaving since it was picked,
// and when the request tests it after a failure, so that a server that is
// still down costs the request only a probe.
func (t *Table) Fresh(s *Server, now int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !s.breaker.trial && !t.leaving(s, now) && s.heard != 0 && now-s.heard < orDefault(t.FreshFor, 2000)
}

// Usual returns the usual service time of a class in milliseconds, 0 when it
// is not known.
func (t *Table) Usual(name string, c Class) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.services[name]; v != nil {
		return int64(v.usual[c])
	}
	return 0
}

// learn moves an average of times by a tenth of the difference.
func learn(usual *float64, took int64) {
	if *usual == 0 {
		*usual = float64(max(took, 1))
	}
	*usual += 0.1 * (float64(took) - *usual)
}

// AttemptTimeout returns how long a repeatable request of the class waits for the
// server's answer before it is tried elsewhere too, in milliseconds.
func (t *Table) AttemptTimeout(s *Server, c Class) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stall(s, c)
}

func (t *Table) leaving(s *Server, now int64) bool {
	return s.retired || s.listed || s.leaving != 0 && now-s.leaving < orDefault(t.LeaveFor, 60_000)
}

func (t *Table) ready(s *Server, now int64) (ok, trial bool) {
	if s.breaker.until == 0 && s.inflight > 0 {
		// A server full of long requests is silent for as long as they take.
		var timeout int64
		for c, n := range s.flight {
			if n > 0 {
				timeout = max(timeout, t.stall(s, Class(c)))
			}
		}
		if now-s.silent > timeout {
			s.breaker.trip(now, t.random)
		}
	}
	return s.breaker.ready(now)
}

// UnknownTime is taken for the usual service time while it is not known, in
// milliseconds: an instance that has just started must not take long requests
// for a fault or an overload.
const UnknownTime = 10_000

// stallMost bounds the time without a word after which a server is stalled,
// milliseconds.
const stallMost = 60_000

// stall grows with the usual service time of the class, so that slow services
// are not taken for stalled ones. The classes of a service often are different
// kinds of requests, so each has its own.
func (t *Table) stall(s *Server, c Class) int64 {
	least := orDefault(t.StallAfter, 500)
	usual := s.home.usual[c]
	if usual == 0 {
		return max(least, UnknownTime)
	}
	return max(least, min(int64(8*usual), stallMost))
}

// scoreAge is the age up to which a report says something about the load: the
// usual time of the longest requests.
func (t *Table) scoreAge(s *Server) int64 {
	return max(orDefault(t.ReportAge, 1000), int64(slices.Max(s.home.usual[:])))
}

// score is the expected load for each slot: own requests in flight and, less
// with age, those of others.
func (t *Table) score(s *Server, now int64) float64 {
	load := float64(s.inflight)
	if age, limit := now-s.reported, t.scoreAge(s); s.reported != 0 && age < limit {
		load += float64(max(0, s.busy-s.own)) * float64(limit-age) / float64(limit)
	}
	return load / float64(s.slots)
}

func (t *Table) random() float64 {
	if t.Random == nil {
		return rand.Float64()
	}
	return t.Random()
}

func (t *Table) intn(n int) int { return min(n-1, int(t.random()*float64(n))) }

// Status is what the table knows of a server, for operators.
type Status struct {
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	Inflight int    `json:"inflight"`
	Busy     int    `json:"busy"`
	Limit    int    `json:"limit"`
	Share    int    `json:"share"` // connections
	Leaving  bool   `json:"leaving"`
	Open     bool   `json:"open"` // the breaker is open
}

// Status returns the servers of a service in the order of its configuration.
func (t *Table) Status(name string, now int64) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.services[name]
	if v == nil {
		return nil
	}
	var out []Status
	for _, s := range v.servers {
		out = append(out, Status{
			Name: s.Name, Addr: s.Addr, Inflight: s.inflight, Busy: s.busy, Limit: t.limit(s, now, Urgent),
			Share: s.share, Leaving: t.leaving(s, now), Open: s.breaker.until != 0,
		})
	}
	return out
}
