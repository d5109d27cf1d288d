package instance

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/admission"
	"jasminelane.example/lane/internal/fleet/contention"
	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/intake"
	"jasminelane.example/lane/internal/fleet/latency"
	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/policy"
	"jasminelane.example/lane/metric"
)

const (
	// balancerDelay is how long an instance may still get new connections after
	// it has reported that it is not ready: two of the load balancer's probes,
	// one second apart, plus a margin.
	balancerDelay = 2500 * time.Millisecond

	// exitReserve is the part of the shutdown grace period that is kept for the
	// exit of the process after the drain.
	exitReserve = 700 * time.Millisecond

	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
)

// MaxHeaderBytes is the limit for the header of a request, whatever the
// configuration allows.
const MaxHeaderBytes = 16 << 10

// Settings describes the deployment of an instance.
type Settings struct {
	Node          string        // name of the instance
	Domain        string        // failure domain
	CallerAddr    string        // listen address for callers
	ReadyAddr     string        // listen address for the load balancer's probes
	MetricsAddr   string        // listen address for metrics; empty serves none
	PeerAddr      string        // listen address for other instances; empty serves none
	MemoryLimit   int64         // bytes; 0 is no limit
	MaxFiles      int           // file descriptors that the process may have open; 0 is unknown
	CPUs          float64       // processor time in CPUs, may be a fraction; 0 is unknown
	LinkRate      int64         // capacity of the instance's network link in bytes per second; 0 is unknown
	ShutdownGrace time.Duration // time from the stop signal until the process must have exited
	PlanPause     time.Duration // shortest pause between two planning rounds; 0 is the leader's default
	Sharing       bool          // keep tasks apart that slow each other down, see leader.Leader
	Bounds        leader.Bounds
	MaxConfigAge  time.Duration // see intake.Intake
	RecordBytes   int           // size of the largest record that the log accepts; 0 is unknown
	WorkerHealth  bool          // the leader uses what it learns of workers over all jobs
}

// NotReadyError reports why an instance accepts no new callers.
type NotReadyError struct {
	Cause string
}

// Error implements error.
func (e *NotReadyError) Error() string { return "not ready: " + e.Cause }

// ListenError reports that the instance cannot listen on an address.
type ListenError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Addr, e.Err) }

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Err }

// Instance is one incarnation of an instance, from the start of the process to
// its end. The exported fields are set before Run, except those that Init sets.
// The function fields give access to the platform.
type Instance struct {
	Settings Settings
	Logger   *zap.Logger
	Metrics  *metric.Set

	Append        func(ctx context.Context, b feed.Batch) (uint64, error)
	Read          func(ctx context.Context, from uint64, wait time.Duration) (feed.Page, error)
	LoadSnapshot  func(ctx context.Context) ([]byte, error)    // see feed.Feed
	SaveSnapshot  func(ctx context.Context, data []byte) error // see feed.Feed
	WorkerClient  leader.WorkerClient
	Machines      func(ctx context.Context) ([]leader.Machine, error) // nil if the platform has no list of machines
	WatchConfig   func(ctx context.Context, current *policy.Current, log *zap.Logger)
	WatchWorkers  func(ctx context.Context, log *zap.Logger, update func([]leader.WorkerEntry))
	CallerHandler func(n *Instance) http.Handler // serves callers
	ReadyHandler  func(n *Instance) http.Handler // serves the load balancer's probes
	PeerHandler   func(n *Instance) http.Handler // serves other instances
	// Forward sends a record to the leader at the address; see feed.Feed. It may be nil.
	Forward func(ctx context.Context, addr string, record []byte) error
	Latency *latency.Tracker // of the store; Init sets it if it is nil
	// DirectOutage returns how long the store has not served this instance's
	// direct calls. If it is nil, the store counts as always available.
	DirectOutage func() time.Duration

	// OnLeading, if set, is called when the instance begins or ceases to lead.
	OnLeading func(leading bool)

	// Set by Init.
	Feed      *feed.Feed
	Policy    *policy.Current
	Intake    *intake.Intake
	Admission *admission.Admission

	leader    atomic.Pointer[leader.Leader]
	sightings leader.Sightings // guarded by the lock of Feed
	draining  atomic.Bool
}

const (
	// minLeaderCPUs is the processor time, in CPUs, that a leader of a few
	// hundred workers needs. Instances with less claim leadership later, so
	// that instances with more become leader if there are any.
	minLeaderCPUs = 0.3

	// smallClaimDelay is the claim delay of an instance with less than
	// minLeaderCPUs. It is longer than one long poll of the log, because all
	// instances check for a leader when their poll ends.
	smallClaimDelay = 700 * time.Millisecond
)

