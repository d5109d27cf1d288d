package trace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"jasminelane.example/lane/shape"
)

// Times in milliseconds. Jobs run for tens of minutes to hours, as they do
// today; a day is compressed by leaving out jobs and requests, not by running
// them faster, because leases, graces and thresholds do not scale with them.
const (
	minute = 60_000
	hour   = 60 * minute

	dayLength   = 24 * hour
	faultLength = 8 * hour
)

// scenario is one generated trace: the user whose fleet and workload it has,
// and what it adds to that user's ordinary load.
type scenario struct {
	name   string
	user   *user
	length int64
	seed   uint64
	add    func(*builder)
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

// Names returns the names of the generated traces.
func Names() []string {
	var out []string
	for _, s := range scenarios {
		out = append(out, s.name)
	}
	return out
}

// NameError reports a trace that the generator does not know.
type NameError struct {
	Name string
}

// Error describes the name and those that exist.
func (e *NameError) Error() string {
	return fmt.Sprintf("no trace %q; want one of %v", e.Name, Names())
}

// Generate returns the named trace, the same on every call; it fails with
// *NameError.
func Generate(name string) (*Trace, error) {
	for _, s := range scenarios {
		if s.name == name {
			return s.generate(), nil
		}
	}
	return nil, &NameError{name}
}

// Variants returns n traces of the named scenario with other seeds, which show
// whether a difference is more than chance; it fails with *NameError.
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
	return nil, &NameError{name}
}

func (s scenario) generate() *Trace {
	b := &builder{rand: rand.New(rand.NewPCG(s.seed, 0)), user: s.user, length: s.length, count: map[string]int{}}
	b.trace = &Trace{
		Head: Head{
			Kind: "trace", Name: s.name, User: s.user.name, Seed: s.seed, Length: s.length,
			Instances: s.user.instances, Urgent: s.user.urgent, Long: s.user.long, Weight: s.user.weight,
		},
		Accounts: s.user.accounts,
		Services: []Service{{Kind: "service", Name: s.user.service, Servers: 50, Slots: 8, Connections: 60}},
	}
	b.fleet()
	b.ordinary()
	b.aims()
	if s.add != nil {
		s.add(b)
	}
	t := b.trace
	slices.SortStableFunc(t.Jobs, func(x, y Job) int { return cmp.Compare(x.At, y.At) })
	slices.SortStableFunc(t.Requests, func(x, y Request) int { return cmp.Compare(x.At, y.At) })
	slices.SortStableFunc(t.Cancels, func(x, y Cancel) int { return cmp.Compare(x.At, y.At) })
	slices.SortStableFunc(t.Faults, func(x, y Fault) int { return cmp.Compare(x.At, y.At) })
	return t
}

// builder collects the lines of one trace.
type builder struct {
	rand   *rand.Rand
	user   *user
	length int64
	trace  *Trace
	count  map[string]int
}

// fleet adds today's racks of section 1.5 of the design page: 48 workers of 8
// accelerators in 6 racks over 3 failure domains.
func (b *builder) fleet() {
	for _, d := range b.user.domains {
		for i := 1; i <= 2; i++ {
			b.trace.Racks = append(b.trace.Racks, Rack{
				Kind: "rack", Name: fmt.Sprintf("%s-r%d", d, i), Domain: d,
				Workers: 8, GPUs: 8, Cores: 130, Memory: 250,
			})
		}
	}
}

