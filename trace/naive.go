package trace

import (
	"maps"
	"slices"

	"jasminelane.example/lane/shape"
)

// Delays in milliseconds, and limits, of both replays.
const (
	lease       = 15_000 // time until the loss of a worker is detected
	failDelay   = 2000   // time until a task on a failing worker fails
	maxFailures = 3      // runs after which a job that always fails has failed
)

// naive is the baseline scheduler: first come, first served with first-fit
// placement, static partitions for the guarantees, no borrowing, no priorities,
// no checkpoints, no quarantine and no quotas. It skips a job that does not fit
// and starts later jobs, because blocking on the head of the queue would leave
// more accelerators idle. It has its own state and shares only the clock, the
// fleet and the measures with the replay of the product.
type naive struct {
	clock  clock
	trace  *Trace
	fleet  *fleet
	side   *side
	pools  map[string][]int // account, or "" for the common pool, to free accelerators by worker
	down   []bool
	fail   []bool
	paused int // active faults that prevent decisions
	queue  []*naiveJob
	all    map[string]*naiveJob
	work   *naiveService
}

// naiveJob is a job of the baseline.
type naiveJob struct {
	Job
	given    map[int]int // accelerators by worker while it runs; nil otherwise
	reserved map[int]int // those of given that come from the account's partition
	started  int64
	run      int // number of starts; invalidates timers of earlier runs
	failures int
	broken   bool // a worker of the current run is lost, which is not detected yet
	ended    bool
}

// runNaive replays the trace through the baseline and returns its measures.
func runNaive(t *Trace) *side {
	f := newFleet(t)
	n := &naive{
		trace: t, fleet: f, side: newSide(t), pools: map[string][]int{"": make([]int, len(f.workers))},
		down: make([]bool, len(f.workers)), fail: make([]bool, len(f.workers)), all: map[string]*naiveJob{},
	}
	for i, w := range f.workers {
		n.pools[""][i] = w.gpus
	}
	n.partition()
	n.work = newNaiveService(n)
	for _, j := range t.Jobs {
		n.clock.at(j.At, func() { n.submit(&naiveJob{Job: j}) })
	}
	for _, c := range t.Cancels {
		n.clock.at(c.At, func() { n.cancel(n.all[c.Job]) })
	}
	for _, ft := range t.Faults {
		n.clock.at(ft.At, func() { n.fault(ft, true) })
		n.clock.at(ft.Until, func() { n.fault(ft, false) })
	}
	for n.clock.step(t.limit()) {
		n.side.frag.set(n.clock.now, f.fragmentation(n.free(), n.side.largest))
	}
	n.side.finish(n.clock.now)
	return n.side
}

// partition moves the guaranteed shapes from the common pool to the partitions
// of their accounts, by first fit.
func (n *naive) partition() {
	for _, a := range n.trace.Accounts {
		own := make([]int, len(n.fleet.workers))
		for _, g := range a.Guarantees {
			sh, _ := shape.Parse(g.Shape)
			for range g.Count {
				for w, k := range n.fleet.firstFit(n.pools[""], sh) {
					n.pools[""][w] -= k
					own[w] += k
				}
			}
		}
		n.pools[a.Name] = own
	}
}

// free returns the free accelerators of all partitions, by worker.
func (n *naive) free() []int {
	out := make([]int, len(n.fleet.workers))
	for _, p := range n.pools {
		for i, k := range p {
			if !n.down[i] {
				out[i] += k
			}
		}
	}
	return out
}

// usable returns the free accelerators, by worker, that the account may use:
// those of its own partition and of the common pool.
func (n *naive) usable(account string) []int {
	out := make([]int, len(n.fleet.workers))
	for i := range out {
		if !n.down[i] {
			out[i] = n.pools[account][i] + n.pools[""][i]
		}
	}
	return out
}

// submit queues a job. A job that does not fit the empty fleet is refused.
func (n *naive) submit(j *naiveJob) {
	n.all[j.ID] = j
	n.side.submitted(j.Job)
	empty := make([]int, len(n.fleet.workers))
	for i, w := range n.fleet.workers {
		empty[i] = w.gpus
	}
	if n.fleet.firstFit(empty, j.parsed) == nil {
		n.end(j, "refused")
		return
	}
	n.queue = append(n.queue, j)
	n.decide()
}

