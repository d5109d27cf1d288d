package placement

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// EarliestFit is the unit where a waiting job is expected to fit first, once
// running jobs end.
type EarliestFit struct {
	Unit   int          // number of the worker, rack or failure domain
	Slots  []shape.Slot // accelerators for the job
	FreeAt int64        // when all of Slots are expected to be free, Unix milliseconds
}

// EarliestFit returns the unit that is expected to have free accelerators for
// the job first; end estimates when a placed job ends. A unit of 0 or more
// restricts the search to that unit; -1 searches all units. Slots of the
// result is nil if no unit can ever fit the job.
func (x *Index) EarliestFit(j *state.Job, unit int, now int64, end func(*state.Job) int64) EarliestFit {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.update()
	best := EarliestFit{Unit: -1}
	for u := range unitCount(x.state, j.Spec.Shape.Level) {
		if unit >= 0 && u != unit || !x.couldFit(j, u) {
			continue
		}
		d := x.earliestFitInUnit(j, u, now, end)
		if d.Slots != nil && (best.Slots == nil || d.FreeAt < best.FreeAt) {
			best = d
		}
	}
	return best
}

// unitCount returns the number of units of the level.
func unitCount(s *state.State, l shape.Level) int {
	switch l {
	case shape.LevelWorker:
		return len(s.Workers)
	case shape.LevelRack:
		return len(s.Racks)
	default:
		return len(s.Domains)
	}
}

// couldFit reports whether the unit has enough accelerators for the job, in
// use or not.
func (x *Index) couldFit(j *state.Job, u int) bool {
	n := 0
	switch j.Spec.Shape.Level {
	case shape.LevelWorker:
		n = x.workers[u].counts.Total
	case shape.LevelRack:
		n = x.racks[u].Total
	default:
		n = x.domains[u].Total
	}
	return n >= j.Spec.Shape.TotalGPUs()
}

// memberSlot is the accelerators for one member, with the time in Unix
// milliseconds at which they are expected to be free.
type memberSlot struct {
	worker uint32
	mask   shape.Mask
	freeAt int64
}

// earliestFitInUnit returns the earliest fit in unit u.
func (x *Index) earliestFitInUnit(j *state.Job, u int, now int64, end func(*state.Job) int64) EarliestFit {
	sh := j.Spec.Shape
	var slots []memberSlot
	for _, w := range unitWorkers(x.state, sh.Level, u) {
		if w.Ready() && canRun(w, j) {
			slots = x.memberSlots(slots, w, j, now, end)
		}
	}
	if len(slots) < sh.Members {
		return EarliestFit{Unit: -1}
	}
	slices.SortStableFunc(slots, func(a, b memberSlot) int { return cmp.Compare(a.freeAt, b.freeAt) })
	slots = slots[:sh.Members]
	d := EarliestFit{Unit: u, FreeAt: slots[sh.Members-1].freeAt}
	slices.SortFunc(slots, func(a, b memberSlot) int { return cmp.Compare(a.worker, b.worker) })
	for _, s := range slots {
		if n := len(d.Slots); n > 0 && d.Slots[n-1].Worker == s.worker {
			d.Slots[n-1].Mask |= s.mask
			continue
		}
		d.Slots = append(d.Slots, shape.Slot{Worker: s.worker, Mask: s.mask})
	}
	return d
}

// memberSlots appends the accelerators for each member that fits on the
// worker, in the order in which they are expected to be free.
func (x *Index) memberSlots(out []memberSlot, w *state.Worker, j *state.Job, now int64, end func(*state.Job) int64) []memberSlot {
	type group struct {
		mask shape.Mask
		at   int64
	}
	excluded := x.workers[w.Index].held
	if j.Spec.Once {
		excluded |= w.Reserved() &^ ownBlockMask(w, j.Spec.Account)
	}
	groups := []group{{w.Free() &^ excluded, now}}
	for _, t := range w.Tasks {
		at := now
		if t.Phase != state.TaskStopping {
			at = max(now, end(t.Job))
		}
		groups = append(groups, group{t.Mask &^ excluded, at})
	}
	slices.SortStableFunc(groups, func(a, b group) int { return cmp.Compare(a.at, b.at) })
	g := j.Spec.Shape.GPUs
	var have shape.Mask
	for _, p := range groups {
		have |= p.mask
		for have.Count() >= g {
			m := have.LowestN(g)
			have &^= m
			out = append(out, memberSlot{w.Index, m, p.at})
		}
	}
	return out
}

// unitWorkers lists the workers of one unit.
func unitWorkers(s *state.State, l shape.Level, unit int) []*state.Worker {
	switch l {
	case shape.LevelWorker:
		return s.Workers[unit : unit+1]
	case shape.LevelRack:
		return s.Racks[unit].Workers
	}
	var out []*state.Worker
	for _, r := range s.Domains[unit].Racks {
		out = append(out, r.Workers...)
	}
	return out
}
