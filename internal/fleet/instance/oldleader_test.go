package instance

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/fleettest"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a second run of a task beside one whose lease the leader before still renews, because the worker's entry has gone from the list.
func TestUnlistedWorkerOfEarlierLeader(t *testing.T) {
	is := is.New(t)
	r := runCluster(t, 1, 3, 8, func(c *cluster) {
		time.Sleep(8 * time.Second)
		is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 1, GPU: 8, Estimate: 12000})))
		time.Sleep(time.Second)
		id, first := c.busyWorker(), c.leader().name
		c.log.SetFaults(func(l *fleettest.LogFaults) { l.RefusedInstances[first] = true })
		c.workers.WithLock(func() { c.workers.List[id].Unlisted = true })
		c.cutOff(id, first)
		time.Sleep(20 * time.Second)
		is.True(slices.ContainsFunc(c.nodes, func(n *node) bool { return n.name != first && n.instance().Feed.Leading() }))
		c.log.ClearFaults()
		c.workers.ClearFaults()
		c.workers.WithLock(func() { c.workers.List[id].Unlisted = false })
		is.Equal(len(c.waitFinished([]string{"a"}, 30*time.Second)), 0)
	})
	is.Equal(r.Violations, nil)
}
