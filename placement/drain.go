package placement

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Drain is a unit that is to become free for a waiting job.
type Drain struct {
	Unit  int          // number of the worker, rack or failure domain
	Slots []shape.Slot // accelerators to keep for the job
	At    int64        // when they are expected to be free, Unix milliseconds
}

// Drain returns the unit that is expected to be free first for the job; end
// estimates when a placed job ends. A unit of 0 or more restricts the search to
// that unit, -1 to none. Slots are nil if no unit can ever fit the job.
func (x *Index) Drain(j *state.Job, unit int, now int64, end func(*state.Job) int64) Drain {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.flush()
	best := Drain{Unit: -1}
	for u := range unitCount(x.state, j.Spec.Shape.Level) {
		if unit >= 0 && u != unit || !x.couldFit(j, u) {
			continue
		}
		d := x.drainUnit(j, u, now, end)
		if d.Slots != nil && (best.Slots == nil || d.At < best.At) {
			best = d
		}
	}
	return best
}

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

// couldFit reports whether the unit has enough accelerators, busy or not.
func (x *Index) couldFit(j *state.Job, u int) bool {
	n := 0
	switch j.Spec.Shape.Level {
	case shape.LevelWorker:
		n = x.nodes[u].sum.Total
	case shape.LevelRack:
		n = x.racks[u].Total
	default:
		n = x.domains[u].Total
	}
	return n >= j.Spec.Shape.Total()
}

// seat is a member's place and when it is expected to be free.
type seat struct {
	worker uint32
	mask   shape.Mask
	at     int64
}

func (x *Index) drainUnit(j *state.Job, u int, now int64, end func(*state.Job) int64) Drain {
	sh := j.Spec.Shape
	var seats []seat
	for _, w := range unitWorkers(x.state, sh.Level, u) {
		if w.Ready() && suits(w, j) {
			seats = x.seats(seats, w, j, now, end)
		}
	}
	if len(seats) < sh.Members {
		return Drain{Unit: -1}
	}
	slices.SortStableFunc(seats, func(a, b seat) int { return cmp.Compare(a.at, b.at) })
	seats = seats[:sh.Members]
	d := Drain{Unit: u, At: seats[sh.Members-1].at}
	slices.SortFunc(seats, func(a, b seat) int { return cmp.Compare(a.worker, b.worker) })
	for _, s := range seats {
		if n := len(d.Slots); n > 0 && d.Slots[n-1].Worker == s.worker {
			d.Slots[n-1].Mask |= s.mask
			continue
		}
		d.Slots = append(d.Slots, shape.Slot{Worker: s.worker, Mask: s.mask})
	}
	return d
}

// seats appends the places for members on the worker in the order in which
// they are expected to be free.
func (x *Index) seats(out []seat, w *state.Worker, j *state.Job, now int64, end func(*state.Job) int64) []seat {
	type part struct {
		mask shape.Mask
		at   int64
	}
	barred := x.nodes[w.Index].held
	if j.Spec.Once {
		barred |= w.Reserved() &^ ownMask(w, j.Spec.Account)
	}
	parts := []part{{w.Free() &^ barred, now}}
	for _, t := range w.Tasks {
		at := now
		if t.Phase != state.TaskStopping {
			at = max(now, end(t.Job))
		}
		parts = append(parts, part{t.Mask &^ barred, at})
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(a.at, b.at) })
	g := j.Spec.Shape.GPUs
	var have shape.Mask
	for _, p := range parts {
		have |= p.mask
		for have.Count() >= g {
			m := have.Take(g)
			have &^= m
			out = append(out, seat{w.Index, m, p.at})
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
