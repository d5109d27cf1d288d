package contention

import (
	"math"
	"slices"
)

const (
	// minSpan is the shortest time in ms over which a run is measured. Tail latencies
	// are those of the last half second.
	minSpan = 500

	// maxSpan is the longest time in ms over which progress is measured. Effects
	// change within seconds.
	maxSpan = 4000

	// minPercent is the progress in percent at which a measurement ends, and
	// minSpanPercent the least one over maxSpan. Progress is reported in whole
	// percents, too coarse for less.
	minPercent     = 5
	minSpanPercent = 2

	// minTailShare and maxTailShare bound the ratio of a tail latency to its target.
	// Nobody is hurt by a slowdown far below the target, and beyond 20 times the target
	// a figure tells no more.
	minTailShare = 0.5
	maxTailShare = 20
)

// share is a kind with the share of the time for which it ran beside a run.
type share struct {
	kind uint32
	part float64
}

// count is the number of tasks of a kind.
type count struct {
	kind uint32
	n    int
}

// Run is what is kept of a run between two reports. The zero value is that of a run
// that was not reported yet. It belongs to one learner.
type Run struct {
	begun   bool
	clock   int64    // worker's clock at the begin of the measurement
	percent float64  // progress then
	beside  []uint32 // kinds then, ascending

	compared bool // the fields below are set
	base     float64
	mean     []share
}

// sample is one measurement of a run.
type sample struct {
	rate   float64 // logarithm of the speed
	beside []share // ascending by kind
}

// tooSoon reports whether a measurement cannot end with a report, or the report is
// older than the begin of the measurement.
func (r *Run) tooSoon(clock int64) bool { return r.begun && clock-r.clock < minSpan }

// sample takes a reading that is not too soon, and returns a sample if a measurement
// ends with it.
func (r *Run) sample(in Reading, clock int64, beside []uint32) (s sample, ok bool) {
	span := clock - r.clock
	switch {
	case in.Target > 0:
		ok = r.begun && in.Tail > 0
		s.rate = -math.Log(min(max(in.Tail/in.Target, minTailShare), maxTailShare))
	case !r.begun || r.percent <= 0 || in.Percent >= 100 || in.Percent < r.percent:
		// Not started before, or complete: it waits for the other members of its gang.
	case in.Percent-r.percent >= minPercent || span >= maxSpan:
		ok = in.Percent-r.percent >= minSpanPercent
		s.rate = math.Log((in.Percent - r.percent) / float64(span))
	default:
		return sample{}, false
	}
	before := r.beside
	if !r.begun {
		before = beside
	}
	s.beside = meanShares(before, beside)
	r.begun, r.clock, r.percent, r.beside = true, clock, in.Percent, beside
	return s, ok
}

// addCount adds one task of the kind to the counts, which are ascending by kind.
func addCount(counts []count, kind uint32) []count {
	i, found := slices.BinarySearchFunc(counts, kind, func(c count, kind uint32) int { return int(c.kind) - int(kind) })
	if found {
		counts[i].n++
		return counts
	}
	return slices.Insert(counts, i, count{kind, 1})
}

// kindsBeside returns the kinds of the other tasks beside one of the given kind.
func kindsBeside(counts []count, of uint32) []uint32 {
	out := make([]uint32, 0, len(counts))
	for _, c := range counts {
		if c.kind != of || c.n > 1 {
			out = append(out, c.kind)
		}
	}
	return out
}

// meanShares returns the shares of kinds that were there at the begin and at the end
// of a measurement.
func meanShares(begin, end []uint32) []share {
	out := make([]share, 0, max(len(begin), len(end)))
	for _, k := range begin {
		out = append(out, share{k, 0.5})
	}
	return addShares(out, end, 0.5)
}

// addShares adds a part of each kind to the shares.
func addShares(shares []share, kinds []uint32, part float64) []share {
	for _, k := range kinds {
		shares = addShare(shares, share{k, part})
	}
	return shares
}

// addShare adds a share to the shares, which are ascending by kind.
func addShare(shares []share, s share) []share {
	i, found := slices.BinarySearchFunc(shares, s.kind, func(o share, kind uint32) int { return int(o.kind) - int(kind) })
	if found {
		shares[i].part += s.part
		return shares
	}
	return slices.Insert(shares, i, s)
}

// weigh returns a*x + b*y.
func weigh(a float64, x []share, b float64, y []share) []share {
	out := make([]share, 0, len(x)+len(y))
	for _, s := range x {
		out = append(out, share{s.kind, a * s.part})
	}
	for _, s := range y {
		out = addShare(out, share{s.kind, b * s.part})
	}
	return out
}
