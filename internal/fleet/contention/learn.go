package contention

import "slices"

const (
	// siblingTime is the greatest age in ms of a sample of another task of the step
	// that a sample is compared with.
	siblingTime = 3000

	// minSiblings is the least number of them, on other workers. maxSiblings bounds
	// the samples that are kept for a step.
	minSiblings = 2
	maxSiblings = 16

	// maxError bounds the effect of one sample. Some tasks take several times as long
	// as others of their step, wherever they run.
	maxError = 1

	// baseWeight is the weight of the newest sample in what a run is compared with.
	baseWeight = 0.5

	// speedGain is the weight of a new sample for the speed of a worker. It is small
	// because a task that is long by itself must not make its worker look slow.
	speedGain = 0.1

	// minDifference is the least difference in the share of a kind from which
	// something is learned about it.
	minDifference = 0.2
)

// group holds the newest samples of the tasks of one step.
type group struct {
	siblings  []sibling
	updatedAt int64
}

// sibling is the newest sample of one task, without the effects that are known.
type sibling struct {
	run    *Run
	worker *speed
	rate   float64
	beside []share
	at     int64
}

// learn compares a sample of a run with what is known, and corrects that.
func (l *Learner) learn(kind uint32, in Reading, s sample, w *speed, now int64) {
	rate := s.rate + l.effect(kind, s.beside) // as if it ran alone
	r, g := in.Run, l.groupOf(in.Step)
	// A task may be long by itself, so it is compared with its siblings only once. A
	// serving task does not end, and its load changes with that of its siblings, so it
	// is compared with itself only if there are none.
	withSiblings := false
	if g != nil && (!r.compared || in.Target > 0) {
		var usual float64
		var mean []share
		if usual, mean, withSiblings = g.usual(w, now); withSiblings {
			difference := weigh(1, s.beside, -1, mean)
			err := bounded(usual - (rate - w.offset))
			norm := 1 + squares(difference)
			l.correct(kind, difference, err, norm, w, now)
			w.offset -= speedGain * err / norm
		}
	}
	if r.compared && !withSiblings {
		difference := weigh(1, s.beside, -1, r.mean)
		l.correct(kind, difference, bounded(r.base-rate), max(1, squares(difference)), w, now)
	}
	r.remember(rate, s.beside)
	if g != nil {
		g.add(sibling{r, w, rate - w.offset, s.beside, now})
	}
}

// remember updates what the run is compared with.
func (r *Run) remember(rate float64, beside []share) {
	if !r.compared {
		r.compared, r.base, r.mean = true, rate, beside
		return
	}
	r.base += baseWeight * (rate - r.base)
	r.mean = weigh(1-baseWeight, r.mean, baseWeight, beside)
	r.mean = slices.DeleteFunc(r.mean, func(s share) bool { return s.part < minDifference/10 })
}

// effect returns the sum of the known effects on a kind.
func (l *Learner) effect(kind uint32, beside []share) float64 {
	sum := 0.0
	for _, s := range beside {
		if p := l.pairs[pairKey{kind, s.kind}]; p != nil {
			sum += p.value * s.part
		}
	}
	return sum
}

// correct distributes an error over the pairs whose shares differ (normalized least
// mean squares).
func (l *Learner) correct(kind uint32, difference []share, err, norm float64, w *speed, now int64) {
	for _, s := range difference {
		weight := max(s.part, -s.part)
		if weight < minDifference {
			continue
		}
		if p := l.pairOf(pairKey{kind, s.kind}); p != nil {
			p.add(err, s.part/norm, min(weight, 1), w.hash, now)
		}
	}
}

// groupOf returns the samples of the step, or nil if there are too many steps.
func (l *Learner) groupOf(step Step) *group {
	g := l.groups[step]
	if g == nil && len(l.groups) < maxGroups {
		g = &group{}
		l.groups[step] = g
	}
	return g
}

// usual returns the median rate of the siblings on other workers, and the mean shares
// of the kinds beside them. It reports whether there are enough.
func (g *group) usual(w *speed, now int64) (rate float64, mean []share, ok bool) {
	rates := make([]float64, 0, len(g.siblings))
	for _, s := range g.siblings {
		if s.worker != w && now-s.at <= siblingTime {
			rates = append(rates, s.rate)
		}
	}
	n := len(rates)
	if n < minSiblings {
		return 0, nil, false
	}
	for _, s := range g.siblings {
		if s.worker == w || now-s.at > siblingTime {
			continue
		}
		for _, b := range s.beside {
			mean = addShare(mean, share{b.kind, b.part / float64(n)})
		}
	}
	slices.Sort(rates)
	return (rates[(n-1)/2] + rates[n/2]) / 2, mean, true
}

// add adds the newest sample of a task, in place of its last one or the oldest.
func (g *group) add(s sibling) {
	g.updatedAt = s.at
	i := slices.IndexFunc(g.siblings, func(o sibling) bool { return o.run == s.run })
	if i < 0 && len(g.siblings) < maxSiblings {
		g.siblings = append(g.siblings, s)
		return
	}
	if i < 0 {
		i = 0
		for j, o := range g.siblings {
			if o.at < g.siblings[i].at {
				i = j
			}
		}
	}
	g.siblings[i] = s
}

// bounded bounds an error to maxError.
func bounded(err float64) float64 { return min(max(err, -maxError), maxError) }

// squares returns the sum of the squares of the shares.
func squares(shares []share) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s.part * s.part
	}
	return sum
}
