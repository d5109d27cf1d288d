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
	DefaultRound        = 64
	DefaultTries        = 512
	DefaultAgeing       = 30 * 60_000
	DefaultReserveAfter = 2 * 60_000
	DefaultReservations = 4
	DefaultMoveEvery    = 30_000
	DefaultRepairEvery  = 500
	DefaultIdle         = 1_000
)

// Scheduler turns a state and a time into records to propose. It keeps only
// estimates between rounds, which it can lose without harm. It is not safe for
// concurrent use.
type Scheduler struct {
	Index  *placement.Index
	Policy placement.Policy

	Quarantine Quarantine

	Round        int   // records a round at most; default DefaultRound
	Tries        int   // placements tried a round at most; default DefaultTries
	Ageing       int64 // milliseconds of waiting that outweigh the use of all capacity; default DefaultAgeing
	ReserveAfter int64 // milliseconds until a job gets a reservation; default DefaultReserveAfter
	Reservations int   // reservations at most; default DefaultReservations
	MoveEvery    int64 // milliseconds between searches for moves; default DefaultMoveEvery
	RepairEvery  int64 // milliseconds between repairs that found no room; default DefaultRepairEvery
	Idle         int64 // milliseconds until a round that proposed nothing is repeated on an unchanged state; default DefaultIdle

	times    Times
	units    map[string]int // unit reserved for a job, kept over rounds
	moved    int64          // time of the last search for moves
	repaired int64          // time of the last repair
	resting  map[need]bool  // failed in rounds that ran out of tries
	idle     idle
}

func orDefault[T int | int64](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

// round is the work of one call of Decide.
type round struct {
	*Scheduler
	state   *state.State
	now     int64
	out     []record.Record
	held    []shape.Slot // by what is proposed
	used    map[string]int
	victims map[string]bool
	failed  map[need]bool
	tries   int
	kept    []reservation
	unfit   map[unfit]bool
	overdue bool // overdue reservations were made
	health  []record.Health
}

// need is what decides whether a job fits; jobs with equal needs fail alike.
type need struct {
	account       string
	shape         shape.Shape
	once          bool
	cores, memory float64
}

func needOf(j *state.Job) need {
	return need{j.Spec.Account, j.Spec.Shape, j.Spec.Once, j.Spec.Cores, j.Spec.Memory}
}

// unfit names a need that found no room in a reservation.
type unfit struct {
	need        need
	reservation int
}

// reservation keeps accelerators for a large job until they are all free.
type reservation struct {
	job   string
	drain placement.EarliestFit
}

// idle is the last round that proposed nothing.
type idle struct {
	changes uint64
	at      int64
	valid   bool
}

// Decide returns records that the fold accepts if nothing else happens in
// between; now is in Unix milliseconds. Guarantee claims come first, then
// urgent jobs, then a weighted fair share between accounts with ageing.
func (c *Scheduler) Decide(s *state.State, now int64) []record.Record {
	changes := c.Index.ChangeCount()
	if c.idle.valid && c.idle.changes == changes && now-c.idle.at < orDefault(c.Idle, DefaultIdle) {
		return nil
	}
	c.Policy.NowMs = now
	r := &round{
		Scheduler: c, state: s, now: now,
		used: map[string]int{}, victims: map[string]bool{}, failed: map[need]bool{}, unfit: map[unfit]bool{},
		tries: orDefault(c.Tries, DefaultTries),
	}
	c.learn()
	defer func() { c.Index.Release(r.held) }()
	r.quarantine()
	r.repair()
	q := newQueue(s, now, orDefault(c.Ageing, DefaultAgeing), c.Index)
	for j := q.next(); j != nil && !r.full(); j = q.next() {
		if r.tries <= 0 {
			break
		}
		if q.class > classClaim {
			r.reserveOverdue()
		}
		if q.class == classShare && r.resting[needOf(j)] && !r.reserved(j) {
			continue
		}
		if r.try(j) {
			q.placed(j)
		}
	}
	r.rest()
	r.forget()
	for _, k := range r.kept {
		c.Index.Release(k.drain.Slots)
	}
	r.move()
	r.conditions()
	c.idle = idle{changes, now, len(r.out) == 0 && r.tries > 0}
	return r.out
}

func (r *round) full() bool {
	return len(r.out)+len(r.health) >= orDefault(r.Round, DefaultRound)
}

// learn takes over the run times of jobs that finished since the last call.
func (c *Scheduler) learn() {
	for _, j := range c.Index.Finished() {
		c.times.Learn(j.Spec.Account, j.Spec.Kind, j.PhaseChangedAt-j.StartedAt)
	}
}

// add proposes a record.
func add[T any](r *round, kind record.Kind, id string, body T) bool {
	rec, err := record.New(kind, id, body)
	if err != nil {
		return false
	}
	r.out = append(r.out, rec)
	return true
}

// reserved reports whether the job had a reservation in the last round.
func (r *round) reserved(j *state.Job) bool {
	_, ok := r.units[j.ID]
	return ok
}

// rest leaves out what failed in the next rounds if this one ran out of tries,
// so that jobs further back are tried too.
func (r *round) rest() {
	if r.tries > 0 {
		r.resting = nil
		return
	}
	if r.resting == nil {
		r.resting = map[need]bool{}
	}
	for n := range r.failed {
		r.resting[n] = true
	}
}

// hold keeps the accelerators for what was proposed until the round ends.
func (r *round) hold(slots []shape.Slot) {
	r.Index.Hold(slots)
	r.held = append(r.held, slots...)
}

// try places the job, or reserves a unit for it if it has waited long.
func (r *round) try(j *state.Job) bool {
	a := r.state.Accounts[j.Spec.Account]
	if a == nil || a.Quota > 0 && a.Used+r.used[a.Name]+j.Spec.Shape.Total() > a.Quota {
		return false
	}
	k := slices.IndexFunc(r.kept, func(k reservation) bool { return k.job == j.ID })
	if k >= 0 { // it may use its own reservation
		r.tries--
		return r.placeIn(j, k)
	}
	n := needOf(j)
	known := len(j.FailedOn) == 0
	if !known || !r.failed[n] {
		r.tries--
		if r.placeOwn(j) {
			return true
		}
		if known {
			r.failed[n] = true
		}
	}
	if r.backfill(j) {
		return true
	}
	r.reserve(j)
	return false
}

// place proposes to place the job where the index finds room.
func (r *round) place(j *state.Job) bool {
	p, err := r.Index.Place(j, r.Policy)
	if err != nil {
		return false
	}
	for _, v := range p.Evict {
		r.victims[v.Job] = true
	}
	if !add(r, record.KindPlace, placeID(j), p) {
		return false
	}
	r.used[j.Spec.Account] += j.Spec.Shape.Total()
	r.hold(p.Slots)
	return true
}
