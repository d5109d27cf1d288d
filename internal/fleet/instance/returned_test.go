package instance

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// vanish cuts a worker off from all instances and takes it out of all lists, or
// ends both.
func (c *cluster) vanish(id string, vanished bool) {
	c.workers.WithLock(func() {
		w := c.workers.List[id]
		w.Unlisted, w.Absent = vanished, vanished
		for _, n := range c.nodes {
			w.UnreachableFrom[n.name] = vanished
		}
	})
}

// lostRuns returns how many runs counted as lost.
func (c *cluster) lostRuns() int { return c.lines.observed.FilterMessage("run lost").Len() }

// Guards against a second run of a task whose first one counted as lost and is reported again before the second one could start.
func TestLostRunReturns(t *testing.T) {
	tests := []struct {
		name      string
		estimate  int64
		newLeader bool // another leader has inherited the state meanwhile
	}{
		{"running", 12000, false},
		{"done", 2000, false},
		{"running, with a new leader", 12000, true},
		{"done, with a new leader", 2000, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := runCluster(t, 1, 3, 5, func(c *cluster) {
				time.Sleep(8 * time.Second)
				is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 1, GPU: 8, Estimate: tt.estimate, Label: "r1"})))
				time.Sleep(time.Second)
				id := c.busyWorker() // the only one with the label
				c.vanish(id, true)
				time.Sleep(2 * time.Second)
				is.Equal(c.lostRuns(), 1)
				if tt.newLeader {
					c.restart(c.leader())
				}
				time.Sleep(2 * time.Second)
				c.vanish(id, false)
				is.Equal(len(c.waitFinished([]string{"a"}, 30*time.Second)), 0)
			})
			is.Equal(r.StartCounts[leader.TaskID{Job: "a"}], 1)
			is.Equal(r.Violations, nil)
		})
	}
}

// Guards against a lost run that goes on, or a job that is not done, because the run came back after its successor had started.
func TestLostRunReturnsLate(t *testing.T) {
	tests := []struct {
		name     string
		estimate int64
		limit    time.Duration // until the job is done, from the return on
	}{
		{"running", 8000, 10 * time.Second},
		{"done", 4000, time.Second}, // the successor needs longer
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := runCluster(t, 1, 3, 2, func(c *cluster) {
				time.Sleep(8 * time.Second)
				is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 1, GPU: 8, Estimate: tt.estimate})))
				time.Sleep(time.Second)
				id := c.busyWorker()
				c.vanish(id, true)
				time.Sleep(3500 * time.Millisecond)
				c.vanish(id, false)
				is.Equal(len(c.waitFinished([]string{"a"}, tt.limit)), 0)
				time.Sleep(time.Second)
				is.Equal(c.workers.PendingRuns(), nil)
			})
			is.Equal(r.StartCounts[leader.TaskID{Job: "a"}], 2)
			// The platform listed the worker as gone, so the second run begins beside the first one.
			is.Equal(len(slices.DeleteFunc(r.Violations, func(v string) bool { return v == r.Violations[0] })), 0)
		})
	}
}
