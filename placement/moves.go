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
// leave room for the largest guaranteed shape, where that gain in
// fragmentation exceeds the lost work; now is in Unix milliseconds. It looks at
// shapes of level worker and rack only: to free a failure domain would move too
// much work.
func Moves(x *Index, p Policy, now int64) []record.Preempt {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.flush()
	if len(x.goals) == 0 || x.goals[0].shape.Level == shape.LevelDomain {
		return nil
	}
	g := x.goals[0]
	var out []record.Preempt
	var held []shape.Slot
	chosen := map[*state.Job]bool{} // a gang may lie in several units
	for u := range g.units {
		n := g.units[u].members
		if n >= g.shape.Members || g.units[u].free == 0 {
			continue
		}
		jobs, targets := x.clear(g, u, chosen, p, now)
		if len(jobs) == 0 || len(out)+len(jobs) > maxMoves {
			continue
		}
		for _, j := range jobs {
			chosen[j] = true
			out = append(out, record.Preempt{
				Job: j.ID, Token: j.Token, Grace: p.grace(false),
				Cause: "moved to free adjacent accelerators for " + g.shape.String(),
			})
		}
		x.setHeld(targets, true)
		held = append(held, targets...)
		if len(out) == maxMoves {
			break
		}
	}
	x.setHeld(held, false)
	return out
}

// clear returns the jobs whose move makes the unit fit the goal's shape, and
// where they would go, or nothing if the gain does not exceed the lost work.
func (x *Index) clear(g *goal, unit int, chosen map[*state.Job]bool, p Policy, now int64) ([]*state.Job, []shape.Slot) {
	workers := unitWorkers(x.state, g.shape.Level, unit)
	var jobs []*state.Job
	for _, w := range workers {
		for _, t := range w.Tasks {
			if movable(t, now) && moveShare*t.Job.Spec.Shape.Total() <= g.shape.Total() && !chosen[t.Job] && !slices.Contains(jobs, t.Job) {
				jobs = append(jobs, t.Job)
			}
		}
	}
	slices.SortStableFunc(jobs, func(a, b *state.Job) int {
		return cmp.Or(cmp.Compare(lostWork(a, now), lostWork(b, now)), cmp.Compare(a.ID, b.ID))
	})
	after := map[uint32]shape.Mask{}
	var moved []*state.Job
	for _, j := range jobs {
		if len(moved) == maxUnitMoves {
			return nil, nil
		}
		moved = append(moved, j)
		for _, sl := range j.Slots {
			if _, ok := after[sl.Worker]; !ok {
				after[sl.Worker] = x.nodes[sl.Worker].masks[tierFree]
			}
			after[sl.Worker] |= sl.Mask
		}
		members := 0
		for _, w := range workers {
			m, ok := after[w.Index]
			if !ok {
				m = x.nodes[w.Index].masks[tierFree]
			}
			members += m.Count() / g.shape.GPUs
		}
		if members >= g.shape.Members {
			return x.weigh(workers, moved, after, p, now)
		}
	}
	return nil, nil
}

// movable reports whether the task's job may be stopped to be placed again.
func movable(t *state.Task, now int64) bool {
	j := t.Job
	return j.Phase == state.JobRunning && t.Token == j.Token && j.Spec.Checkpoint && !j.Spec.Once &&
		!j.Guaranteed && now-j.Started >= moveMinRun
}

// weigh finds room for the moved jobs outside the workers and compares the
// gain with the lost work.
func (x *Index) weigh(workers []*state.Worker, moved []*state.Job, after map[uint32]shape.Mask, p Policy, now int64) ([]*state.Job, []shape.Slot) {
	completion, fragmentation := p.weights()
	var free, targets []shape.Slot
	for w, m := range after {
		free = append(free, shape.Slot{Worker: w, Mask: m})
	}
	gain := -x.damage(free)
	lost := 0.0
	var own []shape.Slot
	for _, w := range workers {
		if m := x.nodes[w.Index].masks[tierFree]; m != 0 {
			own = append(own, shape.Slot{Worker: w.Index, Mask: m})
		}
	}
	x.setHeld(own, true)
	for _, j := range moved {
		c := x.search(j, tierOpen, spaceAll)
		if c.slots == nil {
			lost = -1
			break
		}
		gain -= c.damage
		lost += lostWork(j, now)
		x.setHeld(c.slots, true)
		targets = append(targets, c.slots...)
	}
	x.setHeld(targets, false)
	x.setHeld(own, false)
	if lost < 0 || fragmentation*gain*fragmentHorizon <= completion*lost {
		return nil, nil
	}
	return moved, targets
}
