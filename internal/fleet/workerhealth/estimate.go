package workerhealth

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// sweeps is the number of passes over the three levels in one update. Each begins
	// with the result of the last, so the estimates converge over some updates.
	sweeps = 2

	// minDomainSamples, minRackSamples and minMachineSamples are the least numbers of
	// steps from which an effect is estimated. One step may have a task that takes
	// many times as long as its siblings.
	minDomainSamples  = 6
	minRackSamples    = 4
	minMachineSamples = 5

	// domainPrior, rackPrior and machinePrior are the numbers of samples that the
	// assumption of no effect counts as. A sample of a failure domain is the median of
	// several runs, one of a rack or a worker often a single run.
	domainPrior  = 2
	rackPrior    = 4
	machinePrior = 4

	// lockstepSlack is the difference of two rates that the times of the reports
	// explain.
	lockstepSlack = 0.03

	// forgetTime is the half-life of an effect of which there are no samples.
	forgetTime = 5 * time.Minute
)

// usualBand is the difference of the logarithms of two speeds up to which they count
// as equal.
var usualBand = math.Log(1.15)

// effect is the logarithm of a factor on the speed: of a failure domain, of a rack in
// its failure domain, or of a worker in its rack.
type effect struct {
	log   float64
	share float64 // of the measured effect that counts, less while there were few samples

	values []float64 // samples of the present sweep
}

// level is one of the three kinds of effects.
type level struct {
	of    func(m *machine) *effect
	min   int     // see minDomainSamples
	prior float64 // see domainPrior
}

// levels begin with the widest: what a failure domain explains is not blamed on its
// workers.
var levels = []level{
	{func(m *machine) *effect { return m.domain }, minDomainSamples, domainPrior},
	{func(m *machine) *effect { return m.rack }, minRackSamples, rackPrior},
	{func(m *machine) *effect { return &m.own }, minMachineSamples, machinePrior},
}

// logSpeed returns the logarithm of the worker's speed.
func (m *machine) logSpeed() float64 { return m.domain.log + m.rack.log + m.own.log }

// Update estimates all speeds again.
//
// The logarithm of a run's rate is the sum of a term of its step, the effects of its
// worker, and its own deviation. At each level the terms are compared only between
// the groups of one step: a step that ran in one rack says nothing of that rack, but
// something of its workers. Gangs whose members advance with the slowest one say
// nothing.
func (s *Speeds) Update(now time.Time) {
	steps := s.collect(now)
	elapsed := now.Sub(s.updatedAt)
	if s.updatedAt.IsZero() {
		elapsed = 0
	}
	s.updatedAt = now
	var b buffers
	for i := range sweeps {
		for _, lv := range levels {
			for _, st := range steps {
				b.sample(st, lv.of)
			}
			if i > 0 {
				elapsed = 0
			}
			s.estimate(lv, elapsed)
		}
	}
	var all []float64
	for _, m := range s.machines {
		all = append(all, m.logSpeed())
	}
	// A place of which nothing is known counts as usual.
	usual := median(all)
	for _, e := range s.domains {
		e.log -= usual
	}
}

// collect drops old runs, and returns the steps whose runs may be compared.
func (s *Speeds) collect(now time.Time) []*step {
	for _, st := range s.steps {
		st.used, st.runs = false, st.runs[:0]
	}
	for id, m := range s.machines {
		m.runs = slices.DeleteFunc(m.runs, func(r *Run) bool { return !r.lastAt.IsZero() && now.Sub(r.lastAt) > maxRunAge })
		if len(m.runs) == 0 && now.Sub(m.seenAt) > maxMachineAge {
			delete(s.machines, id)
		}
		for _, r := range m.runs {
			r.step.used = true
			if r.rate() {
				r.step.runs = append(r.step.runs, r)
			}
		}
	}
	var out []*step
	for key, st := range s.steps {
		switch {
		case !st.used:
			delete(s.steps, key)
		case len(st.runs) >= 2 && !st.lockstep():
			st.sort()
			out = append(out, st)
		}
	}
	return out
}

// sort brings runs in the same failure domain, rack and worker together.
func (st *step) sort() {
	slices.SortFunc(st.runs, func(a, b *Run) int {
		p, q := a.machine.place, b.machine.place
		return cmp.Or(cmp.Compare(p.Domain, q.Domain), cmp.Compare(p.Rack, q.Rack), cmp.Compare(p.Worker, q.Worker))
	})
}

// lockstep reports whether the step is a gang whose members advance equally fast,
// with the slowest one.
func (st *step) lockstep() bool {
	if !st.gang {
		return false
	}
	var rates []float64
	for _, r := range st.runs {
		rates = append(rates, r.logRate)
	}
	mid := median(rates)
	return !slices.ContainsFunc(st.runs, func(r *Run) bool { return math.Abs(r.logRate-mid) > r.tolerance+lockstepSlack })
}

// group is the runs of a step that share an effect.
type group struct {
	e   *effect
	mid float64 // median of the logarithms of their rates, without their other effects
}

// buffers holds memory that the samples of all steps use.
type buffers struct {
	groups        []group
	values, terms []float64
}

// sample adds one sample of each group of the step's runs to the group's effect, if
// there are several groups.
func (b *buffers) sample(st *step, of func(m *machine) *effect) {
	groups, buf, terms := b.groups[:0], b.values, b.terms[:0]
	for i := 0; i < len(st.runs); {
		e := of(st.runs[i].machine)
		buf = buf[:0]
		for ; i < len(st.runs) && of(st.runs[i].machine) == e; i++ {
			buf = append(buf, st.runs[i].logRate-st.runs[i].machine.logSpeed()+e.log)
		}
		groups = append(groups, group{e, median(buf)})
	}
	b.groups, b.values = groups, buf
	if len(groups) < 2 {
		return
	}
	for _, g := range groups {
		terms = append(terms, g.mid-g.e.log)
	}
	b.terms = terms
	term := median(terms)
	for _, g := range groups {
		g.e.values = append(g.e.values, g.mid-term)
	}
}

// estimate sets the effects of a level from their samples. Effects without enough
// samples fade.
func (s *Speeds) estimate(lv level, elapsed time.Duration) {
	seen := make(map[*effect]bool)
	for _, m := range s.machines {
		e := lv.of(m)
		if seen[e] {
			continue
		}
		seen[e] = true
		fade := math.Exp2(-elapsed.Seconds() / forgetTime.Seconds())
		e.share *= fade
		if n := len(e.values); n >= lv.min {
			e.share = max(e.share, float64(n)/(float64(n)+lv.prior))
			e.log = median(e.values) * e.share
		} else {
			e.log *= fade
		}
		e.values = e.values[:0]
	}
}

// median returns the median, or 0 of no values. It sorts the values.
func median(values []float64) float64 {
	n := len(values)
	if n == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
