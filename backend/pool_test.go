package backend

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/route"
)

// TestGivenUpDialKeepsPlace guards against connections beyond the limit: the
// place of a cancelled request must not be reused while its dial can still
// succeed.
func TestGivenUpDialKeepsPlace(t *testing.T) {
	is := is.New(t)
	dialing, finish := make(chan struct{}), make(chan struct{})
	client := &Client{
		MaxConnections: func(string) int { return 1 },
		Dial: func(context.Context, string, string) (net.Conn, error) {
			dialing <- struct{}{}
			<-finish // the system call connect returns late
			return nil, net.ErrClosed
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() {
		_, err := client.Do(ctx, "127.0.0.1:1", &Request{ID: "1"})
		first <- err
	}()
	<-dialing
	cancel()
	is.True(<-first != nil)
	is.Equal(client.OpenConnections("127.0.0.1:1"), 1) // the dial is still in progress
	dctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	_, err := client.Do(dctx, "127.0.0.1:1", &Request{ID: "2"})
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Reason, route.ReasonConnections)
	close(finish)
	for client.OpenConnections("127.0.0.1:1") != 0 {
		time.Sleep(time.Millisecond)
	}
}
