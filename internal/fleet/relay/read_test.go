package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/latency"
)

// Guards against a read that stays pending for seconds after the store serves again, because
// the latency is known wrongly, and against one that a slow store never answers in time.
func TestRepeatedRead(t *testing.T) {
	const ms = time.Millisecond
	const timeout = 9 * time.Second // of a read beyond its wait, at a latency of 3 s
	longPoll := Call{Method: http.MethodGet, Path: "/read?waitMs=1000", RepeatPath: "/read", Wait: time.Second}
	tests := []struct {
		name     string
		call     Call
		silence  time.Duration
		delay    time.Duration // of each answer after the silence
		by       time.Duration // when the read must have its answer
		maxCalls int32
	}{
		{"fast", Call{Method: http.MethodGet}, 0, 4 * ms, 4 * ms, 1},
		{"long poll", longPoll, 0, 4 * ms, 1004 * ms, 1},
		{"silence", Call{Method: http.MethodGet}, 4500 * ms, 4 * ms, 4500*ms + repeatAfter + 4*ms, 5},
		{"silence during a long poll", longPoll, 4500 * ms, 4 * ms, 4500*ms + repeatAfter + 4*ms, 5},
		{"silence, then slow", longPoll, 4500 * ms, 240 * ms, 4500*ms + repeatAfter + 240*ms, 5},
		{"2 s", Call{Method: http.MethodGet}, 0, 2000 * ms, 2000 * ms, 2},
		{"4.5 s", Call{Method: http.MethodGet}, 0, 4500 * ms, 4500 * ms, 4},
		{"long poll of 4.5 s", longPoll, 0, 4500 * ms, 5500 * ms, 4},
	}
	for _, tt := range tests {
		for _, direct := range []bool{true, false} {
			name := tt.name
			if !direct {
				name += ", through a peer"
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					began := time.Now()
					var calls atomic.Int32
					answer := func(ctx context.Context, c Call) (Reply, bool, error) {
						calls.Add(1)
						if time.Since(began) < tt.silence {
							<-ctx.Done()
							return Reply{}, true, ctx.Err()
						}
						select {
						case <-time.After(c.Wait + tt.delay):
							return Reply{Status: http.StatusOK}, true, nil
						case <-ctx.Done():
							return Reply{}, true, ctx.Err()
						}
					}
					r := &Relay{
						CallDirect: answer,
						CallPeer:   func(ctx context.Context, _ string, c Call) (Reply, bool, error) { return answer(ctx, c) },
						PeerAddrs:  func() []string { return []string{"p", "q"} },
						Logger:     zap.NewNop(), Latency: &latency.Tracker{}, down: !direct, lastProbe: began.Add(time.Hour),
					}
					r.Latency.Observe(latency.Answer{Sent: began.Add(-3 * time.Second), Received: began})
					ctx, cancel := context.WithTimeout(t.Context(), tt.call.Wait+timeout)
					defer cancel()
					reply, _, err := r.Do(ctx, tt.call)
					is.NoErr(err)
					is.Equal(reply.Status, http.StatusOK)
					is.True(time.Since(began) <= tt.by)
					is.True(calls.Load() <= tt.maxCalls)
					time.Sleep(time.Minute) // until pending calls have ended
				})
			})
		}
	}
}

// Guards against a read that fails with its first call although a repeated one is answered.
func TestRepeatedReadAfterReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var calls atomic.Int32
		r := &Relay{CallDirect: func(ctx context.Context, _ Call) (Reply, bool, error) {
			if calls.Add(1) == 1 {
				time.Sleep(2 * time.Second)
				return Reply{}, true, errReset
			}
			time.Sleep(time.Second)
			return Reply{Status: http.StatusOK}, true, nil
		}, PeerAddrs: func() []string { return nil }, Logger: zap.NewNop()}
		reply, _, err := r.Do(t.Context(), Call{Method: http.MethodGet})
		is.NoErr(err)
		is.Equal(reply.Status, http.StatusOK)
		is.Equal(calls.Load(), int32(2))
	})
}

// Guards against a read that is repeated when it times out, so that its first call is not
// answered late.
func TestNoRepeatAtTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var calls atomic.Int32
		r := &Relay{CallDirect: func(context.Context, Call) (Reply, bool, error) {
			calls.Add(1)
			time.Sleep(2 * time.Second)
			return Reply{Status: http.StatusOK}, true, nil
		}, PeerAddrs: func() []string { return nil }, Logger: zap.NewNop(), Latency: &latency.Tracker{}}
		ctx, cancel := context.WithTimeout(t.Context(), repeatAfter)
		defer cancel()
		_, _, err := r.Do(ctx, Call{Method: http.MethodGet})
		is.Equal(err, context.DeadlineExceeded)
		time.Sleep(time.Minute)
		is.Equal(calls.Load(), int32(1))
		is.Equal(r.Latency.Estimate(), 2*time.Second)
	})
}
