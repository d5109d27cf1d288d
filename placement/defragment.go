package placement

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Bounds of Defragment.
const (
	maxMigrations        = 8          // jobs that one call stops
	migrationMinRunMs    = 2 * 60_000 // a job runs at least this long before it may be moved (again)
	migrationSizeDivisor = 4          // a moved job has at most 1/4 of the target's accelerators; a larger one may wait long for new ones
)

// Defragment returns records that stop jobs with checkpoints so that they are
// placed elsewhere and leave whole members or whole units free for the largest
// guaranteed shape. It stops jobs only if the reduction of fragmentation weighs
// more than the lost work. now is in Unix milliseconds. Shapes of level domain
// are left alone, because to free a failure domain would move too much work.
func Defragment(x *Index, p Policy, now int64) []record.Preempt {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.update()
	if len(x.targets) == 0 || x.targets[0].shape.Level == shape.LevelDomain {
		return nil
	}
	m := &defragmenter{x: x, target: x.targets[0], policy: p, now: now, migrated: map[*state.Job]bool{}}
	for u := range m.target.units {
		if n := m.target.units[u]; n.free > 0 && len(m.out) < maxMigrations {
			m.freeUnit(u, m.target.shape.Members-n.members)
		}
	}
	x.setHeld(m.held, false)
	return m.out
}

// defragmenter collects the jobs that one call of Defragment stops.
type defragmenter struct {
	x        *Index
	target   *target
	policy   Policy
	now      int64
	migrated map[*state.Job]bool // jobs to stop; a gang may lie in several units
	held     []shape.Slot        // new accelerators of the stopped jobs, and the workers that they leave
	out      []record.Preempt
}

// workerMigration lists the jobs that have to move to empty a worker.
type workerMigration struct {
	worker   *state.Worker
	jobs     []*state.Job
	lostWork float64 // accelerator-milliseconds
}

// freeUnit empties as many workers as needed for the missing members of the
// target's shape. If the unit fits the shape already, freeUnit tries each
// worker on its own.
func (m *defragmenter) freeUnit(u, missing int) {
	var list []workerMigration
	for _, w := range unitWorkers(m.x.state, m.target.shape.Level, u) {
		if e, ok := m.workerMigration(w); ok {
			list = append(list, e)
		}
	}
	slices.SortStableFunc(list, func(a, b workerMigration) int { return cmp.Compare(a.lostWork, b.lostWork) })
	if missing <= 0 {
		for i := range list {
			m.propose(list[i : i+1])
		}
		return
	}
	for n := range list {
		if missing -= m.gainedMembers(list[n].worker); missing <= 0 {
			m.propose(list[:n+1])
			return
		}
	}
}

// gainedMembers returns how many more members fit on the worker once it is
// empty.
func (m *defragmenter) gainedMembers(w *state.Worker) int {
	n := m.target.shape.GPUs
	return w.GPUs/n - m.x.workers[w.Index].masks[tierFree].Count()/n
}

// workerMigration returns the jobs on the worker, and true if all of them can be
// moved and at least one more member fits then.
func (m *defragmenter) workerMigration(w *state.Worker) (workerMigration, bool) {
	e := workerMigration{worker: w}
	if !w.Ready() || len(w.Tasks) == 0 || m.gainedMembers(w) <= 0 || m.x.workers[w.Index].held != 0 {
		return e, false
	}
	for _, t := range w.Tasks {
		if !m.movable(t) {
			return e, false
		}
		if !slices.Contains(e.jobs, t.Job) {
			e.jobs = append(e.jobs, t.Job)
			e.lostWork += lostWork(t.Job, m.now)
		}
	}
	return e, true
}

// movable reports whether the task's job may be stopped and placed elsewhere.
func (m *defragmenter) movable(t *state.Task) bool {
	j := t.Job
	return j.Phase == state.JobRunning && t.Token == j.Token && j.Spec.Checkpoint && !j.Spec.Once &&
		!j.Guaranteed && !m.migrated[j] && m.now-j.StartedAt >= migrationMinRunMs &&
		migrationSizeDivisor*j.Spec.Shape.TotalGPUs() <= m.target.shape.TotalGPUs()
}

// propose adds the jobs on the workers to the jobs to stop if all of them fit
// elsewhere and the reduction of fragmentation weighs more than the lost work.
func (m *defragmenter) propose(list []workerMigration) {
	x := m.x
	completion, fragmentation := m.policy.weights()
	var jobs []*state.Job
	var own, after, targets []shape.Slot
	for _, e := range list {
		for _, j := range e.jobs {
			if !slices.Contains(jobs, j) {
				jobs = append(jobs, j)
			}
		}
		free := x.workers[e.worker.Index].masks[tierFree]
		own = append(own, shape.Slot{Worker: e.worker.Index, Mask: e.worker.All()})
		after = append(after, shape.Slot{Worker: e.worker.Index, Mask: free | e.worker.Used()})
	}
	if len(m.out)+len(jobs) > maxMigrations {
		return
	}
	gain, lost := -x.fragmentationDelta(after), 0.0
	x.setHeld(own, true)
	for _, j := range jobs {
		c := x.findSlots(j, tierUnreserved, allBlocks)
		if c.slots == nil {
			gain = 0
			break
		}
		gain -= c.fragmentationDelta
		lost += lostWork(j, m.now)
		x.setHeld(c.slots, true)
		targets = append(targets, c.slots...)
	}
	if fragmentation*gain*fragmentationHorizonMs <= completion*lost {
		x.setHeld(targets, false)
		x.setHeld(own, false)
		return
	}
	m.held = append(append(m.held, targets...), own...)
	for _, j := range jobs {
		m.migrated[j] = true
		m.out = append(m.out, record.Preempt{
			Job: j.ID, Token: j.Token, GraceMs: m.policy.grace(false),
			Cause: "moved to free adjacent accelerators for " + m.target.shape.String(),
		})
	}
}
