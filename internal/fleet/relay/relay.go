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

	"jasminelane.example/lane/internal/fleet/latency"
)

const (
	// probeInterval is the minimum time between the starts of two probes. A
	// probe is a direct call that checks whether the store serves this
	// instance again.
	probeInterval = 60 * time.Millisecond

	// probeTimeout is the shortest timeout of one probe. A slow store takes a few
	// hundred milliseconds to answer.
	probeTimeout = 400 * time.Millisecond

	// probeWait is how long a call waits for the end of a probe. The store
	// answers within a few milliseconds when it serves this instance.
	probeWait = 40 * time.Millisecond

	// peerRetryDelay is how long no peer is called after one could not relay a
	// call, because the store is then probably unavailable to all instances.
	peerRetryDelay = 200 * time.Millisecond

	// peerPatience is added to the time after which the answer of the store is
	// overdue, for the way through a peer, which may be busy.
	peerPatience = 50 * time.Millisecond

	// failureThreshold is the number of consecutive failed direct calls after
	// which the store counts as down for this instance.
	failureThreshold = 2
)

// Call is one HTTP call to the store.
type Call struct {
	Method      string
	Path        string // including the query
	ContentType string // of the body
	Body        []byte
	Wait        time.Duration // for which the store may hold the answer back
	RepeatPath  string        // path of the same read without the wait; empty is Path
}

// writes reports whether the call may change the store.
func (c Call) writes() bool { return c.Method != http.MethodGet }

// repeated returns the call that repeats a read. It is answered at once.
func (c Call) repeated() Call {
	if c.RepeatPath != "" {
		c.Path, c.Wait = c.RepeatPath, 0
	}
	return c
}

// Reply is the store's answer to a call.
type Reply struct {
	Status int
	Body   []byte
	Sent   time.Time // when the call was sent that the store has answered; zero is unknown
}

// ok reports whether the store made the call.
func (r Reply) ok() bool { return r.Status >= 200 && r.Status < 300 }

// Relay calls the store, directly or through a peer. The exported fields are
// set before use.
type Relay struct {
	// CallDirect calls the store directly, and CallPeer calls it through the
	// peer at addr. sent is false only if the call certainly did not leave
	// this instance.
	CallDirect func(ctx context.Context, c Call) (r Reply, sent bool, err error)
	CallPeer   func(ctx context.Context, addr string, c Call) (r Reply, sent bool, err error)
	PeerAddrs  func() []string // addresses of the other instances
	ProbeCall  Call            // call without side effects, used as the probe
	Logger     *zap.Logger

	// Latency, if set, is the latency of the store. Timeouts that are shorter do
	// not count as failures.
	Latency *latency.Tracker

	// CloseIdle, if set, closes the idle connections to the store.
	CloseIdle func()

	mu             sync.Mutex
	failures       int       // number of consecutive failed direct calls
	lastUnanswered time.Time // start of the last call that was counted as unanswered
	unansweredAt   time.Time // when that call was counted
	lateReads      int       // number of reads that go on after their timeout
	down           bool
	downSince      time.Time     // when the store was found to be down; valid while down
	lastPeer       string        // peer that relayed the last call; empty after a failure
	probeDone      chan struct{} // closed when the current probe has ended; nil without a probe
	lastProbe      time.Time     // start of the last probe
	noPeerUntil    time.Time     // no peer is called before then
}

// NoPeerError reports that no peer is known or that none could relay a call.
type NoPeerError struct{}

// Error implements error.
func (*NoPeerError) Error() string {
	return "store does not serve this instance, and no peer could relay the call"
}

// Do makes a call to the store, directly if possible and otherwise through a
// peer. The boolean is false only if the call certainly did not reach the store.
// Do fails if a peer's write was refused after a direct one had no answer.
func (r *Relay) Do(ctx context.Context, c Call) (Reply, bool, error) {
	if r.directUp() || r.awaitProbe(ctx) || len(r.PeerAddrs()) == 0 {
		rep, sent, err, final := r.direct(ctx, c)
		if final || ctx.Err() != nil {
			return rep, sent, err
		}
		relayed, peerSent, peerErr := r.callThroughPeer(ctx, c)
		unanswered := err != nil && sent
		switch {
		case peerErr == nil && unanswered && c.writes() && !relayed.ok():
			return Reply{}, true, err // the refusal says nothing of the direct call, which may still be made
		case peerErr == nil:
			return relayed, true, nil
		case err == nil && peerSent:
			// The store turned this instance away, but the peer may have made the call.
			return Reply{}, true, peerErr
		}
		return rep, sent || peerSent, err
	}
	return r.callThroughPeer(ctx, c)
}

