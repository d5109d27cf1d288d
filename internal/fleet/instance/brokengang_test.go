package instance

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// maxIdle is how long a job may have nothing running while there is room for it.
	maxIdle = 3 * time.Second

	// maxIdleAfterCrash is how long a run may be possible on a worker that does not
	// answer: until its lease has ended.
	maxIdleAfterCrash = 7 * time.Second

	// maxIdleAfterLateStart is the same if a start request without an answer may
	// still be carried out by the worker's next incarnation.
	maxIdleAfterLateStart = 23 * time.Second

	// cutTime is how long a worker is cut off.
	cutTime = 4 * time.Second

	// maxIdleAfterElection is how long the election of a leader and what it finds out
	// about workers that it can ask may take.
	maxIdleAfterElection = maxIdle + 2*time.Second

	// maxIdleAfterDeparture is how long it may take to elect a leader which finds out
	// that a worker has left that it has never reached.
	maxIdleAfterDeparture = 6 * time.Second

	// maxIdleAfterRestart is the same if no instance remembers the worker from before.
	maxIdleAfterRestart = 7 * time.Second
)

// requestHooks replace or delay the requests of all instances to the workers. A
// nil hook changes nothing.
type requestHooks struct {
	mu    sync.Mutex
	start func(t leader.Target, req leader.StartRequest, send func() error) error
	stop  func(t leader.Target, req leader.StopRequest, send func() error) error
	sync  func(ctx context.Context, t leader.Target, send func() (leader.Report, error)) (leader.Report, error)

	entries []leader.WorkerEntry // the list of workers; nil for the present one
}

