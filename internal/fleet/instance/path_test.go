package instance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/fleettest"
	"jasminelane.example/lane/internal/fleet/intake"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a kind of job that is not started, does not end, or whose phase
// is not reported on another instance.
func TestJobsEnd(t *testing.T) {
	tests := []struct {
		name string
		job  ledger.Job
	}{
		{"one task", job("a", ledger.Step{Count: 1, CPU: 100, GPU: 1, Estimate: 500})},
		{"tasks", job("b", ledger.Step{Count: 30, CPU: 100, GPU: 1, Estimate: 700})},
		{"gang", job("c", ledger.Step{Count: 4, CPU: 100, GPU: 8, Estimate: 700, Gang: true, SameRack: true})},
		{"apart", job("d", ledger.Step{Count: 4, CPU: 100, GPU: 1, Estimate: 300, MaxPerWorker: 1})},
		{"steps", ledger.Job{ID: "e", Spec: "spec", Steps: []ledger.Step{
			{Count: 2, GPU: 1, Estimate: 300}, {Count: 2, GPU: 1, Estimate: 300, After: []int{0}, Gang: true}, {Count: 1, GPU: 1, Estimate: 200, After: []int{0, 1}},
		}}},
		{"occurrences", ledger.Job{ID: "f", Spec: "spec", OccurrenceCount: 3, Period: 900, FirstDue: 946684803000, Steps: []ledger.Step{{Count: 1, GPU: 1, Estimate: 200}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := runCluster(t, 1, 3, 8, func(c *cluster) {
				time.Sleep(2 * time.Second)
				is.True(c.submit(c.nodes[1], tt.job))
				is.Equal(c.waitFinished([]string{tt.job.ID}, 20*time.Second), nil)
				is.Equal(c.phase(c.nodes[2], tt.job.ID), ledger.Finished)
			})
			is.Equal(r.Violations, nil)
			is.Equal(r.IncompleteGangs, nil)
		})
	}
}

// Guards against a job that is refused as if it could be accepted later, although the log
// never takes a record of its size.
func TestJobLargerThanRecord(t *testing.T) {
	is := is.New(t)
	limit := func(n *Instance) { n.Settings.RecordBytes = 1000 }
	runClusterWith(t, 1, 3, 4, limit, func(c *cluster) {
		time.Sleep(2 * time.Second)
		j := job("a", ledger.Step{Count: 1, GPU: 1, Estimate: 1000})
		is.Equal(c.submitOnce(c.nodes[0], j), intake.Accepted)
		j.ID, j.Spec = "b", strings.Repeat("x", 1000)
		began := time.Now()
		is.Equal(c.submitOnce(c.nodes[0], j), intake.TooLarge)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// Guards against tasks that go on running after their job's cancellation was
// acknowledged.
func TestCancel(t *testing.T) {
	is := is.New(t)
	r := runCluster(t, 1, 3, 4, func(c *cluster) {
		time.Sleep(2 * time.Second)
		is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 4, GPU: 1, Estimate: 60000})))
		time.Sleep(time.Second)
		is.Equal(c.nodes[1].instance().Intake.Cancel(c.ctx, "a").Outcome.String(), "accepted")
		time.Sleep(time.Second)
		c.workers.WithLock(func() {
			for _, w := range c.workers.List {
				is.Equal(w.Running(), 0)
			}
		})
		is.Equal(c.phase(c.nodes[2], "a"), ledger.Cancelled)
		is.Equal(c.nodes[1].instance().Intake.Cancel(c.ctx, "never").Outcome.String(), "gone")
	})
	is.Equal(r.Violations, nil)
}

// Guards against tasks of a cancelled job that go on because a worker refused a
// request to stop them.
func TestCancelWhileStopsAreRefused(t *testing.T) {
	is := is.New(t)
	r := runCluster(t, 1, 3, 4, func(c *cluster) {
		time.Sleep(2 * time.Second)
		is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 16, GPU: 1, Estimate: 60000})))
		time.Sleep(time.Second)
		c.workers.WithLock(func() { c.workers.RefusedRate = 0.4 })
		is.Equal(c.cancel(c.nodes[1], "a"), "accepted")
		time.Sleep(2 * time.Second)
		c.workers.WithLock(func() { c.workers.RefusedRate = 0 })
		time.Sleep(1500 * time.Millisecond)
		c.workers.WithLock(func() {
			for _, w := range c.workers.List {
				is.Equal(w.Running(), 0)
			}
		})
	})
	is.Equal(r.Violations, nil)
}

// Guards against a new leader that starts running tasks again, or lets their
// leases expire, instead of taking them over.
func TestTakeover(t *testing.T) {
	tests := []struct {
		name        string
		injectFault func(c *cluster, lead *node)
	}{
		{"killed", func(c *cluster, lead *node) { c.kill(lead) }},
		{"restarted", func(c *cluster, lead *node) { c.restart(lead) }},
		{"frozen", func(c *cluster, lead *node) { c.freeze(lead, 5*time.Second) }},
		{"cut from the log", func(c *cluster, lead *node) {
			c.log.SetFaults(func(l *fleettest.LogFaults) { l.RefusedInstances[lead.name] = true })
			time.AfterFunc(5*time.Second, func() { c.log.SetFaults(func(l *fleettest.LogFaults) { l.RefusedInstances[lead.name] = false }) })
		}},
		{"all restarted", func(c *cluster, _ *node) {
			for _, n := range c.nodes {
				c.restart(n)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			starts := 0
			r := runCluster(t, 1, 3, 4, func(c *cluster) {
				time.Sleep(2 * time.Second)
				is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 8, GPU: 1, Estimate: 9000})))
				time.Sleep(time.Second)
				lead := c.leader()
				is.True(lead != nil)
				tt.injectFault(c, lead)
				time.Sleep(6 * time.Second)
				if tt.name == "killed" {
					c.start(lead)
				}
				is.Equal(c.waitFinished([]string{"a"}, 20*time.Second), nil)
				c.nodes[0].instance().Feed.View(func(s *ledger.State) {
					for _, u := range s.Jobs["a"].Units {
						starts += u.Run
					}
				})
			})
			is.Equal(r.Violations, nil)
			is.Equal(starts, 8) // one run per task
		})
	}
}

