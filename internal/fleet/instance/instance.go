package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/intake"
	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/policy"
	"jasminelane.example/lane/metric"
)

const (
	// balancerDelay is how long after it called itself not ready an instance
	// may still get new connections: two probes a second apart, and a margin.
	balancerDelay = 2500 * time.Millisecond

	// exitReserve is the part of the grace in which the process ends.
	exitReserve = 700 * time.Millisecond

	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	headerBytes   = 16 << 10
)

// Settings are what an instance needs to know of its deployment.
type Settings struct {
	Node    string
	Domain  string  // failure domain
	Callers string  // address for callers
	Ready   string  // address for the balancer's probes
	Metrics string  // address for metrics; empty serves none
	Peers   string  // address for other instances; empty serves none
	Memory  int64   // bytes; 0 is no limit
	Share   float64 // of a processor; 0 is unknown
	Link    int64   // bytes a second that the instance's link carries; 0 is unknown
	Grace   time.Duration
	Bounds  leader.Bounds
}

// NotReadyError reports why an instance takes no new callers.
type NotReadyError struct {
	Cause string
}

// Error names the cause.
func (e *NotReadyError) Error() string { return "not ready: " + e.Cause }

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Addr string
	Err  error
}

// Error names the address.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Instance is one incarnation of an entry instance. The exported fields are set
// before Run; the function fields are the platform's side.
type Instance struct {
	Settings Settings
	Logger   *zap.Logger
	Metrics  *metric.Set

	Append       func(ctx context.Context, b feed.Batch) (uint64, error)
	Read         func(ctx context.Context, from uint64, wait time.Duration) (feed.Page, error)
	Orders       leader.Orders
	Machines     func(ctx context.Context) ([]leader.Machine, error) // nil if the platform has no list
	WatchConfig  func(ctx context.Context, current *policy.Current, log *zap.Logger)
	WatchWorkers func(ctx context.Context, log *zap.Logger, enlist func([]leader.Entry))
	CallersOn    func(n *Instance) http.Handler // the callers' interface
	ReadyOn      func(n *Instance) http.Handler // the balancer's probe
	PeersOn      func(n *Instance) http.Handler // other instances' calls
	Away         func() time.Duration           // how long the store has turned this instance away; nil is never

	Feed   *feed.Feed
	Policy *policy.Current
	Intake *intake.Intake

	leading  atomic.Pointer[leader.Leader]
	draining atomic.Bool
}

const (
	// leaderShare is the part of a processor that a leader of some hundred
	// workers needs; instances with less leave the leadership to others.
	leaderShare = 0.3

	// smallHandicap is how much later they claim it: longer than one long poll
	// of the log, after which all look at the same time.
	smallHandicap = 700 * time.Millisecond
)

// handicap returns how much later than others the instance claims.
func (s *Settings) handicap() time.Duration {
	if s.Share > 0 && s.Share < leaderShare {
		return smallHandicap
	}
	return 0
}

// Wire makes the parts from the settings.
func (n *Instance) Wire() {
	boot := strconv.FormatInt(time.Now().UnixNano(), 36)
	n.Policy = &policy.Current{}
	n.Feed = &feed.Feed{
		Instance: n.Settings.Node, Incarnation: boot, Append: n.Append, Read: n.Read, Logger: n.Logger,
		ClaimDelay: n.Settings.handicap(), OnLead: n.lead, OnApply: n.applied,
	}
	n.Intake = &intake.Intake{Feed: n.Feed, Policy: n.Policy, Node: n.Settings.Node, Logger: n.Logger}
	if n.Metrics != nil {
		n.Metrics.Gauge("feed", func() any { return n.Feed.Status() })
	}
}

// lead starts what the leader of an epoch does; the feed's lock is held.
func (n *Instance) lead(ctx context.Context, epoch uint64, s *ledger.State) {
	l := &leader.Leader{Epoch: epoch, Feed: n.Feed, Policy: n.Policy, Orders: n.Orders, Bounds: n.Settings.Bounds, Link: n.Settings.Link, Logger: n.Logger, Machines: n.Machines}
	l.Init(ctx, s, nil)
	n.leading.Store(l)
	go l.Run()
	go n.WatchWorkers(ctx, n.Logger, l.Enlist)
}

// applied passes folded records on to the leader; the feed's lock is held.
func (n *Instance) applied(s *ledger.State, r ledger.Record, took bool) {
	if l := n.leading.Load(); l != nil {
		l.Applied(s, r, took)
	}
}

// Draining reports whether the instance is shutting down.
func (n *Instance) Draining() bool { return n.draining.Load() }

// ReadyState returns nil when the instance should get new callers, and
// *NotReadyError otherwise.
func (n *Instance) ReadyState() error {
	st := n.Feed.Status()
	switch {
	case n.Draining():
		return &NotReadyError{"draining"}
	case n.Policy.Get() == nil:
		return &NotReadyError{"no configuration"}
	case !st.CaughtUp:
		return &NotReadyError{"log not read"}
	case !st.Fresh():
		return &NotReadyError{"log unavailable"}
	}
	return nil
}

