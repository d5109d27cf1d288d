package relay

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/latency"
)

// slowStore is a store whose answers have a delay, or that is silent, resets
// connections or refuses calls.
type slowStore struct {
	mu    sync.Mutex
	state storeState
}

// storeState is how a slowStore treats calls.
type storeState struct {
	delay  time.Duration
	silent bool
	reset  bool
	status int // 0 is OK
}

func (s *slowStore) set(state storeState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *slowStore) get() storeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *slowStore) call(ctx context.Context, c Call) (Reply, bool, error) {
	state := s.get()
	switch {
	case state.reset:
		return Reply{}, true, errReset
	case state.status != 0:
		return Reply{Status: state.status}, true, nil
	}
	select {
	case <-time.After(state.delay + c.Wait):
		if !s.get().silent {
			return Reply{Status: http.StatusOK}, true, nil
		}
		<-ctx.Done()
	case <-ctx.Done():
	}
	return Reply{}, true, ctx.Err()
}

// Guards against a slow store that counts as down, and against one that is silent,
// resets connections or refuses and does not count as down in time. Each case
// follows a second of a fast store.
func TestSlowStore(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		state   storeState
		maxDown time.Duration // total time for which the store may count as down in 5 s
		downBy  time.Duration // by which it must count as down; 0 is never
	}{
		{"fast", storeState{delay: 4 * ms}, 0, 0},
		{"400 ms", storeState{delay: 400 * ms}, 0, 0},
		{"2 s", storeState{delay: 2 * time.Second}, 2 * time.Second, 0},
		{"silent", storeState{silent: true}, 5 * time.Second, 700 * ms},
		{"resets", storeState{reset: true}, 5 * time.Second, 300 * ms},
		{"status 503", storeState{status: http.StatusServiceUnavailable}, 5 * time.Second, 300 * ms},
		{"status 429", storeState{status: http.StatusTooManyRequests}, 5 * time.Second, 300 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &slowStore{state: storeState{delay: 4 * ms}}
				r := &Relay{
					CallDirect: store.call,
					CallPeer:   func(context.Context, string, Call) (Reply, bool, error) { return Reply{}, false, errReset },
					PeerAddrs:  func() []string { return []string{"p"} },
					Logger:     zap.NewNop(),
					Latency:    &latency.Tracker{},
				}
				do := func(c Call, timeout time.Duration) {
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					began := time.Now()
					if _, _, err := r.Do(ctx, c); err == nil {
						r.Latency.Observe(latency.Answer{Sent: began, Received: time.Now(), Wait: c.Wait})
					}
				}
				for i := range 60 { // appends, queries and long polls
					time.AfterFunc(time.Duration(i)*100*ms, func() { do(Call{Method: http.MethodPost}, 3*time.Second) })
					time.AfterFunc(time.Duration(i)*100*ms+50*ms, func() { do(Call{Method: http.MethodGet}, 250*ms) })
					if i%10 == 0 {
						time.AfterFunc(time.Duration(i)*100*ms, func() { do(Call{Method: http.MethodGet, Wait: 500 * ms}, 1700*ms) })
					}
				}
				time.Sleep(time.Second)
				store.set(tt.state)
				var down, firstDown time.Duration
				for at := time.Duration(0); at < 5*time.Second; at += 10 * ms {
					time.Sleep(10 * ms)
					if !r.directUp() {
						down += 10 * ms
						if firstDown == 0 {
							firstDown = at
						}
					}
				}
				is.True(down <= tt.maxDown)
				is.True(tt.downBy == 0 || firstDown > 0 && firstDown <= tt.downBy)
				store.set(storeState{delay: 4 * ms})
				time.Sleep(time.Second)
				do(Call{Method: http.MethodGet}, time.Second)
				is.True(r.directUp())
				time.Sleep(10 * time.Second) // until pending calls have ended
			})
		})
	}
}

// Guards against a timeout that is shorter than the latency of the store and counts
// as a failure.
func TestShortTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &slowStore{state: storeState{delay: 400 * time.Millisecond}}
		r := &Relay{CallDirect: store.call, PeerAddrs: func() []string { return nil }, Logger: zap.NewNop(), Latency: &latency.Tracker{}}
		r.Latency.Observe(latency.Answer{Sent: time.Now().Add(-400 * time.Millisecond), Received: time.Now()})
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for range 5 {
				ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
				_, _, err := r.Do(ctx, Call{Method: method})
				is.Equal(err, context.DeadlineExceeded)
				cancel()
			}
		}
		is.True(r.directUp())
		time.Sleep(10 * time.Second) // until pending calls have ended
	})
}
