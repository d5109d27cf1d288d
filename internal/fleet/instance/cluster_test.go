package instance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/fleettest"
	"jasminelane.example/lane/internal/fleet/intake"
	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
	"jasminelane.example/lane/internal/fleet/policy"
)

const service = "press"

// cluster is a set of instances with a simulated log and simulated workers in
// memory. It runs in a synctest bubble, where the clock advances only while all
// goroutines are blocked.
type cluster struct {
	t              *testing.T
	rnd            *rand.Rand
	log            *fleettest.Log
	workers        *fleettest.Workers
	rules          *fleettest.Checker
	nodes          []*node
	ctx            context.Context
	prepare        func(n *Instance) // called before the start of each incarnation
	lines          *logLines
	link           *slowLink // network link that all instances share; nil is unlimited
	minSnapshotLag int       // see feed.Feed

	mu          sync.Mutex
	evacuations []policy.Evacuation // all requests and withdrawals, oldest first
}

// logLines collects the log lines of all instances.
type logLines struct {
	core     zapcore.Core
	observed *observer.ObservedLogs
}

func newLogLines() *logLines {
	core, seen := observer.New(zap.InfoLevel)
	return &logLines{core, seen}
}

// about returns the messages about a job, oldest first, each prefixed by the
// name of the instance that logged it.
func (l *logLines) about(job string) []string {
	var out []string
	for _, e := range l.observed.All() {
		fields := e.ContextMap()
		id, _ := fields["job"].(string)
		unit, _ := fields["unit"].(string)
		if id == job || strings.HasPrefix(unit, job+".") {
			out = append(out, e.LoggerName+" "+e.Message)
		}
	}
	return out
}

// node is one instance across its restarts, with its simulated faults.
type node struct {
	name string

	mu      sync.Mutex
	current *Instance
	cancel  context.CancelFunc
	dead    chan struct{}
	frozen  chan struct{} // closed while the instance is not frozen
}

// instance returns the current incarnation.
func (n *node) instance() *Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.current
}

// isDead reports whether the current incarnation was killed.
func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.dead:
		return true
	default:
		return false
	}
}

// thawed returns a channel that is closed when the instance is not frozen.
func (n *node) thawed() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen
}

// runCluster runs f in a synctest bubble with a cluster of instances and
// workers. It returns the rules, with the promises that were broken.
func runCluster(t *testing.T, seed uint64, instances, workers int, f func(c *cluster)) *fleettest.Checker {
	return runClusterWith(t, seed, instances, workers, func(*Instance) {}, f)
}

// runClusterWith is like runCluster and calls prepare on each incarnation before
// its start.
func runClusterWith(t *testing.T, seed uint64, instances, workers int, prepare func(n *Instance), f func(c *cluster)) *fleettest.Checker {
	r := fleettest.NewChecker()
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		ctx, cancel := context.WithCancel(context.Background())
		c := &cluster{t: t, rnd: rnd, log: fleettest.NewLog(rand.New(rand.NewPCG(seed, 2))), rules: r, ctx: ctx, prepare: prepare, lines: newLogLines(), minSnapshotLag: 2 << 10}
		c.workers = fleettest.NewWorkers(rand.New(rand.NewPCG(seed, 3)), r)
		for i := range workers {
			c.workers.Add(&fleettest.Worker{
				ID: fmt.Sprintf("w%d", i), Service: service, Domain: fmt.Sprintf("d%d", i/4), Rack: fmt.Sprintf("r%d", i/4), ClockRate: 1 - 0.02*rnd.Float64(),
				Total: plan.Resources{CPU: 8000, Memory: 8000, GPU: 8},
			})
		}
		go c.workers.Run(ctx)
		for i := range instances {
			n := &node{name: fmt.Sprintf("e%d", i)}
			c.nodes = append(c.nodes, n)
			c.start(n)
		}
		defer func() {
			cancel()
			for _, n := range c.nodes {
				c.kill(n)
			}
			time.Sleep(time.Minute) // until the timers of pending requests have ended
		}()
		f(c)
	})
	return r
}

