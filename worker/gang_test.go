package worker_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/worker"
)

// ran returns the workers on which the events show that the placement ran.
func ran(events []standin.Event, token uint64) []string {
	var out []string
	for _, e := range events {
		if e.Kind == "run" && e.Token == token {
			out = append(out, e.Worker)
		}
	}
	return out
}

// before returns a sync function that calls f once, before the first request to
// the named worker with a grant in the phase.
func (c *cluster) before(name, phase string, f func()) func(context.Context, string, worker.SyncRequest) (worker.SyncAnswer, error) {
	var once sync.Once
	cl := &worker.Client{Timeout: 100 * time.Millisecond}
	return func(ctx context.Context, addr string, q worker.SyncRequest) (worker.SyncAnswer, error) {
		if q.Worker == name && slices.ContainsFunc(q.Grants, func(g worker.Grant) bool { return g.Phase == phase }) {
			once.Do(f)
		}
		return cl.Sync(ctx, addr, q)
	}
}

// TestHoldLost guards against a gang of which some members run although another
// lost its hold after the start and before it was told to run.
func TestHoldLost(t *testing.T) {
	tests := []struct {
		name  string
		once  bool
		fault standin.WorkerFault
		after state.JobPhase // of the job, once the fault has been detected
	}{
		{name: "restart", fault: standin.WorkerFault{Restart: true}, after: state.JobWaiting},
		{name: "frozen", fault: standin.WorkerFault{Frozen: true}, after: state.JobWaiting},
		{name: "unreachable", fault: standin.WorkerFault{Unreachable: true}, after: state.JobWaiting},
		{name: "restart once", once: true, fault: standin.WorkerFault{Restart: true}, after: state.JobUnknown},
		{name: "frozen once", once: true, fault: standin.WorkerFault{Frozen: true}, after: state.JobUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 3)
			tt.fault.Worker = "w1"
			t.Cleanup(func() { c.workers.Fault(standin.WorkerFault{Worker: "w1"}) })
			hook := c.before("w1", worker.PhaseArm, func() { c.workers.Fault(tt.fault) })
			k, st := c.keeper(0), c.starter(0)
			k.Sync, st.Sync = hook, hook
			c.run(k.Run)
			c.run(st.Run)
			c.place(record.Submit{Job: "j1", ExpectedMs: 50, Once: tt.once}, 0, 3)
			token := c.job("j1").Token
			c.waitPhase("j1", tt.after)
			is.Equal(ran(c.workers.Audit(), token), nil) // no member ran
			if !tt.once {
				c.workers.Fault(standin.WorkerFault{Worker: "w1"})
				c.wait("w1 is ready", func(s *state.State) bool { return s.Workers[1].Ready() })
				c.place(record.Submit{Job: "j1"}, 0, 3)
				c.waitPhase("j1", state.JobDone)
			}
			is.Equal(standin.Violations(c.workers.Audit()), nil)
		})
	}
}

// TestLostAnswers guards against a gang that hangs or runs only in part because
// a worker accepted a sync whose answer was lost, in each phase.
func TestLostAnswers(t *testing.T) {
	for _, phase := range []string{worker.PhaseHold, worker.PhaseArm, worker.PhaseRun} {
		t.Run(phase, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 2)
			st := c.starter(0)
			st.HoldTimeout = 5 * time.Second
			st.Sync = c.before("w1", phase, func() {
				c.workers.Fault(standin.WorkerFault{Worker: "w1", LoseAnswers: true})
				time.AfterFunc(100*time.Millisecond, func() { c.workers.Fault(standin.WorkerFault{Worker: "w1"}) })
			})
			c.run(c.keeper(0).Run)
			c.run(st.Run)
			c.place(record.Submit{Job: "j1", ExpectedMs: 300}, 0, 2)
			token := c.job("j1").Token
			c.waitPhase("j1", state.JobDone)
			is.Equal(len(ran(c.workers.Audit(), token)), 2)
			is.Equal(standin.Violations(c.workers.Audit()), nil)
		})
	}
}

