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

// serve runs the server on an address of its own, or the given one, until stop
// is called.
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
			t.Error("server does not end")
		}
	}
	t.Cleanup(stop)
	return l.Addr().String(), stop
}

// TestCalls guards against answers that are mixed up or lost on the way.
func TestCalls(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	loads := []Load{{Service: "badges", Server: "b1", InFlight: 3, Idle: 2, At: 5}}
	addr, _ := serve(t, &Server{
		Writer: "a",
		Offset: func() Applied { return Applied{Offset: 7, Chain: 9} },
		Load:   func() []Load { return loads },
		Probe: func(_ context.Context, worker string) error {
			if worker == "w1" {
				return nil
			}
			return &UnsupportedError{worker}
		},
	}, "127.0.0.1:0")
	c := &Client{}
	defer c.Close()
	is.NoErr(c.Ping(ctx, addr, "a"))
	o, err := c.Offset(ctx, addr)
	is.NoErr(err)
	is.Equal(o, Applied{"a", 7, 9})
	got, err := c.Load(ctx, addr)
	is.NoErr(err)
	is.Equal(got, loads)
	v, err := c.Probe(ctx, addr, "w1")
	is.NoErr(err)
	is.True(v.Reached)
	v, err = c.Probe(ctx, addr, "w2")
	is.NoErr(err)
	is.True(!v.Reached && v.Cause != "")
	_, err = c.Reach(ctx, addr, "b")
	var remote *RemoteError
	is.True(errors.As(err, &remote)) // not served
}

// TestIdentity guards against a new incarnation at the same address that is
// taken for the old one.
func TestIdentity(t *testing.T) {
	is := is.New(t)
	addr, _ := serve(t, &Server{Writer: "a2"}, "127.0.0.1:0")
	c := &Client{}
	defer c.Close()
	var id *IdentityError
	is.True(errors.As(c.Ping(context.Background(), addr, "a1"), &id))
}

// TestRestart guards against an instance that stays unreachable because its
// restart broke the kept connection.
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

	// The connection breaks without a call in between.
	conn, kept, err := c.conn(ctx, addr)
	is.NoErr(err)
	is.True(kept)
	is.NoErr(conn.Close())
	is.NoErr(c.Ping(ctx, addr, "a"))
}

// TestStalled guards against a call that waits for an instance that accepts
// connections and never answers, and against a connection that stays stalled.
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

// TestConnectionLimit guards against a server whose memory grows with the
// connections that others open, and against a limit that never frees.
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
	for d.Ping(ctx, addr, "a") != nil { // the server sees the end of the other a little later
		is.True(time.Now().Before(deadline))
	}
}
