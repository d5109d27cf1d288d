package replica

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// gate holds all requests while closed; it ignores their deadlines, as a
// paused process does.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = make(chan struct{})
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.closed)
	g.closed = nil
}

func (g *gate) RoundTrip(q *http.Request) (*http.Response, error) {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
	return http.DefaultTransport.RoundTrip(q)
}

// clock is time.Now with jumps.
type clock struct {
	mu   sync.Mutex
	jump time.Duration
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.jump)
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jump += d
}

// script makes the next reads fail as its steps say.
type script struct {
	mu    sync.Mutex
	steps []func(*http.Request) error
	empty chan struct{} // closed when the last step was taken
}

func (s *script) set(steps ...func(*http.Request) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps, s.empty = steps, make(chan struct{})
}

func (s *script) awaitEmpty(t *testing.T) {
	t.Helper()
	select {
	case <-s.empty:
	case <-time.After(testTimeout):
		t.Fatal("script is not used up")
	}
}

func (s *script) RoundTrip(q *http.Request) (*http.Response, error) {
	var step func(*http.Request) error
	s.mu.Lock()
	if len(s.steps) > 0 && q.Method == http.MethodGet && strings.HasSuffix(q.URL.Path, "/log") {
		step = s.steps[0]
		s.steps = s.steps[1:]
		if len(s.steps) == 0 {
			close(s.empty)
		}
	}
	s.mu.Unlock()
	if step != nil {
		return nil, step(q)
	}
	return http.DefaultTransport.RoundTrip(q)
}

// hooked is a transport that asks before each request; an error of the hook
// is the answer.
type hooked func(*http.Request) error

func (h hooked) RoundTrip(q *http.Request) (*http.Response, error) {
	if err := h(q); err != nil {
		return nil, err
	}
	return http.DefaultTransport.RoundTrip(q)
}

// redirect is a transport that answers itself or changes the request.
type redirect func(*http.Request) *http.Response

func (d redirect) RoundTrip(q *http.Request) (*http.Response, error) {
	q = q.Clone(q.Context())
	if resp := d(q); resp != nil {
		return resp, nil
	}
	return http.DefaultTransport.RoundTrip(q)
}
