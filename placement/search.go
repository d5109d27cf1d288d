package placement

import (
	"slices"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Bounds on how many fitting units a search compares. The tightest ones come
// first, and one that takes only accelerators that the largest shapes cannot
// use ends the search.
const (
	maxPerBucket  = 2
	maxCandidates = 16
	maxDomains    = 4
)

// scratch is memory that searches reuse.
type scratch struct {
	offers []offer
	after  []shape.Slot
	units  []unitUsage
	kept   bool // the last search was refused to spare a unit
}

// choice is a possible placement.
type choice struct {
	slots   []shape.Slot
	damage  float64 // see Index.damage
	victims []*state.Job
	cost    float64 // of the victims' lost work and the damage, in accelerator-milliseconds
	whole   bool    // fills whole blocks of the account
	shared  bool    // lies in own blocks that hold guaranteed work already
}

// space narrows the accelerators of a tier to what an account may use.
type space int

const (
	spaceAll  space = iota
	spaceLent       // not in the account's own blocks
	spaceOwn        // not in blocks of other accounts
)

// search returns the least damaging slots for the job among the tightest
// units in the tier, or nil slots if no unit fits.
func (x *Index) search(j *state.Job, tier int, sp space) choice {
	sh := j.Spec.Shape
	if sh.Level == shape.LevelDomain {
		return x.searchDomains(j, tier, sp)
	}
	if sh.Level == shape.LevelWorker {
		if sh.Total() > shape.MaxGPUs {
			return choice{}
		}
		sh = shape.Shape{Members: 1, GPUs: sh.Total(), Level: shape.LevelRack}
	}
	t := x.table(tier, sh.GPUs)
	var best choice
	found := 0
	for n := sh.Members; found < maxCandidates; n++ {
		if n = t.next(n); n < 0 {
			break
		}
		inBucket := 0
		for d := range t.byDomain {
			done := !t.byDomain[d].each(x.state.Domains[d], n, func(r *state.Rack) bool {
				x.offer(j, tier, sp, r)
				slots := fill(sh, x.scratch.offers)
				if slots == nil {
					return true // a worker of the rack does not suit the job
				}
				c := choice{slots: slots, damage: x.damage(x.taking(slots))}
				if best.slots == nil || c.damage < best.damage {
					best = c
				}
				found++
				inBucket++
				return inBucket < maxPerBucket && !x.harmless(j, c)
			})
			if done {
				break
			}
		}
		if best.slots != nil && x.harmless(j, best) {
			break
		}
	}
	return best
}

// harmless reports whether no choice can do less damage: all accelerators
// taken were of no use to the largest shapes.
func (x *Index) harmless(j *state.Job, c choice) bool {
	weight := 0.0
	for i := range x.goals {
		weight += 1 / float64(int(1)<<i)
	}
	return c.damage <= -weight*float64(j.Spec.Shape.Total())
}

// next returns the smallest count from n on that some rack has, or -1.
func (t *table) next(n int) int {
	best := -1
	for d := range t.byDomain {
		if m := t.byDomain[d].next(n); m >= 0 && (best < 0 || m < best) {
			best = m
		}
	}
	return best
}

// offer collects the rack's accelerators of the tier that the job may use.
func (x *Index) offer(j *state.Job, tier int, sp space, r *state.Rack) {
	out := x.scratch.offers[:0]
	for _, w := range r.Workers {
		if int(w.Index) >= len(x.nodes) {
			continue
		}
		m := x.nodes[w.Index].masks[tier]
		switch {
		case m == 0 || len(w.Blocks) == 0:
		case sp == spaceLent:
			m &^= ownMask(w, j.Spec.Account)
		case sp == spaceOwn:
			m &^= w.Reserved() &^ ownMask(w, j.Spec.Account)
		}
		if m.Count() >= j.Spec.Shape.GPUs && suits(w, j) {
			out = append(out, offer{worker: w, mask: m})
		}
	}
	slices.SortFunc(out, tight)
	x.scratch.offers = out
}

// searchDomains is search for shapes of level domain: it compares the domains
// with the least room and fills the fullest racks of each first.
func (x *Index) searchDomains(j *state.Job, tier int, sp space) choice {
	sh := j.Spec.Shape
	t := x.table(tier, sh.GPUs)
	var fit []int
	for d, n := range t.domains {
		if n >= sh.Members {
			fit = append(fit, d)
		}
	}
	slices.SortStableFunc(fit, func(a, b int) int { return t.domains[a] - t.domains[b] })
	var best choice
	found := 0
	for _, d := range fit {
		slots := x.fillDomain(j, t, sp, d)
		if slots == nil {
			continue
		}
		c := choice{slots: slots, damage: x.damage(x.taking(slots))}
		if best.slots == nil || c.damage < best.damage {
			best = c
		}
		if found++; found == maxDomains || x.harmless(j, best) {
			break
		}
	}
	return best
}

// fillDomain takes the shape from the domain's racks, those with the least
// room first, so that scattered accelerators are used up before whole racks.
func (x *Index) fillDomain(j *state.Job, t *table, sp space, d int) []shape.Slot {
	sh := j.Spec.Shape
	var all []offer
	room := 0
	for n := t.byDomain[d].next(1); n >= 0 && room < sh.Members; n = t.byDomain[d].next(n + 1) {
		t.byDomain[d].each(x.state.Domains[d], n, func(r *state.Rack) bool {
			x.offer(j, t.tier, sp, r)
			for _, o := range x.scratch.offers {
				if m := o.mask.Count() / sh.GPUs; m > 0 {
					all = append(all, o)
					room += m
				}
			}
			return room < sh.Members
		})
	}
	return fill(sh, all)
}
