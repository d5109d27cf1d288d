package route

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"jasminelane.example/lane/state"
)

// Table holds the backend servers of all services and their state as this
// instance knows it. Its fields must be set before use. It is safe for concurrent
// use.
type Table struct {
	Random            func() float64 // returns a number in [0, 1); default math/rand/v2
	MaxReportAgeMs    int64          // age at which a reported load no longer counts, or the mean service time if that is longer; it counts less with age; default 1000
	MinStallTimeoutMs int64          // least time without an answer after which a server with requests in flight is stalled; default 500
	ProbeAfterMs      int64          // a server that has not answered for this long is probed before it gets a request; default 2000
	LeavingMarkMs     int64          // how long a server counts as leaving after it said so in a header; default 60000

	mu         sync.Mutex
	services   map[string]*service
	servers    map[string]*Server // by address
	self       string
	members    []string
	candidates []*Server // buffer of Pick, reused
}

// service holds the configuration and the servers of one service.
type service struct {
	body          *state.ServiceBody
	servers       []*Server
	serviceTimeMs [classes]float64 // mean service time of each class; 0 when not known
}

// Server is one backend server. Its address identifies it in all services.
type Server struct {
	Name   string
	Addr   string
	Domain string

	// Guarded by Table.mu.
	slots           int
	connections     int
	connectionShare int          // number of connections that this instance may open
	slotShares      [classes]int // number of slots that this instance may use without a report, by class
	leavingByConfig bool         // leaving according to the configuration
	leavingByList   bool         // leaving according to the platform's list
	markedLeavingAt int64        // time when an answer last said that the server is leaving; 0 for never
	inflight        int
	inflightByClass [classes]int // requests in flight by class
	reportedLoad    int          // requests running or waiting in the server by its last report
	reportedOwn     int          // requests of this instance in flight at the time of that report
	reportedAt      int64        // time of that report; 0 for never
	lastAnswerAt    int64        // time of the last answer of the server; 0 for never
	noAnswerSince   int64        // time since which the server has not answered although requests are in flight
	service         *service     // first service by name that the server belongs to
	breaker         breaker
}

// AttemptOutcome classifies how a request to a server ended by what it tells about
// the server.
type AttemptOutcome uint8

// Outcomes of a request to a server.
const (
	Answered      AttemptOutcome = iota // the answer was complete
	Refused                             // the server refused the request because it is busy or leaving
	Failed                              // no answer before the timeout, or a damaged one
	Unreachable                         // no connection, or no answer to a probe
	CallerTimeout                       // the caller's deadline passed before the attempt's timeout
	Abandoned                           // cancelled for a reason of the caller, or never sent; tells nothing about the server
)

// Result is the result of one request to a server.
type Result struct {
	Outcome     AttemptOutcome
	Class       Class // class of the request
	ServerError bool  // the answer has a status 5xx
	HasLoad     bool  // Load is valid
	Load        int   // requests running or waiting in the server
	Leaving     bool  // the server reports that it is leaving
	DurationMs  int64 // time from sending the request to the answer
}

// UpdateService replaces the configuration of a service. A nil body removes the
// service.
func (t *Table) UpdateService(name string, body *state.ServiceBody) {
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
			v.serviceTimeMs = old.serviceTimeMs
		}
		t.services[name] = v
	}
	t.rebuild()
}

// rebuild rebuilds the servers from the configurations of all services. A server
// in two services gets the lower of its limits, because both services use the same
// process.
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
				s.leavingByConfig = s.leavingByConfig || b.Leaving
			case old[b.Addr] != nil && old[b.Addr].Name == b.Name:
				s = old[b.Addr]
				s.slots, s.connections, s.leavingByConfig, s.service = b.Slots, b.Connections, b.Leaving, v
			default:
				s = &Server{
					Name: b.Name, Addr: b.Addr, Domain: b.Domain,
					slots: b.Slots, connections: b.Connections, leavingByConfig: b.Leaving, service: v,
				}
			}
			t.servers[b.Addr] = s
			v.servers = append(v.servers, s)
		}
	}
	t.updateShares()
}

// SetMembers sets the live instances, by their identity in the log, and the
// identity of this one. An instance that is not a member has no shares.
func (t *Table) SetMembers(self string, members []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self == self && slices.Equal(t.members, members) {
		return
	}
	t.self, t.members = self, slices.Clone(members)
	t.updateShares()
}

