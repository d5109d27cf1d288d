package instance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
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

// cluster is several instances with a log and workers in memory. It runs in a
// synctest bubble: time passes only when all wait.
type cluster struct {
	t       *testing.T
	rnd     *rand.Rand
	log     *fleettest.Log
	workers *fleettest.Workers
	rules   *fleettest.Rules
	nodes   []*node
	ctx     context.Context
	change  func(s *Settings)
	lines   *logLines
	link    *narrow // of all instances; nil is without limit
}

// logLines gathers the lines that all instances log.
type logLines struct {
	core zapcore.Core
	seen *observer.ObservedLogs
}

func newLogLines() *logLines {
	core, seen := observer.New(zap.InfoLevel)
	return &logLines{core, seen}
}

// about returns the messages of the lines about the job, each behind the name
// of its instance, in the order of time.
func (l *logLines) about(job string) []string {
	var out []string
	for _, e := range l.seen.All() {
		fields := e.ContextMap()
		id, _ := fields["job"].(string)
		unit, _ := fields["unit"].(string)
		if id == job || strings.HasPrefix(unit, job+".") {
			out = append(out, e.LoggerName+" "+e.Message)
		}
	}
	return out
}

// node is one instance and what is done to it.
type node struct {
	name string

	mu     sync.Mutex
	inst   *Instance
	cancel context.CancelFunc
	dead   chan struct{}
	frozen chan struct{} // closed when the instance may go on
}

// instance returns the newest incarnation.
func (n *node) instance() *Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inst
}

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

func (n *node) thawed() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen
}

// play runs f in a bubble with a cluster of instances and workers.
func play(t *testing.T, seed uint64, instances, workers int, f func(c *cluster)) *fleettest.Rules {
	return playWith(t, seed, instances, workers, func(*Settings) {}, f)
}

// playWith is play with a change of each incarnation's settings.
func playWith(t *testing.T, seed uint64, instances, workers int, change func(s *Settings), f func(c *cluster)) *fleettest.Rules {
	r := fleettest.NewRules()
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		ctx, cancel := context.WithCancel(context.Background())
		c := &cluster{t: t, rnd: rnd, log: fleettest.NewLog(rand.New(rand.NewPCG(seed, 2))), rules: r, ctx: ctx, change: change, lines: newLogLines()}
		c.workers = fleettest.NewWorkers(rand.New(rand.NewPCG(seed, 3)), r)
		for i := range workers {
			c.workers.Add(&fleettest.Worker{
				ID: fmt.Sprintf("w%d", i), Service: service, Rack: fmt.Sprintf("r%d", i/4), Rate: 1 - 0.02*rnd.Float64(),
				Total: plan.Resources{CPU: 8000, Memory: 8000, GPU: 8},
			})
		}
		go c.workers.Run(ctx)
		for i := range instances {
			n := &node{name: fmt.Sprintf("e%d", i)}
			c.nodes = append(c.nodes, n)
			c.boot(n)
		}
		defer func() {
			cancel()
			for _, n := range c.nodes {
				c.kill(n)
			}
			time.Sleep(time.Minute) // timers of orders under way end
		}()
		f(c)
	})
	return r
}

// boot starts an incarnation of the instance.
func (c *cluster) boot(n *node) {
	ctx, cancel := context.WithCancel(c.ctx)
	dead := make(chan struct{})
	frozen := make(chan struct{})
	close(frozen)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancel, n.dead, n.frozen = cancel, dead, frozen
	// gate keeps a frozen instance's calls back and drops a dead one's.
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
	n.inst = &Instance{
		Settings: Settings{Node: n.name, Bounds: leader.Bounds{Lease: fleettest.LeaseMax, StopGrace: fleettest.StopGrace, Retention: 5 * time.Minute}},
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
		Orders: leader.Orders{
			Start: func(ctx context.Context, t leader.Target, o leader.StartOrder) error {
				if err := gate(ctx); err != nil {
					return &leader.NoAnswerError{Err: err}
				}
				if c.link != nil {
					if err := c.link.pass(ctx, o); err != nil {
						return err
					}
				}
				return c.workers.Start(ctx, n.name, t, o)
			},
			Stop: func(ctx context.Context, t leader.Target, o leader.StopOrder) error {
				if err := gate(ctx); err != nil {
					return &leader.NoAnswerError{Err: err}
				}
				return c.workers.Stop(ctx, n.name, t, o)
			},
			Sync: func(ctx context.Context, t leader.Target, o leader.SyncOrder) (leader.Report, error) {
				if err := gate(ctx); err != nil {
					return leader.Report{}, &leader.NoAnswerError{Err: err}
				}
				rep, err := c.workers.Sync(ctx, n.name, t, o)
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
		WatchWorkers: func(ctx context.Context, _ *zap.Logger, enlist func([]leader.Entry)) {
			for ctx.Err() == nil {
				if gate(ctx) == nil {
					enlist(c.workers.Entries())
				}
				select {
				case <-time.After(400 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		},
	}
	inst := n.inst
	c.change(&inst.Settings)
	inst.Wire()
	inst.Policy.Set(config())
	go func() { _ = inst.Feed.Run(ctx) }()
}

// kill ends the incarnation at once.
func (c *cluster) kill(n *node) {
	if n.isDead() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.dead)
	n.cancel()
}

func (c *cluster) restart(n *node) {
	c.kill(n)
	c.boot(n)
}

// freeze stops the instance's calls for the time.
func (c *cluster) freeze(n *node, d time.Duration) {
	thaw := make(chan struct{})
	n.mu.Lock()
	n.frozen = thaw
	n.mu.Unlock()
	time.AfterFunc(d, func() { close(thaw) })
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

// submit hands a job in at an instance and repeats it like a caller until its
// fate is known.
func (c *cluster) submit(n *node, j ledger.Job) bool {
	c.workers.Set(func() {
		j.Attempts = config().Routes[0].Attempts
		c.rules.Jobs[j.ID] = j
	})
	for range 40 {
		ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
		a := n.instance().Intake.Submit(ctx, config().MatchRoute("lane", fmt.Sprintf("/%d/", j.Priority)), "schools", j)
		cancel()
		if a.Fate == intake.Accepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
		c.workers.Set(func() { n = c.nodes[c.rnd.IntN(len(c.nodes))] })
	}
	return false
}

// cancel asks an instance to cancel a job and returns the fate of that.
func (c *cluster) cancel(n *node, id string) string {
	ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
	defer cancel()
	return n.instance().Intake.Cancel(ctx, id).Fate.String()
}

// phase asks an instance for a job's phase.
func (c *cluster) phase(n *node, id string) ledger.Phase {
	ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
	defer cancel()
	p, _ := n.instance().Intake.Phase(ctx, id)
	return p
}

// finish waits until all jobs have ended on all instances and returns those
// that have not.
func (c *cluster) finish(ids []string, limit time.Duration) []string {
	end := time.Now().Add(limit)
	for {
		var open []string
		for _, id := range ids {
			for _, n := range c.nodes {
				if p := c.phase(n, id); !p.Final() {
					open = append(open, fmt.Sprintf("%s is %q on %s", id, p, n.name))
				}
			}
		}
		if len(open) == 0 || time.Now().After(end) {
			return open
		}
		time.Sleep(200 * time.Millisecond)
	}
}

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
