package leader

import (
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