// SetLeaving sets which servers are leaving according to the platform's list, by
// address, and clears this mark of all others.
func (t *Table) SetLeaving(leaving []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for addr, s := range t.servers {
		s.leavingByList = slices.Contains(leaving, addr)
	}
}

// Connections returns the number of connections that this instance may open to
// the server at the address.
func (t *Table) Connections(addr string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[addr]; s != nil {
		return s.connectionShare
	}
	return 0
}

// Pick chooses a server of the service by the power of two choices and counts the
// request as in flight there until Done is called. It does not choose servers
// whose address is in exclude. Its error is a *RefusedError.
func (t *Table) Pick(name string, now int64, exclude []string, c Class) (*Server, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.services[name]
	if v == nil || len(v.servers) == 0 {
		return nil, &RefusedError{Reason: ReasonNoService}
	}
	open := t.candidates[:0]
	full := false
	var spare *Server // the least loaded of the full servers with a free connection
	hasShare := false // the instance has a slot share of a full server, or a request in flight
	for _, s := range v.servers {
		for _, n := range s.inflightByClass[c:] {
			hasShare = hasShare || n > 0
		}
		if slices.Contains(exclude, s.Addr) || t.leaving(s, now) {
			continue
		}
		ok, trial := t.ready(s, now)
		if !ok || trial && s.inflight >= s.connectionShare {
			continue
		}
		if s.inflight >= t.limit(s, now, c) {
			full = true
			hasShare = hasShare || s.slotShares[c] > 0
			if s.inflight < s.connectionShare && (spare == nil || t.score(s, now) < t.score(spare, now)) {
				spare = s
			}
			continue
		}
		if trial {
			return t.begin(s, now, c), nil
		}
		open = append(open, s)
	}
	t.candidates = open
	if len(open) == 0 {
		// An instance without a slot share on any usable server would never send
		// a request of the class, and so never get a report of unused slots.
		if spare != nil && !hasShare {
			return t.begin(spare, now, c), nil
		}
		if full {
			return nil, &RefusedError{Reason: ReasonBusy, RetryAfter: 100}
		}
		return nil, &RefusedError{Reason: ReasonNoServer, RetryAfter: 1000}
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
	s.breaker.trial = s.breaker.openUntil != 0
	if s.inflight == 0 {
		s.noAnswerSince = now
	}
	s.inflight++
	s.inflightByClass[c]++
	return s
}

// Done ends a request that Pick has counted and records its result.
func (t *Table) Done(s *Server, now int64, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := s.inflight
	s.inflight--
	s.inflightByClass[r.Class]--
	switch r.Outcome {
	case Answered, Refused:
		t.recordAnswer(s, now, r, own)
		switch {
		case r.ServerError:
			s.breaker.serverError(now, t.random)
		default:
			s.breaker.success() // a refusal also shows that the server is reachable and not stalled
		}
		if r.Outcome == Answered {
			updateServiceTime(&s.service.serviceTimeMs[r.Class], r.DurationMs)
		}
	case Failed:
		s.breaker.failure(now, t.random)
	case Unreachable:
		s.breaker.unreachable(now, t.random)
	case CallerTimeout:
		// A single short deadline is not the fault of the server, but many in a
		// row are.
		s.breaker.serverError(now, t.random)
	case Abandoned:
		s.breaker.trial = false
	}
}

// ProbeAnswered records the answer of a server to a probe.
func (t *Table) ProbeAnswered(s *Server, now int64, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordAnswer(s, now, r, s.inflight)
	if !r.Leaving {
		s.markedLeavingAt = 0
	}
}

func (t *Table) recordAnswer(s *Server, now int64, r Result, own int) {
	s.lastAnswerAt, s.noAnswerSince = now, now
	if r.HasLoad {
		s.reportedLoad, s.reportedOwn, s.reportedAt = r.Load, own, now
	}
	// Answers may arrive out of order, so only a probe clears the mark.
	if r.Leaving {
		s.markedLeavingAt = now
	}
}

// CanSend reports whether the request may be sent to a picked server at once. The
// server must be probed first in three cases: if it has not answered for
// ProbeAfterMs, so that it cannot have been leaving for longer; if it was marked
// as leaving after it was picked; and if the request is the trial request of its
// breaker, so that a server that is still down costs the request only a probe.
func (t *Table) CanSend(s *Server, now int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !s.breaker.trial && !t.leaving(s, now) && s.lastAnswerAt != 0 && now-s.lastAnswerAt < orDefault(t.ProbeAfterMs, 2000)
}

// ServiceTimeMs returns the mean service time of a class of the service, or 0 when
// it is not known.
func (t *Table) ServiceTimeMs(name string, c Class) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.services[name]; v != nil {
		return int64(v.serviceTimeMs[c])
	}
	return 0
}

