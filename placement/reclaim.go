package placement

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Estimates behind the cost of evictions, in milliseconds.
const (
	// fragmentHorizon is how long a newly unusable accelerator is counted as
	// lost. Jobs run for hours, but neighbours end in minutes.
	fragmentHorizon = 10 * 60_000
	// checkpointLoss bounds the work that a job with checkpoints repeats.
	checkpointLoss = 60_000
	// restartLoss is what any stopped job loses by starting again. It makes
	// few victims preferable to many.
	restartLoss = 10_000
)

// lostWork returns the accelerator-milliseconds that stopping the job costs.
func lostWork(j *state.Job, now int64) float64 {
	ran := int64(0)
	if j.Phase == state.JobRunning {
		ran = max(0, now-j.StartedAt)
	}
	if j.Spec.Checkpoint {
		ran = min(ran, checkpointLoss)
	}
	return float64(ran+restartLoss) * float64(j.Spec.Shape.Total())
}

// portion is the part of one of the account's blocks that lies in one unit of
// the job's level.
type portion struct {
	block  *state.Block
	unit   int
	offers []offer
	room   int     // accelerators that can be taken
	cost   float64 // of stopping what holds them
	shared bool    // some of the block holds work that cannot be evicted
}

// searchOwn returns the least costly slots for the job in its account's own
// blocks; what holds them is listed as victims.
func (x *Index) searchOwn(j *state.Job, a *state.Account, p Policy) choice {
	sh := j.Spec.Shape
	if x.ownRoom(a) < sh.Total() {
		return choice{}
	}
	portions := x.portions(j, a)
	var best choice
	keep := func(slots []shape.Slot, whole, shared bool) {
		if slots == nil {
			return
		}
		c := choice{slots: slots, whole: whole, shared: shared}
		x.price(&c, p)
		if best.slots == nil || c.cost < best.cost {
			best = c
		}
	}
	// Blocks of exactly the job's size, the cheapest few by estimate.
	slices.SortStableFunc(portions, func(a, b portion) int { return cmp.Compare(a.cost, b.cost) })
	tried := 0
	for _, q := range portions {
		if q.room == sh.Total() && q.room == q.block.Shape.Total() && tried < maxPortions {
			if slots := fill(sh, q.offers); slots != nil {
				tried++
				keep(slots, true, false)
			}
		}
	}
	if best.slots != nil {
		return best
	}
	// Several blocks of one size in one unit.
	eachMultiple(portions, sh, func(group []portion) {
		slots, _, _ := x.gather(sh, group[:sh.Total()/group[0].room])
		keep(slots, true, false)
	})
	if best.slots != nil {
		return best
	}
	// Otherwise any blocks of one unit, or a part of one.
	slices.SortStableFunc(portions, func(a, b portion) int {
		return cmp.Or(cmp.Compare(a.unit, b.unit), compareShared(a, b), cmp.Compare(a.cost, b.cost))
	})
	for len(portions) > 0 {
		n := 1
		for n < len(portions) && portions[n].unit == portions[0].unit {
			n++
		}
		keep(x.gather(sh, portions[:n]))
		portions = portions[n:]
	}
	return best
}

// eachMultiple calls f with the portions of each unit that are whole blocks of
// one size, at least as many as the shape fills; their order is kept.
func eachMultiple(portions []portion, sh shape.Shape, f func([]portion)) {
	var groups [][]portion
	for _, q := range portions {
		n := q.block.Shape.Total()
		if q.shared || q.room != n || n >= sh.Total() || sh.Total()%n != 0 {
			continue
		}
		k := slices.IndexFunc(groups, func(g []portion) bool { return g[0].unit == q.unit && g[0].room == q.room })
		if k < 0 {
			groups = append(groups, []portion{q})
			continue
		}
		groups[k] = append(groups[k], q)
	}
	for _, g := range groups {
		if len(g)*g[0].room >= sh.Total() {
			f(g)
		}
	}
}

// maxPortions bounds how many blocks are priced exactly.
const maxPortions = 8

// compareShared puts blocks that already hold guaranteed work first.
func compareShared(a, b portion) int {
	switch {
	case a.shared == b.shared:
		return 0
	case a.shared:
		return -1
	default:
		return 1
	}
}

// gather takes the shape from the portions of one unit, in order, until it
// fits. It reports whether the slots fill whole blocks, and whether they lie
// in shared blocks only.
func (x *Index) gather(sh shape.Shape, portions []portion) (slots []shape.Slot, whole, shared bool) {
	var all []offer
	room, blocks := 0, 0
	shared = true
	for _, q := range portions {
		for _, o := range q.offers {
			k := slices.IndexFunc(all, func(b offer) bool { return b.worker == o.worker })
			if k < 0 {
				all = append(all, o)
				continue
			}
			all[k].mask |= o.mask
			all[k].cost += o.cost
		}
		room += q.room
		blocks += q.block.Shape.Total()
		shared = shared && q.shared
		if room < sh.Total() {
			continue
		}
		slices.SortFunc(all, tight)
		if slots := x.fillCheap(sh, all); slots != nil {
			return slots, blocks == sh.Total(), shared
		}
	}
	return nil, false, false
}

// portions lists the accelerators of the account's blocks that the job could
// take, by unit of its level.
func (x *Index) portions(j *state.Job, a *state.Account) []portion {
	var out []portion
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
				out = append(out, portion{block: b, unit: unit})
			}
			q := &out[k]
			n := &x.nodes[sl.Worker]
			m := sl.Mask & n.stoppable &^ n.held
			if m != sl.Mask || !suits(w, j) {
				q.shared = q.shared || m != sl.Mask
				if m == 0 || !suits(w, j) {
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
			q.room += m.Count()
			q.cost += cost
		}
	}
	return out
}

// fillCheap is fill, but takes free accelerators of a worker before those
// whose work would be evicted.
func (x *Index) fillCheap(sh shape.Shape, offers []offer) []shape.Slot {
	slots := fill(sh, offers)
	for i, sl := range slots {
		w := x.state.Workers[sl.Worker]
		k := slices.IndexFunc(offers, func(o offer) bool { return o.worker == w })
		slots[i].Mask = cheapest(w, offers[k].mask, sl.Mask.Count(), x.state.Now)
	}
	return slots
}

// cheapest picks n accelerators of the mask: free and stopping ones first,
// then those of the tasks that lose the least work.
func cheapest(w *state.Worker, mask shape.Mask, n int, now int64) shape.Mask {
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
	out := idle.Take(min(n, idle.Count()))
	for _, t := range tasks {
		left := n - out.Count()
		m := t.Mask & mask
		out |= m.Take(min(left, m.Count()))
	}
	return out
}

// price finds the victims of the choice and what it costs.
func (x *Index) price(c *choice, p Policy) {
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
					after[vs.Worker] = x.nodes[vs.Worker].masks[tierFree]
				}
				after[vs.Worker] |= vs.Mask
			}
		}
	}
	for _, sl := range c.slots {
		if _, ok := after[sl.Worker]; !ok {
			after[sl.Worker] = x.nodes[sl.Worker].masks[tierFree]
		}
		after[sl.Worker] &^= sl.Mask
	}
	x.scratch.after = x.scratch.after[:0]
	for w, m := range after {
		x.scratch.after = append(x.scratch.after, shape.Slot{Worker: w, Mask: m})
	}
	c.damage = x.damage(x.scratch.after)
	c.cost += fragmentation * c.damage * fragmentHorizon
}
