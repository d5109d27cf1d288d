package contention

import (
	"math"
	"math/bits"
)

const (
	// evidenceHalfLife is the time in ms in which evidence halves. It is the length
	// of a usual run: a placement has an effect for that long.
	evidenceHalfLife = 6000

	// maxEvidence bounds the evidence of a pair, so that a pair that is not seen
	// again ceases to count after 3 half-lives.
	maxEvidence = 16

	// beginEvidence and ceaseEvidence are the numbers of recent samples at which a
	// pair begins and ceases to count.
	beginEvidence = 4
	ceaseEvidence = 2

	// beginSlowdown and ceaseSlowdown are the slowdowns at which a pair begins and
	// ceases to count. Progress in whole percents over a second does not show less. The
	// most urgent jobs may take half as long again as their work, of which a fifth is
	// a large part.
	beginSlowdown = 0.2
	ceaseSlowdown = 0.1

	// minPairWorkers is the number of workers on which a pair must have been seen, so
	// that a fault of one worker does not count.
	minPairWorkers = 2

	// minGain is the least weight of a new sample. With it, a value follows a change
	// within about five samples.
	minGain = 0.2

	// sampleVariance is added to the variance of the samples of a pair, which is not
	// reliable for few samples. Progress in whole percents has about this variance.
	sampleVariance = 0.02

	// minErrors is the number of standard errors by which a value must exceed 0.
	minErrors = 2
)

// pair is what is known of the effect of one kind on another.
type pair struct {
	value    float64 // logarithm of the slowdown factor
	variance float64 // of the samples
	evidence float64 // number of samples, at the time updatedAt; it halves with evidenceHalfLife
	workers  uint64  // hashes of the workers that it was seen on
	counts   bool

	updatedAt int64
}

// evidenceAt returns the evidence at the time.
func (p *pair) evidenceAt(now int64) float64 {
	return p.evidence * math.Exp2(-float64(max(0, now-p.updatedAt))/evidenceHalfLife)
}

// add adds one sample: err is by how much a run was slower than predicted, share is
// how much of that the pair is held responsible for, and weight how much the sample
// tells about the pair.
func (p *pair) add(err, share, weight float64, worker uint64, now int64) {
	evidence := p.evidenceAt(now)
	if evidence < ceaseEvidence && !p.counts {
		p.workers &= worker // older workers do not count for new evidence
	}
	gain := max(minGain, 1/(1+evidence))
	p.value += gain * share * err
	p.variance = (1 - gain) * (p.variance + gain*err*err)
	p.evidence = min(evidence+weight, maxEvidence)
	p.workers |= worker
	p.updatedAt = now
}

// update updates whether the pair counts, and reports whether that has changed.
func (p *pair) update(now int64) bool {
	evidence, slowdown := p.evidenceAt(now), p.slowdown()
	was := p.counts
	if was {
		p.counts = evidence >= ceaseEvidence && slowdown >= ceaseSlowdown
	} else {
		p.counts = evidence >= beginEvidence && slowdown >= beginSlowdown && bits.OnesCount64(p.workers) >= minPairWorkers &&
			p.value >= minErrors*math.Sqrt((p.variance+sampleVariance)/evidence)
	}
	return p.counts != was
}

// slowdown returns by what share a task takes longer.
func (p *pair) slowdown() float64 { return math.Expm1(max(0, p.value)) }
