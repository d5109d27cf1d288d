package placement

import (
	"slices"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Bounds on how many units that fit the job a search compares. Units that fit
// the fewest members come first. A search ends early at a candidate that takes
// only accelerators that the targets cannot use.
const (
	maxPerBucket  = 2  // racks that fit the same number of members
	maxCandidates = 16 // racks
	maxDomains    = 4  // failure domains
)

// scratch has buffers that searches reuse, and a result of the last one.
type scratch struct {
	offers       []offer
	after        []shape.Slot
	unitChanges  []unitChange
	spareRefused bool // sparesLastUnit refused a candidate of the last search
}

// candidate is a possible placement of a job.
type candidate struct {
	slots              []shape.Slot
	fragmentationDelta float64 // see Index.fragmentationDelta
	victims            []*state.Job
	cost               float64 // weighted sum of the victims' lost work and the fragmentation, in accelerator-milliseconds
	wholeBlocks        bool    // fills whole blocks of the account
	sharedOnly         bool    // lies only in blocks of the account that hold guaranteed work already
}

// blockFilter restricts the accelerators of a tier by the blocks in which
// they lie.
type blockFilter int

const (
	allBlocks           blockFilter = iota
	exceptOwnBlocks                 // outside blocks and in lent blocks of other accounts
	exceptForeignBlocks             // outside blocks and in the account's own blocks
)

// findSlots returns the slots for the job that add the least fragmentation,
// among the best-fitting units in the tier. The slots are nil if no unit
// fits.
func (x *Index) findSlots(j *state.Job, tier int, filter blockFilter) candidate {
	sh := j.Spec.Shape
	if sh.Level == shape.LevelDomain {
		return x.findSlotsInDomains(j, tier, filter)
	}
	if sh.Level == shape.LevelWorker {
		if sh.TotalGPUs() > shape.MaxGPUs {
			return candidate{}
		}
		sh = shape.Shape{Members: 1, GPUs: sh.TotalGPUs(), Level: shape.LevelRack}
	}
	t := x.fitTable(tier, sh.GPUs)
	var best candidate
	found := 0
	for n := sh.Members; found < maxCandidates; n++ {
		if n = t.next(n); n < 0 {
			break
		}
		inBucket := 0
		for d := range t.byDomain {
			done := !t.byDomain[d].eachRack(x.state.Domains[d], n, func(r *state.Rack) bool {
				x.collectOffers(j, tier, filter, r)
				slots := fillShape(sh, x.scratch.offers)
				if slots == nil {
					return true // a worker of the rack cannot run the job
				}
				c := candidate{slots: slots, fragmentationDelta: x.fragmentationDelta(x.freeMasksAfter(slots))}
				if best.slots == nil || c.fragmentationDelta < best.fragmentationDelta {
					best = c
				}
				found++
				inBucket++
				return inBucket < maxPerBucket && !x.isMinimal(j, c)
			})
			if done {
				break
			}
		}
		if best.slots != nil && x.isMinimal(j, best) {
			break
		}
	}
	return best
}

// isMinimal reports whether no other candidate can add less fragmentation:
// the targets could use none of the accelerators that it takes.
func (x *Index) isMinimal(j *state.Job, c candidate) bool {
	weight := 0.0
	for i := range x.targets {
		weight += 1 / float64(int(1)<<i)
	}
	return c.fragmentationDelta <= -weight*float64(j.Spec.Shape.TotalGPUs())
}

// next returns the smallest count of at least n that some rack has, or -1.
func (t *fitTable) next(n int) int {
	best := -1
	for d := range t.byDomain {
		if m := t.byDomain[d].next(n); m >= 0 && (best < 0 || m < best) {
			best = m
		}
	}
	return best
}

// collectOffers sets x.scratch.offers to the rack's accelerators of the tier
// that the job may use.
func (x *Index) collectOffers(j *state.Job, tier int, filter blockFilter, r *state.Rack) {
	out := x.scratch.offers[:0]
	for _, w := range r.Workers {
		if int(w.Index) >= len(x.workers) {
			continue
		}
		m := x.workers[w.Index].masks[tier]
		switch {
		case m == 0 || len(w.Blocks) == 0:
		case filter == exceptOwnBlocks:
			m &^= ownBlockMask(w, j.Spec.Account)
		case filter == exceptForeignBlocks:
			m &^= w.Reserved() &^ ownBlockMask(w, j.Spec.Account)
		}
		if m.Count() >= j.Spec.Shape.GPUs && canRun(w, j) {
			out = append(out, offer{worker: w, mask: m})
		}
	}
	slices.SortFunc(out, compareTightness)
	x.scratch.offers = out
}

// findSlotsInDomains is findSlots for shapes of level domain. It compares the
// domains that fit the fewest members.
func (x *Index) findSlotsInDomains(j *state.Job, tier int, filter blockFilter) candidate {
	sh := j.Spec.Shape
	t := x.fitTable(tier, sh.GPUs)
	var fitting []int
	for d, n := range t.domains {
		if n >= sh.Members {
			fitting = append(fitting, d)
		}
	}
	slices.SortStableFunc(fitting, func(a, b int) int { return t.domains[a] - t.domains[b] })
	var best candidate
	found := 0
	for _, d := range fitting {
		slots := x.fillDomain(j, t, filter, d)
		if slots == nil {
			continue
		}
		c := candidate{slots: slots, fragmentationDelta: x.fragmentationDelta(x.freeMasksAfter(slots))}
		if best.slots == nil || c.fragmentationDelta < best.fragmentationDelta {
			best = c
		}
		if found++; found == maxDomains || x.isMinimal(j, best) {
			break
		}
	}
	return best
}

// fillDomain takes the shape from the domain's racks. Racks that fit the
// fewest members come first, so that scattered accelerators are used up
// before whole racks.
func (x *Index) fillDomain(j *state.Job, t *fitTable, filter blockFilter, d int) []shape.Slot {
	sh := j.Spec.Shape
	var all []offer
	members := 0
	for n := t.byDomain[d].next(1); n >= 0 && members < sh.Members; n = t.byDomain[d].next(n + 1) {
		t.byDomain[d].eachRack(x.state.Domains[d], n, func(r *state.Rack) bool {
			x.collectOffers(j, t.tier, filter, r)
			for _, o := range x.scratch.offers {
				if m := o.mask.Count() / sh.GPUs; m > 0 {
					all = append(all, o)
					members += m
				}
			}
			return members < sh.Members
		})
	}
	return fillShape(sh, all)
}
