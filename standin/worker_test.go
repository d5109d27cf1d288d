package standin

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/worker"
)

// workerBench is one stand-in worker with a clock that the test advances.
type workerBench struct {
	t   *testing.T
	w   *Workers
	now time.Time
}

func newWorkerBench(t *testing.T) *workerBench {
	b := &workerBench{t: t, now: time.UnixMilli(1_796_361_383_000)}
	b.w = &Workers{Now: func() time.Time { return b.now }, UsageLag: 50 * time.Millisecond, CheckpointTime: 30 * time.Millisecond}
	return b
}

func (b *workerBench) advance(ms int64) { b.now = b.now.Add(time.Duration(ms) * time.Millisecond) }

// testGrant returns a grant of two accelerators to job j.
func testGrant(phase string, token uint64) worker.Grant {
	return worker.Grant{Job: "j", Token: token, Mask: 3, Phase: phase, ExpectedMs: 100, Members: 1, GraceMs: 20}
}

// sync sends grants at the offset with a lease of 1 s and returns the answer.
func (b *workerBench) sync(offset uint64, grants ...worker.Grant) worker.SyncAnswer {
	b.t.Helper()
	a, err := b.w.Sync(b.t.Context(), "", worker.SyncRequest{Worker: "w0", Offset: offset, LeaseMs: 1000, Grants: grants})
	if err != nil {
		b.t.Fatal(err)
	}
	return a
}

// onlyPhase returns the phase of the only status.
func onlyPhase(a worker.SyncAnswer) string {
	if len(a.Tasks) != 1 {
		return ""
	}
	return a.Tasks[0].Phase
}

// TestProtocol guards against a stand-in that is more lenient than the protocol,
// which would hide faults of LeaseKeeper and GangStarter.
func TestProtocol(t *testing.T) {
	is := is.New(t)
	b := newWorkerBench(t)
	is.Equal(onlyPhase(b.sync(5, testGrant(worker.PhaseRun, 5))), worker.StatusAbsent) // never held
	is.Equal(onlyPhase(b.sync(5, testGrant(worker.PhaseHold, 5))), worker.StatusHeld)
	_, err := b.w.Sync(t.Context(), "", worker.SyncRequest{Worker: "w0", Offset: 4, LeaseMs: 9000})
	var stale *worker.StaleError
	is.True(errors.As(err, &stale) && stale.Offset == 5) // an older offset neither stops a task nor renews the lease
	is.Equal(onlyPhase(b.sync(6, testGrant(worker.PhaseArm, 5))), worker.StatusArmed)
	is.Equal(onlyPhase(b.sync(6, testGrant(worker.PhaseRun, 5))), worker.StatusRunning)
	b.advance(40)
	a := b.sync(6, testGrant(worker.PhaseRun, 5))
	is.Equal(a.Tasks[0].Progress, 0.4)
	is.Equal(a.Tasks[0].Usage, 0.0) // usage lags by 50 ms
	b.advance(20)
	is.Equal(b.sync(6, testGrant(worker.PhaseThrottle, 5)).Tasks[0].Usage, 2.0)
	b.advance(60)
	is.Equal(onlyPhase(b.sync(6, testGrant(worker.PhaseThrottle, 5))), worker.StatusRunning) // the task runs at half speed
	b.advance(20)
	is.Equal(onlyPhase(b.sync(6, testGrant(worker.PhaseArm, 5))), worker.StatusDone)
	is.Equal(onlyPhase(b.sync(7)), worker.StatusDone) // kept until acknowledged
	a, err = b.w.Sync(t.Context(), "", worker.SyncRequest{Worker: "w0", Offset: 7, LeaseMs: 1000, Acks: []worker.Ack{{Job: "j", Token: 5}}})
	is.NoErr(err)
	is.Equal(len(a.Tasks), 0)
	is.Equal(onlyPhase(b.sync(7, testGrant(worker.PhaseHold, 4))), worker.StatusRefused) // the token is older than the newest one
}

