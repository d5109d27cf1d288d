package worker_test

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/worker"
)

// cluster is one state shared by several instances, with stand-in workers.
type cluster struct {
	t       testing.TB
	mu      sync.RWMutex
	s       *state.State
	seq     uint64
	ahead   int64 // milliseconds that the clock of the batches is ahead of real time
	changed chan struct{}
	events  chan struct{} // capacity 1; receives a value on each event of the stand-in
	workers *standin.Workers
	addr    string
}

// newCluster returns a cluster of n workers with 4 accelerators each, in one
// rack, and the accounts asha and binu.
func newCluster(t testing.TB, n int) *cluster {
	c := &cluster{t: t, s: &state.State{}, changed: make(chan struct{}), events: make(chan struct{}, 1), workers: &standin.Workers{}}
	c.workers.OnEvent = func(standin.Event) {
		select {
		case c.events <- struct{}{}:
		default:
		}
	}
	srv := httptest.NewServer(c.workers)
	t.Cleanup(srv.Close)
	c.addr = strings.TrimPrefix(srv.URL, "http://")
	rack := state.RackBody{Domain: "kochi"}
	for i := range n {
		rack.Workers = append(rack.Workers, state.WorkerBody{Name: fmt.Sprintf("w%d", i), Addr: c.addr, GPUs: 4, Cores: 64, Memory: 256})
	}
	c.publish("rack/r1", rack)
	c.publish("account/asha", state.AccountBody{})
	c.publish("account/binu", state.AccountBody{})
	return c
}

func (c *cluster) publish(name string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	c.must(record.KindPublish, record.Publish{Name: name, Body: data})
}

// must applies a record and fails the test if it is not accepted.
func (c *cluster) must(kind record.Kind, body any) {
	c.t.Helper()
	r, err := record.New(kind, "", body)
	if err != nil {
		c.t.Fatal(err)
	}
	out, err := c.propose(c.t.Context(), r)
	if err != nil || !out[0].Accepted() {
		c.t.Fatalf("%s: %v %v", kind, out, err)
	}
}

func (c *cluster) propose(_ context.Context, recs ...record.Record) ([]state.Decision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	out, err := c.s.Apply(c.s.Offset, &record.Batch{Writer: "a", Seq: c.seq, At: time.Now().UnixMilli() + c.ahead, Records: recs})
	if err == nil {
		err = c.s.Check()
	}
	if err != nil {
		c.t.Error(err)
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return out, err
}

func (c *cluster) view(f func(*state.State)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	f(c.s)
}

func (c *cluster) watch() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// keeper returns a LeaseKeeper with a lease short enough for tests.
func (c *cluster) keeper(rank int) *worker.LeaseKeeper {
	return &worker.LeaseKeeper{
		View: c.view, Propose: c.propose, Changed: c.watch, Rank: func(string) int { return rank },
		Lease: 600 * time.Millisecond, RankDelay: 60 * time.Millisecond, ScanInterval: 2 * time.Millisecond,
	}
}

// starter returns a GangStarter with a lease short enough for tests.
func (c *cluster) starter(rank int) *worker.GangStarter {
	return &worker.GangStarter{
		View: c.view, Propose: c.propose, Changed: c.watch, Rank: func(string) int { return rank },
		Lease: 600 * time.Millisecond, RankDelay: 60 * time.Millisecond, RetryInterval: 5 * time.Millisecond,
	}
}

// run runs an actor until stop is called or the test ends.
func (c *cluster) run(actor func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := actor(ctx); err != nil {
			c.t.Error(err)
		}
	}()
	stop = func() { cancel(); <-done }
	c.t.Cleanup(stop)
	return stop
}

// place submits a job and places it on n consecutive workers, the first of which
// has the index first.
func (c *cluster) place(spec record.Submit, first, n int) {
	c.t.Helper()
	spec.Account = max(spec.Account, "asha")
	spec.Shape = shape.Shape{Members: n, GPUs: 4, Level: shape.LevelRack}
	if c.job(spec.Job).ID == "" {
		c.must(record.KindSubmit, spec)
	}
	var slots []shape.Slot
	for i := range n {
		slots = append(slots, shape.Slot{Worker: uint32(first + i), Mask: 0xf})
	}
	c.must(record.KindPlace, record.Place{Job: spec.Job, Revision: c.job(spec.Job).Revision, Slots: slots})
}

