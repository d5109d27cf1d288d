package plan

import "time"

const (
	// leaverMargin is how much longer than its estimate a run may take, and
	// what a stop and the report of an end take.
	leaverMargin = 500 * time.Millisecond

	// leaverDoubt is how many times the announced time a worker may stay
	// longer, in which a run without checkpoints might still end.
	leaverDoubt = 1.5
)

// Leaver is a run on a worker that will leave, which ends all its runs.
//
// It answers loads in which workers are taken away at short notice: a gang
// that loses one member loses its whole run, and the seconds until the loss is
// noticed.
type Leaver struct {
	Left  time.Duration // until it ends, by its estimate
	Ran   time.Duration // work that a stop may lose
	Saves bool          // a stop keeps its work
	Stays time.Duration // least time that the worker stays
}

// Evacuate reports whether to stop the run now, so that it goes on elsewhere.
func (l Leaver) Evacuate() bool {
	if l.Left+leaverMargin <= l.Stays {
		return false
	}
	if l.Saves || l.Ran < leaverMargin {
		return true
	}
	return float64(l.Left+leaverMargin) > leaverDoubt*float64(l.Stays)
}
