package placement

import (
	"jasminelane.example/lane/state"
)

// spareTimeoutMs is how long a small job waits before it may take
// accelerators of the last unit that fits the largest guaranteed shape, if
// both weights of the policy are equal. The bound keeps the job from
// starving.
const spareTimeoutMs = 30 * 60_000

// sparesLastUnit reports whether the job may use the candidate, which lies at
// least partly outside its own blocks. It may if the candidate leaves a unit
// that fits the largest guaranteed shape or breaks up none, if the job has
// waited for the timeout, if it is urgent, or if it needs at least half as
// many accelerators as that shape.
func (x *Index) sparesLastUnit(j *state.Job, c candidate, p Policy) bool {
	if c.slots == nil || len(x.targets) == 0 || j.Spec.Urgent {
		return true
	}
	g := x.targets[0]
	if 2*j.Spec.Shape.TotalGPUs() >= g.shape.TotalGPUs() {
		return true
	}
	completion, fragmentation := p.weights()
	now := p.NowMs
	if now == 0 {
		now = x.state.Now
	}
	if float64(now-j.PhaseChangedAt) > spareTimeoutMs*fragmentation/completion {
		return true
	}
	broken := x.unitsBroken(g, c)
	if broken == 0 || g.fittingUnits > broken {
		return true
	}
	x.scratch.spareRefused = true
	return false
}

// unitsBroken returns how many units fit the target's shape now but no longer
// after the placement.
func (x *Index) unitsBroken(g *target, c candidate) int {
	x.scratch.unitChanges = x.scratch.unitChanges[:0]
	for _, sl := range c.slots {
		free := x.workers[sl.Worker].masks[tierFree]
		d := usageChange(g.shape, free.Count(), (free &^ sl.Mask).Count())
		u := unitOf(g.shape.Level, x.state.Workers[sl.Worker])
		x.scratch.unitChanges = append(x.scratch.unitChanges, unitChange{u, d})
	}
	n := 0
	for i, a := range x.scratch.unitChanges {
		sum, first := g.units[a.unit], true
		for k, b := range x.scratch.unitChanges {
			if b.unit == a.unit {
				sum = sum.plus(b.change)
				first = first && k >= i
			}
		}
		if first {
			n += g.units[a.unit].fitCount(g.shape) - sum.fitCount(g.shape)
		}
	}
	return n
}

// unitChange is a change of the usage of one unit.
type unitChange struct {
	unit   int
	change usage
}
