package instance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/fleettest"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// logged returns how often instances logged the message.
func (c *cluster) logged(message string) int {
	n := 0
	for _, e := range c.lines.observed.All() {
		if strings.HasPrefix(e.Message, message) {
			n++
		}
	}
	return n
}

// Guards against instances that read the whole log after a loss of power, against
// a state from a snapshot that lacks jobs, and against the loss of jobs whose
// records have expired.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	r := runCluster(t, 1, 3, 8, func(c *cluster) {
		time.Sleep(3 * time.Second)
		for i := range 30 {
			is.True(c.submit(c.nodes[i%3], job(fmt.Sprint("short", i), ledger.Step{Count: 4, GPU: 1, Estimate: 200})))
		}
		is.True(c.submit(c.nodes[0], job("long", ledger.Step{Count: 4, GPU: 1, Estimate: 20000})))
		time.Sleep(3 * time.Second)
		is.True(c.log.Snapshots() > 0)
		end := c.log.End()
		time.Sleep(2 * time.Second)
		c.log.SetFaults(func(l *fleettest.LogFaults) { l.FirstOffset = end - 5 })
		for _, n := range c.nodes {
			c.restart(n)
		}
		time.Sleep(2 * time.Second)
		is.Equal(c.logged("snapshot loaded"), 3)
		is.Equal(c.phase(c.nodes[1], "long"), ledger.Running)
		is.Equal(c.phase(c.nodes[2], "short3"), ledger.Finished)
		is.Equal(c.waitFinished([]string{"long"}, 40*time.Second), nil)
	})
	is.Equal(r.Violations, nil)
}

// Guards against an instance that does not start because the snapshot is
// malformed, or that goes back to an older state than it had.
func TestMalformedSnapshot(t *testing.T) {
	is := is.New(t)
	runCluster(t, 1, 3, 8, func(c *cluster) {
		time.Sleep(3 * time.Second)
		is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 1, GPU: 1, Estimate: 200})))
		is.NoErr(c.log.SaveSnapshot(c.ctx, "other", []byte("no snapshot")))
		for _, n := range c.nodes {
			c.restart(n)
		}
		time.Sleep(3 * time.Second)
		is.Equal(c.countLeaders(), 1)
		is.True(c.phase(c.nodes[1], "a") != "")
	})
}