// set changes the hooks.
func (h *requestHooks) set(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// wrap applies the hooks to the requests of an instance.
func (h *requestHooks) wrap(n *Instance) {
	client, watch := n.WorkerClient, n.WatchWorkers
	n.WatchWorkers = func(ctx context.Context, log *zap.Logger, update func([]leader.WorkerEntry)) {
		watch(ctx, log, func(entries []leader.WorkerEntry) {
			h.mu.Lock()
			if h.entries != nil {
				entries = h.entries
			}
			h.mu.Unlock()
			update(entries)
		})
	}
	n.WorkerClient = leader.WorkerClient{
		Start: func(ctx context.Context, t leader.Target, req leader.StartRequest) error {
			h.mu.Lock()
			hook := h.start
			h.mu.Unlock()
			send := func() error { return client.Start(ctx, t, req) }
			if hook == nil {
				return send()
			}
			return hook(t, req, send)
		},
		Stop: func(ctx context.Context, t leader.Target, req leader.StopRequest) error {
			h.mu.Lock()
			hook := h.stop
			h.mu.Unlock()
			send := func() error { return client.Stop(ctx, t, req) }
			if hook == nil {
				return send()
			}
			return hook(t, req, send)
		},
		Sync: func(ctx context.Context, t leader.Target, req leader.SyncRequest) (leader.Report, error) {
			h.mu.Lock()
			hook := h.sync
			h.mu.Unlock()
			send := func() (leader.Report, error) { return client.Sync(ctx, t, req) }
			if hook == nil {
				return send()
			}
			return hook(ctx, t, send)
		},
	}
}

// replaceLeader kills the leader and starts its instance again when another one leads.
func (c *cluster) replaceLeader() {
	n := c.leader()
	c.kill(n)
	time.AfterFunc(5*time.Second, func() { c.start(n) })
}

// idleTimes measures how long a job has nothing running between two of its runs.
type idleTimes struct {
	longest time.Duration
}

// watch samples the workers until the context ends.
func (m *idleTimes) watch(ctx context.Context, c *cluster, id string) {
	var lastRun time.Time
	for ctx.Err() == nil {
		if c.workers.RunningTasks(id) > 0 {
			if !lastRun.IsZero() {
				m.longest = max(m.longest, time.Since(lastRun))
			}
			lastRun = time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

var (
	errLost = &leader.NoAnswerError{Err: errors.New("no answer")}
	errBusy = &leader.RefusedError{Reason: leader.RefusedUnhealthy}
)

// firstStarts returns a hook that answers the first attempts to start the member
// of the first run by f, which gets the number of the attempt, and passes on all
// others. f returns false to pass an attempt on as well.
func firstStarts(member int, f func(try int, t leader.Target, send func() error) (error, bool)) func(leader.Target, leader.StartRequest, func() error) error {
	var mu sync.Mutex
	tries := 0
	return func(t leader.Target, req leader.StartRequest, send func() error) error {
		if req.Task.Index != member || req.Run != 1 {
			return send()
		}
		mu.Lock()
		tries++
		try := tries
		mu.Unlock()
		if err, ok := f(try, t, send); ok {
			return err
		}
		return send()
	}
}

// Guards against a gang that stands still although it is proven, or could be, that none of its members runs any more.
func TestBrokenGangStartsAgain(t *testing.T) {
	type breaker struct {
		*cluster
		hooks *requestHooks
	}
	fail := func(b *breaker) { b.workers.FailRun(b.workers.Hosts("a")[3]) }
	tests := []struct {
		name   string
		before func(b *breaker) // before the job is submitted
		during func(b *breaker) // while it runs
		limit  time.Duration
	}{
		{"a member fails", nil, fail, maxIdle},
		{"a start is refused", func(b *breaker) {
			b.hooks.start = firstStarts(5, func(int, leader.Target, func() error) (error, bool) { return errBusy, true })
		}, nil, maxIdle},
		{"a start is refused late", func(b *breaker) {
			b.hooks.start = firstStarts(5, func(int, leader.Target, func() error) (error, bool) {
				time.Sleep(300 * time.Millisecond)
				return errBusy, true
			})
		}, nil, maxIdle},
		{"a start is lost, then refused", func(b *breaker) {
			b.hooks.start = firstStarts(5, func(try int, _ leader.Target, _ func() error) (error, bool) {
				if try > 1 {
					return errBusy, true
				}
				time.Sleep(400 * time.Millisecond)
				return errLost, true
			})
		}, nil, maxIdle},
		{"no start of a member is answered", func(b *breaker) {
			b.hooks.start = firstStarts(5, func(try int, _ leader.Target, _ func() error) (error, bool) {
				time.Sleep(400 * time.Millisecond)
				return errLost, true
			})
		}, nil, maxIdle},
		{"a stop overtakes a start", func(b *breaker) {
			busy := firstStarts(5, func(int, leader.Target, func() error) (error, bool) { return errBusy, true })
			b.hooks.start = func(t leader.Target, req leader.StartRequest, send func() error) error {
				if req.Run == 1 && req.Task.Index%4 == 0 {
					time.Sleep(200 * time.Millisecond)
				}
				return busy(t, req, send)
			}
		}, nil, maxIdle},
		{"stops are refused for a while", nil, func(b *breaker) {
			until := time.Now().Add(time.Second)
			b.hooks.set(func() {
				b.hooks.stop = func(_ leader.Target, _ leader.StopRequest, send func() error) error {
					if time.Now().Before(until) {
						return errBusy
					}
					return send()
				}
			})
			fail(b)
		}, maxIdle},
		{"stops are not answered for a while", nil, func(b *breaker) {
			until := time.Now().Add(time.Second)
			b.hooks.set(func() {
				b.hooks.stop = func(_ leader.Target, _ leader.StopRequest, send func() error) error {
					if time.Now().Before(until) {
						time.Sleep(400 * time.Millisecond)
						return errLost
					}
					return send()
				}
			})
			fail(b)
		}, maxIdle},
		{"reports arrive late", nil, func(b *breaker) {
			b.hooks.set(func() {
				b.hooks.sync = func(_ context.Context, _ leader.Target, send func() (leader.Report, error)) (leader.Report, error) {
					rep, err := send()
					time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
					return rep, err
				}
			})
			fail(b)
		}, maxIdle},
		{"a worker crashes and is replaced", nil, func(b *breaker) { b.workers.Remove(b.workers.Hosts("a")[3]) }, maxIdle},
		{"a worker restarts", nil, func(b *breaker) {
			id := b.workers.Hosts("a")[3]
			b.workers.Crash(id)
			time.Sleep(time.Second)
			b.workers.Reboot(id)
		}, maxIdle},
		{"a worker crashes and stays", nil, func(b *breaker) { b.workers.Crash(b.workers.Hosts("a")[3]) }, maxIdleAfterCrash},
		{"a worker crashes under a start, and restarts", func(b *breaker) {
			b.hooks.start = firstStarts(5, func(try int, t leader.Target, send func() error) (error, bool) {
				if try > 1 {
					return nil, false
				}
				_ = send()
				b.workers.Crash(t.ID)
				time.AfterFunc(time.Second, func() { b.workers.Reboot(t.ID) })
				return errLost, true
			})
		}, nil, maxIdle},
		{"a worker crashes under a start without an answer, and stays", func(b *breaker) {
			b.hooks.start = firstStarts(5, func(try int, t leader.Target, send func() error) (error, bool) {
				if try > 1 {
					return nil, false
				}
				_ = send()
				b.workers.Crash(t.ID)
				return errLost, true
			})
		}, nil, maxIdleAfterLateStart},
		{"a worker is cut off while the gang breaks", nil, func(b *breaker) {
			id := b.workers.Hosts("a")[5]
			b.cutOff(id, "")
			fail(b)
			time.Sleep(cutTime)
			b.workers.ClearFaults()
		}, cutTime + maxIdle/2},
		{"a worker drains", nil, func(b *breaker) { b.workers.Drain(b.workers.Hosts("a")[3], 2*time.Second) }, maxIdle},
		{"the leader ends", nil, func(b *breaker) {
			fail(b)
			b.restart(b.leader())
		}, maxIdle},
		{"the leader ends and a worker is replaced", nil, func(b *breaker) {
			time.Sleep(4 * time.Second) // until the worker is certainly in the list of machines
			b.workers.Remove(b.workers.Hosts("a")[3])
			b.replaceLeader()
		}, maxIdleAfterDeparture},
		{"the leader ends and a worker is replaced whose entry stays", nil, func(b *breaker) {
			time.Sleep(4 * time.Second) // until the worker is certainly in the list of machines
			id := b.workers.Hosts("a")[3]
			b.hooks.set(func() { b.hooks.entries = b.workers.Entries() })
			b.workers.Remove(id)
			b.replaceLeader()
		}, maxIdleAfterElection},
		{"a worker is replaced while no instance runs", nil, func(b *breaker) {
			for _, n := range b.nodes {
				b.kill(n)
			}
			b.workers.Remove(b.workers.Hosts("a")[3])
			time.Sleep(time.Second)
			for _, n := range b.nodes {
				b.start(n)
			}
		}, maxIdleAfterRestart},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var idle idleTimes
			hooks := &requestHooks{}
			r := runClusterWith(t, 1, 3, 20, hooks.wrap, func(c *cluster) {
				b := &breaker{c, hooks}
				time.Sleep(8 * time.Second)
				if tt.before != nil {
					hooks.set(func() { tt.before(b) })
				}
				ctx, cancel := context.WithCancel(c.ctx)
				defer cancel()
				go idle.watch(ctx, c, "a")
				is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 32, GPU: 2, Estimate: 8000, Gang: true})))
				time.Sleep(2 * time.Second)
				if tt.during != nil {
					tt.during(b)
				}
				for range 400 {
					if c.workers.RunningTasks("a") == 0 && c.phase(c.nodes[0], "a").Final() {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				is.Equal(c.phase(c.nodes[0], "a"), ledger.Finished)
			})
			t.Logf("longest time with nothing running: %v", idle.longest)
			is.True(idle.longest < tt.limit)
			is.Equal(r.Violations, nil)
		})
	}
}
