package instance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/fleettest"
	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	overloadWorkers = 32
	overloadTime    = 50 * time.Second
	calmTime        = 8 * time.Second

	// slowPlanPause is the pause between two rounds of a leader on a slow processor.
	slowPlanPause = 500 * time.Millisecond
)

// overloadKinds are more urgent jobs that take seven tenths of the accelerators, and
// three times as many bulk jobs as the rest can hold.
var overloadKinds = []jobKind{
	{0, 140, 4, true, []int64{2}, 15000, 2500 * time.Millisecond},
	{1, 52, 4, true, []int64{2}, 15000, 6800 * time.Millisecond},
	{2, 60, 20, false, []int64{1}, 11000, 6100 * time.Millisecond},
}

// gpuSeconds returns the accelerator time of the jobs, by priority.
func gpuSeconds(jobs []timedJob) (out [3]float64) {
	for _, j := range jobs {
		for _, s := range j.Steps {
			out[j.Priority] += float64(int64(s.Count)*s.GPU*s.Estimate) / 1000
		}
	}
	return out
}

// overloadResult is the state of the jobs at the end of the calm time.
type overloadResult struct {
	checker   *fleettest.Checker
	all, done [3]int // by priority
	begun     int    // bulk jobs
	bulk      []bool // bulk jobs, the smallest first: whether they are done
}

// playOverload submits the jobs at their times to a cluster whose leader pauses
// between two planning rounds.
func playOverload(t *testing.T, seed uint64, pause time.Duration, jobs []timedJob) overloadResult {
	var res overloadResult
	prepare := func(n *Instance) { n.Settings.PlanPause = pause }
	res.checker = runClusterWith(t, seed, 2, 0, prepare, func(c *cluster) {
		c.addLoadWorkers(overloadWorkers)
		time.Sleep(8 * time.Second)
		for _, j := range jobs {
			go func() {
				time.Sleep(j.at)
				c.submit(c.nodes[len(c.nodes)-1], j.Job)
			}()
		}
		time.Sleep(overloadTime + calmTime)
		c.nodes[0].instance().Feed.View(func(s *ledger.State) { res.count(s, jobs) })
	})
	return res
}

// count counts the jobs in the state.
func (r *overloadResult) count(s *ledger.State, jobs []timedJob) {
	bySize := slices.SortedStableFunc(slices.Values(jobs), func(a, b timedJob) int { return cmp.Compare(a.Steps[0].Count, b.Steps[0].Count) })
	for _, j := range bySize {
		js := s.Jobs[j.ID]
		done := js != nil && js.Phase == ledger.Finished
		r.all[j.Priority]++
		if done {
			r.done[j.Priority]++
		}
		if j.Priority < 2 {
			continue
		}
		r.bulk = append(r.bulk, done)
		if js != nil && js.Phase != ledger.Queued {
			r.begun++
		}
	}
}

// countTrue returns how many of the values are true.
func countTrue(values []bool) int {
	n := 0
	for _, v := range values {
		if v {
			n++
		}
	}
	return n
}

// Guards against bulk jobs that are nearly all begun and hardly ever finished while there is more work than room.
func TestBulkJobsFinishUnderOverload(t *testing.T) {
	for _, pause := range []time.Duration{0, slowPlanPause} {
		var mu sync.Mutex
		var large, largeDone, all, allDone int
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("pause %v, seed %d", pause, seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				jobs := drawLoad(rand.New(rand.NewPCG(seed, 9)), overloadKinds, overloadWorkers, overloadTime)
				res := playOverload(t, seed, pause, jobs)
				tenth := res.bulk[len(res.bulk)*9/10:]
				mu.Lock()
				large, largeDone = large+len(tenth), largeDone+countTrue(tenth)
				all, allDone = all+len(res.bulk), allDone+res.done[2]
				mu.Unlock()
				work := gpuSeconds(jobs)
				room := overloadWorkers*8*(overloadTime+calmTime).Seconds() - work[0] - work[1]
				share := min(1, room/work[2]) // of the bulk work, that fits beside the more urgent work
				t.Logf("jobs %v, done %v, %d bulk jobs begun; room for %.2f of the bulk work", res.all, res.done, res.begun, share)
				is.Equal(res.checker.Violations, nil)
				is.True(res.done[0] >= res.all[0]*9/10)
				is.True(res.done[1] >= res.all[1]*9/10)
				is.True(2*res.done[2] >= res.begun)
				is.True(float64(res.done[2]) >= share/2*float64(res.all[2]))
			})
		}
		t.Cleanup(func() { // once all seeds have been played
			t.Logf("pause %v: %d of %d bulk jobs done, %d of the largest %d", pause, allDone, all, largeDone, large)
			is.NewRelaxed(t).True(2*largeDone*all >= allDone*large) // the largest tenth is done half as often at least
		})
	}
}
