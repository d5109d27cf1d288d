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

// Guards against an instance that proposes or renews leases from a view whose
// age it does not know: after a pause the log is up, but was not read to its
// end since.
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
		if paused.Load() { // every look at the clock comes after a pause
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
		limit := time.After(15 * time.Second)
		for !ok() {
			select {
			case <-limit:
				t.Fatal(what)
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	await("the instance may not act on a current view", func() bool { return n.mayAct() && n.mayRenew() && n.Ready() == nil })
	paused.Store(true)
	await("the instance acts on an old view", func() bool { return !n.mayAct() })
	await("the instance renews leases from an old view", func() bool { return !n.mayRenew() })
	await("the instance is ready with an old view", func() bool { return n.Ready() != nil })
}
