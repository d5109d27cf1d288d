package plan

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// remoteRackSlowdown is how many times as long a task takes outside the
	// rack of its data. Waiting for that rack pays off while the wait is
	// shorter than the extra run time.
	remoteRackSlowdown = 3

	// guaranteedRackWaitMs bounds how long a unit within its account's
	// guarantee waits for a rack.
	guaranteedRackWaitMs = 600

	// avoidWorkersMs bounds how long a unit waits for workers on which it has
	// not failed.
	avoidWorkersMs = MaxChoiceWaitMs

	// crashApartMs bounds how long a crash suspect waits for workers without
	// another one. A second crash then tells which of them is the cause.
	crashApartMs = 1000

	// preemptWaitMs is how long a unit that is not of the most urgent priority
	// waits before it preempts less urgent work.
	preemptWaitMs = 1000

	// reserveWaitMs is how long a unit waits before resources are reserved for
	// it as they become free. Without such reservations small units would
	// occupy each gap and starve large gangs.
	reserveWaitMs = 1500

	// maxNonPreemptive bounds the non-preemptive reservations at one time.
	maxNonPreemptive = 3

	// maxPlacementAttempts bounds the units that one round tries to place. The
	// most urgent ones come first; once only maxTurnAttempts are left, those come
	// first that were tried the longest ago, so that each has its turn.
	maxPlacementAttempts = 400
	maxTurnAttempts      = 200
)

// round is the state of one round of planning. The free resources of its
// workers change as units are placed.
type round struct {
	in        Input
	workers   map[string]*Worker
	racks     map[string][]*Worker
	rackNames []string                      // sorted
	reserved  map[ledger.UnitID]Reservation // at the start of the round
	out       Output

	pending     []Reservation          // not subtracted yet, by priority
	subtracted  map[ledger.UnitID]bool // units of in.Reservations whose resources are subtracted from the free ones
	unplaceable map[unitKind]Wait      // kinds of a unit that could not be placed, with its wait
	started     map[string]bool        // jobs with placements
	displaced   map[ledger.UnitID]bool // units whose reserved resources a running unit uses

	indexed       bool                      // the running units are listed by worker
	byRemaining   map[string][]*RunningUnit // running units by worker, the first to end first; nil until needed
	uneven        bool                      // the speeds of the workers differ
	risks         bool                      // some workers have a record that is not good
	preempting    bool                      // planOn plans for preempt
	nonPreemptive int                       // number of non-preemptive reservations

	largeTasks int            // waiting tasks that need more than half of a worker, see keptWholeLevel
	fit        []*Worker      // buffer of pack
	candidates []*RunningUnit // buffer of preemptible
}

// newRound returns the state of a round at its start.
func newRound(in Input) *round {
	r := &round{
		in:       in,
		uneven:   differ(in.Workers),
		risks:    anyRisky(in.Workers),
		workers:  make(map[string]*Worker, len(in.Workers)),
		racks:    make(map[string][]*Worker),
		reserved: make(map[ledger.UnitID]Reservation),

		unplaceable: make(map[unitKind]Wait),
		started:     make(map[string]bool),
		subtracted:  make(map[ledger.UnitID]bool),
		displaced:   make(map[ledger.UnitID]bool),
	}
	for _, v := range in.Running {
		for _, unit := range v.Displaces {
			r.displaced[unit] = true
		}
	}
	for _, w := range in.Workers {
		r.workers[w.ID] = w
		r.racks[w.Rack] = append(r.racks[w.Rack], w)
	}
	for name := range r.racks {
		r.rackNames = append(r.rackNames, name)
	}
	slices.Sort(r.rackNames)
	r.keepHeadroom()
	for _, h := range in.Reservations {
		r.reserved[h.Unit] = h
		if h.NonPreemptive {
			r.nonPreemptive++
		}
	}
	r.pending = slices.SortedStableFunc(slices.Values(in.Reservations), func(a, b Reservation) int { return cmp.Compare(a.Priority, b.Priority) })
	return r
}

