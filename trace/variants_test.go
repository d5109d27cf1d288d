package trace

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/schedule"
	"jasminelane.example/lane/state"
)

var (
	variants = flag.Int("variants", 0, "how many variants of each trace TestVariants and TestWeights run")
	after    = flag.Duration("after", 0, "how long a job waits for a reservation in TestVariants; 0 is the default")
)

// geoMeans computes geometric means, in which ratios of 1/2 and 2 cancel out.
type geoMeans struct{ sums []float64 }

func (m *geoMeans) add(values ...float64) {
	m.sums = append(m.sums, make([]float64, max(0, len(values)-len(m.sums)))...)
	for i, v := range values {
		m.sums[i] += math.Log(max(v, 1e-6))
	}
}

func (m *geoMeans) text(n int) string {
	out := ""
	for _, s := range m.sums {
		out += fmt.Sprintf(" %.3f", math.Exp(s/float64(n)))
	}
	return out
}

// Prints the measures of the scheduler over traces with different seeds. One
// trace is only one sample, because a change of one decision changes all later
// ones.
func TestVariants(t *testing.T) {
	if *variants == 0 {
		t.Skip("run with -variants N")
	}
	is := is.New(t)
	o := Options{NewDecide: func(s *state.State, p placement.Policy) Decide {
		c := &schedule.Scheduler{Index: placement.NewIndex(s), Policy: p, ReserveAfterMs: int64(*after / time.Millisecond)}
		return c.Decide
	}}
	var all geoMeans
	late, undone := 0.0, 0.0
	for _, name := range Names() {
		list, err := Variants(name, *variants)
		is.NoErr(err)
		var one geoMeans
		for _, tr := range list {
			res := mustReplay(t, tr, o)
			v := res.Values
			p, n := res.Product.Type(tr.Head.Long), res.Naive.Type(tr.Head.Long)
			row := []float64{v["fragratio"], v["longratio"], float64(p.P99) / float64(n.P99), v["urgentratio"]}
			one.add(row...)
			all.add(row...)
			late += v["late"]
			undone += v["undone"]
		}
		fmt.Printf("%-16s%s\n", name, one.text(len(list)))
	}
	fmt.Printf("%-16s%s late %.0f undone %.0f\n", "all", all.text(len(Names())**variants), late, undone)
}

// Guards against a small job with a reservation that the scheduler tries to
// place only there, while other reservations keep it out of its account's
// guaranteed blocks. Two jobs of this variant waited 31 s and 51 s.
func TestReservedJobGuarantee(t *testing.T) {
	is := is.New(t)
	list, err := Variants("sandalwood-day", 3)
	is.NoErr(err)
	is.Equal(mustReplay(t, list[2], Options{}).Late, nil)
}

// Prints the trade-off between completion time and fragmentation on the day
// traces of both users.
func TestWeights(t *testing.T) {
	if *variants == 0 {
		t.Skip("run with -variants N")
	}
	is := is.New(t)
	for _, name := range []string{"chirakkal-day", "sandalwood-day"} {
		list, err := Variants(name, *variants)
		is.NoErr(err)
		committed, err := ReadFile(tracePath(name))
		is.NoErr(err)
		for _, w := range []float64{0, 0.15, 0.3, 0.5, 0.7, 0.85, 1} {
			var m geoMeans
			for _, tr := range append(list, committed) {
				p := Head{Weight: w}.Policy()
				res := mustReplay(t, tr, Options{Policy: &p})
				u := users[tr.Head.User]
				m.add(res.Product.Fragmentation, res.Values["fragratio"], res.Product.Type(u.smallType).Mean/1000,
					res.Product.Type(tr.Head.Long).Mean/1000, res.Product.Lost, float64(res.Product.Starts))
			}
			fmt.Printf("%-16s weight %.2f%s\n", name, w, m.text(len(list)+1))
		}
	}
}

var users = map[string]*user{"chirakkal": &chirakkal, "sandalwood": &sandalwood}

func mustReplay(t *testing.T, tr *Trace, o Options) Result {
	t.Helper()
	res, err := Replay(tr, o)
	var xe *ExpectError
	if err != nil && !errors.As(err, &xe) {
		t.Fatal(err)
	}
	return res
}
