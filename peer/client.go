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

// Client calls other instances and keeps one connection to each. The zero
// value is ready for use; it is safe for concurrent use.
type Client struct {
	Timeout time.Duration // of each call, dial included; default 1 s
	// Dial opens a connection; default net.Dialer with network tcp.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	conns  map[string]*rpc.Client
	closed bool
}

// UnreachableError reports an instance that did not answer in time.
type UnreachableError struct {
	Addr string
	Err  error
}

// Error describes the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s unreachable: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// IdentityError reports another incarnation at the address.
type IdentityError struct {
	Addr      string
	Want, Got string // writers
}

// Error describes the incarnations.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer %s is %s, not %s", e.Addr, e.Got, e.Want)
}

// RemoteError reports an error that the other instance answered.
type RemoteError struct {
	Addr   string
	Method string
	Text   string
}

// Error describes the method and the answer.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer %s: %s: %s", e.Addr, e.Method, e.Text)
}

// Ping checks that the incarnation answers at the address. It fails with
// *UnreachableError or *IdentityError, as do the other calls with
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

// Offset returns how far the instance has folded the log.
func (c *Client) Offset(ctx context.Context, addr string) (Applied, error) {
	return call[Applied](ctx, c, addr, "Offset", Empty{})
}

// Load returns the load of backend servers as the instance sees it.
func (c *Client) Load(ctx context.Context, addr string) ([]Load, error) {
	a, err := call[LoadAnswer](ctx, c, addr, "Load", Empty{})
	return a.Loads, err
}

// Probe asks the instance whether it reaches the worker.
func (c *Client) Probe(ctx context.Context, addr, worker string) (Verdict, error) {
	return call[Verdict](ctx, c, addr, "Probe", Name{worker})
}

// Reach asks the instance whether it reaches the member.
func (c *Client) Reach(ctx context.Context, addr, writer string) (bool, error) {
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

func call[A any, Q any](ctx context.Context, c *Client, addr, method string, q Q) (A, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		conn, kept, err := c.conn(ctx, addr)
		if err != nil {
			var zero A
			return zero, &UnreachableError{addr, err}
		}
		// A call that was given up may still be decoded into its answer, so
		// each attempt has its own.
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
		// A kept connection may have been closed by a restart of the instance
		// long ago; all methods can be repeated.
		if !kept || ctx.Err() != nil {
			var zero A
			return zero, &UnreachableError{addr, err}
		}
	}
}

// conn returns the connection to the address; kept reports whether it existed
// before.
func (c *Client) conn(ctx context.Context, addr string) (conn *rpc.Client, kept bool, err error) {
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
	if other := c.conns[addr]; other != nil { // a concurrent call was faster
		_ = conn.Close()
		return other, true, nil
	}
	if c.conns == nil {
		c.conns = map[string]*rpc.Client{}
	}
	c.conns[addr] = conn
	return conn, false, nil
}

func (c *Client) drop(addr string, conn *rpc.Client) {
	c.mu.Lock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
	c.mu.Unlock()
	_ = conn.Close()
}
