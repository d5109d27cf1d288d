package leader

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/policy"
)

// Guards against start requests in an endless loop to a worker that refuses connections.
func TestStartToRefusingWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var attempts atomic.Int64
		refused := &NoAnswerError{errors.New("connection refused")}
		start := func(context.Context, Target, StartRequest) error {
			attempts.Add(1)
			time.Sleep(time.Millisecond) // on the network
			return refused
		}
		stop := func(context.Context, Target, StopRequest) error { return refused }
		l := &Leader{Epoch: 1, Feed: &feed.Feed{}, Policy: &policy.Current{}, Logger: zap.NewNop(), Bounds: Bounds{Lease: 6 * time.Second}, Client: WorkerClient{Start: start, Stop: stop}}
		ctx, cancel := context.WithCancel(t.Context())
		l.Init(ctx, ledger.NewState(), nil)
		w := newWorker("w0", time.Now())
		w.entry.Addr, w.contacted = "w0", true
		n := &run{key: runKey{TaskID{Job: "a"}, 1}, unit: ledger.UnitID{Job: "a"}, startedAt: time.Now()}
		l.mu.Lock()
		l.addRun(w, n)
		l.mu.Unlock()
		go l.deliverStart(w, n, StartRequest{})
		time.Sleep(startDeadline + time.Second)
		is.True(attempts.Load() > 1)
		is.True(attempts.Load() <= int64(startDeadline/startRetryInterval)+2)
		cancel()
		time.Sleep(time.Second) // until the goroutines have ended
	})
}
