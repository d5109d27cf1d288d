package plan

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// minHeadroomRacks is the smallest number of racks of a service in which headroom
	// is kept. Headroom is kept by the rack, and of few racks one is too large a share.
	minHeadroomRacks = 16

	// rackFill is the share of a rack that urgent work is expected to use. Gangs that
	// stay in one rack leave gaps.
	rackFill = 0.8

	// minLookbackMs and maxLookbackMs bound how far back the peak of the demand is
	// looked for. Estimates of callers may be far off.
	minLookbackMs = 2500
	maxLookbackMs = 20000

	// demandInterval is the time in ms that is summarized in one sample of the demand.
	demandInterval = 250
)

// DemandHistory records the demand of the most urgent work of one service within the
// last maxLookbackMs. The zero value is empty.
type DemandHistory struct {
	samples []demandSample // the oldest first
}

// demandSample is the highest demand within demandInterval.
type demandSample struct {
	at     int64 // Unix ms at which the interval begins
	demand Resources
}

// Add records the demand at a Unix time in ms.
func (h *DemandHistory) Add(now int64, demand Resources) {
	if n := len(h.samples); n > 0 && now-h.samples[n-1].at < demandInterval {
		h.samples[n-1].demand = h.samples[n-1].demand.Max(demand)
		return
	}
	h.samples = slices.DeleteFunc(h.samples, func(s demandSample) bool { return now-s.at > maxLookbackMs })
	h.samples = append(h.samples, demandSample{now, demand})
}

// ageOfPeak returns how long before now, in ms, the demand last exceeded the given
// resources. ok is false if it has not.
func (h *DemandHistory) ageOfPeak(now int64, r Resources) (age int64, ok bool) {
	for _, s := range slices.Backward(h.samples) {
		if !r.Fits(s.demand) {
			age = now - s.at
			return age, age <= maxLookbackMs
		}
	}
	return 0, false
}

// keepHeadroom keeps racks free for the most urgent work of each service.
//
// It answers demand for urgent work that rises and falls within seconds, beside
// enough less urgent work to fill all room. Without headroom, each worker that
// becomes free gets less urgent work, and the next urgent gang stops it again: its
// work is lost, the gang waits for the stops, and other members of stopped gangs
// end as well. Racks are kept as a whole, since urgent gangs mostly want one each.
//
// The demand is expected to return within some time to the peak that it had within
// the same time before. So a worker is kept from a unit that would run for a time if
// the peak of that time before needed it. Less urgent work that already runs there
// goes on.
func (r *round) keepHeadroom() {
	if len(r.in.UrgentDemand) == 0 {
		return
	}
	order := slices.Clone(r.rackNames)
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Or(compareBool(isSlow(r.racks[a]), isSlow(r.racks[b])), cmp.Compare(rackRank(a), rackRank(b)))
	})
	for service, demand := range r.in.UrgentDemand {
		r.keepRacks(r.racksOf(service, order), demand)
	}
}

// racksOf returns the racks with workers of the service, in the order of names.
func (r *round) racksOf(service string, names []string) [][]*Worker {
	var out [][]*Worker
	for _, name := range names {
		workers := slices.DeleteFunc(slices.Clone(r.racks[name]), func(w *Worker) bool { return w.Service != service })
		if len(workers) > 0 {
			out = append(out, workers)
		}
	}
	return out
}

// keepRacks keeps as many of the racks free as the demand needs.
func (r *round) keepRacks(racks [][]*Worker, demand *DemandHistory) {
	if len(racks) < minHeadroomRacks {
		return
	}
	var kept Resources
	for _, workers := range racks {
		age, ok := demand.ageOfPeak(r.in.Now, kept)
		if !ok {
			return
		}
		for _, w := range workers {
			w.kept, w.peakAge = true, age
			kept = kept.Add(w.Total.scale(rackFill))
			r.out.Headroom++
		}
	}
}

// isSlow reports whether a worker of the rack is slow. Slow racks are kept last, since
// urgent jobs have little time to spare.
func isSlow(rack []*Worker) bool {
	return slices.ContainsFunc(rack, func(w *Worker) bool { return w.class() == speedSlow })
}

// rackRank orders racks regardless of their names, so that the kept racks are spread
// over all failure domains. It depends on nothing that changes, so that the kept
// racks stay the same.
func rackRank(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// keptFrom reports whether the worker is kept free of the unit. It is not if the
// unit's data lies there, or if the unit has waited for as long as it may be kept
// waiting by choice.
func (r *round) keptFrom(u *WaitingUnit, w *Worker) bool {
	switch {
	case !w.kept, u.Priority == 0, u.anywhere:
		return false
	case u.Rack != "" && u.Rack == w.Rack, r.overdue(u):
		return false
	}
	return w.peakAge <= u.lookback()
}

// lookback returns how far back, in ms, the peak of urgent demand counts against the
// unit: for as long as it would run. A stop of a unit with checkpoints loses little.
func (u *WaitingUnit) lookback() int64 {
	if u.Checkpointable {
		return minLookbackMs
	}
	return min(max(u.EstimateMs, minLookbackMs), maxLookbackMs)
}

// compareKept orders workers that are kept free for urgent units first for these.
func compareKept(u *WaitingUnit, a, b bool) int {
	if u.Priority > 0 {
		return 0
	}
	return compareBool(b, a)
}

// isKept reports whether a worker of the rack is kept free for urgent units.
func isKept(rack []*Worker) bool {
	return slices.ContainsFunc(rack, func(w *Worker) bool { return w.kept })
}
