package plan

const (
	// slowRateFraction is the fraction of its fastest sibling's rate below
	// which a run counts as slow because of its worker. Healthy tasks of one
	// step differ by less, and one outside the rack of its data takes
	// remoteRackSlowdown times as long.
	slowRateFraction = 0.28

	// minBestRatePercent is the least rate of the fastest sibling, in percent a
	// second, at which rates are compared. Progress is reported in whole
	// percents, which is too coarse below it.
	minBestRatePercent = 4
)

// Straggler compares the progress of a run with the fastest run of the same
// step.
//
// It is made for workloads in which some workers are slow or hang. A gang is as
// slow as its slowest member, so a few such workers delay most wide gangs, and
// new work should go to other workers.
type Straggler struct {
	Percent  float64 // progress
	Rate     float64 // percent a second
	BestRate float64 // rate of the fastest sibling, percent a second
}

// Slow reports whether the run's worker is slow. A gang member that is complete
// does not count: it waits for the other members.
func (s Straggler) Slow() bool {
	return s.Percent < 100 && s.BestRate >= minBestRatePercent && s.Rate < slowRateFraction*s.BestRate
}
