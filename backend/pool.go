package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"jasminelane.example/lane/route"
)

// poolTable holds the connections to each address.
type poolTable struct {
	mu    sync.Mutex
	pools map[string]*pool
}

type pool struct {
	idle []*conn // the most recently used one last
	open int     // in use and idle
}

// conn is one connection: a transport of its own that opens at most one.
// A transport shared by all requests to a server may open another connection
// while an idle one appears, and its cap cannot change while it is in use.
type conn struct {
	transport *http.Transport
	used      time.Time

	ctx     context.Context // ends dialling when the connection is given up
	cancel  context.CancelFunc
	mu      sync.Mutex
	socket  net.Conn
	closed  bool
	dialing bool
	freed   func() // called when a dial ends that was under way at the close
}

// begin reports whether the connection may still be dialled.
func (k *conn) begin() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return false
	}
	k.dialing = true
	return true
}

// end ends a dial that began.
func (k *conn) end() {
	k.mu.Lock()
	k.dialing = false
	freed := k.freed
	k.freed = nil
	k.mu.Unlock()
	if freed != nil {
		freed()
	}
}

// opened keeps the socket so that close can end it at once; it reports
// whether the connection is still wanted.
func (k *conn) opened(socket net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.socket = socket
	return !k.closed
}

// close ends the connection and then calls free, which gives its place in the
// cap to another. The transport itself closes sockets only some time after a
// request ended, and a dial under way can still succeed for a moment, so that
// free is called when it has ended.
func (k *conn) close(free func()) {
	k.cancel()
	k.mu.Lock()
	k.closed = true
	if k.socket != nil {
		k.socket.Close()
	}
	wait := k.dialing
	if wait {
		k.freed = free
	}
	k.mu.Unlock()
	k.transport.CloseIdleConnections()
	if !wait {
		free()
	}
}

// acquire returns an idle connection or the right to open one. It fails with
// *Error when the address is at its cap.
func (c *Client) acquire(addr string) (*conn, error) {
	limit := c.limit(addr)
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	if c.pools.pools == nil {
		c.pools.pools = map[string]*pool{}
	}
	p := c.pools.pools[addr]
	if p == nil {
		p = &pool{}
		c.pools.pools[addr] = p
	}
	c.trim(p, limit)
	if n := len(p.idle); n > 0 && p.open <= limit {
		k := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return k, nil
	}
	if p.open >= limit {
		return nil, &Error{Reason: route.ReasonConnections, NotRun: true}
	}
	p.open++
	return c.newConn(), nil
}

func (c *Client) limit(addr string) int {
	if c.Connections == nil {
		return 8
	}
	return c.Connections(addr)
}

func (c *Client) newConn() *conn {
	timeout, idle := c.DialTimeout, c.IdleTimeout
	if timeout == 0 {
		timeout = time.Second
	}
	if idle == 0 {
		idle = 30 * time.Second
	}
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: timeout}).DialContext
	}
	k := &conn{}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if !k.begin() {
				return nil, net.ErrClosed
			}
			defer k.end()
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			defer context.AfterFunc(k.ctx, cancel)()
			socket, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			if !k.opened(socket) {
				socket.Close()
				return nil, net.ErrClosed
			}
			return socket, nil
		},
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 16 << 10,
	}
	return k
}

// release returns a connection after a complete answer.
func (c *Client) release(addr string, k *conn) {
	limit := c.limit(addr)
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	p := c.pools.pools[addr]
	k.used = time.Now()
	p.idle = append(p.idle, k)
	c.trim(p, limit)
}

// discard closes a connection whose state is not known.
func (c *Client) discard(addr string, k *conn) {
	k.close(func() {
		c.pools.mu.Lock()
		defer c.pools.mu.Unlock()
		c.pools.pools[addr].open--
	})
}

// trim closes the idle connections beyond the cap and those idle for too
// long, oldest first.
func (c *Client) trim(p *pool, limit int) {
	idle := c.IdleTimeout
	if idle == 0 {
		idle = 30 * time.Second
	}
	old := time.Now().Add(-idle)
	for len(p.idle) > 0 && (p.open > limit || p.idle[0].used.Before(old)) {
		// An idle connection is not being dialled, so its place is free at once.
		p.idle[0].close(func() { p.open-- })
		p.idle = p.idle[1:]
	}
}

// Trim applies changed caps to idle connections at once.
func (c *Client) Trim() {
	c.pools.mu.Lock()
	addrs := make([]string, 0, len(c.pools.pools))
	for addr := range c.pools.pools {
		addrs = append(addrs, addr)
	}
	c.pools.mu.Unlock()
	for _, addr := range addrs {
		limit := c.limit(addr)
		c.pools.mu.Lock()
		p := c.pools.pools[addr]
		c.trim(p, limit)
		if p.open == 0 && limit == 0 {
			delete(c.pools.pools, addr)
		}
		c.pools.mu.Unlock()
	}
}

// Open returns how many connections to the address are in use or idle.
func (c *Client) Open(addr string) int {
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	if p := c.pools.pools[addr]; p != nil {
		return p.open
	}
	return 0
}
