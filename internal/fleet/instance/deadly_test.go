package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a task that crashes worker after worker because nothing counts the crashes.
func TestTaskThatCrashesWorkers(t *testing.T) {
	tests := []struct {
		name     string
		step     ledger.Step
		replaced bool // crashed workers return under another ID
		takeover bool // the leader is killed after the first crash
	}{
		{"task", ledger.Step{Count: 1, GPU: 1, Estimate: 1000}, false, false},
		{"task, workers replaced", ledger.Step{Count: 1, GPU: 1, Estimate: 1000}, true, false},
		{"task, takeover", ledger.Step{Count: 1, GPU: 1, Estimate: 1000}, false, true},
		{"task, workers replaced, takeover", ledger.Step{Count: 1, GPU: 1, Estimate: 1000}, true, true},
		{"gang", ledger.Step{Count: 4, GPU: 4, Estimate: 1000, Gang: true}, false, false},
		{"gang, workers replaced, takeover", ledger.Step{Count: 4, GPU: 4, Estimate: 1000, Gang: true}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var phases []ledger.Phase
			r := runCluster(t, 1, 3, 8, func(c *cluster) {
				c.workers.WithLock(func() { c.workers.DeadlyJobs["deadly"], c.workers.ReplaceCrashed = true, tt.replaced })
				time.Sleep(8 * time.Second)
				c.submit(c.nodes[0], job("sound", ledger.Step{Count: 12, GPU: 2, Estimate: 9000}))
				c.submit(c.nodes[1], job("deadly", tt.step))
				if tt.takeover {
					time.Sleep(200 * time.Millisecond)
					c.kill(c.leader())
				}
				time.Sleep(80 * time.Second)
				for _, n := range c.nodes {
					if !n.isDead() {
						phases = append(phases, c.phase(n, "deadly"), c.phase(n, "sound"))
					}
				}
			})
			is.Equal(r.Violations, nil)
			for i, phase := range phases {
				is.Equal(phase, []ledger.Phase{ledger.JobFailed, ledger.Finished}[i%2])
			}
			is.True(len(phases) >= 4)
		})
	}
}

// Guards against a job that is shown as failed although its task lasts, and against such a task that crashes worker after worker without a pause.
func TestLastingTaskThatCrashesWorkers(t *testing.T) {
	is := is.New(t)
	const span = 80 * time.Second
	var deadly, sound ledger.Phase
	starts := 0
	r := runCluster(t, 1, 3, 8, func(c *cluster) {
		c.workers.WithLock(func() { c.workers.DeadlyJobs["deadly"], c.workers.ReplaceCrashed = true, true })
		time.Sleep(8 * time.Second)
		c.submit(c.nodes[0], job("sound", ledger.Step{Count: 12, GPU: 2, Estimate: 9000}))
		c.submit(c.nodes[1], job("deadly", ledger.Step{Count: 1, GPU: 1, Estimate: 1000, LongRunning: true}))
		time.Sleep(span)
		deadly, sound = c.phase(c.nodes[2], "deadly"), c.phase(c.nodes[2], "sound")
		c.workers.WithLock(func() { starts = c.rules.StartCounts[leader.TaskID{Job: "deadly"}] })
	})
	is.Equal(r.Violations, nil)
	is.Equal(deadly, ledger.Running)
	is.Equal(sound, ledger.Finished)
	is.True(starts > int(span/(9*time.Second))) // it is started again within 9 s each time
	is.True(starts < int(span/(4*time.Second))) // it is started every 4 s at most
}

// Guards against starts on resources that a worker no longer has, and against resources that stay unused when they are back.
func TestWorkerShrinksAndGrows(t *testing.T) {
	is := is.New(t)
	var beside, after ledger.Phase
	r := runCluster(t, 1, 3, 1, func(c *cluster) {
		setGPUs := func(n int64) {
			c.workers.WithLock(func() { c.workers.List["w0"].Total.GPU = n })
			time.Sleep(5 * time.Second) // until the leader has read the entry
		}
		time.Sleep(8 * time.Second)
		c.submit(c.nodes[0], job("a", ledger.Step{Count: 1, GPU: 4, Estimate: 20000}))
		time.Sleep(time.Second)
		setGPUs(4)
		c.submit(c.nodes[0], job("b", ledger.Step{Count: 1, GPU: 2, Estimate: 500}))
		time.Sleep(5 * time.Second)
		beside = c.phase(c.nodes[1], "b")
		setGPUs(8)
		after = c.phase(c.nodes[1], "b")
	})
	is.Equal(r.Violations, nil)
	is.Equal(beside, ledger.Queued)
	is.Equal(after, ledger.Finished)
}
