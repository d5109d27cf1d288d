package plan

import (
	"cmp"
	"slices"
)

// WaitCause says what keeps a unit from being placed.
type WaitCause string

// The causes that a planning round finds.
const (
	WaitNoWorkers  WaitCause = "too few workers"           // the suitable workers could not hold it even when empty
	WaitNoRoom     WaitCause = "no room"                   // too few resources are free
	WaitReserved   WaitCause = "room reserved"             // the free resources are reserved for other units
	WaitRack       WaitCause = "rack busy"                 // there is room, but not in the rack of its data or in one rack
	WaitFailedOn   WaitCause = "workers it failed on"      // there is room, but on workers on which it failed
	WaitReliable   WaitCause = "reliable workers busy"     // there is room, but on workers whose recent record is not good
	WaitCrashApart WaitCause = "crash suspects apart"      // there is room, but beside another crash suspect
	WaitHeadroom   WaitCause = "room kept for urgent work" // there is room, but on workers that are kept free for the most urgent work
	WaitStep       WaitCause = "step waits"                // not tried: another unit of its step was not placed
	WaitRoundLimit WaitCause = "planning round too long"   // not tried: the round had tried as many units as it may
)

// MaxChoiceWaitMs bounds how long a unit is kept waiting by choice while there is
// room for it and its job has nothing running, or its tasks last. It covers all
// that the scheduler prefers to an early start: a rack, workers on which the unit
// has not failed, whose record is good or that run no other crash suspect, resources
// that are reserved for others or kept for urgent work, and a pause before the next
// run. These waits overlap and do not add up, because all are counted from the time
// from which the unit could run. Callers expect a task to start within 3 s of that
// time; planning, the append and the start request need the rest.
const MaxChoiceWaitMs = 2000

// maxRoomGapMs is the longest time without room that does not restart a wait. A run
// that fails at once, or starts that are cancelled, fill the room for a moment.
const maxRoomGapMs = 250

// stoppedRoomMs is how long resources for which work was stopped may be reserved
// before overdue units may use them. Stops take less, unless a worker does not carry
// them out; the other resources of the reservation are idle meanwhile.
const stoppedRoomMs = MaxChoiceWaitMs / 2

// Wait is a unit that a round did not place, with what keeps it.
type Wait struct {
	Unit  *WaitingUnit
	Cause WaitCause
	Fits  int // tasks of the unit that fit on free resources, whatever is reserved or preferred; 0 if it was not tried

	// RoomSince and NoRoomSince are those of the unit in the next round.
	RoomSince   int64
	NoRoomSince int64
}

// roomCount is the number of tasks of a unit that fit on the workers of its service
// and label, counted in several ways.
type roomCount struct {
	idle    int // on free resources, reserved ones included
	ample   int // as idle, without the limit of its step
	free    int // on free resources that are not reserved
	trusted int // of free, without the workers that the unit avoids
	sound   int // of trusted, without the workers whose record is not good if the unit waits for others
	allowed int // of sound, without the workers of other crash suspects
	open    int // of allowed, without the workers that are kept for more urgent work
}

// countRoom counts the room for the unit.
func (r *round) countRoom(u *WaitingUnit) roomCount {
	var c roomCount
	for _, w := range r.in.Workers {
		idle := w.Free.Add(w.reserved)
		if !idle.Fits(u.Need) || !suits(u, w) {
			continue
		}
		n := idle.MaxTasks(u.Need)
		c.ample += n
		c.idle += r.limitPerWorker(u, w, n)
		if !w.Free.Fits(u.Need) {
			continue
		}
		n = r.limitPerWorker(u, w, w.Free.MaxTasks(u.Need))
		c.free += n
		if avoids(u, w) {
			continue
		}
		c.trusted += n
		if r.needsReliable(u) && u.risky(w) {
			continue
		}
		c.sound += n
		if r.permitted(u, w) {
			c.allowed += n
		}
		if r.eligible(u, w) {
			c.open += n
		}
	}
	return c
}

// fitsWhenEmpty reports whether the unit would fit on the suitable workers if they
// were empty.
func (r *round) fitsWhenEmpty(u *WaitingUnit) bool {
	n := 0
	for _, w := range r.in.Workers {
		if suits(u, w) {
			n += r.limitPerWorker(u, w, w.Total.MaxTasks(u.Need))
		}
		if n >= u.Width {
			return true
		}
	}
	return false
}

// cause returns what keeps a unit that was not placed.
func (r *round) cause(u *WaitingUnit, c roomCount) WaitCause {
	switch {
	case c.idle < u.Width && !r.fitsWhenEmpty(u):
		return WaitNoWorkers
	case c.idle < u.Width:
		return WaitNoRoom
	case c.free < u.Width:
		return WaitReserved
	case c.trusted < u.Width:
		return WaitFailedOn
	case c.sound < u.Width:
		return WaitReliable
	case c.allowed < u.Width:
		return WaitCrashApart
	case c.open < u.Width:
		return WaitHeadroom
	}
	return WaitRack
}

