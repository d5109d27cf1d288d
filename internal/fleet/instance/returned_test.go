package instance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap/zaptest/observer"

	"jasminelane.example/lane/internal/fleet/fleettest"
	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
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
			is.Equal(len(r.Violations), 1)
			is.True(strings.Contains(r.Violations[0], " beside run 1 "))
		})
	}
}

// Guards against combinations of faults in which a task runs twice because the run of
// a worker that was cut off and gone from all lists counted as lost. All tasks need the
// same worker, so that no other one can start them meanwhile.
func TestHistoriesOfLostRuns(t *testing.T) {
	var played, returned atomic.Int64
	t.Cleanup(func() {
		if played.Load() >= 100 && returned.Load() == 0 {
			t.Error("no lost run came back")
		}
	})
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var violations []string
			r := runCluster(t, seed, 3, 5, func(c *cluster) {
				violations = playLostRuns(c, seed)
				played.Add(1)
				returned.Add(int64(c.lines.observed.Filter(isReturn).Len()))
			})
			for _, v := range append(r.Violations, violations...) {
				t.Error(v)
			}
		})
	}
}

// isReturn reports whether the line tells of a lost run that was reported again.
func isReturn(e observer.LoggedEntry) bool {
	return strings.HasPrefix(e.Message, "lost run has come back")
}

// playLostRuns plays a history in which one worker vanishes again and again. It returns
// the promises that are not kept at its end.
func playLostRuns(c *cluster, seed uint64) []string {
	h := &history{c: c, rnd: rand.New(rand.NewPCG(seed, 7)), accepted: make(map[string]bool), label: "r1"}
	time.Sleep(6 * time.Second) // until the machine is expected in the list
	h.c.workers.WithLock(func() {
		h.c.rules.NoDisruption = false
		h.c.workers.List["w4"].Total = plan.Resources{CPU: 32000, Memory: 32000, GPU: 32}
	})
	for range 1 + h.rnd.IntN(4) {
		h.during(h.randomTime(), h.randomSpan()/2, func(on bool) { c.vanish("w4", on) })
	}
	for range h.rnd.IntN(4) {
		h.drawLeaderFault()
	}
	h.load()
	h.heal()
	c.vanish("w4", false)
	return h.checkEnd()
}

// drawLeaderFault draws a fault that may change the leader or delay its records.
func (h *history) drawLeaderFault() {
	span, fraction := h.randomSpan(), 0.05+0.4*h.rnd.Float64()
	leading := func() *node {
		if n := h.c.leader(); n != nil {
			return n
		}
		return h.c.nodes[0]
	}
	switch h.rnd.IntN(5) {
	case 0:
		h.after(h.randomTime(), func() { h.c.restart(leading()) })
	case 1:
		h.after(h.randomTime(), func() { h.c.freeze(leading(), span) })
	case 2:
		h.during(h.randomTime(), span, func(on bool) {
			h.c.log.SetFaults(func(l *fleettest.LogFaults) { l.LostResponseRate = fraction * oneIf(on) })
		})
	case 3:
		h.during(h.randomTime(), span, func(on bool) {
			h.c.workers.WithLock(func() { h.c.workers.LostResponseRate = fraction * oneIf(on) })
		})
	case 4:
		h.c.workers.WithLock(func() { h.c.workers.FailureRate = 0.1 })
	}
}

// Guards against a second run beside a lost run that was taken back by a leader that is cut off from the log, so that the next leader does not know of it.
func TestLostRunReturnsToCutOffLeader(t *testing.T) {
	is := is.New(t)
	r := runCluster(t, 1, 3, 3, func(c *cluster) {
		time.Sleep(8 * time.Second)
		for i := range 3 {
			j := job(fmt.Sprint("a", i), ledger.Step{Count: 1, GPU: 8, Estimate: 8000})
			j.Priority = 1
			is.True(c.submit(c.nodes[0], j))
		}
		time.Sleep(time.Second)
		first := slices.Index(c.nodes, c.leader())
		id := fmt.Sprintf("w%d", first)
		c.vanish(id, true)
		time.Sleep(3500 * time.Millisecond)
		c.vanish(id, false)
		c.cutDomain(first, true)
		time.Sleep(10 * time.Second)
		c.cutDomain(first, false)
		is.Equal(len(c.waitFinished([]string{"a0", "a1", "a2"}, 30*time.Second)), 0)
	})
	is.Equal(r.Violations, nil)
}
