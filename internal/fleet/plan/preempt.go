package plan

import (
	"cmp"
	"slices"
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
	r.preempting = true
	best := r.cheapestPlan(u, endingUnits{r.preemptible, preemptionCost})
	r.preempting = false
	if best == nil {
		return false
	}
	for _, v := range best.victims {
		v.preempted = true
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
	return r.reserveAtEndOf(u, r.ending)
}

// reserveInRack reserves resources in the unit's rack, or in one rack, if they
// become free before the unit may start elsewhere. Small units would otherwise
// occupy them meanwhile.
func (r *round) reserveInRack(u *WaitingUnit, wait Wait) bool {
	left := wait.RoomSince + MaxChoiceWaitMs - r.in.Now
	return wait.RoomSince > 0 && r.reserveAtEndOf(u, func(u *WaitingUnit, w *Worker) []*RunningUnit {
		units := r.ending(u, w)
		n := slices.IndexFunc(units, func(v *RunningUnit) bool { return v.RemainingMs > left })
		if n < 0 {
			return units
		}
		return units[:n]
	})
}

// reserveAtEndOf reserves resources for the unit where the ends of the units that
// on returns free them first. It reports whether it found a way.
func (r *round) reserveAtEndOf(u *WaitingUnit, on func(u *WaitingUnit, w *Worker) []*RunningUnit) bool {
	if r.nonPreemptive >= maxNonPreemptive {
		return false
	}
	best := r.cheapestPlan(u, endingUnits{on, endingCost})
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
// end of other units, or nil.
func (r *round) cheapestPlan(u *WaitingUnit, ends endingUnits) *preemptionPlan {
	r.indexRunning()
	var best *preemptionPlan
	for _, ws := range r.workerGroups(u) {
		limit := -1.0
		if best != nil {
			limit = best.cost
		}
		if p := r.planOn(u, ws, limit, ends); p != nil {
			best = p
		}
	}
	return best
}

// preemptible returns the worker's units that the unit may preempt, in the order
// in which they would be stopped. These are less urgent units and units of the same
// priority that are not within their account's guarantee, if the unit is within its
// own or they use resources that were reserved for it. The result is valid until the
// next call.
func (r *round) preemptible(u *WaitingUnit, w *Worker) []*RunningUnit {
	out := r.candidates[:0]
	running := w.byStopCost()
	for _, v := range running {
		if v.Priority > u.Priority {
			out = append(out, v)
		}
	}
	if !u.Guaranteed && !r.displaced[u.ID] {
		r.candidates = out
		return out
	}
	for _, v := range running {
		if v.Priority == u.Priority && !v.Guaranteed && (u.Guaranteed || slices.Contains(v.Displaces, u.ID)) {
			out = append(out, v)
		}
	}
	r.candidates = out
	return out
}

// preemptionCost returns the cost of stopping the running unit for the waiting
// one, in lost core-seconds.
func preemptionCost(u *WaitingUnit, v *RunningUnit) float64 {
	if v.Priority > u.Priority {
		return v.stopCost
	}
	return equalPriorityCostFactor * v.stopCost
}

// suspectCostCoreSeconds is added to the cost of a worker on which runs fail or
// are slow, so that units avoid it.
const suspectCostCoreSeconds = 10000

// equalPriorityCostFactor multiplies the cost of lost work of a unit that has
// the same priority as the one that preempts it, so that less urgent work is
// stopped first.
const equalPriorityCostFactor = 20

// ending returns the worker's units in the order in which they end.
func (r *round) ending(_ *WaitingUnit, w *Worker) []*RunningUnit {
	if r.byRemaining == nil {
		r.byRemaining = make(map[string][]*RunningUnit)
	}
	vs, ok := r.byRemaining[w.ID]
	if !ok {
		vs = slices.SortedStableFunc(slices.Values(w.byStopCost()), func(a, b *RunningUnit) int { return cmp.Compare(a.RemainingMs, b.RemainingMs) })
		r.byRemaining[w.ID] = vs
	}
	return vs
}

// endingCost returns the seconds until the running unit ends.
func endingCost(_ *WaitingUnit, v *RunningUnit) float64 { return float64(v.RemainingMs)/1000 + 0.1 }

// indexRunning lists the running units by worker and adds up the resources of
// those that are being stopped.
func (r *round) indexRunning() {
	if r.indexed {
		return
	}
	r.indexed = true
	for _, v := range r.in.Running {
		if v.Stopping {
			r.addReleasing(v)
			continue
		}
		v.stopCost = lostCoreSeconds(v)
		for _, id := range v.Workers {
			w := r.workers[id]
			if w == nil {
				continue
			}
			if n := len(w.running); n == 0 || w.running[n-1] != v {
				w.running = append(w.running, v)
			}
		}
	}
}

// byStopCost returns the running units, the cheapest to stop first.
func (w *Worker) byStopCost() []*RunningUnit {
	if !w.sorted {
		w.sorted = true
		slices.SortFunc(w.running, func(a, b *RunningUnit) int {
			return cmp.Or(cmp.Compare(a.stopCost, b.stopCost), compareUnits(a.ID, b.ID))
		})
	}
	return w.running
}

// addReleasing adds the resources that a stopped unit will release.
func (r *round) addReleasing(v *RunningUnit) {
	for _, id := range v.Workers {
		if w := r.workers[id]; w != nil {
			w.releasing = w.releasing.Add(v.Need)
		}
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

// offer is the cheapest way to place the next task of a unit on a worker.
type offer struct {
	worker  *Worker
	free    Resources // with those of the units that will end
	placed  int       // tasks of the unit that were placed there
	known   bool      // the fields below are up to date
	ok      bool      // the next task can be placed
	victims []*RunningUnit
	cost    float64
}

// planOn places the tasks one by one on the worker where the next one costs the
// least. It returns nil if the tasks do not fit even so, or if their cost
// reaches the limit. A negative limit means none.
func (r *round) planOn(u *WaitingUnit, workers []*Worker, limit float64, ends endingUnits) *preemptionPlan {
	p := &preemptionPlan{}
	offers := make([]offer, 0, len(workers))
	for _, w := range workers {
		if r.eligible(u, w) {
			offers = append(offers, offer{worker: w, free: w.Free.Add(w.releasing)})
		}
	}
	for range u.Width {
		best := r.cheapestOffer(u, offers, p, ends)
		if best == nil {
			return nil
		}
		p.cost += best.cost
		if limit >= 0 && p.cost >= limit {
			return nil
		}
		for _, v := range best.victims {
			v.victimOf = p
			release(offers, v)
		}
		p.victims = append(p.victims, best.victims...)
		p.workers = append(p.workers, best.worker.ID)
		best.free = best.free.Sub(u.Need)
		best.placed++
		best.known = false
	}
	return p
}

// cheapestOffer returns the first of the cheapest offers, or nil if no worker can
// hold another task. It updates the offers that are not known.
func (r *round) cheapestOffer(u *WaitingUnit, offers []offer, p *preemptionPlan, ends endingUnits) *offer {
	var best *offer
	for i := range offers {
		o := &offers[i]
		if !o.known {
			r.updateOffer(u, o, p, ends)
		}
		if o.ok && (best == nil || o.cost < best.cost) {
			best = o
			if o.cost == 0 {
				return best
			}
		}
	}
	return best
}

// updateOffer computes what the next task on the worker costs.
func (r *round) updateOffer(u *WaitingUnit, o *offer, p *preemptionPlan, ends endingUnits) {
	o.known = true
	if o.ok = r.limitPerWorker(u, o.worker, 1+o.placed) > o.placed; !o.ok {
		return
	}
	o.victims, o.cost, o.ok = selectVictims(u, o.worker, o.free, p, ends)
	if r.preempting {
		o.cost += u.lateCost(o.worker) + u.riskCost(o.worker)
	}
	if o.worker.Suspect {
		o.cost += suspectCostCoreSeconds
	}
}

// release adds the resources of a victim to the offers of its workers.
func release(offers []offer, v *RunningUnit) {
	for i := range offers {
		o := &offers[i]
		for _, id := range v.Workers {
			if o.worker.ID == id {
				o.free = o.free.Add(v.Need)
				o.known = false
			}
		}
	}
}

// lostCoreSeconds returns the work that stopping the unit loses, plus a small
// fixed cost of the stop itself.
func lostCoreSeconds(v *RunningUnit) float64 {
	const stopSeconds = 0.5
	seconds := float64(v.UnsavedMs)/1000 + stopSeconds
	return seconds * v.Need.CoreEquivalents() * float64(len(v.Workers))
}

// endingUnits tells which units' ends could free resources.
type endingUnits struct {
	// on returns units on the worker, in the order of preference. The result is
	// valid until the next call.
	on func(u *WaitingUnit, w *Worker) []*RunningUnit
	// cost returns the cost of waiting for the end of one of them.
	cost func(u *WaitingUnit, v *RunningUnit) float64
}

// selectVictims returns the first of the worker's units that together free enough
// resources for one task. It leaves out those that the plan has chosen before.
func selectVictims(u *WaitingUnit, w *Worker, free Resources, p *preemptionPlan, ends endingUnits) (victims []*RunningUnit, total float64, ok bool) {
	if free.Fits(u.Need) {
		return nil, 0, true
	}
	for _, v := range ends.on(u, w) {
		if free.Fits(u.Need) {
			break
		}
		if v.victimOf == p || v.preempted {
			continue
		}
		victims = append(victims, v)
		total += ends.cost(u, v)
		free = free.Add(v.Need) // at least one task of the unit runs on this worker
	}
	return victims, total, free.Fits(u.Need)
}