// hasRoom reports whether the resources for a unit of the width are not scarce.
// Callers expect an early start while there is room for the unit twice over. The
// planner asks for half of that surplus: it still counts runs that have just ended
// and counts starts that have not reached their workers.
func (c roomCount) hasRoom(width int) bool { return c.idle >= width && c.ample >= width*3/2 }

// wait returns the wait of a unit that the round tried and did not place.
func (r *round) wait(u *WaitingUnit) Wait {
	c := r.countRoom(u)
	w := Wait{Unit: u, Cause: r.cause(u, c), Fits: c.idle}
	r.trackRoom(&w, c.hasRoom(u.Width))
	return w
}

// trackRoom sets since when there has been room for the unit of the wait, or none.
func (r *round) trackRoom(w *Wait, hasRoom bool) {
	u := w.Unit
	if hasRoom {
		w.RoomSince = cmp.Or(u.RoomSince, r.in.Now)
		return
	}
	w.NoRoomSince = cmp.Or(u.NoRoomSince, r.in.Now)
	if r.in.Now-w.NoRoomSince <= maxRoomGapMs {
		w.RoomSince = u.RoomSince
	}
}

// addOfStep adds a unit that the round does not try to place because it could not
// place one of the same kind. There is room for the one if there is for the other.
func (r *round) addOfStep(u *WaitingUnit, tried Wait) {
	w := Wait{Unit: u, Cause: WaitStep}
	r.trackRoom(&w, tried.NoRoomSince == 0)
	r.out.Waits = append(r.out.Waits, w)
}

// addUntried adds a unit for which the round has no time.
func (r *round) addUntried(u *WaitingUnit) {
	r.out.Waits = append(r.out.Waits, Wait{Unit: u, Cause: WaitRoundLimit, RoomSince: u.RoomSince, NoRoomSince: u.NoRoomSince})
}

// standsStill reports whether the unit's start is urgent for its job: nothing of
// the job runs, or the unit's tasks last and so count each by itself.
func (r *round) standsStill(u *WaitingUnit) bool {
	return u.Lasting || u.JobIdle && !r.started[u.ID.Job]
}

// overdue reports whether there has been room for the unit for longer than
// MaxChoiceWaitMs, and its start is urgent for its job.
func (r *round) overdue(u *WaitingUnit) bool { return r.standsStill(u) && u.roomTooLong(r.in.Now) }

// roomTooLong reports whether there has been room for the unit for longer than
// MaxChoiceWaitMs.
func (u *WaitingUnit) roomTooLong(now int64) bool {
	return u.RoomSince > 0 && now-u.RoomSince > MaxChoiceWaitMs
}

// Overdue reports whether a unit of a placement should have started before.
func (u *WaitingUnit) Overdue(now int64) bool {
	return (u.Lasting || u.JobIdle) && u.roomTooLong(now)
}

// placeOverdue starts an overdue unit on any suitable workers, if need be on
// resources that are reserved for other units, and reports whether it found some.
func (r *round) placeOverdue(u *WaitingUnit) bool {
	u.anywhere, u.AvoidWorkers = true, nil
	if workers := r.chooseWorkers(u); workers != nil {
		r.start(u, workers)
		return true
	}
	var given []Reservation
	for _, h := range r.in.Reservations {
		if r.subtracted[h.Unit] && r.givesWay(h) {
			given = append(given, h)
			r.deduct(h, -1)
		}
	}
	workers := r.chooseWorkers(u)
	if workers != nil {
		r.start(u, workers)
	}
	for _, h := range given {
		r.deduct(h, 1)
		if workers != nil && r.lacksResources(h, workers) {
			p := &r.out.Placements[len(r.out.Placements)-1]
			p.Displaces = append(p.Displaces, h.Unit)
		}
	}
	return workers != nil
}

// givesWay reports whether an overdue unit may use the reserved resources, however
// urgent the unit is for which they are reserved. Resources that become free as
// runs end may be idle for long until there are enough of them. The unit for which
// they were reserved gets another reservation, and may preempt the overdue one once
// it can start then, so that large gangs do not starve. Work was stopped for the
// other reservations, and they are used at once; they give way only after
// stoppedRoomMs.
func (r *round) givesWay(h Reservation) bool {
	return h.NonPreemptive || r.in.Now-h.Since > stoppedRoomMs
}

// lacksResources reports whether the reservation covers more than is free on one
// of the given workers.
func (r *round) lacksResources(h Reservation, workers []string) bool {
	for _, id := range h.Workers {
		if w := r.workers[id]; w != nil && slices.Contains(workers, id) && !w.Free.Fits(Resources{}) {
			return true
		}
	}
	return false
}
