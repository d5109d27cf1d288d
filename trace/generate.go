package trace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"jasminelane.example/lane/shape"
)

// Durations in milliseconds. Jobs run for tens of minutes to hours, as they do
// today. A generated day is smaller than a real one because it has fewer
// jobs and requests. Their run times are not shortened, because leases, grace
// periods and thresholds would not scale with them.
const (
	minute = 60_000
	hour   = 60 * minute

	dayLength   = 24 * hour
	faultLength = 8 * hour
)

// scenario describes one generated trace: the user whose fleet and workload it
// has, and a function that adds lines to that user's ordinary load.
type scenario struct {
	name     string
	user     *user
	length   int64
	seed     uint64
	addLines func(*builder)
}

var scenarios = []scenario{
	{"chirakkal-day", &chirakkal, dayLength, 11, nil},
	{"sandalwood-day", &sandalwood, dayLength, 12, nil},
	{"small-burst", &chirakkal, faultLength, 21, smallBurst},
	{"large-burst", &sandalwood, faultLength, 22, largeBurst},
	{"wrong-sizes", &chirakkal, faultLength, 23, wrongSizes},
	{"cancel-wave", &sandalwood, faultLength, 24, cancelWave},
	{"failing-workers", &chirakkal, faultLength, 25, failingWorkers},
	{"rack-loss", &sandalwood, faultLength, 26, rackLoss},
	{"domain-loss", &chirakkal, faultLength, 27, domainLoss},
	{"log-outage", &sandalwood, faultLength, 28, logOutage},
	{"restart", &chirakkal, faultLength, 29, restart},
}

// Names returns the names of the traces that Generate knows.
func Names() []string {
	var out []string
	for _, s := range scenarios {
		out = append(out, s.name)
	}
	return out
}

// UnknownNameError reports an unknown name of a generated trace.
type UnknownNameError struct {
	Name string
}

// Error returns the unknown name and the known ones.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("no trace %q; want one of %v", e.Name, Names())
}

// Generate returns the named trace. The result is the same on every call. It
// fails with *UnknownNameError.
func Generate(name string) (*Trace, error) {
	for _, s := range scenarios {
		if s.name == name {
			return s.generate(), nil
		}
	}
	return nil, &UnknownNameError{name}
}

// Variants returns n traces of the named scenario with different seeds. They
// show whether a difference of the measures is more than chance. It fails with
// *UnknownNameError.
func Variants(name string, n int) ([]*Trace, error) {
	for _, s := range scenarios {
		if s.name != name {
			continue
		}
		var out []*Trace
		for i := range n {
			s.seed += 1000
			t := s.generate()
			t.Head.Name = fmt.Sprintf("%s-%d", name, i+1)
			out = append(out, t)
		}
		return out, nil
	}
	return nil, &UnknownNameError{name}
}

