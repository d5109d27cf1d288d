package contention

import (
	"cmp"
	"slices"
)

const (
	// sweepInterval is the time in ms between two updates of which pairs count.
	sweepInterval = 250

	// maxKinds, maxPairs, maxGroups and maxWorkers bound the memory. What exceeds them
	// is not learned until older entries are forgotten.
	maxKinds   = 256
	maxPairs   = 4096
	maxGroups  = 4096
	maxWorkers = 4096

	// forgetTime is the time in ms after which kinds and workers are forgotten that
	// are not seen any more.
	forgetTime = 60_000

	// forgetEvidence is the evidence below which a pair is forgotten. Until then fewer
	// new samples are needed for it to count again.
	forgetEvidence = 0.25
)

// Step identifies the tasks that are compared with each other.
type Step struct {
	Job              string
	Occurrence, Step int
	Near             bool // the worker is in the rack of the step's data
}

// Reading is what a worker's report says about one run of a task with a kind.
type Reading struct {
	Run     *Run
	Step    Step
	Kind    string
	Percent float64 // progress, used unless Target is set

	// Target is the bound on the tail latency of a serving task in ms, 0 for other
	// tasks. Tail is its tail latency; 0 is unknown.
	Target, Tail float64
}

// Pair is an ordered pair of kinds.
type Pair struct {
	Kind   string // that is slowed down
	Beside string // that slows it down
}

// Change is a pair that begins or ceases to count.
type Change struct {
	Pair
	Counts   bool
	Slowdown float64 // share by which a task takes longer
	Samples  float64 // recent samples
}

// Status describes what a learner holds.
type Status struct {
	Kinds  int // kinds that were seen lately
	Pairs  int // pairs that were seen lately
	Counts int // pairs that slow each other down
}

// kind is a kind that was seen lately.
type kind struct {
	id     uint32 // not used again
	name   string
	seenAt int64
}

// pairKey is a pair by the ids of its kinds.
type pairKey struct{ kind, beside uint32 }

// speed is the speed of a worker for all kinds.
type speed struct {
	offset float64 // logarithm of the speed, 0 is usual
	hash   uint64  // one bit
	seenAt int64
}

// Learner learns which kinds slow each other down. Points in time are Unix times in
// ms. It is not safe for concurrent use.
type Learner struct {
	kinds   map[string]*kind
	names   map[uint32]string
	pairs   map[pairKey]*pair
	groups  map[Step]*group
	workers map[string]*speed

	lastID  uint32
	nextBit uint
	sweptAt int64
	costs   map[string]map[string]float64
}

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner {
	return &Learner{
		kinds: make(map[string]*kind), names: make(map[uint32]string), pairs: make(map[pairKey]*pair),
		groups: make(map[Step]*group), workers: make(map[string]*speed),
	}
}

// Report takes one report of a worker: the readings of all its runs that have a kind.
// clock is the worker's clock in ms; a report whose clock is not later than that of
// the one before tells nothing.
func (l *Learner) Report(worker string, clock, now int64, readings []Reading) {
	w := l.speedOf(worker, now)
	if w == nil {
		return
	}
	present := make([]count, 0, len(readings))
	ids := make([]uint32, len(readings))
	for i, r := range readings {
		if k := l.kindOf(r.Kind, now); k != nil {
			ids[i] = k.id
			present = addCount(present, k.id)
		}
	}
	for i, r := range readings {
		if ids[i] == 0 || r.Run.tooSoon(clock) {
			continue
		}
		beside := kindsBeside(present, ids[i])
		if s, ok := r.Run.sample(r, clock, beside); ok {
			l.learn(ids[i], r, s, w, now)
		}
	}
}

// kindOf returns the kind with the name, or nil if there are too many.
func (l *Learner) kindOf(name string, now int64) *kind {
	k := l.kinds[name]
	if k == nil {
		if name == "" || len(l.kinds) >= maxKinds {
			return nil
		}
		l.lastID++
		k = &kind{id: l.lastID, name: name}
		l.kinds[name], l.names[k.id] = k, name
	}
	k.seenAt = now
	return k
}

// speedOf returns the speed of the worker, or nil if there are too many workers.
func (l *Learner) speedOf(worker string, now int64) *speed {
	w := l.workers[worker]
	if w == nil {
		if len(l.workers) >= maxWorkers {
			return nil
		}
		w = &speed{hash: 1 << (l.nextBit % 64)}
		l.nextBit++
		l.workers[worker] = w
	}
	w.seenAt = now
	return w
}

// pairOf returns the pair, or nil if there are too many.
func (l *Learner) pairOf(key pairKey) *pair {
	p := l.pairs[key]
	if p == nil && len(l.pairs) < maxPairs {
		p = &pair{}
		l.pairs[key] = p
	}
	return p
}

// Sweep updates which pairs count, forgets what is too old, and returns the pairs
// that begin or cease to count. It does nothing if the last sweep was just before.
func (l *Learner) Sweep(now int64) []Change {
	if since := now - l.sweptAt; since >= 0 && since < sweepInterval {
		return nil
	}
	l.sweptAt = now
	var changes []Change
	l.costs = nil
	for key, p := range l.pairs {
		name := Pair{l.names[key.kind], l.names[key.beside]}
		if name.Kind == "" || name.Beside == "" || p.evidenceAt(now) < forgetEvidence {
			delete(l.pairs, key)
			continue
		}
		if p.update(now) {
			changes = append(changes, Change{name, p.counts, p.slowdown(), p.evidenceAt(now)})
		}
		if p.counts {
			l.addCost(name.Kind, name.Beside, p.slowdown())
			l.addCost(name.Beside, name.Kind, p.slowdown())
		}
	}
	l.forget(now)
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Beside, b.Beside)) })
	return changes
}

// addCost adds a slowdown to the cost of placing tasks of two kinds beside each other.
func (l *Learner) addCost(a, b string, slowdown float64) {
	if l.costs == nil {
		l.costs = make(map[string]map[string]float64)
	}
	if l.costs[a] == nil {
		l.costs[a] = make(map[string]float64)
	}
	l.costs[a][b] += slowdown
}

// forget removes what has not been seen for long.
func (l *Learner) forget(now int64) {
	for step, g := range l.groups {
		if now-g.updatedAt > siblingTime {
			delete(l.groups, step)
		}
	}
	for name, k := range l.kinds {
		if now-k.seenAt > forgetTime {
			delete(l.kinds, name)
			delete(l.names, k.id)
		}
	}
	for id, w := range l.workers {
		if now-w.seenAt > forgetTime {
			delete(l.workers, id)
		}
	}
}

// Costs returns, for each kind, the kinds that should not run beside it, with the sum
// of the slowdowns of two such tasks. It is that of the last sweep and nil if no pair
// counts. The caller must not change it.
func (l *Learner) Costs() map[string]map[string]float64 { return l.costs }

// Slowdown returns by what share a task of the kind takes longer beside tasks of the
// other kind, 0 if the pair does not count.
func (l *Learner) Slowdown(of Pair) float64 {
	kind, beside := l.kinds[of.Kind], l.kinds[of.Beside]
	if kind == nil || beside == nil {
		return 0
	}
	if p := l.pairs[pairKey{kind.id, beside.id}]; p != nil && p.counts {
		return p.slowdown()
	}
	return 0
}

// Status returns what the learner holds.
func (l *Learner) Status() Status {
	s := Status{Kinds: len(l.kinds), Pairs: len(l.pairs)}
	for _, p := range l.pairs {
		if p.counts {
			s.Counts++
		}
	}
	return s
}
