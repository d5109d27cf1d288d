package fleettest

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

// bench has four workers and one accepted job, and plays the part of the scheduler.
type bench struct {
	t       *testing.T
	rules   *Checker
	workers *Workers
}

// runBench plays a history of a job and returns the rules that were violated.
func runBench(t *testing.T, step ledger.Step, play func(b *bench)) (violated []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r := NewChecker()
		b := &bench{t: t, rules: r, workers: NewWorkers(rand.New(rand.NewPCG(1, 1)), r)}
		for _, id := range []string{"w0", "w1", "w2", "w3"} {
			b.workers.Add(&Worker{ID: id, Rack: "r0", ClockRate: 1, Total: plan.Resources{CPU: 8, Memory: 8, GPU: 8}})
		}
		r.Jobs["a"] = ledger.Job{ID: "a", Attempts: 2, Steps: []ledger.Step{step}}
		r.Accepted["a"] = time.Now()
		go b.workers.Run(ctx)
		play(b)
		b.workers.WithLock(func() {
			for _, v := range r.Violations {
				rule, _, _ := strings.Cut(v, ":")
				violated = append(violated, rule)
			}
		})
	})
	return violated
}

// start starts a run of a task of the job.
func (b *bench) start(worker string, index, run int) {
	err := b.workers.Start(b.t.Context(), "e0", leader.Target{ID: worker, Token: 1}, leader.StartRequest{Task: leader.TaskID{Job: "a", Index: index}, Run: run, LeaseEnd: 1 << 40})
	if err != nil {
		b.t.Error(err)
	}
}

// stop stops a run of a task of the job.
func (b *bench) stop(worker string, run int) {
	if err := b.workers.Stop(b.t.Context(), "e0", leader.Target{ID: worker, Token: 1}, leader.StopRequest{Task: leader.TaskID{Job: "a"}, Run: run}); err != nil {
		b.t.Error(err)
	}
}

// sync renews the lease of a worker and acknowledges its ends.
func (b *bench) sync(worker string, ack uint64) {
	if _, err := b.workers.Sync(b.t.Context(), "e0", leader.Target{ID: worker, Token: 1}, leader.SyncRequest{LeaseEnd: 1 << 40, Ack: ack}); err != nil {
		b.t.Error(err)
	}
}

// disrupt lets a disruption last for a time.
func (b *bench) disrupt(d time.Duration) {
	b.workers.WithLock(b.rules.BeginDisruption)
	time.Sleep(d)
	b.workers.WithLock(b.rules.EndDisruption)
}

