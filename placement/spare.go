package placement

import (
	"jasminelane.example/lane/state"
)

// spareTimeout is how long a small job waits rather than break up the last
// unit that fits the largest guaranteed shape, when both weights of the policy
// are equal. After that it may, so that it does not starve.
const spareTimeout = 30 * 60_000 // milliseconds

// spared reports whether the placement outside guaranteed blocks leaves a unit
// that fits the largest guaranteed shape, or need not. Urgent jobs and jobs of
// at least half of that shape need not.
func (x *Index) spared(j *state.Job, c choice, p Policy) bool {
	if c.slots == nil || len(x.goals) == 0 || j.Spec.Urgent {
		return true
	}
	g := x.goals[0]
	if 2*j.Spec.Shape.Total() >= g.shape.Total() {
		return true
	}
	completion, fragmentation := p.weights()
	now := p.Now
	if now == 0 {
		now = x.state.Now
	}
	if float64(now-j.PhaseChangedAt) > spareTimeout*fragmentation/completion {
		return true
	}
	broken := x.breaks(g, c)
	if broken == 0 || g.fits > broken {
		return true
	}
	x.scratch.kept = true
	return false
}

// breaks returns how many units fit the goal's shape now and not after the
// placement.
func (x *Index) breaks(g *goal, c choice) int {
	x.scratch.units = x.scratch.units[:0]
	for _, sl := range c.slots {
		free := x.nodes[sl.Worker].masks[tierFree]
		d := change(g.shape, free.Count(), (free &^ sl.Mask).Count())
		u := unitOf(g.shape.Level, x.state.Workers[sl.Worker])
		x.scratch.units = append(x.scratch.units, unitUsage{u, d})
	}
	n := 0
	for i, a := range x.scratch.units {
		sum, first := g.units[a.unit], true
		for k, b := range x.scratch.units {
			if b.unit == a.unit {
				sum = sum.plus(b.usage)
				first = first && k >= i
			}
		}
		if first {
			n += g.units[a.unit].fits(g.shape) - sum.fits(g.shape)
		}
	}
	return n
}

// unitUsage is a change of one unit.
type unitUsage struct {
	unit  int
	usage usage
}