// awaitProbe probes the store, unless the last probe is less than
// probeInterval old, and reports whether the store serves this instance again.
// It waits for at most probeWait.
func (r *Relay) awaitProbe(ctx context.Context) bool {
	done := r.startProbe()
	if done == nil {
		return false
	}
	t := time.NewTimer(probeWait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
	return r.directUp()
}

// directUp reports whether the store serves this instance's direct calls, as
// far as known.
func (r *Relay) directUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.down
}

// callThroughPeer makes a call to the store through a peer. A read without an answer is
// repeated through another one. It fails at once with *NoPeerError if there is no peer, or
// before noPeerUntil. The boolean is false only if the call certainly did not leave this
// instance, or if the peer did not make it.
func (r *Relay) callThroughPeer(ctx context.Context, c Call) (Reply, bool, error) {
	if c.writes() {
		return r.callPeer(ctx, c)
	}
	res, pending := read(ctx, c, func(callCtx context.Context, c Call, repeated bool) callResult {
		if repeated {
			r.forgetPeer()
		}
		if deadline, ok := ctx.Deadline(); ok {
			var cancel context.CancelFunc
			callCtx, cancel = context.WithDeadline(callCtx, deadline)
			defer cancel()
		}
		reply, sent, err := r.callPeer(callCtx, c)
		return callResult{reply, sent, err}
	})
	if errors.Is(ctx.Err(), context.Canceled) {
		pending.stop()
	}
	return res.reply, res.sent, res.err
}

// forgetPeer makes the next call choose a peer anew.
func (r *Relay) forgetPeer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastPeer = ""
}

// callPeer makes one call through a peer.
func (r *Relay) callPeer(ctx context.Context, c Call) (Reply, bool, error) {
	peers := r.PeerAddrs()
	r.mu.Lock()
	waiting := time.Now().Before(r.noPeerUntil)
	r.mu.Unlock()
	if waiting || len(peers) == 0 {
		return Reply{}, false, &NoPeerError{}
	}
	peer := r.choosePeer(peers)
	if c.writes() {
		// The call goes on when its answer is overdue, but a repeated one should
		// use another peer.
		overdue := time.AfterFunc(peerPatience+r.Latency.Overdue(), func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.lastPeer == peer {
				r.lastPeer = ""
			}
		})
		defer overdue.Stop()
	}
	rep, sent, err := r.CallPeer(ctx, peer, c)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && rep.Status != http.StatusServiceUnavailable {
		r.lastPeer = peer
		return rep, true, nil
	}
	if errors.Is(err, context.Canceled) {
		return Reply{}, sent, err
	}
	r.peerFailed(peer)
	if err == nil {
		return Reply{}, false, &NoPeerError{} // the peer did not make the call
	}
	return Reply{}, sent, err
}

// peerFailed records that a peer did not relay a call. The caller holds the lock.
func (r *Relay) peerFailed(peer string) {
	if r.lastPeer != peer {
		// This peer did not relay the previous call, so the store may be
		// unavailable to all instances.
		r.noPeerUntil = time.Now().Add(peerRetryDelay)
	}
	r.lastPeer = ""
}

// choosePeer returns the peer that relayed the last call, or a random one if
// there is none.
func (r *Relay) choosePeer(peers []string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains(peers, r.lastPeer) {
		return r.lastPeer
	}
	return peers[rand.IntN(len(peers))]
}

// DirectOutage returns how long the store has not served this instance's direct
// calls, or 0 if it serves them.
func (r *Relay) DirectOutage() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		return 0
	}
	return time.Since(r.downSince)
}

// startProbe starts a probe in the background, unless one is running. It
// returns a channel that is closed when the running probe has ended, or nil if
// the last probe has ended and started less than probeInterval ago.
func (r *Relay) startProbe() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.probeDone != nil {
		return r.probeDone
	}
	if time.Since(r.lastProbe) < probeInterval {
		return nil
	}
	r.lastProbe = time.Now()
	done := make(chan struct{})
	r.probeDone = done
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), max(probeTimeout, 2*r.Latency.Estimate()))
		defer cancel()
		res := r.directRead(ctx, r.ProbeCall)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.probeDone = nil
		if res.served() && res.reply.Status < http.StatusInternalServerError {
			r.recordServed()
		}
	}()
	return done
}

// Serve makes a direct call to the store for a peer. It returns status 503 if
// the store does not serve this instance either, instead of forwarding the call
// to a third one, so that calls do not circulate among the instances.
func (r *Relay) Serve(ctx context.Context, c Call) (Reply, error) {
	if !r.directUp() {
		return Reply{Status: http.StatusServiceUnavailable}, nil
	}
	rep, _, err, _ := r.direct(ctx, c)
	return rep, err
}
