package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// probePeriod separates the direct calls that find out whether the store
	// serves this instance again.
	probePeriod = 60 * time.Millisecond

	// probeTimeout bounds one of them; a slow store takes some hundred
	// milliseconds.
	probeTimeout = 400 * time.Millisecond

	// probeWait is how long a call waits for one of them: the store answers in
	// some milliseconds when it serves this instance.
	probeWait = 40 * time.Millisecond

	// restPeriod is how long no peer is asked after one could not help: the
	// store is then away for all.
	restPeriod = 200 * time.Millisecond

	// unanswered is the number of calls in a row that fail after which the
	// store is taken to turn this instance away.
	unanswered = 2
)

// Call is one HTTP call to the store.
type Call struct {
	Method string
	Path   string // with the query
	Kind   string // of the body
	Body   []byte
}

// Reply is the store's answer.
type Reply struct {
	Status int
	Body   []byte
}

// Relay makes calls to the store, directly or through a peer. The exported
// fields are set before use.
type Relay struct {
	// Direct and Peer make a call; sent is false only if it certainly did not
	// leave this instance.
	Direct func(ctx context.Context, c Call) (r Reply, sent bool, err error)
	Peer   func(ctx context.Context, addr string, c Call) (r Reply, sent bool, err error)
	Peers  func() []string // addresses of other instances
	Probe  Call            // without effect
	Logger *zap.Logger

	mu      sync.Mutex
	missed  int // calls in a row that failed
	bad     bool
	since   time.Time     // the store turns this instance away since then
	helper  string        // peer that helped last
	probing chan struct{} // closed when the probe under way has ended; nil without one
	probed  time.Time
	rest    time.Time // until then no peer is asked
}

// PeersError reports that no peer is known or could help.
type PeersError struct{}

// Error says so.
func (*PeersError) Error() string { return "store unavailable, also through peers" }

// Do makes the call.
func (r *Relay) Do(ctx context.Context, c Call) (Reply, bool, error) {
	if r.serving() || r.recovered(ctx) || len(r.Peers()) == 0 {
		rep, sent, err := r.Direct(ctx, c)
		if r.judge(rep, err) || ctx.Err() != nil {
			return rep, sent, err
		}
		relayed, also, rerr := r.relay(ctx, c)
		if rerr != nil {
			return rep, sent || also, err
		}
		return relayed, true, nil
	}
	return r.relay(ctx, c)
}

// recovered probes the store, unless it was probed just now, and reports
// whether it serves this instance again.
func (r *Relay) recovered(ctx context.Context) bool {
	ended := r.probe()
	if ended == nil {
		return false
	}
	t := time.NewTimer(probeWait)
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
	case <-ctx.Done():
	}
	return r.serving()
}

// serving reports whether the store served this instance lately.
func (r *Relay) serving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.bad
}

// judge notes how a direct call went and reports whether its answer stands.
func (r *Relay) judge(rep Reply, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, context.Canceled) {
		return true // the caller gave up, which says nothing of the store
	}
	if err == nil && rep.Status != http.StatusServiceUnavailable && rep.Status != http.StatusTooManyRequests {
		r.missed = 0
		return true
	}
	// Answers also get lost, and connections reset, one by one.
	if r.missed++; r.missed >= unanswered && !r.bad {
		r.bad = true
		r.since = time.Now()
		r.Logger.Warn("store turns this instance away", zap.Int("status", rep.Status), zap.Error(err))
	}
	return false
}

// relay makes the call through a peer.
func (r *Relay) relay(ctx context.Context, c Call) (Reply, bool, error) {
	peers := r.Peers()
	r.mu.Lock()
	resting := time.Now().Before(r.rest)
	r.mu.Unlock()
	if resting || len(peers) == 0 {
		return Reply{}, false, &PeersError{}
	}
	peer := r.choose(peers)
	rep, sent, err := r.Peer(ctx, peer, c)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && rep.Status != http.StatusServiceUnavailable {
		r.helper = peer
		return rep, true, nil
	}
	if errors.Is(err, context.Canceled) {
		return Reply{}, sent, err
	}
	if r.helper != peer {
		// Not known to help before: the store may be away for all.
		r.rest = time.Now().Add(restPeriod)
	}
	r.helper = ""
	if err == nil {
		return Reply{}, false, &PeersError{} // the peer did not make the call
	}
	return Reply{}, sent, err
}

// choose returns the peer that helped last, or any.
func (r *Relay) choose(peers []string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains(peers, r.helper) {
		return r.helper
	}
	return peers[rand.IntN(len(peers))]
}

// Away returns for how long the store has turned this instance away.
func (r *Relay) Away() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.bad {
		return 0
	}
	return time.Since(r.since)
}

// probe finds out beside the calls whether the store serves this instance
// again. It returns a channel that is closed when the probe under way has
// ended, or nil if the last one ended just now.
func (r *Relay) probe() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.probing != nil {
		return r.probing
	}
	if time.Since(r.probed) < probePeriod {
		return nil
	}
	r.probed = time.Now()
	ended := make(chan struct{})
	r.probing = ended
	go func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		rep, _, err := r.Direct(ctx, r.Probe)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.probing = nil
		if err == nil && rep.Status < http.StatusInternalServerError && rep.Status != http.StatusTooManyRequests {
			r.bad, r.missed = false, 0
			r.Logger.Info("store serves this instance again", zap.Duration("away", time.Since(r.since)))
		}
	}()
	return ended
}

// Serve makes a peer's call if the store serves this instance; otherwise it
// answers 503, so that calls do not wander between instances.
func (r *Relay) Serve(ctx context.Context, c Call) (Reply, error) {
	if !r.serving() {
		return Reply{Status: http.StatusServiceUnavailable}, nil
	}
	rep, _, err := r.Direct(ctx, c)
	r.judge(rep, err)
	return rep, err
}
