package plan

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// preemptionPlan is one way to free resources for a unit.
type preemptionPlan struct {
	workers []string       // one for each task
	victims []*RunningUnit // units whose end frees the resources
	cost    float64        // lost core-seconds if the victims are stopped, seconds of waiting if they end by themselves
}

// preempt stops less urgent work for the unit and reserves the freed resources.
// It reports whether it found a way.
func (r *round) preempt(u *WaitingUnit) bool {
	best := r.cheapestPlan(u, r.preemptible)
	if best == nil {
		return false
	}
	for _, v := range best.victims {
		r.preempted[v.ID] = true
		r.addReleasing(v)
		r.out.Preemptions = append(r.out.Preemptions, v)
	}
	h := Reservation{Unit: u.ID, Priority: u.Priority, Need: u.Need, Workers: best.workers}
	r.out.Reservations = append(r.out.Reservations, h)
	r.deduct(h, 1)
	return true
}

// reserveWithoutPreemption reserves resources for the unit where they become
// free first. It reports whether it found a way.
func (r *round) reserveWithoutPreemption(u *WaitingUnit) bool {
	if r.nonPreemptive >= maxNonPreemptive {
		return false
	}
	best := r.cheapestPlan(u, r.ending)
	if best == nil {
		return false
	}
	r.nonPreemptive++
	h := Reservation{Unit: u.ID, Priority: u.Priority, Need: u.Need, Workers: best.workers, NonPreemptive: true}
	r.out.Reservations = append(r.out.Reservations, h)
	r.deduct(h, 1)
	return true
}

// cheapestPlan returns the cheapest way to free resources for the unit by the
// end of candidates, or nil.
func (r *round) cheapestPlan(u *WaitingUnit, candidates candidateFunc) *preemptionPlan {
	r.indexRunning()
	var best *preemptionPlan
	for _, ws := range r.workerGroups(u) {
		limit := -1.0
		if best != nil {
			limit = best.cost
		}
		if p := r.planOn(u, ws, limit, candidates); p != nil {
			best = p
		}
	}
	return best
}

// preemptible returns the worker's units that the unit may preempt, in the
// order in which they would be stopped, with their cost in lost core-seconds.
// These are less urgent units and, if the unit is within its account's
// guarantee, units of the same priority that are not within theirs.
func (r *round) preemptible(u *WaitingUnit, w *Worker) ([]*RunningUnit, func(*RunningUnit) float64) {
	var out, borrowed []*RunningUnit
	for _, v := range r.byStopCost[w.ID] {
		switch {
		case v.Priority > u.Priority:
			out = append(out, v)
		case v.Priority == u.Priority && u.Guaranteed && !v.Guaranteed:
			borrowed = append(borrowed, v)
		}
	}
	cost := func(v *RunningUnit) float64 {
		if v.Priority > u.Priority {
			return lostCoreSeconds(v)
		}
		return equalPriorityCostFactor * lostCoreSeconds(v)
	}
	return append(out, borrowed...), cost
}

// suspectCostCoreSeconds is added to the cost of a worker on which runs fail or
// are slow, so that units avoid it.
const suspectCostCoreSeconds = 10000

// equalPriorityCostFactor multiplies the cost of lost work of a unit that has
// the same priority as the one that preempts it, so that less urgent work is
// stopped first.
const equalPriorityCostFactor = 20

// ending returns the worker's units in the order in which they end, with their
// cost in seconds until then.
func (r *round) ending(_ *WaitingUnit, w *Worker) ([]*RunningUnit, func(*RunningUnit) float64) {
	if r.byRemaining == nil {
		r.byRemaining = make(map[string][]*RunningUnit)
	}
	vs, ok := r.byRemaining[w.ID]
	if !ok {
		vs = slices.SortedStableFunc(slices.Values(r.byStopCost[w.ID]), func(a, b *RunningUnit) int { return cmp.Compare(a.RemainingMs, b.RemainingMs) })
		r.byRemaining[w.ID] = vs
	}
	return vs, func(v *RunningUnit) float64 { return float64(v.RemainingMs)/1000 + 0.1 }
}

