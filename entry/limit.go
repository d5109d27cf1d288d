package entry

import (
	"net"
	"sync"
)

// limitListener returns a listener with at most limit open connections. Further
// connections wait in the operating system's backlog. A limit below 1 means no
// limit.
func limitListener(l net.Listener, limit int) net.Listener {
	if limit < 1 {
		return l
	}
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), done: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	slots chan struct{}
	done  chan struct{} // closed by Close
	once  sync.Once
}

// Accept waits for a free slot and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
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

// Close closes the listener. A waiting Accept returns net.ErrClosed.
func (l *limitedListener) Close() error {
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
