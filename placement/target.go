package placement

import (
	"slices"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// maxTargets is how many of the largest guaranteed shapes the search takes
// into account. Smaller shapes fit wherever these do.
const maxTargets = 2

// target is one of the largest guaranteed shapes, with counts of the free
// accelerators that it can use, by unit of its level.
type target struct {
	shape        shape.Shape
	units        []usage
	usable       int // usable accelerators of all units that fit the shape
	free         int
	fittingUnits int     // number of units that fit the shape
	deltas       []usage // buffer of fragmentationDelta, by unit
	changedUnits []int   // buffer of fragmentationDelta: units with a delta
}

// usage counts the free accelerators of one unit or worker, or the change of
// such counts.
type usage struct {
	members int // members of the shape that fit
	usable  int // accelerators on workers that take at least one member
	free    int
}

// usableFor returns the usable accelerators if the unit fits the shape,
// otherwise 0.
func (u usage) usableFor(sh shape.Shape) int {
	if u.members < sh.Members {
		return 0
	}
	return u.usable
}

// fitCount returns 1 if the unit fits the shape, otherwise 0.
func (u usage) fitCount(sh shape.Shape) int {
	if u.members < sh.Members {
		return 0
	}
	return 1
}

// plus returns the sum of two usages.
func (u usage) plus(v usage) usage {
	return usage{u.members + v.members, u.usable + v.usable, u.free + v.free}
}

// usageChange returns how a worker changes the usage of its unit when its
// number of free accelerators changes.
func usageChange(sh shape.Shape, from, to int) usage {
	u := usage{to/sh.GPUs - from/sh.GPUs, 0, to - from}
	if from >= sh.GPUs {
		u.usable -= from
	}
	if to >= sh.GPUs {
		u.usable += to
	}
	return u
}

// update applies a change of the number of free accelerators of the worker.
func (g *target) update(w *state.Worker, from, to int) {
	if from == to {
		return
	}
	i := unitOf(g.shape.Level, w)
	for len(g.units) <= i {
		g.units = append(g.units, usage{})
	}
	u := &g.units[i]
	before := *u
	*u = u.plus(usageChange(g.shape, from, to))
	g.usable += u.usableFor(g.shape) - before.usableFor(g.shape)
	g.fittingUnits += u.fitCount(g.shape) - before.fitCount(g.shape)
	g.free += to - from
}

// updateTargets sets the targets to the largest shapes that accounts have
// guarantees for now.
func (x *Index) updateTargets() {
	var shapes []shape.Shape
	for _, a := range x.state.Accounts {
		for _, p := range a.Guarantees {
			if !slices.Contains(shapes, p.Shape) {
				shapes = append(shapes, p.Shape)
			}
		}
	}
	slices.SortFunc(shapes, compareSize)
	shapes = shapes[:min(len(shapes), maxTargets)]
	same := slices.EqualFunc(shapes, x.targets, func(sh shape.Shape, g *target) bool { return g.shape == sh })
	if same {
		return
	}
	x.targets = nil
	for _, sh := range shapes {
		g := &target{shape: sh}
		for _, w := range x.state.Workers {
			if int(w.Index) < len(x.workers) {
				g.update(w, 0, x.workers[w.Index].masks[tierFree].Count())
			}
		}
		x.targets = append(x.targets, g)
	}
}

// fragmentationDelta returns how many more free accelerators the targets
// cannot use if the workers' free masks become those in after, which has one
// entry per worker. Each target weighs half as much as the one before it. The
// result is negative if accelerators are taken that the targets could not use
// anyway.
func (x *Index) fragmentationDelta(after []shape.Slot) float64 {
	total, weight := 0.0, 1.0
	for _, g := range x.targets {
		total += weight * float64(g.fragmentationDelta(x, after))
		weight /= 2
	}
	return total
}

// freeMasksAfter returns the free masks of the slots' workers once the slots
// are taken. The result is valid until the next call.
func (x *Index) freeMasksAfter(slots []shape.Slot) []shape.Slot {
	x.scratch.after = x.scratch.after[:0]
	for _, sl := range slots {
		m := x.workers[sl.Worker].masks[tierFree] &^ sl.Mask
		x.scratch.after = append(x.scratch.after, shape.Slot{Worker: sl.Worker, Mask: m})
	}
	return x.scratch.after
}

// fragmentationDelta is Index.fragmentationDelta for one target.
func (g *target) fragmentationDelta(x *Index, after []shape.Slot) int {
	for _, sl := range after {
		from, to := x.workers[sl.Worker].masks[tierFree].Count(), sl.Mask.Count()
		if from == to {
			continue
		}
		i := unitOf(g.shape.Level, x.state.Workers[sl.Worker])
		for len(g.deltas) <= i {
			g.deltas = append(g.deltas, usage{})
		}
		if g.deltas[i] == (usage{}) {
			g.changedUnits = append(g.changedUnits, i)
		}
		g.deltas[i] = g.deltas[i].plus(usageChange(g.shape, from, to))
	}
	out := 0
	for _, i := range g.changedUnits {
		var u usage
		if i < len(g.units) {
			u = g.units[i]
		}
		v := u.plus(g.deltas[i])
		out += (v.free - v.usableFor(g.shape)) - (u.free - u.usableFor(g.shape))
		g.deltas[i] = usage{}
	}
	g.changedUnits = g.changedUnits[:0]
	return out
}

// Fragmentation returns the same as the function Fragmentation for the
// index's state, without a scan. Accelerators held by Hold count as in use.
func (x *Index) Fragmentation() float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.update()
	if len(x.targets) == 0 || x.targets[0].free == 0 {
		return 0
	}
	return 1 - float64(x.targets[0].usable)/float64(x.targets[0].free)
}
