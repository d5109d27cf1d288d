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

// repairBlocks proposes new places for broken blocks and holds these places
// for the rest of the round.
func (r *round) repairBlocks() {
	broken := false
	for _, a := range r.state.Accounts {
		for _, b := range a.Blocks {
			broken = broken || b.Broken
		}
	}
	if !broken || r.now < r.lastRepairSearch+orDefault(r.RepairIntervalMs, DefaultRepairIntervalMs) {
		return
	}
	recs := placement.Repair(r.state)
	if len(recs) == 0 {
		r.lastRepairSearch = r.now // no free place; the search is repeated after the interval
	}
	for _, v := range recs {
		if r.full() {
			return
		}
		if slices.ContainsFunc(v.Block.Slots, func(sl shape.Slot) bool { return r.conditionChanges(sl.Worker) }) {
			continue
		}
		id := fmt.Sprintf("reserve-%s-%d", v.Account, v.Revision)
		if propose(r, record.KindReserve, id, v) {
			r.hold(v.Block.Slots)
			r.holdGuaranteedJobs(v)
		}
	}
}

// holdGuaranteedJobs holds the slots of the account's jobs that become guaranteed
// because the block moved onto them, so that nothing in this round preempts them.
func (r *round) holdGuaranteedJobs(v record.Reserve) {
	for _, sl := range v.Block.Slots {
		for _, t := range r.state.Workers[sl.Worker].Tasks {
			if t.Job.Spec.Account == v.Account && t.Mask&sl.Mask != 0 {
				r.hold(t.Job.Slots)
			}
		}
	}
}

// overdueFactor is the multiple of ReserveAfterMs after which a waiting job is
// overdue: its reservation then also applies to urgent jobs.
const overdueFactor = 4

// reserveOverdue renews the reservations of overdue jobs before urgent jobs are
// placed, so that urgent jobs cannot use the reserved accelerators.
func (r *round) reserveOverdue() {
	if r.overdueReserved {
		return
	}
	r.overdueReserved = true
	var jobs []*state.Job
	for id := range r.reservedUnits {
		j := r.state.Jobs[id]
		if j != nil && j.Phase == state.JobWaiting && r.now-j.SubmittedAt >= overdueFactor*orDefault(r.ReserveAfterMs, DefaultReserveAfterMs) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, placement.CompareAge)
	for _, j := range jobs {
		r.reserve(j)
	}
}

// reserve reserves a unit for a job that has waited for ReserveAfterMs. Jobs
// later in the order use the unit only if they are expected to end before all of
// it is free.
func (r *round) reserve(j *state.Job) {
	if r.now-j.SubmittedAt < orDefault(r.ReserveAfterMs, DefaultReserveAfterMs) || len(r.reservations) >= orDefault(r.MaxReservations, DefaultMaxReservations) {
		return
	}
	unit, ok := r.reservedUnits[j.ID]
	if !ok {
		unit = -1
	}
	end := func(o *state.Job) int64 { return r.runTimes.estimateEnd(o, r.now) }
	d := r.Index.EarliestFit(j, unit, r.now, end)
	if d.Slots == nil && unit >= 0 {
		d = r.Index.EarliestFit(j, -1, r.now, end)
	}
	if d.Slots == nil {
		return
	}
	r.reservations = append(r.reservations, reservation{j.ID, d})
	r.Index.Hold(d.Slots)
}

// backfill places a job in a reserved unit if it is expected to end before the
// whole unit is free for the job that reserved it.
func (r *round) backfill(j *state.Job) bool {
	_, upper := r.runTimes.Estimate(j.Spec.Account, j.Spec.Kind, j.Spec.ExpectedMs)
	for i, k := range r.reservations {
		u := backfillAttempt{requirementsOf(j), i}
		if r.now+upper > k.earliestFit.FreeAt || r.attemptsLeft <= 0 || r.failedBackfills[u] {
			continue
		}
		r.attemptsLeft--
		if r.placeInReservation(j, i) {
			return true
		}
		r.failedBackfills[u] = true
	}
	return false
}

// placeInReservation places the job, which may use the accelerators of the
// reservation with index i.
func (r *round) placeInReservation(j *state.Job, i int) bool {
	k := &r.reservations[i]
	r.Index.Release(k.earliestFit.Slots)
	held := len(r.held)
	ok := r.placeWithOwnBlocks(j)
	k.earliestFit.Slots = without(k.earliestFit.Slots, r.held[held:])
	r.Index.Hold(k.earliestFit.Slots)
	return ok
}

// placeWithOwnBlocks places the job, which may use reserved accelerators if they
// lie in blocks of its own account: a reservation of another job must not
// withhold the account's guarantee.
func (r *round) placeWithOwnBlocks(j *state.Job) bool {
	released := make([][]shape.Slot, len(r.reservations))
	for i, k := range r.reservations {
		released[i] = r.inOwnBlocks(j.Spec.Account, k.earliestFit.Slots)
		r.Index.Release(released[i])
	}
	held := len(r.held)
	ok := r.place(j)
	for i := range r.reservations {
		r.reservations[i].earliestFit.Slots = without(r.reservations[i].earliestFit.Slots, r.held[held:])
		r.Index.Hold(without(released[i], r.held[held:]))
	}
	return ok
}

// inOwnBlocks returns the parts of the slots that lie in blocks of the account
// that are not broken.
func (r *round) inOwnBlocks(account string, slots []shape.Slot) []shape.Slot {
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

// without returns the slots without the accelerators of others.
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

// keepReservedUnits keeps the reserved units for the next round, so that a job
// keeps its unit, and drops those of jobs that no longer have a reservation.
func (r *round) keepReservedUnits() {
	units := map[string]int{}
	for _, k := range r.reservations {
		units[k.job] = k.earliestFit.Unit
	}
	r.reservedUnits = units
}

// proposeMigrations proposes to migrate checkpointable jobs where the benefit
// exceeds the cost.
func (r *round) proposeMigrations() {
	if r.full() || r.now < r.lastMigrationSearch+orDefault(r.MigrationIntervalMs, DefaultMigrationIntervalMs) {
		return
	}
	r.lastMigrationSearch = r.now
	for _, v := range placement.Defragment(r.Index, r.Policy, r.now) {
		if r.full() || r.preempted[v.Job] {
			continue
		}
		propose(r, record.KindPreempt, fmt.Sprintf("move-%s-%d", v.Job, v.Token), v)
	}
}
