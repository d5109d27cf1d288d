package trace

import (
	"maps"
	"slices"

	"jasminelane.example/lane/shape"
)

// Delays in milliseconds, and limits, of both replays.
const (
	leaseDuration = 15_000 // time until the loss of a worker is detected
	failDelay     = 2000   // time until a task on a failing worker fails
	maxFailedRuns = 3      // runs after which a job that always fails has failed
)

// naive is the baseline scheduler: first come, first served with first-fit
// placement, static partitions for the guarantees, no borrowing, no priorities,
// no checkpoints, no quarantine and no quotas. It skips a job that does not fit
// and starts later jobs, because blocking on the head of the queue would leave
// more accelerators idle. It has its own state and shares only the clock, the
// fleet and the measures with the replay of the product.
type naive struct {
	clock    clock
	trace    *Trace
	fleet    *fleet
	recorder *recorder
	pools    map[string][]int // account, or "" for the common pool, to free accelerators by worker
	down     []bool
	failing  []bool
	paused   int // active faults that prevent decisions
	queue    []*naiveJob
	jobs     map[string]*naiveJob
	requests *naiveService
}

// naiveJob is a job of the baseline.
type naiveJob struct {
	Job
	allocated     map[int]int // accelerators by worker while it runs; nil otherwise
	fromPartition map[int]int // those of allocated that come from the account's partition
	startedAt     int64
	runNumber     int // number of starts; invalidates timers of earlier runs
	failures      int
	workerLost    bool // a worker of the current run is lost, which is not detected yet
	ended         bool
}

// runNaive replays the trace through the baseline and returns its measures.
func runNaive(t *Trace) *recorder {
	f := newFleet(t)
	n := &naive{
		trace: t, fleet: f, recorder: newRecorder(t), pools: map[string][]int{"": make([]int, len(f.workers))},
		down: make([]bool, len(f.workers)), failing: make([]bool, len(f.workers)), jobs: map[string]*naiveJob{},
	}
	for i, w := range f.workers {
		n.pools[""][i] = w.gpus
	}
	n.partition()
	n.requests = newNaiveService(n)
	for _, j := range t.Jobs {
		n.clock.at(j.At, func() { n.submit(&naiveJob{Job: j}) })
	}
	for _, c := range t.Cancels {
		n.clock.at(c.At, func() { n.cancel(n.jobs[c.Job]) })
	}
	for _, ft := range t.Faults {
		n.clock.at(ft.At, func() { n.fault(ft, true) })
		n.clock.at(ft.Until, func() { n.fault(ft, false) })
	}
	for n.clock.step(t.limit()) {
		n.recorder.fragmentation.set(n.clock.now, f.fragmentation(n.free(), n.recorder.largest))
	}
	n.recorder.finish(n.clock.now)
	return n.recorder
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
	n.jobs[j.ID] = j
	n.recorder.jobSubmitted(j.Job)
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
	if j.allocated != nil {
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
		allocation := n.fleet.firstFit(n.usable(j.Account), j.parsed)
		if allocation != nil {
			n.start(j, allocation)
		}
		return allocation != nil
	})
}

// start takes the accelerators from the account's partition first, then from the
// common pool, and runs the job.
func (n *naive) start(j *naiveJob, allocation map[int]int) {
	j.allocated, j.fromPartition = allocation, map[int]int{}
	j.startedAt = n.clock.now
	j.runNumber++
	j.workerLost = false
	for w, k := range allocation {
		own := min(k, n.pools[j.Account][w])
		j.fromPartition[w] = own
		n.pools[j.Account][w] -= own
		n.pools[""][w] -= k - own
	}
	n.recorder.jobStarted(j.Job)
	n.endRunAfter(j, j.Run, j.Outcome == "failed")
	if slices.ContainsFunc(slices.Collect(maps.Keys(allocation)), func(w int) bool { return n.failing[w] }) {
		n.endRunAfter(j, failDelay, true)
	}
}

// endRunAfter ends the job's current run after the delay, unless it ends
// before. A failed run is repeated; a job that always fails has failed after
// maxFailedRuns runs.
func (n *naive) endRunAfter(j *naiveJob, delay int64, failed bool) {
	run := j.runNumber
	n.clock.after(delay, func() {
		if j.runNumber != run || j.allocated == nil || j.workerLost {
			return
		}
		n.release(j)
		switch {
		case !failed:
			n.end(j, "done")
		case j.Outcome == "failed":
			if j.failures++; j.failures >= maxFailedRuns {
				n.end(j, "failed")
				break
			}
			fallthrough
		default:
			n.requeue(j)
		}
		n.decide()
	})
}

// requeue counts the job's run as lost work and queues the job again.
func (n *naive) requeue(j *naiveJob) {
	n.recorder.lostGPUMs += (n.clock.now - j.startedAt) * int64(j.parsed.TotalGPUs())
	n.queue = append(n.queue, j)
}

// release returns the job's accelerators to the pools.
func (n *naive) release(j *naiveJob) {
	for w, k := range j.allocated {
		n.pools[j.Account][w] += j.fromPartition[w]
		n.pools[""][w] += k - j.fromPartition[w]
	}
	j.allocated = nil
}

// end records how the job ended.
func (n *naive) end(j *naiveJob, end string) {
	j.ended = true
	n.recorder.jobEnded(j.Job, end, n.clock.now)
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
			n.requests.setPaused(begin)
		}
	case FaultFailing:
		for _, w := range n.fleet.affectedWorkers(ft) {
			n.failing[w] = begin
			for _, j := range n.jobsOn(w) {
				if begin {
					n.endRunAfter(j, failDelay, true)
				}
			}
		}
	default:
		for _, w := range n.fleet.affectedWorkers(ft) {
			n.setDown(w, begin)
		}
		if ft.Type == FaultDomain {
			n.requests.setDomainDown(ft.Target, begin)
		}
	}
	n.decide()
}

// setDown marks worker w as lost, or as available again. Its jobs are queued
// again when the lease has expired.
func (n *naive) setDown(w int, begin bool) {
	n.down[w] = begin
	if !begin {
		return
	}
	for _, j := range n.jobsOn(w) {
		run := j.runNumber
		j.workerLost = true
		n.clock.after(leaseDuration, func() {
			if j.runNumber == run && j.allocated != nil {
				n.release(j)
				n.requeue(j)
				n.decide()
			}
		})
	}
}

// jobsOn returns the jobs on the worker, sorted by id so that the replay is
// deterministic.
func (n *naive) jobsOn(w int) []*naiveJob {
	var out []*naiveJob
	for _, id := range slices.Sorted(maps.Keys(n.jobs)) {
		if j := n.jobs[id]; j.allocated[w] > 0 {
			out = append(out, j)
		}
	}
	return out
}