// generate builds the trace with the scenario's seed.
func (s scenario) generate() *Trace {
	b := &builder{rand: rand.New(rand.NewPCG(s.seed, 0)), user: s.user, length: s.length, idCounts: map[string]int{}}
	b.trace = &Trace{
		Head: Head{
			Kind: "trace", Name: s.name, User: s.user.name, Seed: s.seed, Length: s.length,
			Instances: s.user.instances, Urgent: s.user.urgentType, Long: s.user.longType, Weight: s.user.weight,
		},
		Accounts: s.user.accounts,
		Services: []Service{{Kind: "service", Name: s.user.service, Servers: 50, Slots: 8, Connections: 60}},
	}
	b.addRacks()
	b.addOrdinaryLoad()
	b.addTargets()
	if s.addLines != nil {
		s.addLines(b)
	}
	t := b.trace
	slices.SortStableFunc(t.Jobs, func(x, y Job) int { return cmp.Compare(x.At, y.At) })
	slices.SortStableFunc(t.Requests, func(x, y Request) int { return cmp.Compare(x.At, y.At) })
	slices.SortStableFunc(t.Cancels, func(x, y Cancel) int { return cmp.Compare(x.At, y.At) })
	slices.SortStableFunc(t.Faults, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return t
}

// builder generates the lines of one trace.
type builder struct {
	rand     *rand.Rand
	user     *user
	length   int64
	trace    *Trace
	idCounts map[string]int
}

// addRacks adds the present fleet of section 1.5 of the design page: 48 workers
// with 8 accelerators each, in 6 racks over 3 failure domains.
func (b *builder) addRacks() {
	for _, d := range b.user.domains {
		for i := 1; i <= 2; i++ {
			b.trace.Racks = append(b.trace.Racks, Rack{
				Kind: "rack", Name: fmt.Sprintf("%s-r%d", d, i), Domain: d,
				Workers: 8, GPUs: 8, Cores: 130, Memory: 250,
			})
		}
	}
}

// addTargets adds the expectations that every trace has: the targets of section
// 1.5 of the design page and the invariants of section 1.2.
func (b *builder) addTargets() {
	most := func(measure string, v float64) {
		b.trace.Expects = append(b.trace.Expects, Expect{Kind: "expect", Measure: measure, Most: &v})
	}
	most("undone", 0)
	most("partial", 0)
	most("doubles", 0)
	most("unanswered", 0)
	most("urgentlost", 0)
	most("waits", 1500)
	most("urgentratio", 0.5)
	most("fragratio", 0.5)
	most("longratio", 1)
}

// expectEnd adds the expectation of how one job ends.
func (b *builder) expectEnd(job, end, reason string) {
	b.trace.Expects = append(b.trace.Expects, Expect{Kind: "expect", Job: job, End: end, Reason: reason})
}

// addOrdinaryLoad adds the user's small jobs, long jobs and requests, spread
// over the length of the trace.
func (b *builder) addOrdinaryLoad() {
	u := b.user
	hours := float64(b.length) / hour
	for range int(hours * u.smallRate) {
		b.addSmallJob(b.randomTime())
	}
	for range int(hours * u.longRate) {
		// Long jobs arrive in the first three quarters, so that not all of
		// them still wait at the end of the trace.
		b.addLargeJob(b.randomTime() * 3 / 4)
	}
	for range int(hours * u.urgentRate) {
		b.addUrgentRequest(b.randomTime())
	}
	for range int(hours * u.normalRate) {
		b.addNormalRequest(b.randomTime())
	}
	for at := int64(2 * hour); at < b.length; at += 9 * hour {
		b.addOverload(at)
	}
}

// addOverload overloads the service with a burst of non-repeatable bulk
// requests while urgent requests continue. 480 requests of about 12 s each that
// arrive within 10 s exceed the 400 slots.
func (b *builder) addOverload(at int64) {
	u := b.user
	for i := range 8 {
		b.addRequest(Request{
			At: at + int64(i)*20, Type: u.onceType, Class: "bulk", Account: u.onceAccount, Once: true,
			Run: 9000 + b.rand.Int64N(6000), Deadline: 90_000, Count: 60, Gap: 165,
		})
	}
	for range 80 {
		b.addUrgentRequest(at + 1000 + b.rand.Int64N(22_000))
	}
}

// randomTime returns a random time of the trace.
func (b *builder) randomTime() int64 { return b.rand.Int64N(b.length) }

// nextID returns the next id of the family, for example proof-7.
func (b *builder) nextID(family string) string {
	b.idCounts[family]++
	return fmt.Sprintf("%s-%d", family, b.idCounts[family])
}

// addJob adds a job and returns its id.
func (b *builder) addJob(j Job) string {
	j.Kind = "job"
	j.ID = b.nextID(j.Type)
	if j.Outcome == "" {
		j.Outcome = "done"
	}
	j.parsed, _ = shape.Parse(j.Shape) // the shapes in scenario.go are valid
	b.trace.Jobs = append(b.trace.Jobs, j)
	return j.ID
}

// addRequest adds a request to the user's service.
func (b *builder) addRequest(r Request) {
	r.Kind = "request"
	r.ID = b.nextID(r.Type)
	r.Service = b.user.service
	b.trace.Requests = append(b.trace.Requests, r)
}

// between returns a random duration of at least low and less than high, rounded
// down to whole seconds.
func (b *builder) between(low, high int64) int64 {
	return (low + b.rand.Int64N(high-low)) / 1000 * 1000
}

// declaredRun returns a declared run time of 0.7 to 1.5 times the true run time.
func (b *builder) declaredRun(run int64) int64 {
	return int64(float64(run)*(0.7+0.8*b.rand.Float64())) / 1000 * 1000
}

// pick returns a random value with a probability in proportion to its weight.
func pick[T any](b *builder, list []choice[T]) T {
	total := 0
	for _, c := range list {
		total += c.weight
	}
	n := b.rand.IntN(total)
	for _, c := range list {
		if n < c.weight {
			return c.value
		}
		n -= c.weight
	}
	return list[0].value
}

// choice is a value with its weight for pick.
type choice[T any] struct {
	weight int
	value  T
}

// addSmallJob adds one of the user's small jobs. Most run for less than an hour
// and a few for hours, so that those that remain are scattered over the fleet.
func (b *builder) addSmallJob(at int64) string {
	run := 8*minute + int64(b.rand.ExpFloat64()*40*minute)
	return b.addSmallJobRun(at, min(run, 4*hour)/1000*1000)
}

// addSmallJobRun adds one of the user's small jobs with the given run time.
func (b *builder) addSmallJobRun(at, run int64) string {
	u := b.user
	return b.addJob(Job{
		At: at, Type: u.smallType, Account: pick(b, u.smallAccounts), Shape: pick(b, u.smallShapes),
		Run: run, Declared: b.declaredRun(run), Urgent: b.rand.IntN(10) == 0, Checkpoint: b.rand.IntN(2) == 0,
	})
}

// addLargeJob adds one of the user's long-running gang jobs.
func (b *builder) addLargeJob(at int64) string {
	u := b.user
	run := b.between(72*minute, 192*minute)
	return b.addJob(Job{
		At: at, Type: u.longType, Account: pick(b, u.longAccounts), Shape: pick(b, u.longShapes),
		Run: run, Declared: b.declaredRun(run), Checkpoint: b.rand.IntN(5) > 0,
	})
}

// addUrgentRequest adds one request of class urgent, for which a customer waits.
func (b *builder) addUrgentRequest(at int64) {
	b.addRequest(Request{
		At: at, Type: b.user.urgentType, Class: "urgent", Account: b.user.urgentAccount,
		Run: 40 + int64(b.rand.ExpFloat64()*40), Deadline: 30_000,
	})
}

// addNormalRequest adds one request of class normal.
func (b *builder) addNormalRequest(at int64) {
	b.addRequest(Request{
		At: at, Type: b.user.normalType, Class: "normal", Account: b.user.urgentAccount,
		Run: 500 + b.rand.Int64N(2500), Deadline: 60_000,
	})
}
