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

// Guards against a call that fails although a peer could relay it, and against
// a call that is reported as not sent although it may have been.
func TestDo(t *testing.T) {
	ok, busy := Reply{Status: http.StatusOK}, Reply{Status: http.StatusServiceUnavailable}
	limited, conflict, gone := Reply{Status: http.StatusTooManyRequests}, Reply{Status: http.StatusConflict}, Reply{Status: http.StatusGone}
	write := Call{Method: http.MethodPost}
	tests := []struct {
		name                 string
		call                 Call
		direct, peer         Reply
		directErr, peerErr   error
		directSent, peerSent bool
		want                 Reply
		sent                 bool
		err                  error
	}{
		{"direct", Call{}, ok, busy, nil, nil, true, true, ok, true, nil},
		{"turned away", Call{}, busy, ok, nil, nil, true, true, ok, true, nil},
		{"reset, peer helps", Call{}, Reply{}, ok, errReset, nil, true, true, ok, true, nil},
		{"not sent, peer turned away too", Call{}, Reply{}, busy, errReset, nil, false, true, Reply{}, false, errReset},
		{"not sent, peer did not answer", Call{}, Reply{}, Reply{}, errReset, errReset, false, true, Reply{}, true, errReset},
		{"turned away, peer turned away too", Call{}, busy, busy, nil, nil, true, true, busy, true, nil},
		{"turned away, peer not reached", Call{}, busy, Reply{}, nil, errReset, true, false, busy, true, nil},
		{"turned away, peer did not answer", Call{}, busy, Reply{}, nil, errReset, true, true, Reply{}, true, errReset},
		{"append without answer, then refused to the peer", write, Reply{}, limited, errReset, nil, true, true, Reply{}, true, errReset},
		{"append without answer, then in conflict for the peer", write, Reply{}, conflict, errReset, nil, true, true, Reply{}, true, errReset},
		{"append without answer, then done by the peer", write, Reply{}, ok, errReset, nil, true, true, ok, true, nil},
		{"append not sent, then refused to the peer", write, Reply{}, limited, errReset, nil, false, true, limited, true, nil},
		{"append turned away, then in conflict for the peer", write, busy, conflict, nil, nil, true, true, conflict, true, nil},
		{"read without answer, then answered to the peer", Call{Method: http.MethodGet}, Reply{}, gone, errReset, nil, true, true, gone, true, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := &Relay{
				CallDirect: func(context.Context, Call) (Reply, bool, error) { return tt.direct, tt.directSent, tt.directErr },
				CallPeer:   func(context.Context, string, Call) (Reply, bool, error) { return tt.peer, tt.peerSent, tt.peerErr },
				PeerAddrs:  func() []string { return []string{"p"} },
				Logger:     zap.NewNop(),
			}
			got, sent, err := r.Do(context.Background(), tt.call)
			is.Equal(got.Status, tt.want.Status)
			is.Equal(err, tt.err)
			is.Equal(sent, tt.sent)
		})
	}
}

// Guards against calls cancelled by the caller being counted as failures of
// the store, which would send later calls through peers.
func TestCancelledCalls(t *testing.T) {
	is := is.New(t)
	r := &Relay{
		CallDirect: func(context.Context, Call) (Reply, bool, error) { return Reply{}, true, context.Canceled },
		PeerAddrs:  func() []string { return []string{"p"} },
		Logger:     zap.NewNop(),
	}
	for range 2 * failureThreshold {
		_, _, err := r.Do(context.Background(), Call{})
		is.Equal(err, context.Canceled)
	}
	is.True(r.directUp())
}

// Guards against an instance that goes on relaying calls through its peers
// after the store serves it again.
func TestRecovers(t *testing.T) {
	is := is.New(t)
	probed := make(chan struct{}, 10)
	outage := true
	relayed := 0
	r := &Relay{
		CallDirect: func(_ context.Context, c Call) (Reply, bool, error) {
			if c.Method == "PROBE" {
				probed <- struct{}{}
				return Reply{Status: http.StatusOK}, true, nil
			}
			if outage {
				return Reply{}, true, errReset
			}
			return Reply{Status: http.StatusOK}, true, nil
		},
		CallPeer: func(context.Context, string, Call) (Reply, bool, error) {
			relayed++
			return Reply{Status: http.StatusOK}, true, nil
		},
		PeerAddrs: func() []string { return []string{"p"} },
		ProbeCall: Call{Method: "PROBE"},
		Logger:    zap.NewNop(),
	}
	for range failureThreshold {
		_, _, err := r.Do(context.Background(), Call{})
		is.NoErr(err)
	}
	is.True(!r.directUp())
	rep, err := r.Serve(context.Background(), Call{}) // must not relay a relayed call
	is.NoErr(err)
	is.Equal(rep.Status, http.StatusServiceUnavailable)
	outage = false
	_, _, err = r.Do(context.Background(), Call{})
	is.NoErr(err)
	<-probed
	for end := time.Now().Add(5 * time.Second); !r.directUp() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	before := relayed
	_, _, err = r.Do(context.Background(), Call{})
	is.NoErr(err)
	is.Equal(relayed, before)
}

// Guards against a call that fails after the store has become available again,
// because the last probe still found it unavailable.
func TestRecovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		up := false
		r := &Relay{
			CallDirect: func(context.Context, Call) (Reply, bool, error) {
				time.Sleep(4 * time.Millisecond) // response time of the store
				if up {
					return Reply{Status: http.StatusOK}, true, nil
				}
				return Reply{Status: http.StatusServiceUnavailable}, true, nil
			},
			CallPeer:  func(context.Context, string, Call) (Reply, bool, error) { return Reply{}, true, errReset },
			PeerAddrs: func() []string { return []string{"p"} },
			Logger:    zap.NewNop(),
		}
		for range 10 {
			_, _, _ = r.Do(t.Context(), Call{}) // fails: the store is unavailable
			time.Sleep(2 * probeInterval)
		}
		is.True(r.DirectOutage() > 0)
		up = true
		rep, sent, err := r.Do(t.Context(), Call{})
		is.NoErr(err)
		is.True(sent)
		is.Equal(rep.Status, http.StatusOK)
		is.Equal(r.DirectOutage(), time.Duration(0))
	})
}
