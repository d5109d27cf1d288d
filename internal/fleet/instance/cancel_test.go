package instance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/fleettest"
	"jasminelane.example/lane/internal/fleet/intake"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// lateSubmissions lets the log carry out appends of a submission late, and not answer
// them.
type lateSubmissions struct {
	log  *fleettest.Log                                  // of the cluster
	late func(job string) (delay time.Duration, ok bool) // for each append
}

// install lets the appends of the instance be late.
func (l *lateSubmissions) install(n *Instance) {
	next := n.Append
	n.Append = func(ctx context.Context, b feed.Batch) (uint64, error) {
		job := submittedJob(b)
		if job == "" {
			return next(ctx, b)
		}
		delay, ok := l.late(job)
		if !ok {
			return next(ctx, b)
		}
		time.AfterFunc(delay, func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, _ = l.log.Append(ctx, n.Settings.Node, b)
		})
		<-ctx.Done()
		return 0, &feed.UncertainError{Err: ctx.Err()}
	}
}

// submittedJob returns the job of a batch that is a single submission, or an empty
// string.
func submittedJob(b feed.Batch) string {
	if len(b.Records) != 1 {
		return ""
	}
	r, err := ledger.Decode(b.Records[0])
	if err != nil || r.Submit == nil {
		return ""
	}
	return r.Submit.ID
}

// Guards against a job that runs after its cancellation was answered: its submission had
// an unknown outcome, and the log stored it only after the cancellation (review/9).
func TestCancelBeforeLateSubmission(t *testing.T) {
	tests := []struct {
		name  string
		after func(c *cluster) // what happens between the cancellation and the late submission
	}{
		{"nothing", func(*cluster) {}},
		{"leader killed", func(c *cluster) { c.kill(c.leader()) }},
		{"all restarted", func(c *cluster) {
			for _, n := range c.nodes {
				c.restart(n)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			late := &lateSubmissions{late: func(string) (time.Duration, bool) { return 7 * time.Second, true }}
			r := runClusterWith(t, 1, 3, 4, late.install, func(c *cluster) {
				late.log = c.log
				time.Sleep(2 * time.Second)
				is.Equal(c.submitOnce(c.nodes[0], job("late", ledger.Step{Count: 1, GPU: 1, Estimate: 60000})), intake.Unknown)
				is.Equal(c.cancel(c.nodes[1], "late"), "gone")
				at := time.Now()
				c.workers.WithLock(func() { c.rules.Cancelled["late"] = at })
				tt.after(c)
				time.Sleep(20 * time.Second)
				for _, n := range c.nodes {
					if !n.isDead() {
						is.Equal(c.phase(n, "late"), ledger.Cancelled)
						is.Equal(c.cancel(n, "late"), "accepted")
					}
				}
			})
			is.Equal(r.Violations, nil)
			is.Equal(len(r.StartCounts), 0)
		})
	}
}

// Guards against a job that never runs because its id was cancelled before.
func TestSubmitAfterCancel(t *testing.T) {
	for other := range 3 {
		t.Run(fmt.Sprint(other), func(t *testing.T) {
			is := is.New(t)
			r := runCluster(t, 1, 3, 4, func(c *cluster) {
				time.Sleep(2 * time.Second)
				is.Equal(c.cancel(c.nodes[0], "a"), "gone")
				is.Equal(c.phase(c.nodes[other], "a"), ledger.Phase(""))
				time.Sleep(time.Millisecond)
				is.Equal(c.submitOnce(c.nodes[other], job("a", ledger.Step{Count: 1, GPU: 1, Estimate: 1000})), intake.Accepted)
				time.Sleep(3 * time.Second)
				is.Equal(c.phase(c.nodes[0], "a"), ledger.Finished)
			})
			is.Equal(r.Violations, nil)
		})
	}
}

// Guards against jobs of callers who gave them up: who got no answer to their only
// submission and then cancelled. Such a job must not run after the cancellation was
// answered, whatever happens to the submission.
func TestHistoriesOfGivenUpJobs(t *testing.T) {
	for i := range *histories / 3 { // more than half of them notice a cancellation that is not stored
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var violations []string
			rnd := rand.New(rand.NewPCG(seed, 8))
			var mu sync.Mutex
			late := &lateSubmissions{late: func(string) (time.Duration, bool) {
				mu.Lock()
				defer mu.Unlock()
				return time.Duration(rnd.Int64N(int64(6 * time.Second))), rnd.IntN(10) > 0
			}}
			r := runClusterWith(t, seed, 3, 8, late.install, func(c *cluster) {
				late.log = c.log
				h := &history{c: c, rnd: rand.New(rand.NewPCG(seed, 4)), accepted: make(map[string]bool), givesUp: true}
				violations = h.play(seed)
			})
			for _, v := range append(r.Violations, violations...) {
				t.Error(v)
			}
		})
	}
}
