package placement

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Bounds of moves.
const (
	maxMoves     = 8          // jobs a call
	maxUnitMoves = 8          // jobs that are moved to free one unit
	moveMinRun   = 2 * 60_000 // milliseconds a job runs before it may be moved again
	moveShare    = 4          // a moved job has at most this part of the shape; larger ones may wait long for a new place
)

// Moves returns records that stop checkpointable jobs which, placed elsewhere,
// leave whole members or whole units free for the largest guaranteed shape,
// where that gain in fragmentation exceeds the lost work; now is in Unix
// milliseconds. It looks at shapes of level worker and rack only: to free a
// failure domain would move too much work.
func Moves(x *Index, p Policy, now int64) []record.Preempt {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.flush()
	if len(x.goals) == 0 || x.goals[0].shape.Level == shape.LevelDomain {
		return nil
	}
	m := &mover{x: x, goal: x.goals[0], policy: p, now: now, chosen: map[*state.Job]bool{}}
	for u := range m.goal.units {
		if n := m.goal.units[u]; n.free > 0 && len(m.out) < maxMoves {
			m.unit(u, m.goal.shape.Members-n.members)
		}
	}
	x.setHeld(m.held, false)
	return m.out
}

// mover collects the moves of one call.
type mover struct {
	x      *Index
	goal   *goal
	policy Policy
	now    int64
	chosen map[*state.Job]bool // a gang may lie in several units
	held   []shape.Slot        // where chosen jobs would go, and what they leave
	out    []record.Preempt
}

// emptying is what it takes to empty a worker.
type emptying struct {
	worker *state.Worker
	jobs   []*state.Job
	lost   float64 // accelerator-milliseconds
}

// unit moves jobs off as many workers as the unit lacks members, or off single
// workers if it fits the shape already.
func (m *mover) unit(u, lacks int) {
	var list []emptying
	for _, w := range unitWorkers(m.x.state, m.goal.shape.Level, u) {
		if e, ok := m.emptying(w); ok {
			list = append(list, e)
		}
	}
	slices.SortStableFunc(list, func(a, b emptying) int { return cmp.Compare(a.lost, b.lost) })
	if lacks <= 0 {
		for i := range list {
			m.try(list[i : i+1])
		}
		return
	}
	for n := range list {
		if lacks -= m.gains(list[n].worker); lacks <= 0 {
			m.try(list[:n+1])
			return
		}
	}
}

// gains returns how many members more fit on the worker when it is empty.
func (m *mover) gains(w *state.Worker) int {
	n := m.goal.shape.GPUs
	return w.GPUs/n - m.x.nodes[w.Index].masks[tierFree].Count()/n
}

// emptying returns the jobs on the worker if all of them can be moved and at
// least one member is gained.
func (m *mover) emptying(w *state.Worker) (emptying, bool) {
	e := emptying{worker: w}
	if !w.Ready() || len(w.Tasks) == 0 || m.gains(w) <= 0 || m.x.nodes[w.Index].held != 0 {
		return e, false
	}
	for _, t := range w.Tasks {
		if !m.movable(t) {
			return e, false
		}
		if !slices.Contains(e.jobs, t.Job) {
			e.jobs = append(e.jobs, t.Job)
			e.lost += lostWork(t.Job, m.now)
		}
	}
	return e, true
}

// movable reports whether the task's job may be stopped to be placed again.
func (m *mover) movable(t *state.Task) bool {
	j := t.Job
	return j.Phase == state.JobRunning && t.Token == j.Token && j.Spec.Checkpoint && !j.Spec.Once &&
		!j.Guaranteed && !m.chosen[j] && m.now-j.StartedAt >= moveMinRun &&
		moveShare*j.Spec.Shape.Total() <= m.goal.shape.Total()
}

// try proposes to empty the workers if there is room for their jobs elsewhere
// and the gain exceeds the lost work.
func (m *mover) try(list []emptying) {
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
		free := x.nodes[e.worker.Index].masks[tierFree]
		own = append(own, shape.Slot{Worker: e.worker.Index, Mask: e.worker.All()})
		after = append(after, shape.Slot{Worker: e.worker.Index, Mask: free | e.worker.Used()})
	}
	if len(m.out)+len(jobs) > maxMoves {
		return
	}
	gain, lost := -x.damage(after), 0.0
	x.setHeld(own, true)
	for _, j := range jobs {
		c := x.search(j, tierOpen, spaceAll)
		if c.slots == nil {
			gain = 0
			break
		}
		gain -= c.damage
		lost += lostWork(j, m.now)
		x.setHeld(c.slots, true)
		targets = append(targets, c.slots...)
	}
	if fragmentation*gain*fragmentHorizon <= completion*lost {
		x.setHeld(targets, false)
		x.setHeld(own, false)
		return
	}
	m.held = append(append(m.held, targets...), own...)
	for _, j := range jobs {
		m.chosen[j] = true
		m.out = append(m.out, record.Preempt{
			Job: j.ID, Token: j.Token, GraceMs: m.policy.grace(false),
			Cause: "moved to free adjacent accelerators for " + m.goal.shape.String(),
		})
	}
}
