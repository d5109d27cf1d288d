package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testTimeout = 20 * time.Second

// serve runs the server on the given address until stop is called, and returns
// the address that it listens on.
func serve(t *testing.T, s *Server, addr string) (at string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, l) }()
	stop = func() {
		cancel()
		select {
		case err := <-ended:
			ended <- err
			if err != nil {
				t.Error(err)
			}
		case <-time.After(testTimeout):
			t.Error("Serve did not return after its context ended")
		}
	}
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// TestCalls guards against answers that are lost or returned for another call,
// and against a method without a function that answers instead of failing.
func TestCalls(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	loads := []Load{{Service: "badges", Server: "b1", InFlight: 3, Idle: 2, At: 5}}
	addr, _ := serve(t, &Server{
		Writer:        "a",
		AppliedOffset: func() Applied { return Applied{Offset: 7, Chain: 9} },
		BackendLoads:  func() []Load { return loads },
		ProbeWorker: func(_ context.Context, worker string) error {
			if worker == "w1" {
				return nil
			}
			return &UnsupportedError{worker}
		},
	}, "127.0.0.1:0")
	c := &Client{}
	defer c.Close()
	is.NoErr(c.Ping(ctx, addr, "a"))
	o, err := c.AppliedOffset(ctx, addr)
	is.NoErr(err)
	is.Equal(o, Applied{"a", 7, 9})
	got, err := c.BackendLoads(ctx, addr)
	is.NoErr(err)
	is.Equal(got, loads)
	v, err := c.ProbeWorker(ctx, addr, "w1")
	is.NoErr(err)
	is.True(v.Reached)
	v, err = c.ProbeWorker(ctx, addr, "w2")
	is.NoErr(err)
	is.True(!v.Reached && v.Cause != "")
	_, err = c.CanReachMember(ctx, addr, "b")
	var remote *RemoteError
	is.True(errors.As(err, &remote)) // Server.CanReachMember is nil
}

// TestIdentity guards against mistaking a new incarnation at the same address
// for the old one.
func TestIdentity(t *testing.T) {
	is := is.New(t)
	addr, _ := serve(t, &Server{Writer: "a2"}, "127.0.0.1:0")
	c := &Client{}
	defer c.Close()
	var id *IdentityError
	is.True(errors.As(c.Ping(context.Background(), addr, "a1"), &id))
}

// TestRestart guards against an instance that stays unreachable after a restart
// because the client reuses the connection that the restart closed.
func TestRestart(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	addr, stop := serve(t, &Server{Writer: "a"}, "127.0.0.1:0")
	c := &Client{}
	defer c.Close()
	is.NoErr(c.Ping(ctx, addr, "a"))
	stop()
	var down *UnreachableError
	is.True(errors.As(c.Ping(ctx, addr, "a"), &down))
	serve(t, &Server{Writer: "a"}, addr)
	is.NoErr(c.Ping(ctx, addr, "a"))

	// The connection breaks while no call uses it.
	conn, reused, err := c.conn(ctx, addr)
	is.NoErr(err)
	is.True(reused)
	is.NoErr(conn.Close())
	is.NoErr(c.Ping(ctx, addr, "a"))
}

// TestStalled guards against a call that hangs because the instance accepts
// connections but never answers, and against later calls that reuse the stalled
// connection.
func TestStalled(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	c := &Client{Timeout: 50 * time.Millisecond}
	defer c.Close()
	var down *UnreachableError
	is.True(errors.As(c.Ping(ctx, l.Addr().String(), "a"), &down))
	is.True(errors.Is(down, context.DeadlineExceeded))
	is.NoErr(l.Close())
	serve(t, &Server{Writer: "a"}, l.Addr().String())
	is.NoErr(c.Ping(ctx, l.Addr().String(), "a"))
}

// TestConnectionLimit guards against server memory that grows with every
// connection that others open, and against connections that still count towards
// the limit after they have closed.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	addr, _ := serve(t, &Server{Writer: "a", MaxConns: 1}, "127.0.0.1:0")
	c, d := &Client{}, &Client{}
	defer d.Close()
	is.NoErr(c.Ping(ctx, addr, "a"))
	is.True(d.Ping(ctx, addr, "a") != nil)
	c.Close()
	deadline := time.Now().Add(testTimeout)
	for d.Ping(ctx, addr, "a") != nil { // the server notices the closed connection with a delay
		is.True(time.Now().Before(deadline))
	}
}
