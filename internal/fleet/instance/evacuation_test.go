package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// runningIn returns the number of runs on the workers of the failure domain.
func (c *cluster) runningIn(domain string) int {
	n := 0
	c.workers.WithLock(func() {
		for _, w := range c.workers.List {
			if w.Domain == domain {
				n += w.Running()
			}
		}
	})
	return n
}

// survivor returns an instance that was not killed.
func (c *cluster) survivor() *node {
	for _, n := range c.nodes {
		if !n.isDead() {
			return n
		}
	}
	return nil
}

// Guards against starts in an evacuated failure domain, also after a change of
// leader and while work waits, against runs there that are stopped although they
// may end, and against a domain that is not used again.
func TestEvacuation(t *testing.T) {
	is := is.New(t)
	r := runCluster(t, 1, 3, 8, func(c *cluster) {
		time.Sleep(8 * time.Second)
		is.True(c.submit(c.nodes[0], job("before", ledger.Step{Count: 8, GPU: 8, Estimate: 3000})))
		time.Sleep(time.Second)
		is.Equal(c.runningIn("d0"), 4)
		c.evacuate("d0", true)
		for i := range 3 {
			is.True(c.submit(c.nodes[i], job(fmt.Sprint("waits", i), ledger.Step{Count: 4, GPU: 8, Estimate: 4000, Gang: true})))
		}
		c.kill(c.leader())
		time.Sleep(4 * time.Second)
		is.Equal(c.runningIn("d0"), 0)
		is.Equal(c.phase(c.survivor(), "before"), ledger.Finished)
		time.Sleep(2 * time.Second)
		c.evacuate("d0", false)
		time.Sleep(time.Second)
		is.Equal(c.runningIn("d0"), 4)
	})
	is.Equal(r.Violations, nil)
	for _, n := range r.StartCounts {
		is.Equal(n, 1) // nothing was stopped for the evacuation
	}
}

// Guards against a start that was decided before the evacuation and is sent, or
// sent again, after it.
func TestEvacuationDuringStarts(t *testing.T) {
	is := is.New(t)
	r := runCluster(t, 1, 1, 8, func(c *cluster) {
		time.Sleep(8 * time.Second)
		c.workers.WithLock(func() {
			for _, w := range c.workers.List {
				w.UnreachableFrom["e0"] = w.Domain == "d0"
			}
		})
		is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 8, GPU: 8, Estimate: 500})))
		time.Sleep(100 * time.Millisecond)
		c.evacuate("d0", true)
		time.Sleep(600 * time.Millisecond) // until the requests under way are lost
		c.workers.WithLock(func() {
			for _, w := range c.workers.List {
				w.UnreachableFrom["e0"] = false
			}
		})
		is.Equal(c.waitFinished([]string{"a"}, 20*time.Second), nil)
	})
	is.Equal(r.Violations, nil)
}
