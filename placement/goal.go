package placement

import (
	"slices"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// maxGoals is how many of the largest guaranteed shapes guide the best fit.
// Smaller shapes find room wherever these do.
const maxGoals = 2

// goal counts the free accelerators that one guaranteed shape can use, by
// unit of the shape's level.
type goal struct {
	shape  shape.Shape
	units  []usage
	inside int // usable accelerators in all units that fit the shape
	free   int
	fits   int     // units that fit the shape
	deltas []usage // scratch of damage
	marked []int
}

// usage counts the free accelerators of one unit.
type usage struct {
	members int // of the shape that fit
	usable  int // accelerators on workers that take at least one member
	free    int
}

// inside returns the usable accelerators if the unit fits the shape.
func (u usage) inside(sh shape.Shape) int {
	if u.members < sh.Members {
		return 0
	}
	return u.usable
}

// fits returns 1 if the unit fits the shape, otherwise 0.
func (u usage) fits(sh shape.Shape) int {
	if u.members < sh.Members {
		return 0
	}
	return 1
}

func (u usage) plus(v usage) usage {
	return usage{u.members + v.members, u.usable + v.usable, u.free + v.free}
}

// change returns the difference that a worker makes whose free accelerators
// go from one count to another.
func change(sh shape.Shape, from, to int) usage {
	u := usage{to/sh.GPUs - from/sh.GPUs, 0, to - from}
	if from >= sh.GPUs {
		u.usable -= from
	}
	if to >= sh.GPUs {
		u.usable += to
	}
	return u
}

func (g *goal) move(w *state.Worker, from, to int) {
	if from == to {
		return
	}
	i := unitOf(g.shape.Level, w)
	for len(g.units) <= i {
		g.units = append(g.units, usage{})
	}
	u := &g.units[i]
	before := *u
	*u = u.plus(change(g.shape, from, to))
	g.inside += u.inside(g.shape) - before.inside(g.shape)
	g.fits += u.fits(g.shape) - before.fits(g.shape)
	g.free += to - from
}

// setGoals takes over the largest guaranteed shapes in force.
func (x *Index) setGoals() {
	var shapes []shape.Shape
	for _, a := range x.state.Accounts {
		for _, p := range a.Guarantees {
			if !slices.Contains(shapes, p.Shape) {
				shapes = append(shapes, p.Shape)
			}
		}
	}
	slices.SortFunc(shapes, bigger)
	shapes = shapes[:min(len(shapes), maxGoals)]
	same := slices.EqualFunc(shapes, x.goals, func(sh shape.Shape, g *goal) bool { return g.shape == sh })
	if same {
		return
	}
	x.goals = nil
	for _, sh := range shapes {
		g := &goal{shape: sh}
		for _, w := range x.state.Workers {
			if int(w.Index) < len(x.nodes) {
				g.move(w, 0, x.nodes[w.Index].masks[tierFree].Count())
			}
		}
		x.goals = append(x.goals, g)
	}
}

// damage returns how many free accelerators more lie outside any free block
// that fits the largest guaranteed shapes when the workers' free masks become
// those in after, one entry a worker. Taking accelerators that were outside
// anyway counts as negative.
func (x *Index) damage(after []shape.Slot) float64 {
	total, weight := 0.0, 1.0
	for _, g := range x.goals {
		total += weight * float64(g.damage(x, after))
		weight /= 2
	}
	return total
}

// taking returns the workers' free masks once the slots are taken; the result
// is valid until the next call.
func (x *Index) taking(slots []shape.Slot) []shape.Slot {
	x.scratch.after = x.scratch.after[:0]
	for _, sl := range slots {
		m := x.nodes[sl.Worker].masks[tierFree] &^ sl.Mask
		x.scratch.after = append(x.scratch.after, shape.Slot{Worker: sl.Worker, Mask: m})
	}
	return x.scratch.after
}

func (g *goal) damage(x *Index, after []shape.Slot) int {
	for _, sl := range after {
		from, to := x.nodes[sl.Worker].masks[tierFree].Count(), sl.Mask.Count()
		if from == to {
			continue
		}
		i := unitOf(g.shape.Level, x.state.Workers[sl.Worker])
		for len(g.deltas) <= i {
			g.deltas = append(g.deltas, usage{})
		}
		if g.deltas[i] == (usage{}) {
			g.marked = append(g.marked, i)
		}
		g.deltas[i] = g.deltas[i].plus(change(g.shape, from, to))
	}
	out := 0
	for _, i := range g.marked {
		var u usage
		if i < len(g.units) {
			u = g.units[i]
		}
		v := u.plus(g.deltas[i])
		out += (v.free - v.inside(g.shape)) - (u.free - u.inside(g.shape))
		g.deltas[i] = usage{}
	}
	g.marked = g.marked[:0]
	return out
}

// Fragmentation returns the same as the function Fragmentation for the
// index's state, without a scan; held accelerators count as occupied.
func (x *Index) Fragmentation() float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.flush()
	if len(x.goals) == 0 || x.goals[0].free == 0 {
		return 0
	}
	return 1 - float64(x.goals[0].inside)/float64(x.goals[0].free)
}
