package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/fleettest"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a second run of a task beside one that a worker's next incarnation started late, behind a cut, with a lease of its own.
func TestLateStartBehindCut(t *testing.T) {
	for seed := range uint64(4) {
		is := is.New(t)
		r := runCluster(t, seed, 3, 8, func(c *cluster) {
			time.Sleep(8 * time.Second)
			c.workers.WithLock(func() { c.workers.DelayedRate, c.workers.DelayedReach = 1, fleettest.ReachAny })
			is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 1, GPU: 8, Estimate: 20000})))
			time.Sleep(200 * time.Millisecond)
			id := c.lines.startedOn(t)
			c.workers.WithLock(func() { c.workers.DelayedRate = 0 })
			c.cutOff(id, "")
			c.workers.Crash(id)
			time.Sleep(500 * time.Millisecond)
			c.workers.Reboot(id)
			time.Sleep(60 * time.Second)
			is.Equal(c.phase(c.nodes[1], "a"), ledger.Finished)
		})
		is.Equal(r.Violations, nil)
	}
}

// startedOn returns the worker of the first start that was decided.
func (l *logLines) startedOn(t *testing.T) string {
	for _, e := range l.observed.FilterMessage("start").All() {
		if workers, ok := e.ContextMap()["workers"].([]any); ok && len(workers) > 0 {
			id, _ := workers[0].(string)
			return id
		}
	}
	t.Fatal("nothing was started")
	return ""
}