// aims adds the bounds that hold on every trace: section 1.5 of the design
// page, and the invariants of section 1.2.
func (b *builder) aims() {
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

// ends adds how one job must end.
func (b *builder) ends(job, end, reason string) {
	b.trace.Expects = append(b.trace.Expects, Expect{Kind: "expect", Job: job, End: end, Reason: reason})
}

// ordinary adds the user's small jobs, long jobs and requests over the whole
// length.
func (b *builder) ordinary() {
	u := b.user
	hours := float64(b.length) / hour
	for range int(hours * u.smallRate) {
		b.small(b.time())
	}
	for range int(hours * u.longRate) {
		// Long jobs arrive in the first three quarters, so that the end of the
		// trace is not all waiting.
		b.large(b.time() * 3 / 4)
	}
	for range int(hours * u.urgentRate) {
		b.urgent(b.time())
	}
	for range int(hours * u.middleRate) {
		b.middle(b.time())
	}
	for at := int64(2 * hour); at < b.length; at += 9 * hour {
		b.rush(at)
	}
}

// rush adds the load that fills the service: a wave of requests that may run
// once only, while customers keep calling. 480 requests of about 12 s in 10 s
// are more than the 400 slots can hold.
func (b *builder) rush(at int64) {
	u := b.user
	for i := range 8 {
		b.request(Request{
			At: at + int64(i)*20, Type: u.once, Class: "bulk", Account: u.onceAccount, Once: true,
			Run: 9000 + b.rand.Int64N(6000), Deadline: 90_000, Count: 60, Gap: 165,
		})
	}
	for range 80 {
		b.urgent(at + 1000 + b.rand.Int64N(22_000))
	}
}

func (b *builder) time() int64 { return b.rand.Int64N(b.length) }

func (b *builder) id(family string) string {
	b.count[family]++
	return fmt.Sprintf("%s-%d", family, b.count[family])
}

func (b *builder) job(j Job) string {
	j.Kind = "job"
	j.ID = b.id(j.Type)
	if j.Outcome == "" {
		j.Outcome = "done"
	}
	j.parsed, _ = shape.Parse(j.Shape) // shapes are those of the users and scenarios
	b.trace.Jobs = append(b.trace.Jobs, j)
	return j.ID
}

func (b *builder) request(r Request) {
	r.Kind = "request"
	r.ID = b.id(r.Type)
	r.Service = b.user.service
	b.trace.Requests = append(b.trace.Requests, r)
}

// between returns a time in the range, in whole seconds.
func (b *builder) between(low, high int64) int64 {
	return (low + b.rand.Int64N(high-low)) / 1000 * 1000
}

// declared returns a declared run time that is off by up to half.
func (b *builder) declared(run int64) int64 {
	return int64(float64(run)*(0.7+0.8*b.rand.Float64())) / 1000 * 1000
}

// pick returns a choice by weight.
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

type choice[T any] struct {
	weight int
	value  T
}

// small adds one of the user's small jobs; most run for less than an hour, a
// few for hours, which is what scatters them.
func (b *builder) small(at int64) string {
	run := 8*minute + int64(b.rand.ExpFloat64()*40*minute)
	return b.smallRun(at, min(run, 4*hour)/1000*1000)
}

func (b *builder) smallRun(at, run int64) string {
	u := b.user
	return b.job(Job{
		At: at, Type: u.small, Account: pick(b, u.smallAccounts), Shape: pick(b, u.smallShapes),
		Run: run, Declared: b.declared(run), Urgent: b.rand.IntN(10) == 0, Checkpoint: b.rand.IntN(2) == 0,
	})
}

// large adds one of the user's long gang jobs.
func (b *builder) large(at int64) string {
	u := b.user
	run := b.between(72*minute, 192*minute)
	return b.job(Job{
		At: at, Type: u.long, Account: pick(b, u.longAccounts), Shape: pick(b, u.longShapes),
		Run: run, Declared: b.declared(run), Checkpoint: b.rand.IntN(5) > 0,
	})
}

// urgent adds one request that a customer waits for.
func (b *builder) urgent(at int64) {
	b.request(Request{
		At: at, Type: b.user.urgent, Class: "urgent", Account: b.user.urgentAccount,
		Run: 40 + int64(b.rand.ExpFloat64()*40), Deadline: 30_000,
	})
}

// middle adds one request between urgent and bulk.
func (b *builder) middle(at int64) {
	b.request(Request{
		At: at, Type: b.user.middle, Class: "normal", Account: b.user.urgentAccount,
		Run: 500 + b.rand.Int64N(2500), Deadline: 60_000,
	})
}
