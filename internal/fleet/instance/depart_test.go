package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// busyWorker returns the ID of a worker that runs tasks, or an empty string.
func (c *cluster) busyWorker() string {
	id := ""
	c.workers.WithLock(func() {
		for _, w := range c.workers.List {
			if w.Running() > 0 {
				id = w.ID
			}
		}
	})
	return id
}

// Guards against a gang that is not restarted until its lease on a worker
// expires that the platform has removed. A lease lasts 6 s and the gang runs
// for 3 s.
func TestDeparture(t *testing.T) {
	is := is.New(t)
	r := runCluster(t, 1, 3, 8, func(c *cluster) {
		time.Sleep(8 * time.Second)
		is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 4, GPU: 8, Estimate: 3000, Gang: true})))
		time.Sleep(time.Second)
		c.workers.Remove(c.busyWorker())
		time.Sleep(5500 * time.Millisecond)
		is.Equal(c.phase(c.nodes[1], "a"), ledger.Finished)
	})
	is.Equal(r.Violations, nil)
}

// Guards against tasks that stay on a draining worker until the platform
// removes it, although they cannot finish there in time.
func TestDrainingWorker(t *testing.T) {
	is := is.New(t)
	r := runCluster(t, 1, 3, 8, func(c *cluster) {
		time.Sleep(8 * time.Second)
		is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 4, GPU: 8, Estimate: 8000, Gang: true})))
		time.Sleep(time.Second)
		c.workers.Drain(c.busyWorker(), 2*time.Second)
		time.Sleep(9500 * time.Millisecond)
		is.Equal(c.phase(c.nodes[1], "a"), ledger.Finished)
	})
	is.Equal(r.Violations, nil)
}

// Guards against a second run of a task beside the first one. The first runs on
// a worker that no instance can reach and that is missing from the list of
// workers, but that is still up.
func TestCutWorkerHasNotLeft(t *testing.T) {
	is := is.New(t)
	r := runCluster(t, 1, 3, 8, func(c *cluster) {
		time.Sleep(8 * time.Second)
		is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 4, GPU: 8, Estimate: 20000})))
		time.Sleep(time.Second)
		id := c.busyWorker()
		c.workers.WithLock(func() { c.workers.List[id].Unlisted = true })
		c.cutOff(id, "")
		time.Sleep(30 * time.Second)
		is.Equal(c.phase(c.nodes[1], "a"), ledger.Finished)
	})
	is.Equal(r.Violations, nil)
}