// claimDelay returns how much later than others the instance claims
// leadership.
func (s *Settings) claimDelay() time.Duration {
	if s.CPUs > 0 && s.CPUs < minLeaderCPUs {
		return smallClaimDelay
	}
	return 0
}

// Init creates the feed, the policy and the intake. It is called once, before
// Run.
func (n *Instance) Init() {
	incarnation := strconv.FormatInt(time.Now().UnixNano(), 36)
	n.Policy = &policy.Current{}
	n.sightings = make(leader.Sightings)
	if n.Latency == nil {
		n.Latency = &latency.Tracker{}
	}
	n.Feed = &feed.Feed{
		Instance: n.Settings.Node, Incarnation: incarnation, Append: n.Append, Read: n.Read, Logger: n.Logger,
		LoadSnapshot: n.LoadSnapshot, SaveSnapshot: n.SaveSnapshot, Retention: n.Settings.Bounds.Retention, Latency: n.Latency, Forward: n.Forward, MaxRecordBytes: n.Settings.RecordBytes,
		ClaimDelay: n.Settings.claimDelay(), OnLead: n.startLeader, OnApply: n.recordApplied,
	}
	n.Intake = &intake.Intake{Feed: n.Feed, Policy: n.Policy, Node: n.Settings.Node, Logger: n.Logger, MaxConfigAge: n.Settings.MaxConfigAge}
	n.Admission = admission.New(admission.NewLimits(n.Settings.MemoryLimit, n.Settings.MaxFiles), n.Logger, n.Metrics)
	if n.Metrics != nil {
		n.Metrics.AddGauge("feed", func() any { return n.Feed.Status() })
		n.Metrics.AddGauge("storelatencyms", func() any { return n.Latency.Estimate().Milliseconds() })
		n.Metrics.AddGauge("appends", func() any { return n.Feed.AppendCounts() })
		n.Metrics.AddGauge("config", func() any { return n.Policy.Status() })
		if n.Settings.Sharing {
			n.Metrics.AddGauge("contention", n.contentionStatus)
		}
		n.Metrics.AddGauge("health", func() any { return n.healthStatus() })
	}
}

// startLeader starts the leader of an epoch. The feed calls it with its lock
// held.
func (n *Instance) startLeader(ctx context.Context, epoch uint64, s *ledger.State) {
	l := &leader.Leader{
		Epoch:        epoch,
		Feed:         n.Feed,
		Policy:       n.Policy,
		Client:       n.WorkerClient,
		Bounds:       n.Settings.Bounds,
		LinkRate:     n.Settings.LinkRate,
		PlanPause:    n.Settings.PlanPause,
		Logger:       n.Logger,
		Metrics:      n.Metrics,
		Machines:     n.Machines,
		Sightings:    maps.Clone(n.sightings),
		Sharing:      n.Settings.Sharing,
		WorkerHealth: n.Settings.WorkerHealth,
	}
	l.Init(ctx, s, nil)
	n.leader.Store(l)
	if n.OnLeading != nil {
		go n.followLeadership(ctx)
	}
	go l.Run()
	go n.WatchWorkers(ctx, n.Logger, l.UpdateWorkers)
}

// healthStatus returns what this instance knows of workers while it leads.
func (n *Instance) healthStatus() leader.HealthStatus {
	if l := n.leader.Load(); l != nil && n.Feed.Leading() {
		return l.Health()
	}
	return leader.HealthStatus{}
}

// followLeadership calls OnLeading at the begin and at the end of an epoch that
// this instance leads.
func (n *Instance) followLeadership(ctx context.Context) {
	n.OnLeading(true)
	<-ctx.Done()
	n.OnLeading(n.Feed.Leading())
}

// contentionStatus returns what is known of tasks that slow each other down. It is
// empty on an instance that does not lead.
func (n *Instance) contentionStatus() any {
	if l := n.leader.Load(); l != nil && n.Feed.Leading() {
		return l.ContentionStatus()
	}
	return contention.Status{}
}

// recordApplied tells the leader that a record was applied to the replicated
// state, and whether it was effective. The feed calls it with its lock held.
func (n *Instance) recordApplied(s *ledger.State, r ledger.Record, effective bool) {
	if r.Start != nil {
		n.sightings.Add(r.Start, time.Now())
	}
	if l := n.leader.Load(); l != nil {
		l.RecordApplied(s, r, effective)
	}
}

// Draining reports whether the instance is shutting down.
func (n *Instance) Draining() bool { return n.draining.Load() }

// CheckReady returns nil if the instance accepts new callers, and
// *NotReadyError otherwise.
func (n *Instance) CheckReady() error {
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
	case n.Intake.ConfigOutdated():
		return &NotReadyError{"configuration may be outdated"}
	}
	return nil
}

