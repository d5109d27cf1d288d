package instance

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a run of a cancelled job that goes on for ever because its worker carries out no stop request while its leases are renewed, and against ending other runs of a worker that recovers.
func TestUnstoppableWorker(t *testing.T) {
	refused := &leader.RefusedError{Reason: leader.RefusedUnhealthy}
	tests := []struct {
		name        string
		stopErr     error
		recovers    time.Duration // when the worker carries out stop requests again; 0 is never
		cancel      bool
		wantStarts  int // of the job that is not cancelled
		wantRunning int // when that job is done
	}{
		{"refuses stops", refused, 0, true, 2, 0},
		{"does not answer stops", &leader.NoAnswerError{Err: errors.New("no answer")}, 0, true, 2, 0},
		{"refuses stops for a while", refused, 5 * time.Second, true, 1, 0},
		{"nothing to stop", refused, 0, false, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := runCluster(t, 1, 3, 1, func(c *cluster) {
				time.Sleep(8 * time.Second)
				is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 1, CPU: 100, Estimate: 60000})))
				is.True(c.submit(c.nodes[0], job("b", ledger.Step{Count: 1, CPU: 100, Estimate: 19500})))
				time.Sleep(time.Second)
				setStopErr := func(err error) {
					c.workers.WithLock(func() { c.workers.List["w0"].StopErr = err })
				}
				setStopErr(tt.stopErr)
				if tt.cancel {
					is.Equal(c.cancel(c.nodes[0], "a"), "accepted")
				}
				if tt.recovers > 0 {
					time.AfterFunc(tt.recovers, func() { setStopErr(nil) })
				}
				time.Sleep(19 * time.Second)
				c.workers.WithLock(func() { is.True(c.workers.List["w0"].Running() <= tt.wantRunning+1) })
				is.Equal(len(c.waitFinished([]string{"b"}, 40*time.Second)), 0)
				c.workers.WithLock(func() {
					is.Equal(c.rules.StartCounts[leader.TaskID{Job: "b"}], tt.wantStarts)
					is.Equal(c.workers.List["w0"].Running(), tt.wantRunning)
				})
			})
			is.Equal(r.Violations, nil)
		})
	}
}
