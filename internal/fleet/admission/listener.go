package admission

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// writePiece is the size of the pieces in which answers are written. The client
// gets writeTimeout for each of them.
const writePiece = 64 << 10

// Listener bounds the open connections of a listener. When there are too many, it
// closes the one that has gone longest without progress in favour of a new one. A
// connection whose HTTP request has arrived and is being worked on is never closed.
type Listener struct {
	net.Listener
	Limit  int              // 0 is none
	Now    func() time.Time // defaults to time.Now
	Report func(r Reason)   // called for each closed connection; may be nil

	mu      sync.Mutex
	ended   *sync.Cond // signalled when a connection ends
	stopped bool
	conns   map[*conn]struct{}
	closing int // of conns, those that were closed and whose goroutine has not ended
}

// phase is what a connection is doing.
type phase int

const (
	waiting phase = iota // for a header
	serving              // a request
)

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	listener *Listener

	mu      sync.Mutex
	phase   phase
	since   time.Time // start of the phase
	writing time.Time // start of the write in progress; zero if there is none
	upload  *Upload   // whose body is being read; may be nil
	evicted bool
}

// listen listens on a TCP address. The sockets of its connections have receive and
// send buffers of the size. The size is set before connections are accepted, so
// that it also bounds what the kernel receives for those that wait in the backlog.
func listen(ctx context.Context, addr string, socketBytes int) (net.Listener, error) {
	if socketBytes == 0 {
		return (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		ctrlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBytes))
		})
		return errors.Join(err, ctrlErr)
	}}
	return config.Listen(ctx, "tcp", addr)
}

func (l *Listener) now() time.Time {
	if l.Now != nil {
		return l.Now()
	}
	return time.Now()
}

func (l *Listener) report(r Reason) {
	if l.Report != nil {
		l.Report(r)
	}
}

// Accept waits for a connection and makes room for it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		l.report(TooManyConns)
		abort(inner)
	}
}

// admit adds a connection. If there are too many, it closes another one, or returns
// nil if none can be closed.
func (l *Listener) admit(inner net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended == nil {
		l.ended = sync.NewCond(&l.mu)
		l.conns = make(map[*conn]struct{})
	}
	for l.Limit > 0 && l.closing > l.Limit/4 && !l.stopped {
		l.ended.Wait() // what closed connections hold is not free yet
	}
	if l.Limit > 0 && len(l.conns)-l.closing >= l.Limit && !l.evictOne() {
		return nil
	}
	c := &conn{Conn: inner, listener: l, since: l.now()}
	l.conns[c] = struct{}{}
	return c
}

// evictOne closes the connection that has gone longest without progress. It reports
// whether there was one.
func (l *Listener) evictOne() bool {
	for {
		var victim *conn
		var longest time.Time
		for c := range l.conns {
			if since, ok := c.stalledSince(); ok && (victim == nil || since.Before(longest)) {
				victim, longest = c, since
			}
		}
		if victim == nil {
			return false
		}
		if victim.evict() {
			l.closing++
			l.report(ConnClosed)
			return true
		}
	}
}

// Open returns the number of connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Close closes the listener. The connections stay open.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.stopped = true
	if l.ended != nil {
		l.ended.Broadcast()
	}
	l.mu.Unlock()
	return l.Listener.Close()
}

// unwrap returns the connection of the listener below one with TLS.
func unwrap(c net.Conn) net.Conn {
	if t, ok := c.(*tls.Conn); ok {
		return t.NetConn()
	}
	return c
}

// setState records what a connection is doing.
func (l *Listener) setState(nc net.Conn, state http.ConnState) {
	c, ok := unwrap(nc).(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.phase, c.since = serving, l.now()
	case http.StateIdle:
		c.phase, c.since = waiting, l.now()
	}
}

type connKey struct{}

// connOf returns the connection of a request's context, or nil.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

func (c *conn) setUpload(u *Upload) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload = u
}

// stalledSince returns the time since which the connection waits for its client,
// and whether it may be closed.
func (c *conn) stalledSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.evicted:
		return time.Time{}, false
	case !c.writing.IsZero():
		return c.writing, true
	case c.phase == waiting:
		return c.since, true
	case c.upload != nil:
		return c.upload.stalledSince()
	}
	return time.Time{}, false
}

// evict closes the connection unless its request has arrived meanwhile. The
// goroutine that serves it ends soon after.
func (c *conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing.IsZero() && c.phase == serving && (c.upload == nil || !c.upload.closeFor()) {
		return false
	}
	c.evicted = true
	abort(c.Conn)
	return true
}

// abort closes a connection and discards what the client has not read.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Write writes an answer piece by piece.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.writePiece(p[written:min(len(p), written+writePiece)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// writePiece writes one piece of an answer.
func (c *conn) writePiece(p []byte) (int, error) {
	c.mu.Lock()
	c.writing = c.listener.now()
	c.mu.Unlock()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails if the connection is closed
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing = time.Time{}
	if c.phase == waiting && err == nil {
		c.since = c.listener.now() // an answer of a protocol whose requests are not reported
	}
	c.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.report(AnswerNotTaken)
	}
	return n, err
}

// Close closes the connection and ends its place among the open ones.
func (c *conn) Close() error {
	err := c.Conn.Close()
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		c.mu.Lock()
		if c.evicted {
			l.closing--
		}
		c.mu.Unlock()
		l.ended.Broadcast()
	}
	return err
}
