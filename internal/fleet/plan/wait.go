package plan

// WaitCause says what keeps a unit from being placed.
type WaitCause string

// The causes that a planning round finds.
const (
	WaitNoWorkers  WaitCause = "too few workers"         // the suitable workers could not hold it even when empty
	WaitNoRoom     WaitCause = "no room"                 // too few resources are free
	WaitReserved   WaitCause = "room reserved"           // the free resources are reserved for other units
	WaitRack       WaitCause = "rack busy"               // there is room, but not in the rack of its data or in one rack
	WaitFailedOn   WaitCause = "workers it failed on"    // there is room, but on workers on which it failed
	WaitCrashApart WaitCause = "crash suspects apart"    // there is room, but beside another crash suspect
	WaitStep       WaitCause = "step waits"              // not tried: another unit of its step was not placed
	WaitRoundLimit WaitCause = "planning round too long" // not tried: the round had tried as many units as it may
)

// Wait is a unit that a round did not place, with what keeps it.
type Wait struct {
	Unit  *WaitingUnit
	Cause WaitCause
	Fits  int // tasks of the unit that fit on free resources, whatever is reserved or preferred; 0 if it was not tried
}

// roomCount is the number of tasks of a unit that fit on the workers of its service
// and label, counted in several ways.
type roomCount struct {
	empty   int // if the workers were empty
	idle    int // on free resources, reserved ones included
	free    int // on free resources that are not reserved
	trusted int // of free, without the workers that the unit avoids
	allowed int // of trusted, without the workers of other crash suspects
}

// countRoom counts the room for the unit.
func (r *round) countRoom(u *WaitingUnit) roomCount {
	var c roomCount
	for _, w := range r.in.Workers {
		if !suits(u, w) {
			continue
		}
		c.empty += r.limitPerWorker(u, w, w.Total.MaxTasks(u.Need))
		c.idle += r.limitPerWorker(u, w, w.Free.Add(w.reserved).MaxTasks(u.Need))
		free := r.limitPerWorker(u, w, w.Free.MaxTasks(u.Need))
		c.free += free
		if avoids(u, w) {
			continue
		}
		c.trusted += free
		if r.eligible(u, w) {
			c.allowed += free
		}
	}
	return c
}

// cause returns what keeps a unit of the width that was not placed.
func (c roomCount) cause(width int) WaitCause {
	switch {
	case c.empty < width:
		return WaitNoWorkers
	case c.idle < width:
		return WaitNoRoom
	case c.free < width:
		return WaitReserved
	case c.trusted < width:
		return WaitFailedOn
	case c.allowed < width:
		return WaitCrashApart
	}
	return WaitRack
}

// addWait adds the unit, which the round does not place, to its output.
func (r *round) addWait(u *WaitingUnit) {
	c := r.countRoom(u)
	r.out.Waits = append(r.out.Waits, Wait{u, c.cause(u.Width), c.idle})
}

// addUntried adds a unit that the round does not try to place.
func (r *round) addUntried(u *WaitingUnit, cause WaitCause) {
	r.out.Waits = append(r.out.Waits, Wait{Unit: u, Cause: cause})
}
