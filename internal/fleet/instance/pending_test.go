package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// unanswered lets a worker carry out the requests of all instances without an answer, or
// no longer.
func (c *cluster) unanswered(id string, on bool) {
	c.workers.WithLock(func() {
		w := c.workers.List[id]
		w.OnlyAnswersLost = on
		for _, n := range c.nodes {
			w.UnreachableFrom[n.name] = on
		}
	})
}

// Guards against jobs that are shown as running and not counted as pending although no task
// of theirs has begun, and against jobs that have begun and are shown as queued.
func TestPending(t *testing.T) {
	const id = "w4" // the only worker with the label
	task := ledger.Step{Count: 1, GPU: 1, Estimate: 60000, Label: "r1"}
	gang := ledger.Step{Count: 2, GPU: 1, Estimate: 60000, Label: "r1", Gang: true}
	tests := []struct {
		name string
		step ledger.Step
		play func(c *cluster, submit func()) // ends when the phase must be known
		want ledger.Phase
	}{
		{"begun", task, func(c *cluster, submit func()) { submit() }, ledger.Running},
		{"gang begun", gang, func(c *cluster, submit func()) { submit() }, ledger.Running},
		{"worker lost for good", task, func(c *cluster, submit func()) { c.vanish(id, true); submit(); time.Sleep(4 * time.Second) }, ledger.Queued},
		{"worker of a gang lost for good", gang, func(c *cluster, submit func()) { c.vanish(id, true); submit(); time.Sleep(4 * time.Second) }, ledger.Queued},
		{"begun, then lost for good", task, func(c *cluster, submit func()) {
			submit()
			time.Sleep(time.Second)
			c.vanish(id, true)
			time.Sleep(10 * time.Second)
		}, ledger.Running},
		{"not begun, then another leader", task, func(c *cluster, submit func()) {
			c.vanish(id, true)
			submit()
			time.Sleep(time.Second)
			c.restart(c.leader())
			time.Sleep(10 * time.Second)
		}, ledger.Queued},
		{"begun, then another leader", task, func(c *cluster, submit func()) {
			submit()
			time.Sleep(time.Second)
			c.restart(c.leader())
			time.Sleep(10 * time.Second)
		}, ledger.Running},
		{"carried out without an answer", task, func(c *cluster, submit func()) {
			c.unanswered(id, true)
			submit()
			time.Sleep(1500 * time.Millisecond)
			c.unanswered(id, false)
			time.Sleep(time.Second)
		}, ledger.Running},
		{"carried out without an answer, found by another leader", task, func(c *cluster, submit func()) {
			c.unanswered(id, true)
			submit()
			time.Sleep(time.Second)
			c.restart(c.leader())
			c.unanswered(id, false)
			time.Sleep(6 * time.Second)
		}, ledger.Running},
		{"lost and returned", task, func(c *cluster, submit func()) {
			c.unanswered(id, true)
			submit()
			time.Sleep(time.Second)
			c.vanish(id, true)
			time.Sleep(2 * time.Second)
			c.unanswered(id, false)
			c.vanish(id, false)
			time.Sleep(3 * time.Second)
		}, ledger.Running},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := runCluster(t, 1, 3, 5, func(c *cluster) {
				is := is.New(t)
				time.Sleep(8 * time.Second)
				const jobs = 4
				tt.play(c, func() {
					for i := range jobs {
						is.True(c.submit(c.nodes[i%3], job(fmt.Sprint("a", i), tt.step)))
					}
				})
				time.Sleep(2 * time.Second) // the count may be that old
				pending := 0
				if tt.want == ledger.Queued {
					pending = jobs
				}
				for _, n := range c.nodes {
					is.Equal(n.instance().Intake.Pending("urgent"), pending)
					for i := range jobs {
						is.Equal(c.phase(n, fmt.Sprint("a", i)), tt.want)
					}
				}
			})
			is.New(t).Equal(r.Violations, nil)
		})
	}
}