// Guards against a check that overlooks a job that stands still, or reports one that may.
func TestCheckStill(t *testing.T) {
	task := ledger.Step{Count: 1, GPU: 4, Estimate: 1000}
	gang := ledger.Step{Count: 4, GPU: 4, Estimate: 1000, Gang: true}
	large := ledger.Step{Count: 5, GPU: 4, Estimate: 1000, Gang: true}
	labelled := ledger.Step{Count: 1, GPU: 4, Estimate: 1000, Label: "r1"}
	lasting := ledger.Step{Count: 2, GPU: 1, LongRunning: true}
	tests := []struct {
		name string
		step ledger.Step
		play func(b *bench)
		want bool
	}{
		{"never started", task, func(*bench) { time.Sleep(3200 * time.Millisecond) }, true},
		{"not started yet", task, func(*bench) { time.Sleep(2900 * time.Millisecond) }, false},
		{"gang with room for two", gang, func(*bench) { time.Sleep(4 * time.Second) }, true},
		{"gang with room for less than two", large, func(*bench) { time.Sleep(10 * time.Second) }, false},
		{"no worker with the label", labelled, func(*bench) { time.Sleep(10 * time.Second) }, false},
		{"runs", task, func(b *bench) { b.start("w0", 0, 1); time.Sleep(900 * time.Millisecond) }, false},
		{"done, not acknowledged", task, func(b *bench) { b.start("w0", 0, 1); time.Sleep(5 * time.Second) }, false},
		{"done and acknowledged", task, func(b *bench) {
			b.start("w0", 0, 1)
			time.Sleep(2 * time.Second)
			b.sync("w0", 1)
			time.Sleep(5 * time.Second)
		}, false},
		{"stopped, then still", task, func(b *bench) {
			b.start("w0", 0, 1)
			b.stop("w0", 1)
			time.Sleep(time.Second)
			b.sync("w0", 1)
			time.Sleep(2500 * time.Millisecond)
		}, true},
		{"stopped a short time ago", task, func(b *bench) {
			b.start("w0", 0, 1)
			b.stop("w0", 1)
			time.Sleep(time.Second)
			b.sync("w0", 1)
			time.Sleep(1500 * time.Millisecond)
		}, false},
		{"done, and the worker crashed after it reported that", task, func(b *bench) {
			b.start("w0", 0, 1)
			time.Sleep(2 * time.Second)
			b.sync("w0", 0)
			b.workers.Crash("w0")
			time.Sleep(10 * time.Second)
		}, false},
		{"done, and the worker crashed before it reported that", task, func(b *bench) {
			b.start("w0", 0, 1)
			time.Sleep(2 * time.Second)
			b.workers.Crash("w0")
			time.Sleep(7200 * time.Millisecond)
		}, true},
		{"another task of the job runs", ledger.Step{Count: 2, GPU: 4, Estimate: 9000}, func(b *bench) {
			b.start("w0", 0, 1)
			time.Sleep(5 * time.Second)
		}, false},
		{"cancelled", task, func(b *bench) {
			b.workers.WithLock(func() { b.rules.CancelSent["a"] = true })
			time.Sleep(10 * time.Second)
		}, false},
		{"disruption", task, func(b *bench) { b.disrupt(10 * time.Second); time.Sleep(6 * time.Second) }, false},
		{"calm after a disruption", task, func(b *bench) { b.disrupt(10 * time.Second); time.Sleep(7200 * time.Millisecond) }, true},
		{"worker crashed", task, func(b *bench) { b.workers.Crash("w3"); time.Sleep(6 * time.Second) }, false},
		{"one task that lasts does not run", lasting, func(b *bench) {
			b.start("w0", 0, 1)
			time.Sleep(3500 * time.Millisecond)
		}, true},
		{"tasks that last run", lasting, func(b *bench) {
			b.start("w0", 0, 1)
			b.start("w0", 1, 1)
			for range 20 {
				time.Sleep(time.Second)
				b.sync("w0", 0)
			}
		}, false},
		{"task that lasts was stopped, pause", lasting, func(b *bench) {
			b.start("w0", 0, 1)
			b.start("w1", 1, 1)
			b.stop("w0", 1)
			time.Sleep(time.Second)
			b.sync("w0", 1)
			for range 7 {
				time.Sleep(time.Second)
				b.sync("w1", 0)
			}
		}, false},
		{"task that lasts was stopped, pause over", lasting, func(b *bench) {
			b.start("w0", 0, 1)
			b.start("w1", 1, 1)
			b.stop("w0", 1)
			time.Sleep(time.Second)
			b.sync("w0", 1)
			for range 9 {
				time.Sleep(time.Second)
				b.sync("w1", 0)
			}
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			violated := runBench(t, tt.step, tt.play)
			if tt.want {
				is.Equal(violated, []string{"STILL"})
			} else {
				is.Equal(len(violated), 0)
			}
		})
	}
}

// Guards against a check that overlooks a start after an end as done that is acknowledged later, or reports one after an end that does not count.
func TestCheckStartAfterDone(t *testing.T) {
	step := ledger.Step{Count: 1, GPU: 1, Estimate: 1000}
	tests := []struct {
		name  string
		lapse time.Duration // from the end to its acknowledgement
		start bool
		want  bool
	}{
		{"start before the acknowledgement", 2 * time.Second, true, true},
		{"no start", 2 * time.Second, false, false},
		{"lease expired before the acknowledgement", 7 * time.Second, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			violated := runBench(t, step, func(b *bench) {
				b.start("w0", 0, 1)
				time.Sleep(1500 * time.Millisecond)
				if tt.start {
					b.start("w1", 0, 2)
				}
				time.Sleep(tt.lapse)
				b.sync("w0", 1)
			})
			is.Equal(len(violated) > 0, tt.want)
			if tt.want {
				is.Equal(violated, []string{"TWICE"})
			}
		})
	}
}
