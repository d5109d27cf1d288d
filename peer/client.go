package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// Client calls other instances and keeps one connection to each address. The
// zero value is ready for use. A Client is safe for concurrent use.
type Client struct {
	Timeout time.Duration // of each call, including the dial; default 1 s
	// Dial opens a connection; the default is a net.Dialer with network tcp.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	conns  map[string]*rpc.Client
	closed bool
}

// UnreachableError reports a call that failed because the instance could not be
// reached or did not answer within the timeout.
type UnreachableError struct {
	Addr string
	Err  error
}

// Error returns a message with the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s unreachable: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// IdentityError reports that another incarnation than the expected one answers
// at the address.
type IdentityError struct {
	Addr      string
	Want, Got string // writers, each of which identifies an incarnation
}

// Error returns a message with the expected and the actual incarnation.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer %s is %s, not %s", e.Addr, e.Got, e.Want)
}

// RemoteError reports an error that the called instance returned.
type RemoteError struct {
	Addr   string
	Method string
	Text   string
}

// Error returns a message with the address, the method and the returned error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %s: %s: %s", e.Addr, e.Method, e.Text)
}

// Ping checks that the incarnation identified by writer answers at the address.
// It fails with *UnreachableError or *IdentityError. The other methods fail with
// *UnreachableError or *RemoteError.
func (c *Client) Ping(ctx context.Context, addr, writer string) error {
	a, err := call[PingAnswer](ctx, c, addr, "Ping", Empty{})
	if err != nil {
		return err
	}
	if a.Writer != writer {
		return &IdentityError{addr, writer, a.Writer}
	}
	return nil
}

// AppliedOffset returns the log offset up to which the instance has applied the
// log, and the digest of its state there.
func (c *Client) AppliedOffset(ctx context.Context, addr string) (Applied, error) {
	return call[Applied](ctx, c, addr, "Offset", Empty{})
}

// BackendLoads returns the load of the backend servers as the instance sees it.
func (c *Client) BackendLoads(ctx context.Context, addr string) ([]Load, error) {
	a, err := call[LoadAnswer](ctx, c, addr, "Load", Empty{})
	return a.Loads, err
}

// ProbeWorker asks the instance whether it can reach the worker.
func (c *Client) ProbeWorker(ctx context.Context, addr, worker string) (Verdict, error) {
	return call[Verdict](ctx, c, addr, "Probe", Name{worker})
}

// CanReachMember asks the instance whether it can reach the member that writer
// identifies.
func (c *Client) CanReachMember(ctx context.Context, addr, writer string) (bool, error) {
	v, err := call[Verdict](ctx, c, addr, "Reach", Name{writer})
	return v.Reached, err
}

// Close closes all connections; later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns, c.closed = nil, true
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// call calls the method of the instance at the address. It retries a failed call
// if it used a connection of earlier calls.
func call[A any, Q any](ctx context.Context, c *Client, addr, method string, q Q) (A, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		conn, reused, err := c.conn(ctx, addr)
		if err != nil {
			var zero A
			return zero, &UnreachableError{addr, err}
		}
		// net/rpc may still decode a late response into the answer of a call that
		// timed out, so each attempt has its own answer.
		a := new(A)
		done := conn.Go(serviceName+"."+method, q, a, make(chan *rpc.Call, 1)).Done
		select {
		case r := <-done:
			err = r.Error
		case <-ctx.Done():
			err = ctx.Err()
		}
		var remote rpc.ServerError
		switch {
		case err == nil:
			return *a, nil
		case errors.As(err, &remote):
			var zero A
			return zero, &RemoteError{addr, method, string(remote)}
		}
		c.drop(addr, conn)
		// A restart of the instance may have closed a reused connection long ago,
		// so the call is retried on another one. All methods are idempotent.
		if !reused || ctx.Err() != nil {
			var zero A
			return zero, &UnreachableError{addr, err}
		}
	}
}

// conn returns the connection to the address and dials if there is none. reused
// reports whether another call opened the connection.
func (c *Client) conn(ctx context.Context, addr string) (conn *rpc.Client, reused bool, err error) {
	c.mu.Lock()
	conn, closed := c.conns[addr], c.closed
	c.mu.Unlock()
	if closed {
		return nil, false, rpc.ErrShutdown
	}
	if conn != nil {
		return conn, true, nil
	}
	dial := c.Dial
	if dial == nil {
		dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	raw, err := dial(ctx, addr)
	if err != nil {
		return nil, false, err
	}
	conn = rpc.NewClient(raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, false, rpc.ErrShutdown
	}
	if other := c.conns[addr]; other != nil { // a concurrent call dialed first
		_ = conn.Close()
		return other, true, nil
	}
	if c.conns == nil {
		c.conns = map[string]*rpc.Client{}
	}
	c.conns[addr] = conn
	return conn, false, nil
}

// drop closes the connection and removes it from the client.
func (c *Client) drop(addr string, conn *rpc.Client) {
	c.mu.Lock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
	c.mu.Unlock()
	_ = conn.Close()
}
