package workerhealth

import (
	"math"
	"slices"
	"time"
)

const (
	// maxRuns bounds the runs that are kept of a worker, the newest ones.
	maxRuns = 16

	// maxRunAge is the age of a run's last sample from which on it does not count.
	maxRunAge = 90 * time.Second

	// minProgress is the least progress, in percent, over which a rate is computed.
	// Progress is reported in whole percents, so the error is up to an eighth.
	minProgress = 8

	// minSpan is the shortest time over which a rate is computed.
	minSpan = 500 * time.Millisecond

	// maxMachineAge is how long a worker without runs is remembered.
	maxMachineAge = 10 * time.Minute
)

// Place is a worker with what it shares with others.
type Place struct {
	Worker string
	Rack   string
	Domain string // failure domain
}

// Step identifies runs that should take equally long on equally fast workers.
type Step struct {
	Job              string
	Occurrence, Step int
	Run              int  // number of the run of a gang; 0 if the tasks are not a gang
	Far              bool // outside the rack of its data
}

// Run is what is known of the progress of one run of one task.
type Run struct {
	step    *step
	machine *machine

	first, last     float64 // percent
	firstAt, lastAt time.Time

	logRate   float64 // of the progress from first to last, in percent per second
	tolerance float64 // greatest error of logRate by rounding of the progress
}

// step is a step with its runs that count.
type step struct {
	gang bool
	used bool // a run of it is kept
	runs []*Run
}

// machine is what is known of one worker.
type machine struct {
	place  Place
	rack   *effect
	domain *effect
	own    effect // beyond those of its rack and failure domain
	runs   []*Run // oldest first
	seenAt time.Time
}

// Speeds estimates the speeds of workers. The zero value is ready for use.
type Speeds struct {
	steps     map[Step]*step
	machines  map[string]*machine
	racks     map[string]*effect
	domains   map[string]*effect
	updatedAt time.Time
}

// Begin adds a run on a worker and returns it.
func (s *Speeds) Begin(key Step, at Place, now time.Time) *Run {
	if s.steps == nil {
		s.steps, s.machines = make(map[Step]*step), make(map[string]*machine)
		s.racks, s.domains = make(map[string]*effect), make(map[string]*effect)
	}
	st := s.steps[key]
	if st == nil {
		st = &step{gang: key.Run > 0}
		s.steps[key] = st
	}
	m := s.machines[at.Worker]
	if m == nil || m.place != at {
		m = &machine{place: at, rack: effectOf(s.racks, at.Rack), domain: effectOf(s.domains, at.Domain)}
		s.machines[at.Worker] = m
	}
	r := &Run{step: st, machine: m}
	if len(m.runs) >= maxRuns {
		m.runs = slices.Delete(m.runs, 0, 1+len(m.runs)-maxRuns)
	}
	m.runs = append(m.runs, r)
	m.seenAt = now
	return r
}

// effectOf returns the effect of the name. All without a name share one.
func effectOf(effects map[string]*effect, name string) *effect {
	e := effects[name]
	if e == nil {
		e = &effect{}
		effects[name] = e
	}
	return e
}

// Progress adds the progress of the run in percent. Progress of 100 does not count:
// a member of a gang waits there for the others.
func (r *Run) Progress(percent float64, now time.Time) {
	switch {
	case percent >= 100 || percent < 0 || math.IsNaN(percent):
	case r.firstAt.IsZero() || percent < r.last:
		r.first, r.firstAt = percent, now
		r.last, r.lastAt = percent, now
	default:
		r.last, r.lastAt = percent, now
	}
}

// Done adds that the run has ended as done. The end of a gang tells nothing of its
// members.
func (r *Run) Done(now time.Time) {
	if !r.step.gang && !r.firstAt.IsZero() {
		r.last, r.lastAt = 100, now
	}
}

// rate computes the rate of the run and reports whether it is known.
func (r *Run) rate() bool {
	span, progress := r.lastAt.Sub(r.firstAt), r.last-r.first
	if span < minSpan || progress < minProgress {
		return false
	}
	r.logRate = math.Log(progress / span.Seconds())
	r.tolerance = 2 / progress
	return true
}

// Speed returns the speed of a worker; 1 is that of the median worker. Differences
// within usualBand count as none.
func (s *Speeds) Speed(at Place) float64 {
	v := s.logSpeed(at)
	if math.Abs(v) < usualBand {
		return 1
	}
	return math.Exp(v)
}

// DomainSpeed returns the speed of a failure domain.
func (s *Speeds) DomainSpeed(domain string) float64 { return s.Speed(Place{Domain: domain}) }

// logSpeed returns the logarithm of a worker's speed; 0 is that of the median one.
func (s *Speeds) logSpeed(at Place) float64 {
	v := 0.0
	if m := s.machines[at.Worker]; m != nil && m.place == at {
		v = m.own.log
	}
	if e := s.racks[at.Rack]; e != nil {
		v += e.log
	}
	if e := s.domains[at.Domain]; e != nil {
		v += e.log
	}
	return v
}
