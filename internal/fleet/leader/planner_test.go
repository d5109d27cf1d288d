package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
	"jasminelane.example/lane/internal/fleet/policy"
)

// roundTest is a leader with workers that can run tasks, and a feed whose records the
// test writes.
type roundTest struct {
	t      *testing.T
	leader *Leader
}

// newRoundTest returns a leader with workers of 128 cores.
func newRoundTest(t *testing.T, workers int) *roundTest {
	offset := uint64(0)
	l := testLeader()
	l.Feed = &feed.Feed{Instance: "n", Incarnation: "1", OnApply: l.RecordApplied, Append: func(_ context.Context, b feed.Batch) (uint64, error) {
		first := offset
		offset += uint64(len(b.Records))
		return first, nil
	}}
	l.Policy = &policy.Current{}
	l.Policy.Set(&policy.Config{Version: 1})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l.ctx, l.Logger = ctx, zap.NewNop()
	for i := range workers {
		w := l.addContacted(fmt.Sprintf("w%d", i))
		w.listed = true
		w.entry = WorkerEntry{ID: w.id, Service: "s", Total: plan.Resources{CPU: 128000, Memory: 256000, GPU: 8}}
	}
	return &roundTest{t, l}
}

// write writes a record, which is then applied.
func (r *roundTest) write(rec ledger.Record) {
	r.t.Helper()
	if err := r.leader.Feed.Write(r.leader.ctx, rec); err != nil {
		r.t.Fatal(err)
	}
}

// layers returns a job with two layers of steps, of which each step of the second
// depends on all of the first.
func layers(steps, tasks int) ledger.Job {
	j := ledger.Job{ID: "a", Service: "s"}
	for range steps {
		j.Steps = append(j.Steps, ledger.Step{Count: 1, CPU: 4000, Estimate: 1500})
	}
	after := make([]int, steps)
	for i := range after {
		after[i] = i
	}
	for range steps {
		j.Steps = append(j.Steps, ledger.Step{Count: tasks, CPU: 4000, Estimate: 1500, After: after})
	}
	return j
}

// equalSteps returns a job with equal steps that depend on nothing.
func equalSteps(n int, step ledger.Step) ledger.Job {
	j := ledger.Job{ID: "a", Service: "s"}
	for range n {
		j.Steps = append(j.Steps, step)
	}
	return j
}

// chain returns a job of which each step depends on all before it.
func chain(steps, tasks int) ledger.Job {
	j := equalSteps(steps, ledger.Step{Count: tasks, CPU: 4000, Estimate: 1500})
	for i := range j.Steps {
		for before := range i {
			j.Steps[i].After = append(j.Steps[i].After, before)
		}
	}
	return j
}

// Guards against planning rounds that take longer the more often a large job's steps
// and units are multiplied with each other: other instances then claim the leadership
// while the leader is planning, and none ever starts a task.
func TestRoundOfWideJob(t *testing.T) {
	const leaderTimeout = 1600 * time.Millisecond // see package feed
	tests := []struct {
		name string
		job  ledger.Job
		done int // steps that are done, each of one task
	}{
		{"two layers", layers(220, 70), 220},
		{"two layers, the first waits", layers(220, 70), 0},
		{"many small steps", equalSteps(20000, ledger.Step{Count: 1, CPU: 4000, Estimate: 1500}), 0},
		{"many steps with a limit for each worker", equalSteps(6000, ledger.Step{Count: 3, CPU: 4000, Estimate: 1500, MaxPerWorker: 1}), 0},
		{"chain in which each step depends on all before it", chain(330, 60), 0},
		{"many occurrences", ledger.Job{ID: "a", Service: "s", OccurrenceCount: 5000, FirstDue: 1, Steps: []ledger.Step{{Count: 2, CPU: 4000, MaxPerWorker: 1}, {Count: 2, After: []int{0}}}}, 0},
		{"one step", equalSteps(1, ledger.Step{Count: 20000, CPU: 4000, Estimate: 1500}), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRoundTest(t, 48)
			r.leader.health = newHealth(true)
			s := ledger.NewState()
			s.Apply(ledger.Record{Submit: &tt.job})
			for step := range tt.done {
				unit := ledger.UnitID{Job: "a", Step: step}
				s.Apply(ledger.Record{Start: &ledger.Start{Epoch: 1, Unit: unit, Run: 1, Workers: []string{"w0"}}})
				s.Apply(ledger.Record{End: &ledger.End{Epoch: 1, Unit: unit, Run: 1, Outcome: ledger.Done}})
			}
			r.write(ledger.Record{Rewrite: s.Jobs["a"]})
			for range 2 { // the first round of a leader computes more than the others
				began := time.Now()
				r.leader.plan()
				took := time.Since(began)
				t.Log(took)
				is.True(took < leaderTimeout)
				is.True(len(r.leader.proposedStarts) > 0)
				clear(r.leader.proposedStarts)
			}
		})
	}
}

