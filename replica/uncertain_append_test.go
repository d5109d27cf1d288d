package replica

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/standin"
)

// TestRefusedAfterLostAnswer guards against a proposal that is wrongly reported
// as not appended. The response to its first append is lost and its second append
// is refused, but the first one takes effect later.
func TestRefusedAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var armed atomic.Bool
	var posts atomic.Int32
	a := f.start("a", func(r *Replica) {
		r.Log.Client = &http.Client{Transport: hookTransport(func(q *http.Request) error {
			if armed.Load() && q.Method == http.MethodPost && posts.Add(1) == 2 {
				f.log.Fault(standin.LogFault{NoAppends: ptr(true)})
			}
			return nil
		})}
	}).ready()
	f.log.Fault(standin.LogFault{DropAppends: ptr(1), LateMs: ptr(int64(1500))})
	armed.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := a.Propose(ctx, policy(t, "x", 0))
	var unknown *UnknownOutcomeError
	is.True(errors.As(err, &unknown))
	is.True(posts.Load() >= 2) // otherwise no append was refused
	a.await("the late append", func(Status) bool { return a.version("x") > 0 })
	f.log.Fault(standin.LogFault{NoAppends: ptr(false)})
	o, err := a.publish("y", 0)
	is.NoErr(err)
	is.True(o.Accepted()) // the writer's sequence continues
	entries, _ := f.copies("x")
	is.Equal(entries, 1)
}