// Guards against leases that expire during an outage of the log although the
// leader is alive.
func TestLogOutageKeepsLeases(t *testing.T) {
	is := is.New(t)
	r := runCluster(t, 1, 3, 4, func(c *cluster) {
		time.Sleep(2 * time.Second)
		is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 8, GPU: 1, Estimate: 12000})))
		time.Sleep(time.Second)
		c.log.SetFaults(func(l *fleettest.LogFaults) { l.RefuseAll = true })
		time.Sleep(9 * time.Second)
		c.log.SetFaults(func(l *fleettest.LogFaults) { l.RefuseAll = false })
		is.Equal(c.waitFinished([]string{"a"}, 20*time.Second), nil)
		c.nodes[0].instance().Feed.View(func(s *ledger.State) {
			for _, u := range s.Jobs["a"].Units {
				is.Equal(u.Run, 1)
			}
		})
	})
	is.Equal(r.Violations, nil)
}

// Guards against a task that still runs on an unreachable worker when another
// run of it starts elsewhere.
func TestUnreachableWorker(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		is := is.New(t)
		r := runCluster(t, 1, 3, 4, func(c *cluster) {
			time.Sleep(2 * time.Second)
			is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 2, GPU: 8, Estimate: 20000, Gang: true})))
			time.Sleep(time.Second)
			c.workers.WithLock(func() {
				for _, w := range c.workers.List {
					if w.Running() > 0 {
						w.OnlyAnswersLost = oneWay
						for _, n := range c.nodes {
							w.UnreachableFrom[n.name] = true
						}
						break
					}
				}
			})
			is.Equal(c.waitFinished([]string{"a"}, 60*time.Second), nil)
		})
		is.Equal(r.Violations, nil)
	}
}

// Guards against leases that expire because the leader reaches the log but no
// worker, while other instances reach both.
func TestLeaderCutFromWorkers(t *testing.T) {
	is := is.New(t)
	r := runCluster(t, 1, 3, 4, func(c *cluster) {
		time.Sleep(2 * time.Second)
		is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 8, GPU: 4, Estimate: 9000})))
		time.Sleep(time.Second)
		lead := c.leader()
		c.workers.WithLock(func() {
			for _, w := range c.workers.List {
				w.UnreachableFrom[lead.name] = true
			}
		})
		is.Equal(c.waitFinished([]string{"a"}, 20*time.Second), nil)
		is.True(c.leader() != lead)
		c.nodes[0].instance().Feed.View(func(s *ledger.State) {
			for _, u := range s.Jobs["a"].Units {
				is.Equal(u.Run, 1)
			}
		})
	})
	is.Equal(r.Violations, nil)
}

// Guards against tasks that go on running because their job was cancelled while
// there was no leader. Seen on mix --seed 644502482833 of sce-muscat.
func TestCancelWithoutLeader(t *testing.T) {
	is := is.New(t)
	r := runCluster(t, 1, 3, 4, func(c *cluster) {
		time.Sleep(2 * time.Second)
		is.True(c.submit(c.nodes[0], job("a", ledger.Step{Count: 4, GPU: 1, Estimate: 60000})))
		time.Sleep(time.Second)
		lead := c.leader()
		c.kill(lead)
		other := c.nodes[0]
		if other == lead {
			other = c.nodes[1]
		}
		is.Equal(c.cancel(other, "a"), "accepted")
		time.Sleep(3 * time.Second)
		c.workers.WithLock(func() {
			for _, w := range c.workers.List {
				is.Equal(w.Running(), 0)
			}
		})
	})
	is.Equal(r.Violations, nil)
}

// Guards against reporting a job as running although its end is in the log.
// Followers with little processor time pause between their reads of the log.
func TestFreshPhase(t *testing.T) {
	is := is.New(t)
	small := func(n *Instance) {
		if n.Settings.Node != "e0" {
			n.Settings.CPUs = 0.1
		}
	}
	r := runClusterWith(t, 1, 4, 4, small, func(c *cluster) {
		time.Sleep(3 * time.Second)
		for i := range 8 {
			id := fmt.Sprint("job", i)
			is.True(c.submit(c.nodes[1], job(id, ledger.Step{Count: 2, GPU: 1, Estimate: 700})))
			for c.phase(c.leader(), id) != ledger.Finished {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(110 * time.Millisecond) // a reported phase may be up to 100 ms old
			for _, n := range c.nodes {
				is.Equal(c.phase(n, id), ledger.Finished)
			}
		}
	})
	is.Equal(r.Violations, nil)
}
