package admission

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/metric"
)

// logInterval is the shortest time between two log lines about one reason.
const logInterval = 10 * time.Second

// Admission bounds what the clients of one process hold.
type Admission struct {
	Limits Limits
	Bodies *Budget

	logger  *zap.Logger
	metrics *metric.Set

	mu        sync.Mutex
	listeners map[Class]*Listener
	reports   map[string]*report
}

// report is what was reported of one reason.
type report struct {
	logged time.Time
	count  int // since then
}

// New returns the admission of a process with the limits. The metrics may be nil.
func New(limits Limits, logger *zap.Logger, metrics *metric.Set) *Admission {
	a := &Admission{Limits: limits, logger: logger, metrics: metrics, listeners: make(map[Class]*Listener), reports: make(map[string]*report)}
	a.Bodies = &Budget{Bytes: limits.Bodies, Report: func(r Reason) { a.report("body", r) }}
	if metrics != nil {
		metrics.AddGauge("admission", func() any { return a.Status() })
	}
	return a
}

// Status is what clients hold.
type Status struct {
	Bodies      int64          `json:"bodies"`      // bytes of request bodies
	Limit       int64          `json:"limit"`       // of Bodies
	Connections map[string]int `json:"connections"` // by class of listener
}

// Status returns what clients hold.
func (a *Admission) Status() Status {
	a.mu.Lock()
	listeners := maps.Clone(a.listeners) // their locks are not taken with that of a held
	a.mu.Unlock()
	s := Status{Bodies: a.Bodies.Used(), Limit: a.Limits.Bodies, Connections: make(map[string]int)}
	for c, l := range listeners {
		s.Connections[c.String()] = l.Open()
	}
	return s
}

// Listen listens on a TCP address and bounds the connections by the limits of the
// class.
func (a *Admission) Listen(ctx context.Context, addr string, c Class) (*Listener, error) {
	bound := a.Limits.Listeners[c]
	inner, err := listen(ctx, addr, bound.SocketBytes)
	if err != nil {
		return nil, err
	}
	l := &Listener{Listener: inner, Limit: bound.Connections, Report: func(r Reason) { a.report(c.String(), r) }}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listeners[c] = l
	return l, nil
}

// Attach sets the fields of a server through which the listener learns what its
// connections do, in addition to what the server has.
func (l *Listener) Attach(s *http.Server) {
	s.Handler = discardUnread(s.Handler)
	onState, onConn := s.ConnState, s.ConnContext
	s.ConnState = func(c net.Conn, state http.ConnState) {
		l.setState(c, state)
		if onState != nil {
			onState(c, state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if onConn != nil {
			ctx = onConn(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
}

// report counts a refusal and logs the first one of each interval.
func (a *Admission) report(name string, r Reason) {
	if a.metrics != nil {
		a.metrics.CountRefusal("admission", name+"."+string(r))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	key := name + "." + string(r)
	p := a.reports[key]
	if p == nil {
		p = &report{}
		a.reports[key] = p
	}
	p.count++
	if time.Since(p.logged) >= logInterval {
		a.logger.Warn("client refused or its connection closed", zap.String("at", name), zap.String("reason", string(r)), zap.Int("count", p.count))
		p.logged, p.count = time.Now(), 0
	}
}
