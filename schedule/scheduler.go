package schedule

import (
	"slices"

	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Defaults of a Scheduler.
const (
	DefaultMaxRecords          = 64
	DefaultMaxAttempts         = 512
	DefaultAgeingMs            = 30 * 60_000
	DefaultReserveAfterMs      = 2 * 60_000
	DefaultMaxReservations     = 4
	DefaultMigrationIntervalMs = 30_000
	DefaultRepairIntervalMs    = 500
	DefaultIdleIntervalMs      = 1_000
)

// Scheduler decides, given a state and a time, which records to propose. Between
// rounds it keeps only estimates and hints, and no decision becomes wrong if they
// are lost. It is not safe for concurrent use.
type Scheduler struct {
	Index  *placement.Index
	Policy placement.Policy

	Quarantine Quarantine

	MaxRecords          int   // limit of records per round; default DefaultMaxRecords
	MaxAttempts         int   // limit of placement attempts per round; default DefaultMaxAttempts
	AgeingMs            int64 // waiting time that outweighs the use of all capacity; default DefaultAgeingMs
	ReserveAfterMs      int64 // waiting time until a job gets a reservation; default DefaultReserveAfterMs
	MaxReservations     int   // limit of reservations; default DefaultMaxReservations
	MigrationIntervalMs int64 // time between searches for migrations; default DefaultMigrationIntervalMs
	RepairIntervalMs    int64 // time until a repair that found no place is repeated; default DefaultRepairIntervalMs
	IdleIntervalMs      int64 // time until a round that proposed nothing is repeated on an unchanged state; default DefaultIdleIntervalMs

	runTimes            RunTimes
	reservedUnits       map[string]int        // unit reserved for each job, kept between rounds
	lastMigrationSearch int64                 // time of the last search for migrations
	lastRepairSearch    int64                 // time of the last search that found no place for a broken block
	deferred            map[requirements]bool // requirements that failed in rounds that ran out of attempts
	idle                idleRound
}

func orDefault[T int | int64](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

// round is the working state of one call of Decide.
type round struct {
	*Scheduler
	state              *state.State
	now                int64
	out                []record.Record
	held               []shape.Slot // slots that the proposals of this round use
	placedAccelerators map[string]int
	preempted          map[string]bool
	failedNeeds        map[requirements]bool
	attemptsLeft       int
	reservations       []reservation
	failedBackfills    map[backfillAttempt]bool
	overdueReserved    bool // overdue reservations were made
	health             []record.Health
}

// requirements determines whether a job fits: if one job fails to be placed, so
// do all others with equal requirements.
type requirements struct {
	account       string
	shape         shape.Shape
	once          bool
	cores, memory float64
}

func requirementsOf(j *state.Job) requirements {
	return requirements{j.Spec.Account, j.Spec.Shape, j.Spec.Once, j.Spec.Cores, j.Spec.Memory}
}

// backfillAttempt identifies requirements that did not fit into a reservation.
type backfillAttempt struct {
	requirements requirements
	reservation  int
}

// reservation reserves accelerators for a large job until all of them are free.
type reservation struct {
	job         string
	earliestFit placement.EarliestFit
}

// idleRound describes the last round; it is valid if that round proposed nothing.
type idleRound struct {
	changes uint64
	at      int64
	valid   bool
}

// Decide returns the records to propose. The state accepts them if no other
// record is applied in between. Jobs that claim a guarantee come first, then
// urgent jobs, then all others by weighted fair share between accounts with
// ageing. The time now is in Unix milliseconds.
func (c *Scheduler) Decide(s *state.State, now int64) []record.Record {
	changes := c.Index.ChangeCount()
	if c.idle.valid && c.idle.changes == changes && now-c.idle.at < orDefault(c.IdleIntervalMs, DefaultIdleIntervalMs) {
		return nil
	}
	c.Policy.NowMs = now
	r := &round{
		Scheduler: c, state: s, now: now,
		placedAccelerators: map[string]int{}, preempted: map[string]bool{}, failedNeeds: map[requirements]bool{}, failedBackfills: map[backfillAttempt]bool{},
		attemptsLeft: orDefault(c.MaxAttempts, DefaultMaxAttempts),
	}
	c.updateRunTimes()
	defer func() { c.Index.Release(r.held) }()
	r.quarantine()
	r.repairBlocks()
	q := newQueue(s, now, orDefault(c.AgeingMs, DefaultAgeingMs), c.Index)
	for j := q.next(); j != nil && !r.full(); j = q.next() {
		if r.attemptsLeft <= 0 {
			break
		}
		if q.class > classClaim {
			r.reserveOverdue()
		}
		if q.class == classShare && r.deferred[requirementsOf(j)] && !r.reserved(j) {
			continue
		}
		if r.tryJob(j) {
			q.countPlaced(j)
		}
	}
	r.deferFailed()
	r.keepReservedUnits()
	for _, k := range r.reservations {
		c.Index.Release(k.earliestFit.Slots)
	}
	r.proposeMigrations()
	r.proposeConditions()
	c.idle = idleRound{changes, now, len(r.out) == 0 && r.attemptsLeft > 0}
	return r.out
}

func (r *round) full() bool {
	return len(r.out)+len(r.health) >= orDefault(r.MaxRecords, DefaultMaxRecords)
}

// updateRunTimes adds the run times of jobs that finished since the last call.
func (c *Scheduler) updateRunTimes() {
	for _, j := range c.Index.Finished() {
		c.runTimes.Add(j.Spec.Account, j.Spec.Kind, j.PhaseChangedAt-j.StartedAt)
	}
}

// propose adds a record to the result of the round.
func propose[T any](r *round, kind record.Kind, id string, body T) bool {
	rec, err := record.New(kind, id, body)
	if err != nil {
		return false
	}
	r.out = append(r.out, rec)
	return true
}

// reserved reports whether the job had a reservation in the last round.
func (r *round) reserved(j *state.Job) bool {
	_, ok := r.reservedUnits[j.ID]
	return ok
}

// deferFailed defers the requirements that failed in this round if it ran out of
// attempts, so that the next rounds also reach jobs later in the order.
func (r *round) deferFailed() {
	if r.attemptsLeft > 0 {
		r.deferred = nil
		return
	}
	if r.deferred == nil {
		r.deferred = map[requirements]bool{}
	}
	for n := range r.failedNeeds {
		r.deferred[n] = true
	}
}

// hold makes the accelerators unavailable to others until the round ends.
func (r *round) hold(slots []shape.Slot) {
	r.Index.Hold(slots)
	r.held = append(r.held, slots...)
}

// tryJob places the job, or reserves a unit for it if it has waited for
// ReserveAfterMs. It reports whether the job was placed.
func (r *round) tryJob(j *state.Job) bool {
	a := r.state.Accounts[j.Spec.Account]
	if a == nil || a.Quota > 0 && a.Used+r.placedAccelerators[a.Name]+j.Spec.Shape.TotalGPUs() > a.Quota {
		return false
	}
	k := slices.IndexFunc(r.reservations, func(k reservation) bool { return k.job == j.ID })
	if k >= 0 { // the job has a reservation, which it may use
		r.attemptsLeft--
		return r.placeInReservation(j, k)
	}
	n := requirementsOf(j)
	common := len(j.FailedOn) == 0
	if !common || !r.failedNeeds[n] {
		r.attemptsLeft--
		if r.placeWithOwnBlocks(j) {
			return true
		}
		if common {
			r.failedNeeds[n] = true
		}
	}
	if r.backfill(j) {
		return true
	}
	r.reserve(j)
	return false
}

// place proposes to place the job on the accelerators that the index finds.
func (r *round) place(j *state.Job) bool {
	p, err := r.Index.Place(j, r.Policy)
	if err != nil {
		return false
	}
	for _, v := range p.Evict {
		r.preempted[v.Job] = true
	}
	if !propose(r, record.KindPlace, placeID(j), p) {
		return false
	}
	r.placedAccelerators[j.Spec.Account] += j.Spec.Shape.TotalGPUs()
	r.hold(p.Slots)
	return true
}
