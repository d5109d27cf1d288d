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
	var best *eviction
	for _, ws := range r.sites(u) {
		e := r.cheapest(u, ws)
		if e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	for _, v := range best.victims {
		if !r.stopped[v.ID] {
			r.stopped[v.ID] = true
			r.out.Stops = append(r.out.Stops, v)
		}
	}
	h := Hold{u.ID, u.Need, best.workers}
	r.out.Holds = append(r.out.Holds, h)
	r.keep(h, 1)
	return true
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
// the least lost work; nil if they do not fit even so.
func (r *round) cheapest(u *Waiting, workers []*Worker) *eviction {
	gone := make(map[ledger.UnitID]bool)
	free := make(map[string]Room)
	for _, w := range workers {
		free[w.ID] = w.Free
	}
	for _, v := range r.in.Running {
		if v.Stopping || r.stopped[v.ID] {
			gone[v.ID] = true
			release(free, v)
		}
	}
	on := r.evictable(u, gone)
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
			vs, cost, ok := makeRoom(u.Need, free[w.ID], on[w.ID], gone)
			if ok && (at == nil || cost < least) {
				at, victims, least = w, vs, cost
			}
		}
		if at == nil {
			return nil
		}
		for _, v := range victims {
			gone[v.ID] = true
			release(free, v)
			e.victims = append(e.victims, v)
		}
		e.cost += least
		e.workers = append(e.workers, at.ID)
		placed[at.ID]++
		free[at.ID] = free[at.ID].Sub(u.Need)
	}
	return e
}

func release(free map[string]Room, v *Running) {
	for _, id := range v.Workers {
		if f, ok := free[id]; ok {
			free[id] = f.Add(v.Need)
		}
	}
}

// evictable lists the less urgent units by worker, the cheapest first.
func (r *round) evictable(u *Waiting, gone map[ledger.UnitID]bool) map[string][]*Running {
	on := make(map[string][]*Running)
	for _, v := range r.in.Running {
		if v.Priority <= u.Priority || gone[v.ID] {
			continue
		}
		for _, id := range slices.Compact(slices.Sorted(slices.Values(v.Workers))) {
			on[id] = append(on[id], v)
		}
	}
	for _, vs := range on {
		slices.SortStableFunc(vs, func(a, b *Running) int { return cmp.Compare(lost(a), lost(b)) })
	}
	return on
}

// lost returns the core-seconds that stopping the unit throws away, and a
// little for the stop itself.
func lost(v *Running) float64 {
	const stopSeconds = 0.5
	seconds := float64(v.Unsaved)/1000 + stopSeconds
	return seconds * v.Need.Cores() * float64(len(v.Workers))
}

// makeRoom returns the cheapest of the worker's units, in order, whose stop makes
// room for the need.
func makeRoom(need, free Room, on []*Running, gone map[ledger.UnitID]bool) (victims []*Running, cost float64, ok bool) {
	for _, v := range on {
		if free.Fits(need) {
			break
		}
		if gone[v.ID] {
			continue
		}
		victims = append(victims, v)
		cost += lost(v)
		free = free.Add(v.Need) // at least one of its tasks is on this worker
	}
	return victims, cost, free.Fits(need)
}
