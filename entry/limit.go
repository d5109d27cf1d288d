package entry

import (
	"net"
	"sync"
)

// limitListener accepts at most limit connections at a time; further ones wait
// in the system's backlog. A limit below 1 means none.
func limitListener(l net.Listener, limit int) net.Listener {
	if limit < 1 {
		return l
	}
	return &limited{Listener: l, slots: make(chan struct{}, limit), done: make(chan struct{})}
}

type limited struct {
	net.Listener
	slots chan struct{}
	done  chan struct{} // closed by Close
	once  sync.Once
}

// Accept waits for a free slot, and for a connection.
func (l *limited) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, free: func() { <-l.slots }}, nil
}

// Close closes the listener and ends a waiting Accept.
func (l *limited) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	once sync.Once
	free func()
}

// Close closes the connection and frees its slot.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.free)
	return err
}
