package placement

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Estimates behind the cost of evictions, in milliseconds.
const (
	// fragmentationHorizonMs is how long an accelerator that becomes unusable
	// for the targets counts as lost. Jobs run for hours, but other jobs nearby
	// end within minutes and make it usable again.
	fragmentationHorizonMs = 10 * 60_000
	// maxCheckpointLossMs bounds the work that a job with checkpoints repeats.
	maxCheckpointLossMs = 60_000
	// restartLossMs is what any stopped job loses by starting again. It makes
	// few victims preferable to many.
	restartLossMs = 10_000
)

// lostWork estimates the accelerator-milliseconds that are lost if the job is
// stopped now.
func lostWork(j *state.Job, now int64) float64 {
	ran := int64(0)
	if j.Phase == state.JobRunning {
		ran = max(0, now-j.StartedAt)
	}
	if j.Spec.Checkpoint {
		ran = min(ran, maxCheckpointLossMs)
	}
	return float64(ran+restartLossMs) * float64(j.Spec.Shape.TotalGPUs())
}

// blockPart is the part of one of the account's blocks that lies in one unit of
// the job's level.
type blockPart struct {
	block     *state.Block
	unit      int
	offers    []offer
	available int     // accelerators that can be taken
	cost      float64 // lost work if the tasks on them are stopped
	shared    bool    // some of the block holds work that cannot be evicted
}

// findOwnSlots returns the slots of least cost for the job in its account's own
// blocks. The victims are the jobs to evict from them.
func (x *Index) findOwnSlots(j *state.Job, a *state.Account, p Policy) candidate {
	sh := j.Spec.Shape
	if x.ownAvailable(a) < sh.TotalGPUs() {
		return candidate{}
	}
	parts := x.blockParts(j, a)
	var best candidate
	keepCheapest := func(slots []shape.Slot, whole, shared bool) {
		if slots == nil {
			return
		}
		c := candidate{slots: slots, wholeBlocks: whole, sharedOnly: shared}
		x.addCost(&c, p)
		if best.slots == nil || c.cost < best.cost {
			best = c
		}
	}
	// First choice: one block of exactly the job's size. Only the cheapest few
	// by estimate are priced.
	slices.SortStableFunc(parts, func(a, b blockPart) int { return cmp.Compare(a.cost, b.cost) })
	tried := 0
	for _, q := range parts {
		if q.available == sh.TotalGPUs() && q.available == q.block.Shape.TotalGPUs() && tried < maxPricedBlocks {
			if slots := fillShape(sh, q.offers); slots != nil {
				tried++
				keepCheapest(slots, true, false)
			}
		}
	}
	if best.slots != nil {
		return best
	}
	// Second choice: several blocks of one size in one unit.
	eachWholeBlockGroup(parts, sh, func(group []blockPart) {
		slots, _, _ := x.combineParts(sh, group[:sh.TotalGPUs()/group[0].available])
		keepCheapest(slots, true, false)
	})
	if best.slots != nil {
		return best
	}
	// Last choice: any blocks of one unit, or a part of one block.
	slices.SortStableFunc(parts, func(a, b blockPart) int {
		return cmp.Or(cmp.Compare(a.unit, b.unit), compareShared(a, b), cmp.Compare(a.cost, b.cost))
	})
	for len(parts) > 0 {
		n := 1
		for n < len(parts) && parts[n].unit == parts[0].unit {
			n++
		}
		keepCheapest(x.combineParts(sh, parts[:n]))
		parts = parts[n:]
	}
	return best
}

// eachWholeBlockGroup calls f with the parts of each unit that are whole
// blocks of one size, if there are at least as many as the shape fills. It
// keeps their order.
func eachWholeBlockGroup(parts []blockPart, sh shape.Shape, f func([]blockPart)) {
	var groups [][]blockPart
	for _, q := range parts {
		n := q.block.Shape.TotalGPUs()
		if q.shared || q.available != n || n >= sh.TotalGPUs() || sh.TotalGPUs()%n != 0 {
			continue
		}
		k := slices.IndexFunc(groups, func(g []blockPart) bool { return g[0].unit == q.unit && g[0].available == q.available })
		if k < 0 {
			groups = append(groups, []blockPart{q})
			continue
		}
		groups[k] = append(groups[k], q)
	}
	for _, g := range groups {
		if len(g)*g[0].available >= sh.TotalGPUs() {
			f(g)
		}
	}
}

// maxPricedBlocks bounds how many blocks findOwnSlots prices exactly.
const maxPricedBlocks = 8

// compareShared orders blocks: those that already hold guaranteed work come first.
func compareShared(a, b blockPart) int {
	switch {
	case a.shared == b.shared:
		return 0
	case a.shared:
		return -1
	default:
		return 1
	}
}

