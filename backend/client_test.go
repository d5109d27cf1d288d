package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/route"
	"jasminelane.example/lane/standin"
)

// start adds the server s0 to the backend servers, which are closed when the test
// ends.
func start(t testing.TB, b *standin.Backends) *standin.BackendServer {
	t.Helper()
	s, err := b.Add("s0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return s
}

// ask sends a request with the timeout within.
func ask(c *Client, addr, id string, within time.Duration) (*Answer, *Error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	a, err := c.Do(ctx, addr, &Request{ID: id, Service: "badges", Account: "asha", Body: []byte("for " + id)})
	var e *Error
	errors.As(err, &e)
	return a, e
}

// TestFaults guards against a fault that ends in a wrong answer or in a wrong
// class of failure. A request that ran but is reported as not run would be sent
// again and run twice.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		fault  standin.BackendFault
		reason route.Reason // empty: the answer arrives
		notRun bool
		ran    int
	}{
		{standin.BackendHealthy, "", false, 1},
		{standin.BackendSplit, "", false, 1},
		{standin.BackendDuplicate, "", false, 1},
		{standin.BackendRefuse, route.ReasonBusy, true, 0},
		{standin.BackendCrash, route.ReasonReset, false, 1},
		{standin.BackendDrop, route.ReasonReset, false, 0},
		{standin.BackendTruncate, route.ReasonTruncated, false, 1},
		{standin.BackendStall, route.ReasonTimeout, false, 1},
		{standin.BackendLate, route.ReasonTimeout, false, 1},
	} {
		t.Run("fault="+string(c.fault), func(t *testing.T) {
			is := is.New(t)
			b := &standin.Backends{}
			s := start(t, b)
			client := &Client{}
			_, e := ask(client, s.Addr, "0", time.Second) // opens the connection before the fault
			is.True(e == nil)
			s.SetFault(c.fault)
			a, e := ask(client, s.Addr, "1", 200*time.Millisecond)
			if c.reason == "" {
				is.True(e == nil)
				is.Equal(string(a.Body), "1 for 1")
			} else {
				is.True(e != nil)
				is.Equal(e.Reason, c.reason)
				is.Equal(e.NotRun, c.notRun)
			}
			is.Equal(b.Executions()["1"], c.ran)
			s.SetFault(standin.BackendHealthy)
			for i := 2; i < 5; i++ { // data left on the connection must not reach a later request
				id := fmt.Sprint(i)
				a, e := ask(client, s.Addr, id, time.Second)
				if e != nil {
					is.Equal(e.Reason, route.ReasonMismatch) // a duplicate answer that was already in transit
					is.True(!e.NotRun)
					continue
				}
				is.Equal(string(a.Body), id+" for "+id)
			}
		})
	}
}

// TestCrossed guards against answers that reach the wrong caller because the
// server swaps them, whole or in parts, between connections.
func TestCrossed(t *testing.T) {
	for _, fault := range []standin.BackendFault{standin.BackendCross, standin.BackendSwap, standin.BackendDuplicate} {
		b := &standin.Backends{}
		s := start(t, b)
		s.SetFault(fault)
		client := &Client{}
		var wg sync.WaitGroup
		var damaged atomic.Int32
		for g := range 4 {
			wg.Go(func() {
				for i := range 50 {
					id := fmt.Sprintf("%d.%d", g, i)
					a, e := ask(client, s.Addr, id, 5*time.Second)
					switch {
					case e == nil && string(a.Body) != id+" for "+id:
						t.Errorf("%s: request %s got %q", fault, id, a.Body)
					case e != nil && e.NotRun:
						t.Errorf("%s: request %s ran, but the client reports that it did not", fault, id)
					case e != nil:
						damaged.Add(1)
					}
				}
			})
		}
		wg.Wait()
		if fault != standin.BackendDuplicate && damaged.Load() == 0 {
			t.Errorf("%s: the server swapped no answers, so the test checks nothing", fault)
		}
	}
}

// TestCrossedWithEqualIDs guards against swapped answers between two callers that
// use the same request id at the same time. Both answers have the expected
// request id, so only the attempt id shows that they belong to other requests.
func TestCrossedWithEqualIDs(t *testing.T) {
	is := is.New(t)
	b := &standin.Backends{}
	s := start(t, b)
	s.SetFault(standin.BackendCross)
	client := &Client{}
	var wg sync.WaitGroup
	var damaged atomic.Int32
	for g := range 4 {
		wg.Go(func() {
			for i := range 50 {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				body := fmt.Sprintf("%d.%d", g, i)
				a, err := client.Do(ctx, s.Addr, &Request{ID: "same", Service: "badges", Account: "asha", Body: []byte(body)})
				cancel()
				if err != nil {
					damaged.Add(1)
				} else if string(a.Body) != "same "+body {
					t.Errorf("request with body %s got %q", body, a.Body)
				}
			}
		})
	}
	wg.Wait()
	is.True(damaged.Load() > 0) // otherwise the server swapped no answers
}

// TestConnectRefused guards against a request that counts as possibly run
// although no connection was opened, or its deadline had passed, so that nothing
// was sent.
func TestConnectRefused(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	l.Close()
	_, e := ask(&Client{}, addr, "1", time.Second)
	is.Equal(e.Reason, route.ReasonConnect)
	is.True(e.NotRun)
	_, e = ask(&Client{}, addr, "1", 0)
	is.Equal(e.Reason, route.ReasonDeadline)
	is.True(e.NotRun)
}

// TestConnectionCap guards against more open connections than the limit while the
// limit shrinks and grows and requests are cancelled in progress.
func TestConnectionCap(t *testing.T) {
	is := is.New(t)
	var limit, open, peak atomic.Int32
	limit.Store(6)
	client := &Client{
		MaxConnections: func(string) int { return int(limit.Load()) },
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			n := open.Add(1)
			for p := peak.Load(); n > p && !peak.CompareAndSwap(p, n); p = peak.Load() {
			}
			return &countedConn{Conn: c, open: &open}, nil
		},
	}
	b := &standin.Backends{Slots: 20, ServiceTime: 2 * time.Millisecond}
	s := start(t, b)
	burst := func(n int) {
		peak.Store(open.Load())
		var wg sync.WaitGroup
		for g := range 12 {
			wg.Go(func() {
				for i := range n {
					within := time.Second
					if i%5 == 0 {
						within = 2 * time.Millisecond // too short: the request is cancelled
					}
					_, e := ask(client, s.Addr, fmt.Sprintf("%d.%d", g, i), within)
					if e != nil && e.Reason != route.ReasonConnections && e.Reason != route.ReasonTimeout && e.Reason != route.ReasonDeadline {
						t.Error(e)
					}
				}
			})
		}
		wg.Wait()
	}
	for _, n := range []int32{6, 2, 9, 1} {
		limit.Store(n)
		client.TrimIdle()
		is.True(client.OpenConnections(s.Addr) <= int(n))
		burst(100)
		is.True(peak.Load() <= n)
		is.True(peak.Load() > 0)
	}
}

// countedConn decrements open when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int32
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// TestProbe guards against a probe that does not report load and leaving, or that
// runs a request on the server.
func TestProbe(t *testing.T) {
	is := is.New(t)
	b := &standin.Backends{}
	s := start(t, b)
	s.SetLeaving(true)
	n, err := (&Client{}).Probe(context.Background(), s.Addr)
	is.NoErr(err)
	is.True(n.Leaving)
	is.True(n.HasLoad)
	is.Equal(len(b.Audit()), 0)
}
