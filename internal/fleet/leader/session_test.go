package leader

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a run on a worker that does not answer that counts as lost while the worker's next incarnation may run it, and against waiting for longer than that.
func TestExpireLeases(t *testing.T) {
	lease := 6 * time.Second
	tests := []struct {
		name string
		run  func(l *Leader) *run
		want time.Duration // from the start of the leader until the run counts as lost
	}{
		{"accepted", func(l *Leader) *run { return &run{proof: proof{settledAt: l.startedAt}} }, maxLeaseTime(lease)},
		{"not answered", func(l *Leader) *run { return &run{proof: proof{openStarts: 1, startSentAt: l.startedAt}} }, maxRequestDelay + maxLeaseTime(lease)},
		{"accepted after a request without an answer", func(l *Leader) *run {
			return &run{accepted: true, proof: proof{openStarts: 1, startSentAt: l.startedAt, settledAt: l.startedAt}}
		}, maxRequestDelay + maxLeaseTime(lease)},
		{"not answered long ago", func(l *Leader) *run {
			return &run{proof: proof{openStarts: 1, startSentAt: l.startedAt.Add(-maxRequestDelay)}}
		}, maxLeaseTime(lease)},
		{"of an earlier leader", func(l *Leader) *run {
			return &run{inherited: true, proof: proof{settledAt: l.startedAt}}
		}, startDeadline + maxRequestDelay + maxLeaseTime(lease)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := testLeader()
				w := newWorker("w", l.startedAt.Add(maxLeaseTime(lease)))
				n := tt.run(l)
				n.key, n.unit, n.worker = runKey{TaskID{Job: "a"}, 1}, ledger.UnitID{Job: "a"}, w
				w.runs[n.key] = n
				time.Sleep(tt.want - time.Millisecond)
				l.expireLeases(w)
				is.True(!n.endProposed)
				time.Sleep(time.Millisecond)
				l.expireLeases(w)
				is.True(n.endProposed)
			})
		})
	}
}

// Guards against a worker that is gone for seconds before its session notices, because the session was idle and only stop requests go unanswered.
func TestUnansweredRequestEndsIdlePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var gone atomic.Bool
		answer := func() error {
			if gone.Load() {
				time.Sleep(requestTimeout)
				return &NoAnswerError{io.EOF}
			}
			return nil
		}
		s := newStartTest(t, WorkerClient{
			Stop: func(context.Context, Target, StopRequest) error { return answer() },
			Sync: func(context.Context, Target, SyncRequest) (Report, error) { return Report{Incarnation: 1}, answer() },
		})
		defer s.cancel()
		s.leader.mu.Lock()
		s.leader.removeRun(s.run)
		s.leader.mu.Unlock()
		go s.leader.runSession(s.worker)
		time.Sleep(10 * time.Millisecond) // the session is idle
		gone.Store(true)
		s.leader.mu.Lock()
		s.leader.addRun(s.worker, s.run)
		s.run.removed, s.run.openStarts = false, 1
		s.leader.stopRun(s.worker, s.run, "gang broken")
		s.leader.mu.Unlock()
		time.Sleep(2*requestTimeout + syncTimeout)
		s.leader.mu.Lock()
		noticed := s.worker.unresponsive
		s.leader.mu.Unlock()
		is.True(noticed)
		s.cancel()
		time.Sleep(time.Second) // until the requests in flight have ended
	})
}

// Guards against a session that does not sync with a worker that is back, because requests that fail meanwhile restart its pause.
func TestFailedRequestsDoNotPostponeSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var syncs atomic.Int32
		s := newStartTest(t, WorkerClient{
			Sync: func(context.Context, Target, SyncRequest) (Report, error) {
				syncs.Add(1)
				return Report{}, errRefusedConn
			},
		})
		defer s.cancel()
		go s.leader.runSession(s.worker)
		for range 100 {
			time.Sleep(syncRetryDelay / 5)
			s.worker.wakeSession()
		}
		is.True(syncs.Load() >= 19)
	})
}
