package plan

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// eviction is a way to make room for a unit.
type eviction struct {
	workers []string // one for each task
	victims []*Running
	cost    float64 // core-seconds of work that is lost
}

// evict stops less urgent work to make room for the unit and keeps the room
// for it. It reports whether it found a way.
func (r *round) evict(u *Waiting) bool {
	best := r.best(u, r.victims)
	if best == nil {
		return false
	}
	for _, v := range best.victims {
		r.stopped[v.ID] = true
		r.returns(v)
		r.out.Stops = append(r.out.Stops, v)
	}
	h := Hold{Unit: u.ID, Priority: u.Priority, Need: u.Need, Workers: best.workers}
	r.out.Holds = append(r.out.Holds, h)
	r.keep(h, 1)
	return true
}

// drain keeps room for the unit where it becomes free first. It reports
// whether it found a way.
func (r *round) drain(u *Waiting) bool {
	if r.drains >= maxDrains {
		return false
	}
	best := r.best(u, r.leavers)
	if best == nil {
		return false
	}
	r.drains++
	h := Hold{Unit: u.ID, Priority: u.Priority, Need: u.Need, Workers: best.workers, Drain: true}
	r.out.Holds = append(r.out.Holds, h)
	r.keep(h, 1)
	return true
}

// best returns the cheapest way to make room for the unit among the candidates,
// or nil.
func (r *round) best(u *Waiting, candidates candidates) *eviction {
	r.index()
	var best *eviction
	for _, ws := range r.sites(u) {
		limit := -1.0
		if best != nil {
			limit = best.cost
		}
		if e := r.cheapest(u, ws, limit, candidates); e != nil {
			best = e
		}
	}
	return best
}

// victims returns the worker's units that give way to the unit, in the order in
// which they would be stopped, with their cost in lost core-seconds: less
// urgent ones and, for a unit within its account's guarantee, as urgent ones
// that run on room which others are guaranteed.
func (r *round) victims(u *Waiting, w *Worker) ([]*Running, func(*Running) float64) {
	var out, borrowed []*Running
	for _, v := range r.on[w.ID] {
		switch {
		case v.Priority > u.Priority:
			out = append(out, v)
		case v.Priority == u.Priority && u.Sure && !v.Sure:
			borrowed = append(borrowed, v)
		}
	}
	cost := func(v *Running) float64 {
		if v.Priority > u.Priority {
			return lost(v)
		}
		return borrowedFactor * lost(v)
	}
	return append(out, borrowed...), cost
}

// suspectCost keeps units that need room from workers on which runs fail or
// are slow, in core-seconds.
const suspectCost = 10000

// borrowedFactor weighs the lost work of a unit that is as urgent as the one
// that it gives way to; less urgent work goes first.
const borrowedFactor = 20

// leavers returns the worker's units in the order in which they end, with
// their cost in seconds.
func (r *round) leavers(_ *Waiting, w *Worker) ([]*Running, func(*Running) float64) {
	if r.ending == nil {
		r.ending = make(map[string][]*Running)
	}
	vs, ok := r.ending[w.ID]
	if !ok {
		vs = slices.SortedStableFunc(slices.Values(r.on[w.ID]), func(a, b *Running) int { return cmp.Compare(a.Left, b.Left) })
		r.ending[w.ID] = vs
	}
	return vs, func(v *Running) float64 { return float64(v.Left)/1000 + 0.1 }
}

// index lists the running units by worker, the cheapest first, and the room of
// those that are being stopped.
func (r *round) index() {
	if r.on != nil {
		return
	}
	r.on = make(map[string][]*Running)
	r.returning = make(map[string]Room)
	sorted := slices.SortedStableFunc(slices.Values(r.in.Running), func(a, b *Running) int {
		return cmp.Or(cmp.Compare(lost(a), lost(b)), cmp.Compare(a.ID.String(), b.ID.String()))
	})
	for _, v := range sorted {
		if v.Stopping || r.stopped[v.ID] {
			r.returns(v)
			continue
		}
		last := ""
		for _, id := range slices.Sorted(slices.Values(v.Workers)) {
			if id != last {
				r.on[id] = append(r.on[id], v)
				last = id
			}
		}
	}
}

