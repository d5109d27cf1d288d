package placement

import (
	"fmt"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Default grace times of evicted work, in milliseconds.
const (
	DefaultGrace       = 5_000
	DefaultUrgentGrace = 500
)

// Policy weighs completion time against fragmentation. The zero value weighs
// both equally and uses the default grace times.
type Policy struct {
	Completion    float64 // weight of lost and delayed work; default 1
	Fragmentation float64 // weight of free space that large shapes cannot use; default 1
	Grace         int64   // milliseconds for evicted work to checkpoint; default DefaultGrace
	UrgentGrace   int64   // the same when the evicting job is urgent; default DefaultUrgentGrace
	Now           int64   // time of the decision, Unix milliseconds; default the clock of the state, which stands still without records
}

// weights returns the two weights with their defaults.
func (p Policy) weights() (completion, fragmentation float64) {
	completion, fragmentation = p.Completion, p.Fragmentation
	if completion <= 0 {
		completion = 1
	}
	if fragmentation <= 0 {
		fragmentation = 1
	}
	return completion, fragmentation
}

// grace returns the grace in milliseconds for work that the job evicts.
func (p Policy) grace(urgent bool) int64 {
	g, d := p.Grace, int64(DefaultGrace)
	if urgent {
		g, d = p.UrgentGrace, DefaultUrgentGrace
	}
	if g <= 0 {
		g = d
	}
	return min(g, state.MaxGraceMs)
}

// NoFitError reports that no accelerators suit a waiting job now.
type NoFitError struct {
	Job    string
	Shape  shape.Shape
	Reason string // what is short
}

// Error describes the job and what is short.
func (e *NoFitError) Error() string {
	return fmt.Sprintf("job %s of shape %s: %s", e.Job, e.Shape, e.Reason)
}

// InfeasibleError names the guarantee that cannot be met together with all
// others.
type InfeasibleError struct {
	Account string
	Field   string // for example guarantees[1]
	Shape   shape.Shape
	Copy    int // which of the promised copies found no accelerators
}

// Error describes the guarantee and the copy that found no accelerators.
func (e *InfeasibleError) Error() string {
	return fmt.Sprintf("account %s: field %s: no accelerators for copy %d of %s", e.Account, e.Field, e.Copy+1, e.Shape)
}
