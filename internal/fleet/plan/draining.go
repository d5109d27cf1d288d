package plan

import "time"

const (
	// stopMargin covers the time by which a run may exceed its estimate, and
	// the time that a stop and the report of an end take.
	stopMargin = 500 * time.Millisecond

	// overstayFactor is how many times its announced time a worker may stay. A
	// run without checkpoints that could end within that time is left alone.
	overstayFactor = 1.5
)

// DrainingRun is a run on a draining worker, which stops all its runs when it
// leaves.
//
// It is made for workloads in which workers leave at short notice. A gang that
// loses one member loses the work of its whole run, and the seconds until the
// loss is detected.
type DrainingRun struct {
	Remaining       time.Duration // estimated time until the run ends
	Elapsed         time.Duration // work that a stop may lose
	Checkpointable  bool          // a stop saves the work in a checkpoint
	WorkerRemaining time.Duration // least time that the worker stays
}

// ShouldMigrate reports whether to stop the run now so that it continues on
// another worker.
func (d DrainingRun) ShouldMigrate() bool {
	if d.Remaining+stopMargin <= d.WorkerRemaining {
		return false
	}
	if d.Checkpointable || d.Elapsed < stopMargin {
		return true
	}
	return float64(d.Remaining+stopMargin) > overstayFactor*float64(d.WorkerRemaining)
}
