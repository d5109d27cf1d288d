package placement

import (
	"fmt"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Default times in milliseconds that evicted work has to save a checkpoint.
const (
	DefaultGraceMs       = 5_000
	DefaultUrgentGraceMs = 500
)

// Policy weighs completion time against fragmentation. The zero value weighs
// both equally and uses the default grace times.
type Policy struct {
	CompletionWeight    float64 // weight of lost and delayed work; default 1
	FragmentationWeight float64 // weight of free accelerators that the largest shapes cannot use; default 1
	GraceMs             int64   // time that evicted work has to save a checkpoint; default DefaultGraceMs
	UrgentGraceMs       int64   // the same if the evicting job is urgent; default DefaultUrgentGraceMs
	NowMs               int64   // time of the decision, Unix milliseconds; default the state's clock, which advances only with records
}

// weights returns the two weights with their defaults.
func (p Policy) weights() (completion, fragmentation float64) {
	completion, fragmentation = p.CompletionWeight, p.FragmentationWeight
	if completion <= 0 {
		completion = 1
	}
	if fragmentation <= 0 {
		fragmentation = 1
	}
	return completion, fragmentation
}

// grace returns the grace time in milliseconds of the work that a job evicts;
// urgent says whether that job is urgent.
func (p Policy) grace(urgent bool) int64 {
	graceMs, defaultMs := p.GraceMs, int64(DefaultGraceMs)
	if urgent {
		graceMs, defaultMs = p.UrgentGraceMs, DefaultUrgentGraceMs
	}
	if graceMs <= 0 {
		graceMs = defaultMs
	}
	return min(graceMs, state.MaxGraceMs)
}

// NoFitError reports that no accelerators are available for a waiting job
// now.
type NoFitError struct {
	Job    string
	Shape  shape.Shape
	Reason string // why the job does not fit
}

// Error describes the job and why it does not fit.
func (e *NoFitError) Error() string {
	return fmt.Sprintf("job %s of shape %s: %s", e.Job, e.Shape, e.Reason)
}

// InfeasibleError reports a guarantee that cannot be met together with all
// others.
type InfeasibleError struct {
	Account string
	Field   string // for example guarantees[1]
	Shape   shape.Shape
	Copy    int // number of the copy, from 0, for which no accelerators were found
}

// Error describes the guarantee and the copy for which no accelerators were
// found.
func (e *InfeasibleError) Error() string {
	return fmt.Sprintf("account %s: field %s: no accelerators for copy %d of %s", e.Account, e.Field, e.Copy+1, e.Shape)
}
