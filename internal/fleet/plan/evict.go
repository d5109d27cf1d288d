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
	r.index()
	var best *eviction
	for _, ws := range r.sites(u) {
		limit := -1.0
		if best != nil {
			limit = best.cost
		}
		if e := r.cheapest(u, ws, limit); e != nil {
			best = e
		}
	}
	if best == nil {
		return false
	}
	for _, v := range best.victims {
		r.stopped[v.ID] = true
		r.returns(v)
		r.out.Stops = append(r.out.Stops, v)
	}
	h := Hold{u.ID, u.Need, best.workers}
	r.out.Holds = append(r.out.Holds, h)
	r.keep(h, 1)
	return true
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
func (r *round) cheapest(u *Waiting, workers []*Worker, limit float64) *eviction {
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
			vs, cost, ok := r.makeRoom(u, w, free[w.ID], gone)
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

// makeRoom returns the cheapest of the worker's less urgent units, in order,
// whose stop makes room for one task.
func (r *round) makeRoom(u *Waiting, w *Worker, free Room, gone map[ledger.UnitID]bool) (victims []*Running, cost float64, ok bool) {
	for _, v := range r.on[w.ID] {
		if free.Fits(u.Need) {
			break
		}
		if v.Priority <= u.Priority || gone[v.ID] || r.stopped[v.ID] {
			continue
		}
		victims = append(victims, v)
		cost += lost(v)
		free = free.Add(v.Need) // at least one of its tasks is on this worker
	}
	return victims, cost, free.Fits(u.Need)
}
