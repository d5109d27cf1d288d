package relay

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

var errReset = errors.New("connection reset")

// Guards against calls that fail although a peer could make them, and against
// calls that are reported as not made although they may have been.
func TestDo(t *testing.T) {
	ok, busy := Reply{Status: http.StatusOK}, Reply{Status: http.StatusServiceUnavailable}
	tests := []struct {
		name             string
		direct, peer     Reply
		directErr        error
		peerErr          error
		directSent, sent bool
		want             Reply
		err              error
	}{
		{"direct", ok, busy, nil, nil, true, true, ok, nil},
		{"turned away", busy, ok, nil, nil, true, true, ok, nil},
		{"reset, peer helps", Reply{}, ok, errReset, nil, true, true, ok, nil},
		{"not sent, peer turned away too", Reply{}, busy, errReset, nil, false, false, Reply{}, errReset},
		{"not sent, peer did not answer", Reply{}, Reply{}, errReset, errReset, false, true, Reply{}, errReset},
		{"turned away, no peer helps", busy, Reply{}, nil, errReset, true, true, busy, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := &Relay{
				Direct: func(context.Context, Call) (Reply, bool, error) { return tt.direct, tt.directSent, tt.directErr },
				Peer:   func(context.Context, string, Call) (Reply, bool, error) { return tt.peer, true, tt.peerErr },
				Peers:  func() []string { return []string{"p"} },
				Logger: zap.NewNop(),
			}
			got, sent, err := r.Do(context.Background(), Call{})
			is.Equal(got.Status, tt.want.Status)
			is.Equal(err, tt.err)
			is.Equal(sent, tt.sent)
		})
	}
}

// Guards against callers who give up and so make the store look away.
func TestCancelledCalls(t *testing.T) {
	is := is.New(t)
	r := &Relay{
		Direct: func(context.Context, Call) (Reply, bool, error) { return Reply{}, true, context.Canceled },
		Peers:  func() []string { return []string{"p"} },
		Logger: zap.NewNop(),
	}
	for range 2 * unanswered {
		_, _, err := r.Do(context.Background(), Call{})
		is.Equal(err, context.Canceled)
	}
	is.True(r.serving())
}

// Guards against an instance that keeps asking its peers after the store
// serves it again.
func TestRecovers(t *testing.T) {
	is := is.New(t)
	probed := make(chan struct{}, 10)
	away := true
	relayed := 0
	r := &Relay{
		Direct: func(_ context.Context, c Call) (Reply, bool, error) {
			if c.Method == "PROBE" {
				probed <- struct{}{}
				return Reply{Status: http.StatusOK}, true, nil
			}
			if away {
				return Reply{}, true, errReset
			}
			return Reply{Status: http.StatusOK}, true, nil
		},
		Peer: func(context.Context, string, Call) (Reply, bool, error) {
			relayed++
			return Reply{Status: http.StatusOK}, true, nil
		},
		Peers:  func() []string { return []string{"p"} },
		Probe:  Call{Method: "PROBE"},
		Logger: zap.NewNop(),
	}
	for range unanswered {
		_, _, err := r.Do(context.Background(), Call{})
		is.NoErr(err)
	}
	is.True(!r.serving())
	rep, err := r.Serve(context.Background(), Call{}) // does not ask others for others
	is.NoErr(err)
	is.Equal(rep.Status, http.StatusServiceUnavailable)
	away = false
	_, _, err = r.Do(context.Background(), Call{})
	is.NoErr(err)
	<-probed
	for end := time.Now().Add(5 * time.Second); !r.serving() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	before := relayed
	_, _, err = r.Do(context.Background(), Call{})
	is.NoErr(err)
	is.Equal(relayed, before)
}

// Guards against calls that fail after the store has come back, because the
// last probe found it away.
func TestRecovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		up := false
		r := &Relay{
			Direct: func(context.Context, Call) (Reply, bool, error) {
				time.Sleep(4 * time.Millisecond) // the store's time to answer
				if up {
					return Reply{Status: http.StatusOK}, true, nil
				}
				return Reply{Status: http.StatusServiceUnavailable}, true, nil
			},
			Peer:   func(context.Context, string, Call) (Reply, bool, error) { return Reply{}, true, errReset },
			Peers:  func() []string { return []string{"p"} },
			Logger: zap.NewNop(),
		}
		for range 10 {
			_, _, _ = r.Do(t.Context(), Call{}) // the store is away
			time.Sleep(2 * probePeriod)
		}
		is.True(r.Away() > 0)
		up = true
		rep, sent, err := r.Do(t.Context(), Call{})
		is.NoErr(err)
		is.True(sent)
		is.Equal(rep.Status, http.StatusOK)
		is.Equal(r.Away(), time.Duration(0))
	})
}