// Decide places the waiting units in the order of their urgency.
func Decide(in Input) Output {
	r := newRound(in)
	r.countLargeTasks()
	sortWaiting(in.Waiting)
	rest := r.placeInOrder(in.Waiting, maxPlacementAttempts-maxTurnAttempts)
	next, later := nextTurn(rest)
	later = append(r.placeInOrder(next, maxTurnAttempts), later...)
	for _, u := range later {
		r.addUntried(u)
	}
	return r.out
}

// placeInOrder tries to place the units, whose order is that of their urgency. It
// returns those that are left after the given number of attempts.
func (r *round) placeInOrder(units []*WaitingUnit, attempts int) (rest []*WaitingUnit) {
	for i, u := range units {
		r.subtractReservations(u.Priority)
		kind := r.kindOf(u)
		tried, unplaceable := r.unplaceable[kind]
		if unplaceable {
			if !r.startReserved(u) {
				r.addOfStep(u, tried)
			}
			continue
		}
		if attempts == 0 {
			return units[i:]
		}
		attempts--
		if !r.place(u) {
			r.unplaceable[kind] = r.out.Waits[len(r.out.Waits)-1]
		}
	}
	return nil
}

// nextTurn divides units into those of the steps that were tried the longest ago
// and the others. Both stay in their order.
func nextTurn(units []*WaitingUnit) (next, later []*WaitingUnit) {
	triedAt := make(map[stepKey]int64)
	for _, u := range units {
		at, ok := triedAt[stepOf(u)]
		if !ok || u.TriedAt < at {
			triedAt[stepOf(u)] = u.TriedAt
		}
	}
	if len(triedAt) <= maxTurnAttempts {
		return units, nil
	}
	steps := slices.SortedFunc(maps.Keys(triedAt), func(a, b stepKey) int {
		return cmp.Or(cmp.Compare(triedAt[a], triedAt[b]), cmp.Compare(a.job, b.job), cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step))
	})
	chosen := make(map[stepKey]bool)
	for _, key := range steps[:maxTurnAttempts] {
		chosen[key] = true
	}
	for _, u := range units {
		if chosen[stepOf(u)] {
			next = append(next, u)
		} else {
			later = append(later, u)
		}
	}
	return next, later
}

// stepKey identifies one occurrence of a step.
type stepKey struct {
	job              string
	occurrence, step int
}

// stepOf returns the step of the unit.
func stepOf(u *WaitingUnit) stepKey { return stepKey{u.ID.Job, u.ID.Occurrence, u.ID.Step} }

// unitKind is what units of one step have in common if the same workers are
// suitable for them. If one of them cannot be placed, the others cannot either.
type unitKind struct {
	step         stepKey
	avoidWorkers string
	apart        bool // from crash suspects
	reliable     bool // only workers whose record is good
	anyRack      bool
	overdue      bool
}

// kindOf returns the kind of the unit.
func (r *round) kindOf(u *WaitingUnit) unitKind {
	k := unitKind{step: stepOf(u), apart: r.staysApart(u), reliable: r.needsReliable(u), anyRack: u.prefersRack() && r.rackWaitOver(u), overdue: r.overdue(u)}
	if !r.avoidanceOver(u) {
		k.avoidWorkers = strings.Join(u.AvoidWorkers, " ")
	}
	return k
}

// prefersRack reports whether the unit waits for the rack of its data, or for one that
// holds all its tasks.
func (u *WaitingUnit) prefersRack() bool { return u.Rack != "" || u.SameRack && u.Width > 1 }

// subtractReservations subtracts the reservations that units of the priority must
// respect: those of units that are as urgent or more urgent.
func (r *round) subtractReservations(priority int) {
	for len(r.pending) > 0 && r.pending[0].Priority <= priority {
		r.subtract(r.pending[0])
		r.pending = r.pending[1:]
	}
}

// subtract subtracts a reservation's resources from the free ones.
func (r *round) subtract(h Reservation) {
	r.deduct(h, 1)
	r.subtracted[h.Unit] = true
}

// giveBack undoes subtract.
func (r *round) giveBack(h Reservation) {
	r.deduct(h, -1)
	delete(r.subtracted, h.Unit)
}

// deduct subtracts the reservation's resources from its workers, or returns
// them with sign -1.
func (r *round) deduct(h Reservation, sign int64) {
	for _, id := range h.Workers {
		if w := r.workers[id]; w != nil {
			w.Free = w.Free.Sub(h.Need.Mul(sign))
			w.reserved = w.reserved.Add(h.Need.Mul(sign))
		}
	}
}

