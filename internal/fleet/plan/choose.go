package plan

import (
	"cmp"
	"slices"
)

// chooseWorkers returns workers with enough free resources for all tasks of the
// unit, or nil.
func (r *round) chooseWorkers(u *WaitingUnit) []string {
	if u.Rack != "" {
		if ws := r.pack(u, r.racks[u.Rack]); ws != nil {
			return ws
		}
		if !r.mayLeaveRack(u, r.racks[u.Rack]) {
			return nil
		}
	}
	if u.SameRack && u.Width > 1 {
		best, possible := r.packOneRack(u)
		if best != nil {
			return best
		}
		if possible && !r.rackWaitOver(u) {
			return nil
		}
	}
	return r.pack(u, r.in.Workers)
}

// rackFit is a rack that could hold a unit.
type rackFit struct {
	workers    []string // that the unit would use
	cost       int      // of their records and speeds, see rankCost
	kept       bool     // for the most urgent work
	contention int      // see round.contention
	left       int      // free tasks of the unit that would remain
}

// betterFit reports whether the unit should rather use the rack a than b. The records
// and speeds of the workers count first. Then urgent units use kept racks first; then
// the least contention counts, and then the best fit.
func betterFit(u *WaitingUnit, a, b rackFit) bool {
	return cmp.Or(
		cmp.Compare(a.cost, b.cost),
		compareKept(u, a.kept, b.kept),
		cmp.Compare(a.contention, b.contention),
		cmp.Compare(a.left, b.left),
	) < 0
}

// packOneRack returns workers of the rack that fits the unit best, or nil if it fits
// into no rack now. It also reports whether any rack could hold the unit if the rack's
// workers were empty.
func (r *round) packOneRack(u *WaitingUnit) (workers []string, possible bool) {
	var best rackFit
	for _, name := range r.rackNames {
		ws := r.racks[name]
		if r.capacity(u, ws, true) < u.Width {
			continue
		}
		possible = true
		fit := rackFit{kept: isKept(ws), left: r.capacity(u, ws, false) - u.Width}
		if fit.left < 0 || best.workers != nil && !betterFit(u, fit, best) {
			continue // cost and contention could only make it worse
		}
		if fit.workers = r.pack(u, ws); fit.workers == nil {
			continue
		}
		fit.contention = r.contention(fit.workers)
		if r.uneven || r.risks {
			fit.cost = r.rankCost(u, fit.workers)
		}
		if best.workers == nil || betterFit(u, fit, best) {
			best = fit
		}
	}
	return best.workers, possible
}

// mayLeaveRack reports whether the unit may run outside the rack of its data.
func (r *round) mayLeaveRack(u *WaitingUnit, near []*Worker) bool {
	if len(near) == 0 || r.capacity(u, near, true) < u.Width {
		return true
	}
	return r.rackWaitOver(u)
}

// rackWaitOver reports whether the unit has waited for a rack for as long as
// this pays off.
func (r *round) rackWaitOver(u *WaitingUnit) bool {
	wait := (remoteRackSlowdown - 1) * u.EstimateMs
	if u.Guaranteed {
		wait = min(wait, guaranteedRackWaitMs)
	}
	return u.anywhere || r.in.Now-u.ReadySince > wait
}

// capacity returns how many tasks of the unit fit on the workers: on their
// total resources if empty is set, else on the free ones.
func (r *round) capacity(u *WaitingUnit, workers []*Worker, empty bool) int {
	n := 0
	for _, w := range workers {
		resources := w.Free
		if empty {
			resources = w.Total
		}
		// Workers are kept free only for some time, so an empty one could hold the unit.
		usable := r.eligible(u, w) || empty && r.permitted(u, w)
		if !usable || !resources.Fits(u.Need) {
			continue
		}
		n += r.limitPerWorker(u, w, resources.MaxTasks(u.Need))
	}
	return n
}

// limitPerWorker lowers a count of the unit's tasks on a worker to what the
// limit of its step leaves.
func (r *round) limitPerWorker(u *WaitingUnit, w *Worker, n int) int {
	if u.MaxPerWorker > 0 {
		n = min(n, u.MaxPerWorker-u.RunningTasks[w.ID])
	}
	return max(n, 0)
}

// eligible reports whether the unit may run on the worker at all.
func (r *round) eligible(u *WaitingUnit, w *Worker) bool {
	return r.permitted(u, w) && !r.keptFrom(u, w)
}

// permitted is like eligible, but also accepts workers that are kept for more urgent
// work.
func (r *round) permitted(u *WaitingUnit, w *Worker) bool {
	if w.Watched && r.staysApart(u) {
		return false
	}
	if r.needsReliable(u) && u.risky(w) {
		return false
	}
	return suits(u, w) && !avoids(u, w)
}

// staysApart reports whether the unit waits for workers without crash suspects.
func (r *round) staysApart(u *WaitingUnit) bool {
	return u.CrashSuspect && !u.anywhere && r.in.Now-u.ReadySince <= crashApartMs
}

// suits reports whether the worker has the service and the label of the unit.
func suits(u *WaitingUnit, w *Worker) bool { return w.Service == u.Service && w.HasLabel(u.Label) }

// avoids reports whether the unit avoids the worker because it failed there.
func avoids(u *WaitingUnit, w *Worker) bool { return slices.Contains(u.AvoidWorkers, w.ID) }

// pack returns a worker for each task, or nil if not all tasks fit. It fills
// the workers with the fewest free resources first (best fit), so that large
// free blocks stay whole. Suspect workers come last. Of the others, those come first
// whose record is good, then those whose speed suits the unit, then those that are
// kept for it if it is urgent, and then those whose tasks and the unit's do not slow
// each other down. A unit that may crash its workers gets the emptiest ones instead.
func (r *round) pack(u *WaitingUnit, workers []*Worker) []string {
	fit := r.fit[:0]
	defer func() { r.fit = fit }()
	total := 0
	for _, w := range workers {
		if !w.Free.Fits(u.Need) || !r.eligible(u, w) {
			continue
		}
		if n := r.limitPerWorker(u, w, w.Free.MaxTasks(u.Need)); n > 0 {
			total += n
			fit = append(fit, w)
		}
	}
	if total < u.Width {
		return nil
	}
	r.rateContention(u, fit)
	if r.uneven || r.risks {
		r.rankWorkers(u, fit)
	}
	slices.SortStableFunc(fit, func(a, b *Worker) int {
		lastResort := compareBool(a.lastResort(), b.lastResort())
		if u.CrashSuspect {
			return cmp.Or(lastResort, cmp.Compare(b.Free.GPU, a.Free.GPU), cmp.Compare(b.Free.CPU, a.Free.CPU))
		}
		return cmp.Or(
			lastResort,
			cmp.Compare(a.rank, b.rank),
			compareKept(u, a.kept, b.kept),
			cmp.Compare(a.level, b.level),
			cmp.Compare(a.Free.GPU-u.Need.GPU, b.Free.GPU-u.Need.GPU),
			cmp.Compare(a.Free.CPU, b.Free.CPU),
		)
	})
	out := make([]string, 0, u.Width)
	for _, w := range fit {
		for n := r.limitPerWorker(u, w, w.Free.MaxTasks(u.Need)); n > 0 && len(out) < u.Width; n-- {
			out = append(out, w.ID)
		}
		if len(out) == u.Width {
			return out
		}
	}
	return nil
}

// lastResort reports whether other workers are used before the worker.
func (w *Worker) lastResort() bool { return w.Suspect || w.Watched }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
