package standin

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/worker"
)

// bench is one stand-in worker under a clock that the test moves.
type bench struct {
	t   *testing.T
	w   *Workers
	now time.Time
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: time.UnixMilli(1_796_361_383_000)}
	b.w = &Workers{Now: func() time.Time { return b.now }, Lag: 50 * time.Millisecond, Checkpoint: 30 * time.Millisecond}
	return b
}

func (b *bench) pass(ms int64) { b.now = b.now.Add(time.Duration(ms) * time.Millisecond) }

func grant(phase string, token uint64) worker.Grant {
	return worker.Grant{Job: "j", Token: token, Mask: 3, Phase: phase, ExpectedMs: 100, Members: 1, GraceMs: 20}
}

// sync sends grants at the offset with a lease of 1 s and returns the answer.
func (b *bench) sync(offset uint64, grants ...worker.Grant) worker.SyncAnswer {
	b.t.Helper()
	a, err := b.w.Sync(b.t.Context(), "", worker.SyncRequest{Worker: "w0", Offset: offset, LeaseMs: 1000, Grants: grants})
	if err != nil {
		b.t.Fatal(err)
	}
	return a
}

// phase returns the phase of the only status.
func phase(a worker.SyncAnswer) string {
	if len(a.Tasks) != 1 {
		return ""
	}
	return a.Tasks[0].Phase
}

// TestProtocol guards against a stand-in that is more lenient than the
// protocol, which would hide faults of keeper and starter.
func TestProtocol(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	is.Equal(phase(b.sync(5, grant(worker.PhaseRun, 5))), worker.StatusAbsent) // never held
	is.Equal(phase(b.sync(5, grant(worker.PhaseHold, 5))), worker.StatusHeld)
	_, err := b.w.Sync(t.Context(), "", worker.SyncRequest{Worker: "w0", Offset: 4, LeaseMs: 9000})
	var stale *worker.StaleError
	is.True(errors.As(err, &stale) && stale.Offset == 5) // an older offset neither stops nor renews
	is.Equal(phase(b.sync(6, grant(worker.PhaseArm, 5))), worker.StatusArmed)
	is.Equal(phase(b.sync(6, grant(worker.PhaseRun, 5))), worker.StatusRunning)
	b.pass(40)
	a := b.sync(6, grant(worker.PhaseRun, 5))
	is.Equal(a.Tasks[0].Progress, 0.4)
	is.Equal(a.Tasks[0].Usage, 0.0) // it lags by 50 ms
	b.pass(20)
	is.Equal(b.sync(6, grant(worker.PhaseThrottle, 5)).Tasks[0].Usage, 2.0)
	b.pass(60)
	is.Equal(phase(b.sync(6, grant(worker.PhaseThrottle, 5))), worker.StatusRunning) // half as fast
	b.pass(20)
	is.Equal(phase(b.sync(6, grant(worker.PhaseArm, 5))), worker.StatusDone)
	is.Equal(phase(b.sync(7)), worker.StatusDone) // kept until acknowledged
	a, err = b.w.Sync(t.Context(), "", worker.SyncRequest{Worker: "w0", Offset: 7, LeaseMs: 1000, Acks: []worker.Ack{{Job: "j", Token: 5}}})
	is.NoErr(err)
	is.Equal(len(a.Tasks), 0)
	is.Equal(phase(b.sync(7, grant(worker.PhaseHold, 4))), worker.StatusRefused) // token older than seen
}

// TestCheckpoint guards against a checkpoint that outlives its grace or loses
// its progress, and against accelerators that are given away before the stop.
func TestCheckpoint(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.sync(5, grant(worker.PhaseHold, 5))
	b.sync(5, grant(worker.PhaseRun, 5))
	b.pass(50)
	next := grant(worker.PhaseHold, 6)
	next.Job = "k"
	a := b.sync(6, grant(worker.PhaseCheckpoint, 5), next)
	is.Equal(a.Tasks[0], worker.Status{Job: "k", Token: 6, Phase: worker.StatusWaiting})
	b.pass(20) // the grace; the checkpoint itself would take 30 ms
	a = b.sync(6, grant(worker.PhaseCheckpoint, 5), next)
	for _, s := range a.Tasks {
		is.Equal(s.Phase, map[string]string{"j": worker.StatusStopped, "k": worker.StatusHeld}[s.Job])
		is.True(s.Job == "k" || s.Progress == 0.7)
	}
}

// TestLease guards against tasks that outlive the lease, holds that survive
// it, and frozen time that counts as running.
func TestLease(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.w.Duration = func(string, worker.Grant) time.Duration { return time.Hour }
	b.sync(5, grant(worker.PhaseHold, 5))
	b.pass(1001)
	is.Equal(phase(b.sync(5, grant(worker.PhaseRun, 5))), worker.StatusAbsent) // the hold has lapsed
	b.sync(6, grant(worker.PhaseHold, 6))
	b.sync(6, grant(worker.PhaseRun, 6))
	b.pass(100)
	b.w.Fault(WorkerFault{Worker: "w0", Frozen: true})
	b.pass(2000)
	b.w.Fault(WorkerFault{Worker: "w0"})
	is.Equal(phase(b.sync(6, grant(worker.PhaseRun, 6))), worker.StatusStopped)
	is.Equal(Violations(b.w.Audit()), nil)
}

// TestRestart guards against a task that runs twice because a request from
// before a restart arrives after it.
func TestRestart(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	boot := b.sync(5, grant(worker.PhaseHold, 5)).Incarnation
	run := grant(worker.PhaseRun, 5)
	run.Incarnation, run.Once = boot, true
	is.Equal(phase(b.sync(6, run)), worker.StatusRunning)
	b.w.Fault(WorkerFault{Worker: "w0", Restart: true})
	is.Equal(phase(b.sync(5, grant(worker.PhaseHold, 5))), worker.StatusHeld) // late, and the offset is forgotten
	is.Equal(phase(b.sync(6, run)), worker.StatusAbsent)
	is.Equal(Violations(b.w.Audit()), nil)
}

// TestViolations guards against a trail check that finds nothing.
func TestViolations(t *testing.T) {
	tests := []struct {
		name  string
		trail []Event
		want  int
	}{
		{"whole gang", []Event{{What: "arm", Worker: "a", Members: 2}, {What: "arm", Worker: "b"}, {What: "run", Worker: "a", Members: 2}}, 0},
		{"partial gang", []Event{{What: "arm", Worker: "a"}, {What: "run", Worker: "a", Members: 2}}, 1},
		{"twice", []Event{
			{What: "arm", Worker: "a"}, {What: "run", Worker: "a", Members: 1, Once: true, Token: 0}, {What: "lapsed", Worker: "a"},
			{What: "arm", Worker: "b", Token: 2}, {What: "run", Worker: "b", Members: 1, Once: true, Token: 2}, {What: "stopped", Worker: "b", Token: 2},
			{What: "arm", Worker: "b", Token: 3}, {What: "run", Worker: "b", Members: 1, Once: true, Token: 3},
		}, 1},
		{"shared", []Event{
			{What: "arm", Worker: "a", Job: "j"}, {What: "run", Worker: "a", Job: "j", Members: 1, Mask: shape.Mask(3)},
			{What: "arm", Worker: "a", Job: "k"}, {What: "run", Worker: "a", Job: "k", Members: 1, Mask: shape.Mask(2)},
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(len(Violations(tt.trail)), tt.want)
		})
	}
}
