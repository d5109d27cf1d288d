package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"jasminelane.example/lane/route"
)

// poolTable holds the connection pool of each address.
type poolTable struct {
	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one address.
type pool struct {
	idle      []*conn // ordered by last use, the most recent one last
	openCount int     // in use and idle
}

// conn is one connection, with a transport of its own that opens at most one. A
// transport shared by all requests to a server may open another connection
// although one becomes idle, and its limit cannot change while it is in use.
type conn struct {
	transport *http.Transport
	lastUsed  time.Time

	ctx       context.Context // cancelled when the connection is closed, which stops a dial
	cancel    context.CancelFunc
	mu        sync.Mutex
	socket    net.Conn
	closed    bool
	dialing   bool
	onDialEnd func() // called when a dial ends that was in progress when the connection was closed
}

// beginDial marks the start of a dial. It returns false if the connection is
// closed and must not be dialed.
func (k *conn) beginDial() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return false
	}
	k.dialing = true
	return true
}

// endDial marks the end of a dial for which beginDial returned true.
func (k *conn) endDial() {
	k.mu.Lock()
	k.dialing = false
	freed := k.onDialEnd
	k.onDialEnd = nil
	k.mu.Unlock()
	if freed != nil {
		freed()
	}
}

// setSocket stores the socket so that close can close it at once. It returns
// false if the connection has been closed meanwhile.
func (k *conn) setSocket(socket net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.socket = socket
	return !k.closed
}

// close closes the connection and then calls free, which lets another connection
// take its place under the limit. The socket is closed here because the
// transport closes it only some time after a request has ended. A dial in
// progress can still succeed for a moment, so free is called only when it has
// ended.
func (k *conn) close(free func()) {
	k.cancel()
	k.mu.Lock()
	k.closed = true
	if k.socket != nil {
		k.socket.Close()
	}
	wait := k.dialing
	if wait {
		k.onDialEnd = free
	}
	k.mu.Unlock()
	k.transport.CloseIdleConnections()
	if !wait {
		free()
	}
}

// acquire returns an idle connection, or a new one that the first request on it
// dials. It fails with *Error if the address has reached its limit.
func (c *Client) acquire(addr string) (*conn, error) {
	limit := c.maxConnections(addr)
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
	if n := len(p.idle); n > 0 && p.openCount <= limit {
		k := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return k, nil
	}
	if p.openCount >= limit {
		return nil, &Error{Reason: route.ReasonConnections, NotRun: true}
	}
	p.openCount++
	return c.newConn(), nil
}

// maxConnections returns the limit of open connections to the address.
func (c *Client) maxConnections(addr string) int {
	if c.MaxConnections == nil {
		return 8
	}
	return c.MaxConnections(addr)
}

// newConn returns a connection that is not dialed yet.
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
			if !k.beginDial() {
				return nil, net.ErrClosed
			}
			defer k.endDial()
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			defer context.AfterFunc(k.ctx, cancel)()
			socket, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			if !k.setSocket(socket) {
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

// release returns a connection to the pool after a complete answer.
func (c *Client) release(addr string, k *conn) {
	limit := c.maxConnections(addr)
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	p := c.pools.pools[addr]
	k.lastUsed = time.Now()
	p.idle = append(p.idle, k)
	c.trim(p, limit)
}

// discard closes a connection whose state is unknown.
func (c *Client) discard(addr string, k *conn) {
	k.close(func() {
		c.pools.mu.Lock()
		defer c.pools.mu.Unlock()
		c.pools.pools[addr].openCount--
	})
}

// trim closes idle connections while the pool exceeds the limit, and those idle
// for longer than IdleTimeout, least recently used first.
func (c *Client) trim(p *pool, limit int) {
	idle := c.IdleTimeout
	if idle == 0 {
		idle = 30 * time.Second
	}
	old := time.Now().Add(-idle)
	for len(p.idle) > 0 && (p.openCount > limit || p.idle[0].lastUsed.Before(old)) {
		// No dial of an idle connection is in progress, so close calls the
		// function at once, with the lock held.
		p.idle[0].close(func() { p.openCount-- })
		p.idle = p.idle[1:]
	}
}

// TrimIdle applies changed limits to idle connections at once.
func (c *Client) TrimIdle() {
	c.pools.mu.Lock()
	addrs := make([]string, 0, len(c.pools.pools))
	for addr := range c.pools.pools {
		addrs = append(addrs, addr)
	}
	c.pools.mu.Unlock()
	for _, addr := range addrs {
		limit := c.maxConnections(addr)
		c.pools.mu.Lock()
		p := c.pools.pools[addr]
		c.trim(p, limit)
		if p.openCount == 0 && limit == 0 {
			delete(c.pools.pools, addr)
		}
		c.pools.mu.Unlock()
	}
}

// OpenConnections returns how many connections to the address are in use or
// idle.
func (c *Client) OpenConnections(addr string) int {
	c.pools.mu.Lock()
	defer c.pools.mu.Unlock()
	if p := c.pools.pools[addr]; p != nil {
		return p.openCount
	}
	return 0
}
