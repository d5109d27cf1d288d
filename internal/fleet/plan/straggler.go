package plan

const (
	// slowShare is the part of its fastest sibling's rate below which a run is
	// slow because of its worker: tasks of one step differ by less, and one
	// that is away from its data takes farFactor times as long.
	slowShare = 0.28

	// minRate is the rate of the fastest sibling, in percent a second, below
	// which the reports, in whole percents, are too coarse to compare.
	minRate = 4
)

// Straggler is a run beside the fastest sibling of its step.
//
// It answers loads in which some workers are slow or stand still: a gang is as
// slow as its slowest member, so a few such workers delay most wide gangs, and
// new work should go elsewhere.
type Straggler struct {
	Percent float64 // done
	Rate    float64 // percent a second
	Best    float64 // rate of the fastest sibling
}

// Slow reports whether the run's worker is slow. A member of a gang that has
// done its part waits for the others.
func (s Straggler) Slow() bool {
	return s.Percent < 100 && s.Best >= minRate && s.Rate < slowShare*s.Best
}
