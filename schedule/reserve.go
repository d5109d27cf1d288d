package schedule

import (
	"fmt"
	"slices"

	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

func placeID(j *state.Job) string { return fmt.Sprintf("place-%s-%d", j.ID, j.Revision) }

// repair proposes new places for broken blocks and holds them.
func (r *round) repair() {
	broken := false
	for _, a := range r.state.Accounts {
		for _, b := range a.Blocks {
			broken = broken || b.Broken
		}
	}
	if !broken || r.now < r.repaired+orDefault(r.RepairEvery, DefaultRepairEvery) {
		return
	}
	recs := placement.Repair(r.state)
	if len(recs) == 0 {
		r.repaired = r.now // no room; the search is repeated later
	}
	for _, v := range recs {
		if r.full() {
			return
		}
		if slices.ContainsFunc(v.Block.Slots, func(sl shape.Slot) bool { return r.changing(sl.Worker) }) {
			continue
		}
		id := fmt.Sprintf("reserve-%s-%d", v.Account, v.Revision)
		if add(r, record.KindReserve, id, v) {
			r.hold(v.Block.Slots)
			r.protect(v)
		}
	}
}

// protect holds the jobs of the account that the moved block makes guaranteed,
// so that nothing in this round evicts them.
func (r *round) protect(v record.Reserve) {
	for _, sl := range v.Block.Slots {
		for _, t := range r.state.Workers[sl.Worker].Tasks {
			if t.Job.Spec.Account == v.Account && t.Mask&sl.Mask != 0 {
				r.hold(t.Job.Slots)
			}
		}
	}
}

// overdueFactor is how many times the threshold a job has waited when its
// reservation also holds against urgent jobs.
const overdueFactor = 4

// reserveOverdue renews the reservations of jobs that have waited so long that
// urgent jobs must leave them their room.
func (r *round) reserveOverdue() {
	if r.overdue {
		return
	}
	r.overdue = true
	var jobs []*state.Job
	for id := range r.units {
		j := r.state.Jobs[id]
		if j != nil && j.Phase == state.JobWaiting && r.now-j.SubmittedAt >= overdueFactor*orDefault(r.ReserveAfter, DefaultReserveAfter) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, placement.CompareAge)
	for _, j := range jobs {
		r.reserve(j)
	}
}

// reserve keeps a unit for a job that has waited beyond the threshold. Jobs
// that come later in the order use it only if they end before it is free.
func (r *round) reserve(j *state.Job) {
	if r.now-j.SubmittedAt < orDefault(r.ReserveAfter, DefaultReserveAfter) || len(r.kept) >= orDefault(r.Reservations, DefaultReservations) {
		return
	}
	unit, ok := r.units[j.ID]
	if !ok {
		unit = -1
	}
	end := func(o *state.Job) int64 { return r.times.end(o, r.now) }
	d := r.Index.EarliestFit(j, unit, r.now, end)
	if d.Slots == nil && unit >= 0 {
		d = r.Index.EarliestFit(j, -1, r.now, end)
	}
	if d.Slots == nil {
		return
	}
	r.kept = append(r.kept, reservation{j.ID, d})
	r.Index.Hold(d.Slots)
}

// backfill places a job in a reserved unit if it is expected to end before the
// unit is free for its large job.
func (r *round) backfill(j *state.Job) bool {
	_, upper := r.times.Expect(j.Spec.Account, j.Spec.Kind, j.Spec.ExpectedMs)
	for i, k := range r.kept {
		u := unfit{needOf(j), i}
		if r.now+upper > k.drain.FreeAt || r.tries <= 0 || r.unfit[u] {
			continue
		}
		r.tries--
		if r.placeIn(j, i) {
			return true
		}
		r.unfit[u] = true
	}
	return false
}

// placeIn places the job with a reservation's accelerators at its disposal.
func (r *round) placeIn(j *state.Job, i int) bool {
	k := &r.kept[i]
	r.Index.Release(k.drain.Slots)
	held := len(r.held)
	ok := r.placeOwn(j)
	k.drain.Slots = without(k.drain.Slots, r.held[held:])
	r.Index.Hold(k.drain.Slots)
	return ok
}

// placeOwn places the job with what reservations of other jobs keep in its
// account's own blocks at its disposal: a reservation must not keep an account
// from its guarantee.
func (r *round) placeOwn(j *state.Job) bool {
	lent := make([][]shape.Slot, len(r.kept))
	for i, k := range r.kept {
		lent[i] = r.ownPart(j.Spec.Account, k.drain.Slots)
		r.Index.Release(lent[i])
	}
	held := len(r.held)
	ok := r.place(j)
	for i := range r.kept {
		r.kept[i].drain.Slots = without(r.kept[i].drain.Slots, r.held[held:])
		r.Index.Hold(without(lent[i], r.held[held:]))
	}
	return ok
}

// ownPart returns the slots that lie in whole blocks of the account.
func (r *round) ownPart(account string, slots []shape.Slot) []shape.Slot {
	var out []shape.Slot
	for _, sl := range slots {
		var own shape.Mask
		for _, b := range r.state.Workers[sl.Worker].Blocks {
			if b.Broken || b.Account != account {
				continue
			}
			for _, o := range b.Slots {
				if o.Worker == sl.Worker {
					own |= o.Mask
				}
			}
		}
		if sl.Mask &= own; sl.Mask != 0 {
			out = append(out, sl)
		}
	}
	return out
}

// without returns the slots less the accelerators of others.
func without(slots, others []shape.Slot) []shape.Slot {
	var out []shape.Slot
	for _, sl := range slots {
		for _, o := range others {
			if o.Worker == sl.Worker {
				sl.Mask &^= o.Mask
			}
		}
		if sl.Mask != 0 {
			out = append(out, sl)
		}
	}
	return out
}

// forget drops the units of jobs that no longer have a reservation.
func (r *round) forget() {
	kept := map[string]int{}
	for _, k := range r.kept {
		kept[k.job] = k.drain.Unit
	}
	r.units = kept
}

// move proposes to move checkpointable jobs where that pays.
func (r *round) move() {
	if r.full() || r.now < r.moved+orDefault(r.MoveEvery, DefaultMoveEvery) {
		return
	}
	r.moved = r.now
	for _, v := range placement.Defragment(r.Index, r.Policy, r.now) {
		if r.full() || r.victims[v.Job] {
			continue
		}
		add(r, record.KindPreempt, fmt.Sprintf("move-%s-%d", v.Job, v.Token), v)
	}
}
