package placement

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// planner searches for disjoint accelerators for blocks, depth first with a
// bounded number of attempts.
type planner struct {
	state     *state.State
	available []shape.Mask          // available accelerators by worker number
	fitCounts map[fitCountKey][]int // members that fit, by unit
	worstFit  bool                  // tries the units that fit the most members first
	budget    int                   // attempts left
	failed    *demand               // see solve
}

// fitCountKey identifies the counts of members that fit, by unit.
type fitCountKey struct {
	level shape.Level
	gpus  int
}

// newPlanner returns a planner for blocks of the account. own reports whether
// the accelerators of an existing block count as available.
func newPlanner(s *state.State, account string, own func(*state.Block) bool) *planner {
	p := &planner{state: s, available: make([]shape.Mask, len(s.Workers)), fitCounts: map[fitCountKey][]int{}}
	for i, w := range s.Workers {
		p.available[i] = availableForBlocks(w, account, own)
	}
	return p
}

// solve returns blocks for all demands, except for optional ones that do not
// fit. If it fails, p.failed is the first demand that did not fit.
func (p *planner) solve(demands []demand) ([]record.Block, bool) {
	p.failed = nil
	var out []record.Block
	var next func(i int) bool
	next = func(i int) bool {
		if i == len(demands) {
			return true
		}
		d := &demands[i]
		for _, slots := range p.candidateSlots(d.shape) {
			if p.budget--; p.budget < 0 {
				return false
			}
			p.reserve(slots)
			out = append(out, record.Block{GuaranteeIndex: d.guarantee, Copy: d.copy, Slots: slots})
			if next(i + 1) {
				return true
			}
			out = out[:len(out)-1]
			p.release(slots)
		}
		if d.optional {
			return next(i + 1)
		}
		if p.failed == nil {
			p.failed = d
		}
		return false
	}
	ok := next(0)
	if !ok && p.failed == nil && len(demands) > 0 {
		p.failed = &demands[0]
	}
	return out, ok
}

// maxUnitsPerDemand is how many units solve tries for one demand.
const maxUnitsPerDemand = 3

// candidateSlots returns slots for the shape, in the order in which solve
// tries them.
func (p *planner) candidateSlots(sh shape.Shape) [][]shape.Slot {
	members := p.membersByUnit(sh)
	var units []int
	for u, n := range members {
		if n < sh.Members {
			continue
		}
		k, _ := slices.BinarySearchFunc(units, u, func(v, u int) int {
			if p.worstFit {
				return cmp.Or(cmp.Compare(members[u], members[v]), cmp.Compare(v, u))
			}
			return cmp.Or(cmp.Compare(members[v], members[u]), cmp.Compare(v, u))
		})
		if k < maxUnitsPerDemand {
			units = slices.Insert(units, k, u)
			units = units[:min(len(units), maxUnitsPerDemand)]
		}
	}
	var out [][]shape.Slot
	for _, u := range units {
		offers := p.offers(sh, u)
		// First attempt: workers with the fewest available accelerators first.
		// Second attempt: those that the members fill without a remainder first.
		slices.SortStableFunc(offers, compareTightness)
		first := fillShape(sh, offers)
		out = append(out, p.useCheapestMasks(first))
		slices.SortStableFunc(offers, func(a, b offer) int {
			return cmp.Compare(a.mask.Count()%sh.GPUs, b.mask.Count()%sh.GPUs)
		})
		if second := fillShape(sh, offers); !slices.Equal(first, second) {
			out = append(out, p.useCheapestMasks(second))
		}
	}
	return out
}

// useCheapestMasks replaces the masks by others of the same size on the same
// workers, where eviction loses the least work.
func (p *planner) useCheapestMasks(slots []shape.Slot) []shape.Slot {
	out := slices.Clone(slots)
	for i, sl := range out {
		out[i].Mask = cheapestMask(p.state.Workers[sl.Worker], p.available[sl.Worker], sl.Mask.Count(), p.state.Now)
	}
	return out
}

// offers lists the workers of the unit where at least one member fits.
func (p *planner) offers(sh shape.Shape, unit int) []offer {
	var out []offer
	add := func(w *state.Worker) {
		if m := p.available[w.Index]; m.Count() >= sh.GPUs {
			out = append(out, offer{worker: w, mask: m})
		}
	}
	switch sh.Level {
	case shape.LevelWorker:
		add(p.state.Workers[unit])
	case shape.LevelRack:
		for _, w := range p.state.Racks[unit].Workers {
			add(w)
		}
	default:
		for _, r := range p.state.Domains[unit].Racks {
			for _, w := range r.Workers {
				add(w)
			}
		}
	}
	return out
}

// membersByUnit returns how many members of the shape fit in each unit of its
// level.
func (p *planner) membersByUnit(sh shape.Shape) []int {
	k := fitCountKey{sh.Level, sh.GPUs}
	if r := p.fitCounts[k]; r != nil {
		return r
	}
	n := len(p.state.Workers)
	switch sh.Level {
	case shape.LevelRack:
		n = len(p.state.Racks)
	case shape.LevelDomain:
		n = len(p.state.Domains)
	}
	r := make([]int, n)
	for i, w := range p.state.Workers {
		r[unitOf(sh.Level, w)] += p.available[i].Count() / sh.GPUs
	}
	p.fitCounts[k] = r
	return r
}

// reserve makes the slots unavailable.
func (p *planner) reserve(slots []shape.Slot) {
	for _, sl := range slots {
		p.setAvailable(sl.Worker, p.available[sl.Worker]&^sl.Mask)
	}
}

// release makes the slots available again.
func (p *planner) release(slots []shape.Slot) {
	for _, sl := range slots {
		p.setAvailable(sl.Worker, p.available[sl.Worker]|sl.Mask)
	}
}

// setAvailable sets the available accelerators of a worker and updates the
// counts of members.
func (p *planner) setAvailable(worker uint32, m shape.Mask) {
	w := p.state.Workers[worker]
	for k, r := range p.fitCounts {
		r[unitOf(k.level, w)] += m.Count()/k.gpus - p.available[worker].Count()/k.gpus
	}
	p.available[worker] = m
}