// publishBlock guarantees the account all accelerators of one worker.
func (c *cluster) publishBlock(account string, index uint32) {
	data, err := json.Marshal(state.AccountBody{Guarantees: []state.GuaranteeBody{{Shape: "1x4@rack", Count: 1}}})
	if err != nil {
		c.t.Fatal(err)
	}
	p := record.Publish{Name: "account/" + account, Body: data, Blocks: []record.Block{{Slots: []shape.Slot{{Worker: index, Mask: 0xf}}}}}
	c.view(func(s *state.State) { p.Base = s.Configs[p.Name].Version })
	c.must(record.KindPublish, p)
}

// placeOver submits a job and places it on one worker, where it preempts the
// victim.
func (c *cluster) placeOver(spec record.Submit, index uint32, victim string, grace int64) {
	spec.Shape = shape.Shape{Members: 1, GPUs: 4, Level: shape.LevelRack}
	c.must(record.KindSubmit, spec)
	c.must(record.KindPlace, record.Place{
		Job: spec.Job, Revision: c.job(spec.Job).Revision, Slots: []shape.Slot{{Worker: index, Mask: 0xf}}, GraceMs: grace,
		Evict: []record.Victim{{Job: victim, Token: c.job(victim).Token}},
	})
}

// job returns a copy of the job, or an empty one.
func (c *cluster) job(id string) (j state.Job) {
	c.view(func(s *state.State) {
		if x := s.Jobs[id]; x != nil {
			j = *x
		}
	})
	return j
}

// wait waits until the state satisfies the condition, at most 10 s. The
// condition is called under the exclusive lock, so one that reads the state by
// the cluster's methods blocks each time and not only beside a writer.
func (c *cluster) wait(what string, cond func(*state.State) bool) {
	c.t.Helper()
	limit := time.NewTimer(10 * time.Second)
	defer limit.Stop()
	for {
		changed := c.watch()
		c.mu.Lock()
		ok := cond(c.s)
		c.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-c.events:
		case <-limit.C:
			c.view(func(s *state.State) {
				for id, j := range s.Jobs {
					if !j.Phase.Terminal() {
						c.t.Logf("job %s is %s: %s; pending %d of %v", id, j.Phase, j.Cause, j.PendingWorkers, j.Slots)
					}
				}
				for _, w := range s.Workers {
					c.t.Logf("worker %s is %q: %s", w.Name, w.Condition, w.Cause)
					for _, t := range w.Tasks {
						c.t.Logf("  task %s token %d phase %d", t.Job.ID, t.Token, t.Phase)
					}
				}
			})
			c.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (c *cluster) waitPhase(id string, p state.JobPhase) {
	c.t.Helper()
	c.wait("job "+id+" is "+p.String(), func(s *state.State) bool { return s.Jobs[id] != nil && s.Jobs[id].Phase == p })
}

// TestGangRuns guards against a gang that does not run from its placement to its
// end, and against members that run before all members are armed.
func TestGangRuns(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 4)
	c.run(c.keeper(0).Run)
	c.run(c.starter(0).Run)
	c.place(record.Submit{Job: "j1", ExpectedMs: 50}, 0, 3)
	c.place(record.Submit{Job: "j2", ExpectedMs: 50, Once: true}, 3, 1)
	c.waitPhase("j1", state.JobDone)
	c.waitPhase("j2", state.JobDone)
	is.Equal(standin.Violations(c.workers.Audit()), nil)
}

func isAs[T error](err error, target *T) bool { return errors.As(err, target) }

func sortSlots(slots []shape.Slot) {
	slices.SortFunc(slots, func(a, b shape.Slot) int { return cmp.Compare(a.Worker, b.Worker) })
}

// pause waits for d so that a fault lasts that long; it waits for no result.
func pause(t *testing.T, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	<-ctx.Done()
}