// Run serves until the stop channel is closed and the instance has drained, or
// until one of its components fails. It returns nil after a drain.
func (n *Instance) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	g.Add(func() error { n.Latency.WatchPauses(ctx); return ctx.Err() }, func(error) { cancel() })
	g.Add(func() error { return n.Feed.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { n.WatchConfig(ctx, n.Policy, n.Logger); return ctx.Err() }, func(error) { cancel() })
	callers, err := n.listen(ctx, &g, admission.Callers, n.Settings.CallerAddr, n.CallerHandler(n))
	if err != nil {
		return err
	}
	if _, err := n.listen(ctx, &g, admission.Ready, n.Settings.ReadyAddr, n.ReadyHandler(n)); err != nil {
		return err
	}
	if n.Settings.MetricsAddr != "" {
		mux := http.NewServeMux()
		mux.Handle("/metrics", n.Metrics)
		if _, err := n.listen(ctx, &g, admission.Metrics, n.Settings.MetricsAddr, mux); err != nil {
			n.Logger.Warn("cannot listen on the metrics address; metrics are not served", zap.Error(err))
		}
	}
	if n.Settings.PeerAddr != "" && n.PeerHandler != nil {
		if _, err := n.listen(ctx, &g, admission.Peers, n.Settings.PeerAddr, n.PeerHandler(n)); err != nil {
			n.Logger.Warn("cannot listen on the peer address; calls of other instances are not served", zap.Error(err))
		} else {
			g.Add(func() error { return n.announceAddr(ctx) }, func(error) { cancel() })
		}
	}
	g.Add(func() error { return n.yieldLoop(ctx) }, func(error) { cancel() })
	done := make(chan struct{})
	g.Add(func() error { return n.drainOnStop(stop, done, callers) }, func(error) { close(done) })
	n.Logger.Info("started", zap.String("node", n.Settings.Node), zap.String("domain", n.Settings.Domain), zap.String("boot", n.Feed.Incarnation), zap.String("callers", n.Settings.CallerAddr))
	err = g.Run()
	n.Logger.Info("stopped", zap.Error(err))
	var drained *DrainedError
	if errors.As(err, &drained) {
		return nil
	}
	return err
}

const (
	// yieldInterval is the time between two checks of whether the leader should
	// hand over its leadership.
	yieldInterval = 200 * time.Millisecond

	// maxDirectOutage is how long a leader may reach the store only through
	// peers. After that another instance should lead, because its direct
	// appends are faster.
	maxDirectOutage = 700 * time.Millisecond

	// yieldPause is how long an instance claims no leadership after it has
	// handed it over for this reason.
	yieldPause = 5 * time.Second
)

// yieldLoop hands over the leadership when the store does not serve this
// instance but serves others.
func (n *Instance) yieldLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.For(ctx, yieldInterval)
		n.yieldIfRelayed()
	}
	return ctx.Err()
}

// yieldIfRelayed hands over the leadership if this instance leads, can read the
// log and has reached the store only through peers for at least
// maxDirectOutage.
func (n *Instance) yieldIfRelayed() {
	if n.DirectOutage == nil || n.DirectOutage() < maxDirectOutage || n.Feed.LogDown() || !n.Feed.Leading() {
		return
	}
	epoch := n.Feed.Status().Epoch
	if n.Feed.Yield(epoch, yieldPause) {
		n.Logger.Info("store reachable only through peers; handing over leadership", zap.Uint64("epoch", epoch), zap.Duration("away", n.DirectOutage()))
	}
}

// PeerAddrs returns the addresses of the other instances.
func (n *Instance) PeerAddrs() []string {
	var addrs []string
	n.Feed.View(func(s *ledger.State) {
		for node, addr := range s.Peers {
			if node != n.Settings.Node {
				addrs = append(addrs, addr)
			}
		}
	})
	return addrs
}

// DrainedError ends the run group after a graceful shutdown. Run does not
// return it.
type DrainedError struct{}

// Error implements error.
func (*DrainedError) Error() string { return "drained" }

// listen adds an HTTP server on the address to the run group.
func (n *Instance) listen(ctx context.Context, g *run.Group, c admission.Class, addr string, h http.Handler) (*http.Server, error) {
	ln, err := n.Admission.Listen(ctx, addr, c)
	if err != nil {
		return nil, &ListenError{addr, err}
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: MaxHeaderBytes}
	ln.Attach(srv)
	g.Add(func() error {
		err := srv.Serve(ln)
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done() // the run group ends only when the drain has ended
		}
		return err
	}, func(error) { srv.Close() })
	return srv, nil
}