// indexRunning lists the running units by worker, the cheapest first, and adds
// up the resources of those that are being stopped.
func (r *round) indexRunning() {
	if r.byStopCost != nil {
		return
	}
	r.byStopCost = make(map[string][]*RunningUnit)
	r.releasing = make(map[string]Resources)
	sorted := slices.SortedStableFunc(slices.Values(r.in.Running), func(a, b *RunningUnit) int {
		return cmp.Or(cmp.Compare(lostCoreSeconds(a), lostCoreSeconds(b)), cmp.Compare(a.ID.String(), b.ID.String()))
	})
	for _, v := range sorted {
		if v.Stopping || r.preempted[v.ID] {
			r.addReleasing(v)
			continue
		}
		last := ""
		for _, id := range slices.Sorted(slices.Values(v.Workers)) {
			if id != last {
				r.byStopCost[id] = append(r.byStopCost[id], v)
				last = id
			}
		}
	}
}

// addReleasing adds the resources that a stopped unit will release.
func (r *round) addReleasing(v *RunningUnit) {
	for _, id := range v.Workers {
		r.releasing[id] = r.releasing[id].Add(v.Need)
	}
}

// workerGroups returns the groups of workers within which all tasks of the unit
// should run.
func (r *round) workerGroups(u *WaitingUnit) [][]*Worker {
	if near := r.racks[u.Rack]; u.Rack != "" && len(near) > 0 && r.capacity(u, near, true) >= u.Width {
		return [][]*Worker{near}
	}
	var out [][]*Worker
	if u.SameRack && u.Width > 1 {
		for _, name := range r.rackNames {
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

// planOn places the tasks one by one on the worker where the next one costs the
// least. It returns nil if the tasks do not fit even so, or if their cost
// reaches the limit. A negative limit means none.
func (r *round) planOn(u *WaitingUnit, workers []*Worker, limit float64, candidates candidateFunc) *preemptionPlan {
	chosen := make(map[ledger.UnitID]bool) // victims so far
	free := make(map[string]Resources, len(workers))
	for _, w := range workers {
		free[w.ID] = w.Free.Add(r.releasing[w.ID])
	}
	p := &preemptionPlan{}
	placed := make(map[string]int)
	for range u.Width {
		var at *Worker
		var victims []*RunningUnit
		least := 0.0
		for _, w := range workers {
			if !r.eligible(u, w) || r.limitPerWorker(u, w, 1+placed[w.ID]) < 1+placed[w.ID] {
				continue
			}
			vs, cost, ok := r.selectVictims(u, w, free[w.ID], chosen, candidates)
			if w.Suspect {
				cost += suspectCostCoreSeconds
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
			chosen[v.ID] = true
			for _, id := range v.Workers {
				if f, ok := free[id]; ok {
					free[id] = f.Add(v.Need)
				}
			}
			p.victims = append(p.victims, v)
		}
		p.cost += least
		if limit >= 0 && p.cost >= limit {
			return nil
		}
		p.workers = append(p.workers, at.ID)
		placed[at.ID]++
		free[at.ID] = free[at.ID].Sub(u.Need)
	}
	return p
}

// lostCoreSeconds returns the work that stopping the unit loses, plus a small
// fixed cost of the stop itself.
func lostCoreSeconds(v *RunningUnit) float64 {
	const stopSeconds = 0.5
	seconds := float64(v.UnsavedMs)/1000 + stopSeconds
	return seconds * v.Need.CoreEquivalents() * float64(len(v.Workers))
}

// candidateFunc returns the worker's units whose end could free resources for
// the unit, in the order of preference, and a function that returns the cost of
// each.
type candidateFunc func(u *WaitingUnit, w *Worker) ([]*RunningUnit, func(*RunningUnit) float64)

// selectVictims returns the first of the worker's candidates that together free
// enough resources for one task.
func (r *round) selectVictims(u *WaitingUnit, w *Worker, free Resources, chosen map[ledger.UnitID]bool, candidates candidateFunc) (victims []*RunningUnit, total float64, ok bool) {
	if free.Fits(u.Need) {
		return nil, 0, true
	}
	vs, cost := candidates(u, w)
	for _, v := range vs {
		if free.Fits(u.Need) {
			break
		}
		if chosen[v.ID] || r.preempted[v.ID] {
			continue
		}
		victims = append(victims, v)
		total += cost(v)
		free = free.Add(v.Need) // at least one task of the candidate runs on this worker
	}
	return victims, total, free.Fits(u.Need)
}