// returns counts the room that a stopped unit gives back.
func (r *round) returns(v *Running) {
	for _, id := range v.Workers {
		r.returning[id] = r.returning[id].Add(v.Need)
	}
}

// sites returns the groups of workers among which all tasks of the unit should
// lie.
func (r *round) sites(u *Waiting) [][]*Worker {
	if near := r.racks[u.Rack]; u.Rack != "" && len(near) > 0 && r.capacity(u, near, true) >= u.Width {
		return [][]*Worker{near}
	}
	var out [][]*Worker
	if u.SameRack && u.Width > 1 {
		for _, name := range r.names {
			if ws := r.racks[name]; r.capacity(u, ws, true) >= u.Width {
				out = append(out, ws)
			}
		}
	}
	if len(out) == 0 {
		out = append(out, r.in.Workers)
	}
	return out
}

// cheapest places the tasks one by one on the worker where the next one costs
// the least lost work; nil if they do not fit even so, or cost the limit or
// more. A negative limit is none.
func (r *round) cheapest(u *Waiting, workers []*Worker, limit float64, candidates candidates) *eviction {
	gone := make(map[ledger.UnitID]bool)
	free := make(map[string]Room, len(workers))
	for _, w := range workers {
		free[w.ID] = w.Free.Add(r.returning[w.ID])
	}
	e := &eviction{}
	placed := make(map[string]int)
	for range u.Width {
		var at *Worker
		var victims []*Running
		least := 0.0
		for _, w := range workers {
			if !r.allowed(u, w) || r.spread(u, w, 1+placed[w.ID]) < 1+placed[w.ID] {
				continue
			}
			vs, cost, ok := r.makeRoom(u, w, free[w.ID], gone, candidates)
			if w.Suspect {
				cost += suspectCost
			}
			if ok && (at == nil || cost < least) {
				at, victims, least = w, vs, cost
				if cost == 0 {
					break
				}
			}
		}
		if at == nil {
			return nil
		}
		for _, v := range victims {
			gone[v.ID] = true
			for _, id := range v.Workers {
				if f, ok := free[id]; ok {
					free[id] = f.Add(v.Need)
				}
			}
			e.victims = append(e.victims, v)
		}
		e.cost += least
		if limit >= 0 && e.cost >= limit {
			return nil
		}
		e.workers = append(e.workers, at.ID)
		placed[at.ID]++
		free[at.ID] = free[at.ID].Sub(u.Need)
	}
	return e
}

// lost returns the core-seconds that stopping the unit throws away, and a
// little for the stop itself.
func lost(v *Running) float64 {
	const stopSeconds = 0.5
	seconds := float64(v.Unsaved)/1000 + stopSeconds
	return seconds * v.Need.Cores() * float64(len(v.Workers))
}

// candidates returns a worker's units that may go for the sake of a unit, in
// order, and what each costs.
type candidates func(u *Waiting, w *Worker) ([]*Running, func(*Running) float64)

// makeRoom returns the first of the worker's candidates whose end makes room
// for one task.
func (r *round) makeRoom(u *Waiting, w *Worker, free Room, gone map[ledger.UnitID]bool, candidates candidates) (victims []*Running, total float64, ok bool) {
	if free.Fits(u.Need) {
		return nil, 0, true
	}
	vs, cost := candidates(u, w)
	for _, v := range vs {
		if free.Fits(u.Need) {
			break
		}
		if gone[v.ID] || r.stopped[v.ID] {
			continue
		}
		victims = append(victims, v)
		total += cost(v)
		free = free.Add(v.Need) // at least one of its tasks is on this worker
	}
	return victims, total, free.Fits(u.Need)
}
