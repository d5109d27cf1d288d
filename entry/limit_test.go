package entry

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestLimitListener guards against more open connections than the limit, against
// slots that are not freed or are freed twice, and against an Accept that does
// not return after Close.
func TestLimitListener(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := limitListener(inner, 1)
	conns, errs := make(chan net.Conn), make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				errs <- err
				return
			}
			conns <- c
		}
	}()
	for range 2 {
		c, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		defer c.Close()
	}
	first := <-conns
	select {
	case <-conns:
		t.Fatal("second connection accepted beyond the limit")
	default:
	}
	is.Equal(len(l.(*limitedListener).slots), 1)
	is.NoErr(first.Close())
	_ = first.Close() // a second Close frees no other slot
	second := <-conns
	is.Equal(len(l.(*limitedListener).slots), 1)
	is.NoErr(l.Close())
	is.True(errors.Is(<-errs, net.ErrClosed))
	is.NoErr(second.Close())
}
