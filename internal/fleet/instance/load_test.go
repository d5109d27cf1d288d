package instance

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/fleettest"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

var loadWorkers = flag.Int("loadworkers", 48, "workers of TestLoad; its job rates grow with them")

// jobKind is a kind of jobs of the load, with rates for 1,000 workers.
type jobKind struct {
	priority  int
	perSecond float64
	width     float64 // mean number of tasks
	gang      bool
	gpus      []int64
	cpu       int64 // thousandths of a core
	runTime   time.Duration
}

// loadKinds keep nine of ten accelerators busy.
var loadKinds = []jobKind{
	{0, 22, 8, true, []int64{1, 2, 4, 8, 8}, 15000, 2500 * time.Millisecond},
	{1, 3.9, 26, true, []int64{1, 2, 4, 8, 8}, 52000, 6800 * time.Millisecond},
	{2, 3.8, 78, false, []int64{1}, 11000, 6100 * time.Millisecond},
}

// loadResult collects how long jobs took from their submission to their end.
type loadResult struct {
	mu      sync.Mutex
	took    [3][]time.Duration // by priority
	refused int
}

// add notes one finished job.
func (r *loadResult) add(priority int, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took[priority] = append(r.took[priority], took)
}

// quantile returns a quantile of the times of one priority.
func (r *loadResult) quantile(priority int, q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := slices.Sorted(slices.Values(r.took[priority]))
	if len(v) == 0 {
		return 0
	}
	return v[min(int(q*float64(len(v))), len(v)-1)]
}

// timedJob is a job that is submitted at a time after the begin of the load.
type timedJob struct {
	ledger.Job
	at time.Duration
}

// drawLoad draws jobs of the kinds for the duration, on the given number of workers.
func drawLoad(rnd *rand.Rand, kinds []jobKind, workers int, d time.Duration) []timedJob {
	var out []timedJob
	for k, kind := range kinds {
		rate := kind.perSecond * float64(workers) / 1000
		at := time.Duration(0)
		for n := 0; ; n++ {
			at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
			if at > d {
				break
			}
			width := max(1, min(int(kind.width*math.Exp(rnd.NormFloat64()*0.7-0.25)), 6*int(kind.width)))
			j := job(fmt.Sprintf("%d-%d", k, n), ledger.Step{
				Count: width, CPU: kind.cpu, GPU: kind.gpus[rnd.IntN(len(kind.gpus))], Gang: kind.gang, SameRack: kind.gang && rnd.IntN(2) == 0,
				Estimate: kind.runTime.Milliseconds(), Checkpointable: kind.priority > 0 && rnd.IntN(2) == 0,
			})
			j.Priority = kind.priority
			out = append(out, timedJob{j, at})
		}
	}
	return out
}

// runLoad submits the jobs at their times, waits for their ends and returns how long
// they took.
func runLoad(c *cluster, jobs []timedJob) *loadResult {
	res := &loadResult{}
	var wg sync.WaitGroup
	for _, j := range jobs {
		wg.Go(func() {
			time.Sleep(j.at)
			c.followJob(j.Job, res)
		})
	}
	wg.Wait()
	return res
}

// followJob submits a job and waits for its end.
func (c *cluster) followJob(j ledger.Job, res *loadResult) {
	began := time.Now()
	if !c.submit(c.nodes[len(c.nodes)-1], j) {
		res.mu.Lock()
		res.refused++
		res.mu.Unlock()
		return
	}
	f := c.nodes[len(c.nodes)-1].instance().Feed
	for time.Since(began) < time.Minute {
		changed := f.Changed()
		ended := false
		f.View(func(s *ledger.State) { ended = s.Jobs[j.ID] == nil || s.Jobs[j.ID].Phase.Final() })
		if ended {
			break
		}
		<-changed
	}
	res.add(j.Priority, time.Since(began))
}

// addLoadWorkers adds workers of 128 cores and 8 accelerators, 20 to a rack.
func (c *cluster) addLoadWorkers(n int) {
	for i := range n {
		c.workers.Add(&fleettest.Worker{
			ID: fmt.Sprintf("w%d", i), Service: service, Rack: fmt.Sprintf("r%d", i/20), ClockRate: 1,
			Total: plan.Resources{CPU: 128000, Memory: 512000, GPU: 8},
		})
	}
}

// Plays a load that keeps nine of ten accelerators busy and guards against urgent
// jobs that wait long behind other work.
func TestLoad(t *testing.T) {
	is := is.New(t)
	var res *loadResult
	r := runCluster(t, 1, 2, 0, func(c *cluster) {
		c.addLoadWorkers(*loadWorkers)
		time.Sleep(8 * time.Second)
		res = runLoad(c, drawLoad(rand.New(rand.NewPCG(1, 9)), loadKinds, *loadWorkers, 20*time.Second))
	})
	for p := range 3 {
		t.Logf("priority %d: %d jobs, median %v, 90%% %v, 99%% %v", p, len(res.took[p]), res.quantile(p, 0.5), res.quantile(p, 0.9), res.quantile(p, 0.99))
	}
	is.Equal(r.Violations, nil)
	is.Equal(res.refused, 0)
	is.True(res.quantile(0, 0.5) < 4*time.Second) // the objective of urgent jobs
}
