package placement

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Place returns a record that places the waiting job: in its account's own
// blocks, with an eviction list if borrowed work holds them, in space outside
// blocks, or in lent blocks if the job can be evicted. It fails with
// *NoFitError.
func (x *Index) Place(j *state.Job, p Policy) (record.Place, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	sh := j.Spec.Shape
	out := record.Place{Job: j.ID, Revision: j.Revision}
	a := x.state.Accounts[j.Spec.Account]
	if a == nil {
		return out, &NoFitError{j.ID, sh, "account does not exist"}
	}
	if a.Quota > 0 && a.Used+sh.Total() > a.Quota {
		return out, &NoFitError{j.ID, sh, "quota of the account is in use"}
	}
	own := func(w *state.Worker) shape.Mask { return ownMask(w, a.Name) & reclaimable(w) }
	open := func(w *state.Worker) shape.Mask { return w.Free() &^ w.Reserved() }
	lent := func(w *state.Worker) shape.Mask { return w.Free() }
	if j.Spec.Once {
		lent = func(w *state.Worker) shape.Mask { return w.Free() &^ (w.Reserved() &^ ownMask(w, a.Name)) }
	}
	if out.Slots = x.search(j, own); out.Slots != nil {
		out.Evict = x.evict(out.Slots)
		if len(out.Evict) > 0 {
			out.Grace = p.grace(j.Spec.Urgent)
		}
		return out, nil
	}
	if out.Slots = x.search(j, open); out.Slots != nil {
		return out, nil
	}
	if out.Slots = x.search(j, lent); out.Slots != nil {
		return out, nil
	}
	return out, &NoFitError{j.ID, sh, "no " + sh.Level.String() + " has enough adjacent free accelerators"}
}

// search returns slots for the job in the tightest unit.
func (x *Index) search(j *state.Job, avail func(*state.Worker) shape.Mask) []shape.Slot {
	sh := j.Spec.Shape
	units := map[int][]offer{}
	members := map[int]int{}
	for _, w := range x.state.Workers {
		m := avail(w) &^ x.held[w.Index]
		if m.Count() < sh.GPUs || !suits(w, j) {
			continue
		}
		u := unitOf(sh.Level, w)
		units[u] = append(units[u], offer{w, m})
		members[u] += m.Count() / sh.GPUs
	}
	best := -1
	for u, n := range members {
		if n >= sh.Members && (best < 0 || n < members[best] || n == members[best] && u < best) {
			best = u
		}
	}
	if best < 0 {
		return nil
	}
	slices.SortStableFunc(units[best], func(a, b offer) int { return cmp.Compare(a.mask.Count(), b.mask.Count()) })
	return fill(sh, units[best])
}

// evict lists the placements that hold the slots.
func (x *Index) evict(slots []shape.Slot) []record.Victim {
	var out []record.Victim
	seen := map[string]bool{}
	for _, sl := range slots {
		for _, t := range x.state.Workers[sl.Worker].Tasks {
			if t.Mask&sl.Mask != 0 && t.Phase != state.TaskStopping && !seen[t.Job.ID] {
				seen[t.Job.ID] = true
				out = append(out, record.Victim{Job: t.Job.ID, Token: t.Token})
			}
		}
	}
	return out
}