// TestCheckpoint guards against a checkpoint that takes longer than its grace
// time or loses its progress, and against accelerators that are granted to
// another task before the first one has stopped.
func TestCheckpoint(t *testing.T) {
	is := is.New(t)
	b := newWorkerBench(t)
	b.sync(5, testGrant(worker.PhaseHold, 5))
	b.sync(5, testGrant(worker.PhaseRun, 5))
	b.advance(50)
	next := testGrant(worker.PhaseHold, 6)
	next.Job = "k"
	a := b.sync(6, testGrant(worker.PhaseCheckpoint, 5), next)
	is.Equal(a.Tasks[0], worker.Status{Job: "k", Token: 6, Phase: worker.StatusWaiting})
	b.advance(20) // the grace time; the whole checkpoint would take 30 ms
	a = b.sync(6, testGrant(worker.PhaseCheckpoint, 5), next)
	for _, s := range a.Tasks {
		is.Equal(s.Phase, map[string]string{"j": worker.StatusStopped, "k": worker.StatusHeld}[s.Job])
		is.True(s.Job == "k" || s.Progress == 0.7)
	}
}

// TestLease guards against tasks that run or are held beyond the lease, and
// against paused time that counts as run time.
func TestLease(t *testing.T) {
	is := is.New(t)
	b := newWorkerBench(t)
	b.w.RunTime = func(string, worker.Grant) time.Duration { return time.Hour }
	b.sync(5, testGrant(worker.PhaseHold, 5))
	b.advance(1001)
	is.Equal(onlyPhase(b.sync(5, testGrant(worker.PhaseRun, 5))), worker.StatusAbsent) // the held task expired with the lease
	b.sync(6, testGrant(worker.PhaseHold, 6))
	b.sync(6, testGrant(worker.PhaseRun, 6))
	b.advance(100)
	b.w.Fault(WorkerFault{Worker: "w0", Frozen: true})
	b.advance(2000)
	b.w.Fault(WorkerFault{Worker: "w0"})
	is.Equal(onlyPhase(b.sync(6, testGrant(worker.PhaseRun, 6))), worker.StatusStopped)
	is.Equal(Violations(b.w.Audit()), nil)
}

// TestRestart guards against a task that runs twice because a request that was
// sent before a restart arrives after it.
func TestRestart(t *testing.T) {
	is := is.New(t)
	b := newWorkerBench(t)
	boot := b.sync(5, testGrant(worker.PhaseHold, 5)).Incarnation
	run := testGrant(worker.PhaseRun, 5)
	run.Incarnation, run.Once = boot, true
	is.Equal(onlyPhase(b.sync(6, run)), worker.StatusRunning)
	b.w.Fault(WorkerFault{Worker: "w0", Restart: true})
	is.Equal(onlyPhase(b.sync(5, testGrant(worker.PhaseHold, 5))), worker.StatusHeld) // a delayed request; the restarted worker has lost its offset
	is.Equal(onlyPhase(b.sync(6, run)), worker.StatusAbsent)
	is.Equal(Violations(b.w.Audit()), nil)
}

// TestViolations guards against a check of the audit trail that misses violations.
func TestViolations(t *testing.T) {
	tests := []struct {
		name  string
		trail []Event
		want  int
	}{
		{"whole gang", []Event{{Kind: "arm", Worker: "a", Members: 2}, {Kind: "arm", Worker: "b"}, {Kind: "run", Worker: "a", Members: 2}}, 0},
		{"partial gang", []Event{{Kind: "arm", Worker: "a"}, {Kind: "run", Worker: "a", Members: 2}}, 1},
		{"twice", []Event{
			{Kind: "arm", Worker: "a"}, {Kind: "run", Worker: "a", Members: 1, Once: true, Token: 0}, {Kind: "lapsed", Worker: "a"},
			{Kind: "arm", Worker: "b", Token: 2}, {Kind: "run", Worker: "b", Members: 1, Once: true, Token: 2}, {Kind: "stopped", Worker: "b", Token: 2},
			{Kind: "arm", Worker: "b", Token: 3}, {Kind: "run", Worker: "b", Members: 1, Once: true, Token: 3},
		}, 1},
		{"shared", []Event{
			{Kind: "arm", Worker: "a", Job: "j"}, {Kind: "run", Worker: "a", Job: "j", Members: 1, Mask: shape.Mask(3)},
			{Kind: "arm", Worker: "a", Job: "k"}, {Kind: "run", Worker: "a", Job: "k", Members: 1, Mask: shape.Mask(2)},
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(len(Violations(tt.trail)), tt.want)
		})
	}
}