// cancel ends a job that has not ended.
func (n *naive) cancel(j *naiveJob) {
	if j.ended {
		return
	}
	if j.given != nil {
		n.release(j)
	} else {
		n.queue = slices.DeleteFunc(n.queue, func(x *naiveJob) bool { return x == j })
	}
	n.end(j, "cancelled")
	n.decide()
}

// decide starts queued jobs that fit, in order of arrival.
func (n *naive) decide() {
	if n.paused > 0 {
		return
	}
	n.queue = slices.DeleteFunc(n.queue, func(j *naiveJob) bool {
		given := n.fleet.firstFit(n.usable(j.Account), j.parsed)
		if given != nil {
			n.start(j, given)
		}
		return given != nil
	})
}

// start takes the accelerators from the account's partition first, then from the
// common pool, and runs the job.
func (n *naive) start(j *naiveJob, given map[int]int) {
	j.given, j.reserved = given, map[int]int{}
	j.started = n.clock.now
	j.run++
	j.broken = false
	for w, k := range given {
		own := min(k, n.pools[j.Account][w])
		j.reserved[w] = own
		n.pools[j.Account][w] -= own
		n.pools[""][w] -= k - own
	}
	n.side.started(j.Job)
	n.timer(j, j.Run, j.Outcome == "failed")
	if slices.ContainsFunc(slices.Collect(maps.Keys(given)), func(w int) bool { return n.fail[w] }) {
		n.timer(j, failDelay, true)
	}
}

// timer ends the job's current run after the delay, unless it ends before. A run
// that failed is repeated, up to maxFailures times if the job always fails.
func (n *naive) timer(j *naiveJob, delay int64, failed bool) {
	run := j.run
	n.clock.after(delay, func() {
		if j.run != run || j.given == nil || j.broken {
			return
		}
		n.release(j)
		switch {
		case !failed:
			n.end(j, "done")
		case j.Outcome == "failed":
			if j.failures++; j.failures >= maxFailures {
				n.end(j, "failed")
				break
			}
			fallthrough
		default:
			n.again(j)
		}
		n.decide()
	})
}

// again counts the job's run as lost work and queues the job again.
func (n *naive) again(j *naiveJob) {
	n.side.lost += (n.clock.now - j.started) * int64(j.parsed.Total())
	n.queue = append(n.queue, j)
}

// release returns the job's accelerators to the pools.
func (n *naive) release(j *naiveJob) {
	for w, k := range j.given {
		n.pools[j.Account][w] += j.reserved[w]
		n.pools[""][w] += k - j.reserved[w]
	}
	j.given = nil
}

// end records how the job ended.
func (n *naive) end(j *naiveJob, how string) {
	j.ended = true
	n.side.ended(j.Job, how, n.clock.now)
}

// fault begins or ends a fault.
func (n *naive) fault(ft Fault, begin bool) {
	switch ft.Type {
	case FaultLog, FaultRestart:
		if begin {
			n.paused++
		} else {
			n.paused--
		}
		if ft.Type == FaultRestart {
			n.work.pause(begin)
		}
	case FaultFailing:
		for _, w := range n.fleet.targets(ft) {
			n.fail[w] = begin
			for _, j := range n.running(w) {
				if begin {
					n.timer(j, failDelay, true)
				}
			}
		}
	default:
		for _, w := range n.fleet.targets(ft) {
			n.lose(w, begin)
		}
		if ft.Type == FaultDomain {
			n.work.domain(ft.Target, begin)
		}
	}
	n.decide()
}

// lose marks worker w as lost, or as available again. Its jobs are queued again
// when the lease has expired.
func (n *naive) lose(w int, begin bool) {
	n.down[w] = begin
	if !begin {
		return
	}
	for _, j := range n.running(w) {
		run := j.run
		j.broken = true
		n.clock.after(lease, func() {
			if j.run == run && j.given != nil {
				n.release(j)
				n.again(j)
				n.decide()
			}
		})
	}
}

// running returns the jobs on the worker, sorted by id so that the replay is
// deterministic.
func (n *naive) running(w int) []*naiveJob {
	var out []*naiveJob
	for _, id := range slices.Sorted(maps.Keys(n.all)) {
		if j := n.all[id]; j.given[w] > 0 {
			out = append(out, j)
		}
	}
	return out
}
