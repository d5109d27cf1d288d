package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Network is an in-memory network for tests in virtual time. Its connections
// block only on channels, so that package synctest can tell when all goroutines
// of a bubble are blocked.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	ports     int
}

// Listen returns a listener on the address; port 0 selects a free port. It fails
// with *net.OpError if the address is malformed or in use.
func (n *Network) Listen(network, addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Err: err}
	}
	if port == "0" {
		n.ports++
		addr = net.JoinHostPort(host, fmt.Sprint(n.ports))
	}
	if n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Addr: pipeAddr(addr), Err: net.ErrClosed}
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*pipeListener)
	}
	l := &pipeListener{network: n, addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to the listener at the address. It fails with *net.OpError if
// there is none, and with the error of ctx when that ends first.
func (n *Network) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Addr: pipeAddr(addr), Err: net.ErrClosed}
	if l == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener accepts connections to one address.
type pipeListener struct {
	network *Network
	addr    string
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept returns the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops the listener and releases its address.
func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.addr)
	})
	return nil
}

// Addr returns the listener's address.
func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.addr) }

type pipeAddr string

func (pipeAddr) Network() string  { return "tcp" }
func (a pipeAddr) String() string { return string(a) }