// TestStarterDies guards against a gang that makes no progress, or runs only in
// part, when the instance that starts it fails before or after any of its calls.
func TestStarterDies(t *testing.T) {
	// A start takes 2 syncs to hold, 1 proposal, 2 syncs to arm, 2 to run.
	for step := range 7 {
		for _, after := range []bool{false, true} {
			t.Run(fmt.Sprintf("call %d after %v", step, after), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				c := newCluster(t, 2)
				ctx, die := context.WithCancel(t.Context())
				defer die()
				var mu sync.Mutex
				calls := 0
				// call runs f unless the instance has failed before it.
				call := func(f func()) error {
					mu.Lock()
					defer mu.Unlock()
					mine := calls
					calls++
					if mine == step && !after || mine > step {
						die()
						return context.Canceled
					}
					f()
					if mine == step {
						die()
						return context.Canceled
					}
					return nil
				}
				first := c.starter(0)
				cl := &worker.Client{}
				first.Sync = func(ctx context.Context, addr string, q worker.SyncRequest) (a worker.SyncAnswer, err error) {
					if e := call(func() { a, err = cl.Sync(context.WithoutCancel(ctx), addr, q) }); e != nil {
						return worker.SyncAnswer{}, e
					}
					return a, err
				}
				first.Propose = func(ctx context.Context, recs ...record.Record) (out []state.Decision, err error) {
					if e := call(func() { out, err = c.propose(ctx, recs...) }); e != nil {
						return nil, e
					}
					return out, err
				}
				c.run(c.keeper(0).Run)
				c.run(func(context.Context) error { return first.Run(ctx) })
				c.run(c.starter(1).Run)
				c.place(record.Submit{Job: "j1", ExpectedMs: 20}, 0, 2)
				c.waitPhase("j1", state.JobDone)
				is.Equal(standin.Violations(c.workers.Audit()), nil)
			})
		}
	}
}

// TestRefusedHold guards against a GangStarter that waits for a member that will
// never hold instead of releasing the others.
func TestRefusedHold(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	cl := &worker.Client{}
	_, err := cl.Sync(t.Context(), c.addr, worker.SyncRequest{Worker: "w1", LeaseMs: 60_000, Grants: []worker.Grant{{Job: "x", Token: 1 << 40, Mask: 1, Phase: worker.PhaseHold, Members: 1}}})
	is.NoErr(err)
	st := c.starter(0)
	st.HoldTimeout = time.Hour
	c.run(st.Run)
	c.place(record.Submit{Job: "j1"}, 0, 2)
	c.wait("j1 is released", func(s *state.State) bool { return s.Jobs["j1"].Phase == state.JobWaiting })
	c.view(func(s *state.State) { is.True(s.Workers[1].LastMissedStart > 0 && s.Workers[0].LastMissedStart == 0) })
}

// TestHoldTime guards against accelerators that stay held while another member
// of the gang cannot be reached.
func TestHoldTime(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.workers.Fault(standin.WorkerFault{Worker: "w1", Unreachable: true})
	st := c.starter(0)
	st.HoldTimeout = 100 * time.Millisecond
	c.run(st.Run)
	c.place(record.Submit{Job: "j1"}, 0, 2)
	c.waitPhase("j1", state.JobWaiting)
	is.Equal(c.job("j1").Cause, "start failed: not all members hold in time")
}

// TestEvictionGrace guards against a start that is aborted while the preempted
// job is still within its grace period, and against a preemption that loses the
// job's progress.
func TestEvictionGrace(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.workers.CheckpointTime = 200 * time.Millisecond
	c.publishBlock("binu", 0)
	st := c.starter(0)
	st.HoldTimeout = 50 * time.Millisecond
	c.run(c.keeper(0).Run)
	c.run(st.Run)
	c.place(record.Submit{Job: "low", ExpectedMs: 60_000, Checkpoint: true}, 0, 1)
	c.waitPhase("low", state.JobRunning)
	c.wait("low runs", func(s *state.State) bool { return len(ran(c.workers.Audit(), s.Jobs["low"].Token)) == 1 })
	c.placeOver(record.Submit{Job: "high", Account: "binu", ExpectedMs: 20}, 0, "low", 1000)
	c.waitPhase("high", state.JobDone)
	c.waitPhase("low", state.JobWaiting)
	is.True(c.job("low").Progress > 0)
	is.Equal(standin.Violations(c.workers.Audit()), nil)
}

// TestNobodyRuns guards against a gang that stays armed forever because every
// instance that could start it has failed.
func TestNobodyRuns(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.run(c.keeper(0).Run)
	c.place(record.Submit{Job: "j1"}, 0, 2)
	token := c.job("j1").Token
	held := func(what string) func(*state.State) bool {
		return func(*state.State) bool {
			n := 0
			for _, e := range c.workers.Audit() {
				if e.Kind == what {
					n++
				}
			}
			return n == 2
		}
	}
	c.wait("both hold", held("hold"))
	c.must(record.KindStart, record.Start{Job: "j1", Token: token})
	c.wait("both are armed", held("arm"))
	c.ahead = 2 * state.StartWindowMs
	for range 6 {
		c.must(record.KindFence, record.Fence{})
	}
	c.waitPhase("j1", state.JobWaiting)
	is.Equal(ran(c.workers.Audit(), token), nil)
}
