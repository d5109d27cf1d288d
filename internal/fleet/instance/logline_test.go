package instance

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a job that cannot be traced through the instances' logs by its
// ID alone. The job is submitted to one instance and started by a leader that
// is then killed. Its worker is removed, and the next leader starts the job
// again and records its end.
func TestLogsFollowJob(t *testing.T) {
	is := is.New(t)
	r := runCluster(t, 1, 3, 8, func(c *cluster) {
		time.Sleep(8 * time.Second)
		first := c.leader()
		entry := c.nodes[(slices.Index(c.nodes, first)+1)%len(c.nodes)]
		is.True(c.submit(entry, job("a", ledger.Step{Count: 1, GPU: 8, Estimate: 9000})))
		time.Sleep(time.Second)
		c.kill(first)
		time.Sleep(7 * time.Second)
		second := c.leader()
		is.True(second != first)
		c.workers.Remove(c.busyWorker())
		time.Sleep(20 * time.Second)
		is.Equal(c.phase(entry, "a"), ledger.Finished)
		got := c.lines.about("a")
		want := []string{
			entry.name + " submit", first.name + " start", second.name + " run lost",
			second.name + " start", second.name + " job done",
		}
		is.Equal(len(got), len(want))
		// The order of the first two lines may vary: the submission is logged
		// when the append is acknowledged, and the leader may read the record
		// at the same time.
		slices.Sort(got[:2])
		slices.Sort(want[:2])
		is.Equal(got, want)
	})
	is.Equal(r.Violations, nil)
}