// updateServiceTime updates an exponential moving average with weight 0.1 for the
// new value.
func updateServiceTime(usual *float64, took int64) {
	if *usual == 0 {
		*usual = float64(max(took, 1))
	}
	*usual += 0.1 * (float64(took) - *usual)
}

// AttemptTimeoutMs returns how long a repeatable request of the class waits for
// the server's answer before it is also sent to another server.
func (t *Table) AttemptTimeoutMs(s *Server, c Class) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stallTimeoutMs(s, c)
}

func (t *Table) leaving(s *Server, now int64) bool {
	return s.leavingByConfig || s.leavingByList || s.markedLeavingAt != 0 && now-s.markedLeavingAt < orDefault(t.LeavingMarkMs, 60_000)
}

func (t *Table) ready(s *Server, now int64) (ok, trial bool) {
	if s.breaker.openUntil == 0 && s.inflight > 0 {
		// A server that is full of long requests gives no answer until the first
		// of them ends, so the class with the longest timeout counts.
		var timeout int64
		for c, n := range s.inflightByClass {
			if n > 0 {
				timeout = max(timeout, t.stallTimeoutMs(s, Class(c)))
			}
		}
		if now-s.noAnswerSince > timeout {
			s.breaker.trip(now, t.random)
		}
	}
	return s.breaker.ready(now)
}

// DefaultServiceTimeMs is the service time that is assumed while it is not known.
// It is long, so that an instance that has just started does not take long
// requests for a failure or an overload.
const DefaultServiceTimeMs = 10_000

// maxStallTimeoutMs limits the stall timeout of services with long requests.
const maxStallTimeoutMs = 60_000

// stallTimeoutMs returns how long a server with requests of the class in flight may
// give no answer before it counts as stalled. It grows with the mean service time,
// so that slow services do not count as stalled. Each class has its own timeout,
// because the classes of a service often are different kinds of requests.
func (t *Table) stallTimeoutMs(s *Server, c Class) int64 {
	shortest := orDefault(t.MinStallTimeoutMs, 500)
	usual := s.service.serviceTimeMs[c]
	if usual == 0 {
		return max(shortest, DefaultServiceTimeMs)
	}
	return max(shortest, min(int64(8*usual), maxStallTimeoutMs))
}

// scoreAgeLimitMs returns the age up to which a report tells something about the
// load of the server: MaxReportAgeMs or, if longer, the mean service time of the
// class with the longest requests.
func (t *Table) scoreAgeLimitMs(s *Server) int64 {
	return max(orDefault(t.MaxReportAgeMs, 1000), int64(slices.Max(s.service.serviceTimeMs[:])))
}

// score returns the expected load per slot: the requests of this instance in
// flight and those of other instances by the last report, which count less with
// its age.
func (t *Table) score(s *Server, now int64) float64 {
	load := float64(s.inflight)
	if age, limit := now-s.reportedAt, t.scoreAgeLimitMs(s); s.reportedAt != 0 && age < limit {
		load += float64(max(0, s.reportedLoad-s.reportedOwn)) * float64(limit-age) / float64(limit)
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

// Status describes the state of a server, for operators.
type Status struct {
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	Inflight int    `json:"inflight"`
	Busy     int    `json:"busy"`
	Limit    int    `json:"limit"`
	Share    int    `json:"share"` // number of connections that this instance may open
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
			Name: s.Name, Addr: s.Addr, Inflight: s.inflight, Busy: s.reportedLoad, Limit: t.limit(s, now, Urgent),
			Share: s.connectionShare, Leaving: t.leaving(s, now), Open: s.breaker.openUntil != 0,
		})
	}
	return out
}