// Guards against heartbeats, reads of the log and answers to callers that wait until a
// long planning round ends.
func TestRoundHoldsNoLock(t *testing.T) {
	is := is.New(t)
	r := newRoundTest(t, 1)
	r.write(ledger.Record{Submit: &ledger.Job{ID: "a", Service: "s", Steps: []ledger.Step{{Count: 1}}}})
	free := false
	r.leader.Decide = func(in plan.Input) plan.Output {
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.leader.Feed.Status()
			r.leader.mu.Lock()
			defer r.leader.mu.Unlock()
		}()
		select {
		case <-done:
			free = true
		case <-time.After(5 * time.Second):
		}
		return plan.Decide(in)
	}
	r.leader.plan()
	is.True(free)
	is.Equal(len(r.leader.proposedStarts), 1)
}

// Guards against a start that is decided from a state that has changed during the
// planning round.
func TestOutdatedPlacement(t *testing.T) {
	unit := ledger.UnitID{Job: "a"}
	tests := []struct {
		name   string
		change func(r *roundTest)
		starts int
	}{
		{"nothing", func(*roundTest) {}, 1},
		{"job cancelled", func(r *roundTest) { r.write(ledger.Record{Cancel: &ledger.Cancel{ID: "a"}}) }, 0},
		{"unit started", func(r *roundTest) {
			r.write(ledger.Record{Start: &ledger.Start{Epoch: 1, Unit: unit, Run: 1, Workers: []string{"v"}}})
		}, 0},
		{"run reported that the state does not have", func(r *roundTest) {
			w := r.leader.addContacted("v")
			r.leader.applyReport(w, Report{Incarnation: 1, Running: []RunningTask{{Task: TaskID{Job: "a"}, Run: 1}}}, r.leader.exchange(w, time.Now()))
		}, 0},
		{"worker drains", func(r *roundTest) {
			w := r.leader.workers["w0"]
			w.entry.Draining = true
		}, 0},
		{"worker does not answer", func(r *roundTest) { r.leader.workers["w0"].unresponsive = true }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRoundTest(t, 1)
			r.write(ledger.Record{Submit: &ledger.Job{ID: "a", Service: "s", Steps: []ledger.Step{{Count: 1}}}})
			r.leader.Decide = func(in plan.Input) plan.Output {
				out := plan.Decide(in)
				is.Equal(len(out.Placements), 1)
				tt.change(r)
				return out
			}
			r.leader.plan()
			is.Equal(len(r.leader.proposedStarts), tt.starts)
		})
	}
}

// Guards against a leader that goes on planning, and stops runs, after its epoch has
// ended.
func TestRoundAfterEpoch(t *testing.T) {
	is := is.New(t)
	r := newRoundTest(t, 1)
	r.write(ledger.Record{Submit: &ledger.Job{ID: "a", Service: "s", Steps: []ledger.Step{{Count: 1}}}})
	ctx, cancel := context.WithCancel(r.leader.ctx)
	r.leader.ctx = ctx
	r.leader.Decide = func(in plan.Input) plan.Output {
		cancel()
		return plan.Decide(in)
	}
	r.leader.plan()
	is.Equal(len(r.leader.proposedStarts), 0)
}
