package instance

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a job whose way through the instances cannot be told from the
// logs and its id alone: handed in at one instance, started by a leader that is
// then killed, lost with its worker, started again by the next leader, done.
func TestLogsFollowJob(t *testing.T) {
	is := is.New(t)
	r := play(t, 1, 3, 8, func(c *cluster) {
		time.Sleep(8 * time.Second)
		first := c.leader()
		at := c.nodes[(slices.Index(c.nodes, first)+1)%len(c.nodes)]
		is.True(c.submit(at, job("a", ledger.Step{Count: 1, GPU: 8, Estimate: 9000})))
		time.Sleep(time.Second)
		c.kill(first)
		time.Sleep(7 * time.Second)
		second := c.leader()
		is.True(second != first)
		c.workers.Remove(c.occupied())
		time.Sleep(20 * time.Second)
		is.Equal(c.phase(at, "a"), ledger.Finished)
		got := c.lines.about("a")
		want := []string{
			at.name + " submit", first.name + " start", second.name + " run left behind",
			second.name + " start", second.name + " job done",
		}
		is.Equal(len(got), len(want))
		// The submission is logged when its answer is known, which the leader
		// may read from the log at the same moment.
		slices.Sort(got[:2])
		slices.Sort(want[:2])
		is.Equal(got, want)
	})
	is.Equal(r.Broken, nil)
}