// Run serves until the stop channel is closed and the instance has drained, or
// a part fails.
func (n *Instance) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	g.Add(func() error { return n.Feed.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { n.WatchConfig(ctx, n.Policy, n.Logger); return ctx.Err() }, func(error) { cancel() })
	callers, err := n.listen(ctx, &g, n.Settings.Callers, n.CallersOn(n))
	if err != nil {
		return err
	}
	if _, err := n.listen(ctx, &g, n.Settings.Ready, n.ReadyOn(n)); err != nil {
		return err
	}
	if n.Settings.Metrics != "" {
		mux := http.NewServeMux()
		mux.Handle("/metrics", n.Metrics)
		if _, err := n.listen(ctx, &g, n.Settings.Metrics, mux); err != nil {
			n.Logger.Warn("metrics not served", zap.Error(err))
		}
	}
	if n.Settings.Peers != "" && n.PeersOn != nil {
		if _, err := n.listen(ctx, &g, n.Settings.Peers, n.PeersOn(n)); err != nil {
			n.Logger.Warn("peers not served", zap.Error(err))
		} else {
			g.Add(func() error { return n.announce(ctx) }, func(error) { cancel() })
		}
	}
	g.Add(func() error { return n.yieldLoop(ctx) }, func(error) { cancel() })
	done := make(chan struct{})
	g.Add(func() error { return n.drainOn(stop, done, callers) }, func(error) { close(done) })
	n.Logger.Info("started", zap.String("node", n.Settings.Node), zap.String("domain", n.Settings.Domain), zap.String("boot", n.Feed.Incarnation), zap.String("callers", n.Settings.Callers))
	err = g.Run()
	n.Logger.Info("stopped", zap.Error(err))
	var drained *DrainedError
	if errors.As(err, &drained) {
		return nil
	}
	return err
}

// announcePeriod separates the looks at whether the log still tells where this
// instance is.
const announcePeriod = time.Second

// announce tells other instances where to reach this one, again before the
// log's retention ends.
func (n *Instance) announce(ctx context.Context) error {
	var written time.Time
	for ctx.Err() == nil {
		if n.Feed.Status().Fresh() && time.Since(written) > n.Settings.Bounds.Retention/3 {
			r := ledger.Record{Join: &ledger.Join{Instance: n.Settings.Node, Addr: n.Settings.Peers}}
			if err := n.Feed.Write(ctx, r); err != nil {
				n.Logger.Info("not announced", zap.Error(err))
			} else {
				written = time.Now()
			}
		}
		select {
		case <-time.After(announcePeriod):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

const (
	yieldPeriod = 200 * time.Millisecond

	// awayGrace is how long a leader may reach the store only through peers
	// before another instance should lead, whose appends are quicker.
	awayGrace = 700 * time.Millisecond

	// awayPause is how long it then leaves the leadership to others.
	awayPause = 5 * time.Second
)

// yieldLoop hands the leadership over while the store turns this instance away
// and serves others.
func (n *Instance) yieldLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.For(ctx, yieldPeriod)
		n.yieldIfAway()
	}
	return ctx.Err()
}

func (n *Instance) yieldIfAway() {
	if n.Away == nil || n.Away() < awayGrace || n.Feed.LogDown() || !n.Feed.Leading() {
		return
	}
	epoch := n.Feed.Status().Epoch
	if n.Feed.Yield(epoch, awayPause) {
		n.Logger.Info("store reached through peers only, leadership handed over", zap.Uint64("epoch", epoch), zap.Duration("away", n.Away()))
	}
}

// Others returns the addresses of the other instances.
func (n *Instance) Others() []string {
	var out []string
	n.Feed.View(func(s *ledger.State) {
		for node, addr := range s.Peers {
			if node != n.Settings.Node {
				out = append(out, addr)
			}
		}
	})
	return out
}

// DrainedError ends the instance after a graceful shutdown.
type DrainedError struct{}

// Error says that the instance has drained.
func (*DrainedError) Error() string { return "drained" }

func (n *Instance) listen(ctx context.Context, g *run.Group, addr string, h http.Handler) (*http.Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &ListenError{addr, err}
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes}
	g.Add(func() error {
		err := srv.Serve(ln)
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done() // the end of the drain ends the group
		}
		return err
	}, func(error) { srv.Close() })
	return srv, nil
}

// drainOn waits for the stop and shuts down: the leadership is handed over and
// the balancer told, callers in the meantime are served, and the process ends
// within the grace.
func (n *Instance) drainOn(stop <-chan struct{}, done <-chan struct{}, callers *http.Server) error {
	select {
	case <-stop:
	case <-done:
		return nil
	}
	began := time.Now()
	n.draining.Store(true)
	n.Logger.Info("draining", zap.Bool("leading", n.Feed.Leading()))
	ctx, cancel := context.WithTimeout(context.Background(), n.Settings.Grace-exitReserve)
	defer cancel()
	go n.Feed.Retire(ctx)
	t := time.NewTimer(min(balancerDelay, n.Settings.Grace/2))
	defer t.Stop()
	select {
	case <-t.C:
	case <-done:
		return nil
	}
	err := callers.Shutdown(ctx)
	n.Logger.Info("drained", zap.Duration("took", time.Since(began)), zap.Error(err))
	return &DrainedError{}
}
