package replica

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// requestGate is a transport that blocks all requests while it is closed. It
// ignores their deadlines, as a paused process would.
type requestGate struct {
	mu     sync.Mutex
	closed chan struct{}
}

func (g *requestGate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = make(chan struct{})
}

func (g *requestGate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.closed)
	g.closed = nil
}

func (g *requestGate) RoundTrip(q *http.Request) (*http.Response, error) {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
	return http.DefaultTransport.RoundTrip(q)
}

// clock returns time.Now plus the jumps that the test has made.
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

// scriptedReads is a transport that passes the next reads of the log to its
// steps, whose errors become the results.
type scriptedReads struct {
	mu    sync.Mutex
	steps []func(*http.Request) error
	empty chan struct{} // closed when the last step has started
}

func (s *scriptedReads) set(steps ...func(*http.Request) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps, s.empty = steps, make(chan struct{})
}

func (s *scriptedReads) awaitEmpty(t *testing.T) {
	t.Helper()
	select {
	case <-s.empty:
	case <-time.After(testTimeout):
		t.Fatal("not all scripted reads were made")
	}
}

func (s *scriptedReads) RoundTrip(q *http.Request) (*http.Response, error) {
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

// hookTransport is a transport that calls a hook before each request. An error of
// the hook becomes the result of the request.
type hookTransport func(*http.Request) error

func (h hookTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	if err := h(q); err != nil {
		return nil, err
	}
	return http.DefaultTransport.RoundTrip(q)
}

// redirectTransport is a transport that calls a hook with each request. The hook
// may modify the request, or return a response in place of the log's.
type redirectTransport func(*http.Request) *http.Response

func (d redirectTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	q = q.Clone(q.Context())
	if resp := d(q); resp != nil {
		return resp, nil
	}
	return http.DefaultTransport.RoundTrip(q)
}
