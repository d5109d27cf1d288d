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

// Guards against a place in the cap that is given away while the dial of a
// request that was given up can still succeed.
func TestGivenUpDialKeepsPlace(t *testing.T) {
	is := is.New(t)
	dialling, finish := make(chan struct{}), make(chan struct{})
	client := &Client{
		Connections: func(string) int { return 1 },
		Dial: func(context.Context, string, string) (net.Conn, error) {
			dialling <- struct{}{}
			<-finish // the system's connect returns late
			return nil, net.ErrClosed
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() {
		_, err := client.Do(ctx, "127.0.0.1:1", &Request{ID: "1"})
		first <- err
	}()
	<-dialling
	cancel()
	is.True(<-first != nil)
	is.Equal(client.Open("127.0.0.1:1"), 1) // the dial is still under way
	dctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	_, err := client.Do(dctx, "127.0.0.1:1", &Request{ID: "2"})
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Reason, route.ReasonConnections)
	close(finish)
	for client.Open("127.0.0.1:1") != 0 {
		time.Sleep(time.Millisecond)
	}
}
