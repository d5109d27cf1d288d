package entry

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/settings"
	"jasminelane.example/lane/standin"
)

// TestOldViewActsOnNothing guards against an instance that proposes records,
// renews leases or is ready although its state may be old. This happens after a
// pause of the process: the log is available, but the instance has not yet read
// it to its end again.
func TestOldViewActsOnNothing(t *testing.T) {
	is := is.New(t)
	log := httptest.NewServer(&standin.Log{})
	defer log.Close()
	list := httptest.NewServer(&standin.Directory{})
	defer list.Close()
	set := settings.Default()
	set.Instance = settings.Instance{Name: "e1", Domain: "kochi", PeerAddr: "127.0.0.1:0", CallerAddr: "127.0.0.1:0", OperatorAddr: "127.0.0.1:0"}
	set.Platform = settings.Platform{LogURL: log.URL, ListURL: list.URL}
	n := &Instance{Settings: set}
	is.NoErr(n.Open())
	var paused atomic.Bool
	var jump atomic.Int64
	n.replica.Clock = func() time.Time {
		if paused.Load() { // every reading of the clock comes after a 10 s pause
			jump.Add(int64(10 * time.Second))
		}
		return time.Now().Add(time.Duration(jump.Load()))
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	defer func() {
		cancel()
		<-done
	}()
	await := func(what string, ok func() bool) {
		t.Helper()
		timeout := time.After(15 * time.Second)
		for !ok() {
			select {
			case <-timeout:
				t.Fatal(what)
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	await("the instance with a current state may not propose, renew leases, or is not ready", func() bool { return n.canPropose() && n.canRenewLeases() && n.Ready() == nil })
	paused.Store(true)
	await("the instance may propose from an old state", func() bool { return !n.canPropose() })
	await("the instance may renew leases from an old state", func() bool { return !n.canRenewLeases() })
	await("the instance is ready with an old state", func() bool { return n.Ready() != nil })
}