// combineParts adds up the parts of one unit, in order, until the shape fits.
// It reports whether the slots fill whole blocks, and whether they lie only
// in shared blocks.
func (x *Index) combineParts(sh shape.Shape, parts []blockPart) (slots []shape.Slot, whole, shared bool) {
	var all []offer
	available, blocks := 0, 0
	shared = true
	for _, q := range parts {
		for _, o := range q.offers {
			k := slices.IndexFunc(all, func(b offer) bool { return b.worker == o.worker })
			if k < 0 {
				all = append(all, o)
				continue
			}
			all[k].mask |= o.mask
			all[k].cost += o.cost
		}
		available += q.available
		blocks += q.block.Shape.TotalGPUs()
		shared = shared && q.shared
		if available < sh.TotalGPUs() {
			continue
		}
		slices.SortFunc(all, compareTightness)
		if slots := x.fillCheapest(sh, all); slots != nil {
			return slots, blocks == sh.TotalGPUs(), shared
		}
	}
	return nil, false, false
}

// blockParts lists the accelerators of the account's blocks that the job
// could take, by block and by unit of the job's level.
func (x *Index) blockParts(j *state.Job, a *state.Account) []blockPart {
	var out []blockPart
	for _, b := range a.Blocks {
		if b.Broken {
			continue
		}
		first := len(out)
		for _, sl := range b.Slots {
			w := x.state.Workers[sl.Worker]
			unit := unitOf(j.Spec.Shape.Level, w)
			k := first
			for k < len(out) && out[k].unit != unit {
				k++
			}
			if k == len(out) {
				out = append(out, blockPart{block: b, unit: unit})
			}
			q := &out[k]
			n := &x.workers[sl.Worker]
			m := sl.Mask & n.reclaimable &^ n.held
			if m != sl.Mask || !canRun(w, j) {
				q.shared = q.shared || m != sl.Mask
				if m == 0 || !canRun(w, j) {
					continue
				}
			}
			cost := 0.0
			for _, t := range w.Tasks {
				if t.Mask&m != 0 && t.Phase != state.TaskStopping {
					cost += lostWork(t.Job, x.state.Now) / float64(len(t.Job.Slots))
				}
			}
			q.offers = append(q.offers, offer{worker: w, mask: m, cost: cost})
			q.available += m.Count()
			q.cost += cost
		}
	}
	return out
}

// fillCheapest is like fillShape, but on each worker it takes free accelerators
// before those whose work would be evicted.
func (x *Index) fillCheapest(sh shape.Shape, offers []offer) []shape.Slot {
	slots := fillShape(sh, offers)
	for i, sl := range slots {
		w := x.state.Workers[sl.Worker]
		k := slices.IndexFunc(offers, func(o offer) bool { return o.worker == w })
		slots[i].Mask = cheapestMask(w, offers[k].mask, sl.Mask.Count(), x.state.Now)
	}
	return slots
}

// cheapestMask picks n accelerators of the mask: first those that are free or
// hold a stopping task, then those of the tasks that lose the least work.
func cheapestMask(w *state.Worker, mask shape.Mask, n int, now int64) shape.Mask {
	var tasks []*state.Task
	idle := mask
	for _, t := range w.Tasks {
		if t.Mask&mask != 0 && t.Phase != state.TaskStopping {
			tasks = append(tasks, t)
			idle &^= t.Mask
		}
	}
	slices.SortStableFunc(tasks, func(a, b *state.Task) int {
		return cmp.Compare(lostWork(a.Job, now), lostWork(b.Job, now))
	})
	out := idle.LowestN(min(n, idle.Count()))
	for _, t := range tasks {
		left := n - out.Count()
		m := t.Mask & mask
		out |= m.LowestN(min(left, m.Count()))
	}
	return out
}

// addCost sets the victims, the fragmentation delta and the cost of the
// candidate.
func (x *Index) addCost(c *candidate, p Policy) {
	completion, fragmentation := p.weights()
	seen := map[*state.Job]bool{}
	after := map[uint32]shape.Mask{}
	for _, sl := range c.slots {
		for _, t := range x.state.Workers[sl.Worker].Tasks {
			if t.Mask&sl.Mask == 0 || t.Phase == state.TaskStopping || seen[t.Job] {
				continue
			}
			seen[t.Job] = true
			c.victims = append(c.victims, t.Job)
			c.cost += completion * lostWork(t.Job, x.state.Now)
			for _, vs := range t.Job.Slots {
				if _, ok := after[vs.Worker]; !ok {
					after[vs.Worker] = x.workers[vs.Worker].masks[tierFree]
				}
				after[vs.Worker] |= vs.Mask
			}
		}
	}
	for _, sl := range c.slots {
		if _, ok := after[sl.Worker]; !ok {
			after[sl.Worker] = x.workers[sl.Worker].masks[tierFree]
		}
		after[sl.Worker] &^= sl.Mask
	}
	x.scratch.after = x.scratch.after[:0]
	for w, m := range after {
		x.scratch.after = append(x.scratch.after, shape.Slot{Worker: w, Mask: m})
	}
	c.fragmentationDelta = x.fragmentationDelta(x.scratch.after)
	c.cost += fragmentation * c.fragmentationDelta * fragmentationHorizonMs
}