// start starts a new incarnation of the instance.
func (c *cluster) start(n *node) {
	ctx, cancel := context.WithCancel(c.ctx)
	dead := make(chan struct{})
	frozen := make(chan struct{})
	close(frozen)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancel, n.dead, n.frozen = cancel, dead, frozen
	// gate blocks the calls of a frozen instance until it is thawed, and those
	// of a killed instance until their context ends.
	gate := func(ctx context.Context) error {
		select {
		case <-n.thawed():
		case <-dead:
		}
		select {
		case <-dead:
			<-ctx.Done()
			return ctx.Err()
		default:
			return nil
		}
	}
	log := zap.New(c.lines.core).Named(n.name)
	if os.Getenv("LANE_TEST_LOG") != "" {
		log = zap.Must(zap.NewDevelopment()).Named(n.name)
	}
	n.current = &Instance{
		Settings: Settings{Node: n.name, Bounds: leader.Bounds{Lease: fleettest.MaxLease, Retention: 5 * time.Minute}},
		Logger:   log,
		Append: func(ctx context.Context, b feed.Batch) (uint64, error) {
			if err := gate(ctx); err != nil {
				return 0, &feed.RefusedError{Err: err}
			}
			o, err := c.log.Append(ctx, n.name, b)
			_ = gate(ctx)
			return o, err
		},
		Read: func(ctx context.Context, from uint64, wait time.Duration) (feed.Page, error) {
			if err := gate(ctx); err != nil {
				return feed.Page{}, &feed.ReadError{Err: err}
			}
			p, err := c.log.Read(ctx, n.name, from, wait)
			_ = gate(ctx)
			return p, err
		},
		SaveSnapshot: func(ctx context.Context, data []byte) error {
			if err := gate(ctx); err != nil {
				return err
			}
			return c.log.SaveSnapshot(ctx, n.name, data)
		},
		LoadSnapshot: func(ctx context.Context) ([]byte, error) {
			if err := gate(ctx); err != nil {
				return nil, err
			}
			return c.log.LoadSnapshot(ctx, n.name)
		},
		Forward: func(ctx context.Context, addr string, record []byte) error {
			to := c.node(addr) // each instance has its name as its address
			if gate(ctx) != nil || to == nil || to.isDead() {
				return &feed.RefusedError{Err: &feed.NotTakenError{}}
			}
			return to.instance().Feed.AppendForwarded(ctx, record)
		},
		WorkerClient: leader.WorkerClient{
			Start: func(ctx context.Context, t leader.Target, req leader.StartRequest) error {
				if err := gate(ctx); err != nil {
					return &leader.NoAnswerError{Err: err}
				}
				if c.link != nil {
					if err := c.link.transmit(ctx, req); err != nil {
						return err
					}
				}
				return c.workers.Start(ctx, n.name, t, req)
			},
			Stop: func(ctx context.Context, t leader.Target, req leader.StopRequest) error {
				if err := gate(ctx); err != nil {
					return &leader.NoAnswerError{Err: err}
				}
				return c.workers.Stop(ctx, n.name, t, req)
			},
			Sync: func(ctx context.Context, t leader.Target, req leader.SyncRequest) (leader.Report, error) {
				if err := gate(ctx); err != nil {
					return leader.Report{}, &leader.NoAnswerError{Err: err}
				}
				rep, err := c.workers.Sync(ctx, n.name, t, req)
				_ = gate(ctx)
				return rep, err
			},
		},
		Machines: func(ctx context.Context) ([]leader.Machine, error) {
			if err := gate(ctx); err != nil {
				return nil, err
			}
			return c.workers.Machines(), nil
		},
		WatchWorkers: func(ctx context.Context, _ *zap.Logger, update func([]leader.WorkerEntry)) {
			for ctx.Err() == nil {
				if gate(ctx) == nil {
					update(c.workers.Entries())
				}
				select {
				case <-time.After(400 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		},
	}
	inst := n.current
	c.prepare(inst)
	inst.Init()
	inst.Feed.MinSnapshotLag = c.minSnapshotLag
	inst.Policy.Set(config())
	c.mu.Lock()
	inst.Policy.ChangeEvacuations(c.evacuations)
	c.mu.Unlock()
	go func() { _ = inst.Feed.Run(ctx) }()
}

// kill ends the current incarnation at once, without a shutdown.
func (c *cluster) kill(n *node) {
	if n.isDead() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.dead)
	n.cancel()
}

// restart kills the current incarnation and starts a new one.
func (c *cluster) restart(n *node) {
	c.kill(n)
	c.start(n)
}

// freeze blocks the instance's calls for the duration.
func (c *cluster) freeze(n *node, d time.Duration) {
	thaw := make(chan struct{})
	n.mu.Lock()
	n.frozen = thaw
	n.mu.Unlock()
	time.AfterFunc(d, func() { close(thaw) })
}

// cutOff makes a worker unreachable from all instances except one. The name of the
// exception may be empty.
func (c *cluster) cutOff(id, except string) {
	c.workers.WithLock(func() {
		for _, n := range c.nodes {
			c.workers.List[id].UnreachableFrom[n.name] = n.name != except
		}
	})
}

// inDomain returns the workers of the failure domain of the instance with the index.
// The caller holds the lock of the workers.
func (c *cluster) inDomain(domain int) map[string]bool {
	in := make(map[string]bool)
	for id := range c.workers.List {
		var i int
		_, err := fmt.Sscanf(id, "w%d", &i) // a replaced worker has a longer name
		in[id] = err == nil && i%len(c.nodes) == domain
	}
	return in
}

// cutDomain cuts an instance and the workers of its failure domain off from the log
// and from all others, or ends that. They reach each other.
func (c *cluster) cutDomain(domain int, on bool) {
	c.log.SetFaults(func(l *fleettest.LogFaults) { l.CutInstances[c.nodes[domain].name] = on })
	c.workers.WithLock(func() {
		for id, inside := range c.inDomain(domain) {
			for i, n := range c.nodes {
				if inside != (i == domain) {
					c.workers.List[id].UnreachableFrom[n.name] = on
				}
			}
		}
	})
}

// setUnlisted removes the workers of a failure domain from the list of workers, or
// adds them again.
func (c *cluster) setUnlisted(domain int, unlisted bool) {
	c.workers.WithLock(func() {
		for id, inside := range c.inDomain(domain) {
			if inside {
				c.workers.List[id].Unlisted = unlisted
			}
		}
	})
}

// leader returns the instance that leads, or nil.
func (c *cluster) leader() *node {
	for _, n := range c.nodes {
		if !n.isDead() && n.instance().Feed.Leading() {
			return n
		}
	}
	return nil
}

// submit submits a job to an instance. Like a caller, it retries, on random
// instances, until the job is accepted, and reports whether it was.
func (c *cluster) submit(n *node, j ledger.Job) bool { return c.submitTo(config(), n, j) }

// submitTo is like submit with another configuration.
func (c *cluster) submitTo(cfg *policy.Config, n *node, j ledger.Job) bool {
	for range 40 {
		if c.requestSubmission(cfg, n, j) == intake.Accepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
		c.workers.WithLock(func() { n = c.nodes[c.rnd.IntN(len(c.nodes))] })
	}
	return false
}

// requestSubmission submits a job to an instance with one request, which has the
// deadline of a caller.
func (c *cluster) requestSubmission(cfg *policy.Config, n *node, j ledger.Job) intake.Outcome {
	route := cfg.MatchRoute("lane", fmt.Sprintf("/%d/", j.Priority))
	c.workers.WithLock(func() {
		j.Attempts = route.Attempts
		c.rules.Jobs[j.ID] = j
	})
	ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
	defer cancel()
	return n.instance().Intake.Submit(ctx, cfg, route, "schools", j).Outcome
}

// submitOnce submits a job to an instance, without a retry.
func (c *cluster) submitOnce(n *node, j ledger.Job) intake.Outcome {
	return c.requestSubmission(config(), n, j)
}

// cancel requests the cancellation of a job from an instance and returns the
// outcome.
func (c *cluster) cancel(n *node, id string) string {
	ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
	defer cancel()
	return n.instance().Intake.Cancel(ctx, id).Outcome.String()
}

// phase requests a job's phase from an instance.
func (c *cluster) phase(n *node, id string) ledger.Phase {
	ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
	defer cancel()
	p, _ := n.instance().Intake.Phase(ctx, id)
	return p
}

// waitFinished waits until all instances report all jobs as ended, for at most
// limit. It returns the jobs that have not ended then, with their phases.
func (c *cluster) waitFinished(ids []string, limit time.Duration) []string {
	deadline := time.Now().Add(limit)
	for {
		var unfinished []string
		for _, id := range ids {
			for _, n := range c.nodes {
				if p := c.phase(n, id); !p.Final() {
					unfinished = append(unfinished, fmt.Sprintf("%s is %q on %s", id, p, n.name))
				}
			}
		}
		if len(unfinished) == 0 || time.Now().After(deadline) {
			return unfinished
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// evacuate requests the evacuation of a failure domain, or withdraws it, and
// tells all instances.
func (c *cluster) evacuate(domain string, active bool) {
	c.mu.Lock()
	c.evacuations = append(c.evacuations, policy.Evacuation{Domain: domain, Active: active, Version: uint64(len(c.evacuations) + 1)})
	all := slices.Clone(c.evacuations)
	c.mu.Unlock()
	for _, n := range c.nodes {
		n.instance().Policy.ChangeEvacuations(all)
	}
	c.workers.WithLock(func() {
		delete(c.rules.Evacuated, domain)
		if active {
			c.rules.Evacuated[domain] = time.Now()
		}
	})
}

// config returns a configuration with three queues and one account.
func config() *policy.Config {
	return &policy.Config{
		Version: 1,
		Routes: []policy.Route{
			{Name: "urgent", Host: "lane", Prefix: "/0/", Service: service, Priority: 0, Attempts: 3, Stretch: 1.5, Target: 250},
			{Name: "jobs", Host: "lane", Prefix: "/1/", Service: service, Priority: 1, Attempts: 3, Stretch: 3, Target: 1000},
			{Name: "bulk", Host: "lane", Prefix: "/2/", Service: service, Priority: 2, Attempts: 3, Stretch: 3, Target: 3000},
		},
		Services: map[string]policy.Service{service: {Name: service}},
		Accounts: map[string]policy.Account{"schools": {Name: "schools", GuaranteedGPUs: 16}},
	}
}

// job returns a job with one step.
func job(id string, s ledger.Step) ledger.Job {
	return ledger.Job{ID: id, Spec: "spec of " + id, Steps: []ledger.Step{s}}
}