// reservation returns the reservation of the unit, if its resources are subtracted
// from the free ones.
func (r *round) reservation(u *WaitingUnit) (h Reservation, ok bool) {
	h, ok = r.reserved[u.ID]
	return h, ok && h.Priority <= u.Priority
}

// startReserved starts the unit on the resources that are reserved for it, and
// reports whether they are free.
func (r *round) startReserved(u *WaitingUnit) bool {
	h, ok := r.reservation(u)
	if !ok {
		return false
	}
	r.relaxAvoidance(u)
	r.giveBack(h)
	if r.canStartOn(u, h.Workers) {
		r.start(u, h.Workers)
		return true
	}
	r.subtract(h)
	return false
}

// place starts the unit, or reserves resources for it, and reports whether the
// other units of its kind should be tried in this round as well.
func (r *round) place(u *WaitingUnit) bool {
	r.relaxAvoidance(u)
	h, reserved := r.reservation(u)
	if reserved {
		r.giveBack(h)
		if r.canStartOn(u, h.Workers) {
			r.start(u, h.Workers)
			return true
		}
	}
	if workers := r.chooseWorkers(u); workers != nil {
		r.start(u, workers)
		return true
	}
	wait := r.wait(u)
	if r.overdue(u) && wait.RoomSince > 0 && r.placeOverdue(u) {
		return true
	}
	r.out.Waits = append(r.out.Waits, wait)
	waited := r.in.Now - u.ReadySince
	mayPreempt := u.Priority == 0 || waited > preemptWaitMs
	if reserved {
		// Runs may not end as estimated; the rack is still worth a preemption, and so
		// are the resources that were given to overdue units.
		mayPreempt = mayPreempt && h.NonPreemptive && (wait.Cause == WaitRack || r.displaced[u.ID])
	}
	if mayPreempt && r.preempt(u) {
		return true
	}
	if reserved {
		r.subtract(h)
		return true
	}
	if wait.Cause == WaitRack && r.standsStill(u) && r.reserveInRack(u, wait) {
		return true
	}
	return waited > reserveWaitMs && r.reserveWithoutPreemption(u)
}

// relaxAvoidance permits the workers on which the unit failed if the other
// workers could not hold it even when empty, or if it has waited for them for
// more than avoidWorkersMs. It does the same for workers whose record is not good.
func (r *round) relaxAvoidance(u *WaitingUnit) {
	r.relaxReliability(u)
	if len(u.AvoidWorkers) > 0 && (r.avoidanceOver(u) || r.capacity(u, r.in.Workers, true) < u.Width) {
		u.AvoidWorkers = nil
	}
}

// avoidanceOver reports whether the unit has waited for workers on which it has
// not failed for long enough.
func (r *round) avoidanceOver(u *WaitingUnit) bool { return r.in.Now-u.ReadySince > avoidWorkersMs }

// canStartOn reports whether the unit may start on the workers now.
func (r *round) canStartOn(u *WaitingUnit, workers []string) bool {
	count := make(map[string]int64)
	for _, id := range workers {
		w := r.workers[id]
		if w == nil || !r.permitted(u, w) {
			return false
		}
		count[id]++
		n := count[id]
		if r.limitPerWorker(u, w, int(n)) < int(n) {
			return false // other tasks of the step have started there since the reservation
		}
		if !w.Free.Fits(u.Need.Mul(n)) {
			return false
		}
	}
	return true
}

// start places the unit on the workers and subtracts its resources.
func (r *round) start(u *WaitingUnit, workers []string) {
	for _, id := range workers {
		r.workers[id].Free = r.workers[id].Free.Sub(u.Need)
		if u.CrashSuspect {
			r.workers[id].Watched = true
		}
	}
	if u.MaxPerWorker > 0 && u.RunningTasks != nil {
		for _, id := range workers {
			u.RunningTasks[id]++ // shared by the units of the step
		}
	}
	r.started[u.ID.Job] = true
	r.out.Placements = append(r.out.Placements, Placement{Unit: u, Workers: workers, Contended: r.addKinds(u, workers)})
}
