package trace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Result holds the measures of one run of a trace through both replays.
type Result struct {
	Trace   string             `json:"trace"`
	User    string             `json:"user"`
	Values  map[string]float64 `json:"values"` // what expectations refer to
	Product Measures           `json:"product"`
	Naive   Measures           `json:"naive"`
	Late    []string           `json:"late"`    // jobs whose guarantee wait exceeds the bound
	Refused map[string]int     `json:"refused"` // records by reason
	Shed    map[string]int     `json:"shed"`    // requests that were not done, by type and reason
	Took    int64              `json:"took"`    // real time of the run, milliseconds
}

// Measures are what one replay measured.
type Measures struct {
	Types         []Completion   `json:"types"`
	Fragmentation float64        `json:"fragmentation"` // time-weighted mean over the trace's length
	Series        []Point        `json:"series"`        // fragmentation over time
	Starts        int            `json:"starts"`
	Gangs         int            `json:"gangs"` // starts of jobs with several members
	Lost          float64        `json:"lost"`  // work done in vain, accelerator seconds
	End           int64          `json:"end"`   // simulated milliseconds until all had ended
	Jobs          map[string]int `json:"jobs"`  // by how they ended
	Fates         map[string]int `json:"fates"` // requests by fate
}

// Completion sums up the completion times of one type of job or request, in
// milliseconds.
type Completion struct {
	Type  string  `json:"type"`
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P95   int64   `json:"p95"`
	P99   int64   `json:"p99"`
}

// ExpectError lists every expectation of a trace that failed.
type ExpectError struct {
	Trace    string
	Failures []Failure
}

// Failure is one expectation that failed, with what was found.
type Failure struct {
	Expect Expect
	Got    string
}

// Error lists the failures, one to a line.
func (e *ExpectError) Error() string {
	lines := []string{fmt.Sprintf("trace %s: %d expectations failed", e.Trace, len(e.Failures))}
	for _, f := range e.Failures {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// String describes what was expected and what was found.
func (f Failure) String() string {
	x := f.Expect
	if x.Job != "" {
		return fmt.Sprintf("job %s: want %s %s, got %s", x.Job, x.End, x.Reason, f.Got)
	}
	want := ""
	if x.Least != nil {
		want += fmt.Sprintf(" at least %g", *x.Least)
	}
	if x.Most != nil {
		want += fmt.Sprintf(" at most %g", *x.Most)
	}
	return fmt.Sprintf("measure %s: want%s, got %s", x.Measure, want, f.Got)
}

// check returns the expectations that failed.
func (t *Trace) check(values map[string]float64, s *side) []Failure {
	var out []Failure
	for _, x := range t.Expects {
		if x.Job != "" {
			got, reason := s.ends[x.Job], s.reasons[x.Job]
			if got != x.End || x.Reason != "" && reason != x.Reason {
				out = append(out, Failure{x, strings.TrimSpace(cmp.Or(got, "not ended") + " " + reason)})
			}
			continue
		}
		v, ok := values[x.Measure]
		switch {
		case !ok:
			out = append(out, Failure{x, "no such measure"})
		case x.Least != nil && v < *x.Least, x.Most != nil && v > *x.Most:
			out = append(out, Failure{x, fmt.Sprintf("%.4g", v)})
		}
	}
	return out
}

func (s *side) measures() Measures {
	m := Measures{
		Fragmentation: s.frag.mean(), Series: s.frag.points, Starts: s.starts, Gangs: s.gangs,
		Lost: float64(s.lost) / 1000, End: s.finished, Jobs: map[string]int{}, Fates: map[string]int{},
	}
	for _, how := range s.ends {
		m.Jobs[cmp.Or(how, "open")]++
	}
	for _, fate := range s.fates {
		m.Fates[fate]++
	}
	for _, kind := range slices.Sorted(maps.Keys(s.times)) {
		h := s.times[kind]
		m.Types = append(m.Types, Completion{
			kind, h.TotalCount(), h.Mean(), h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99),
		})
	}
	return m
}

// Type returns the completion times of one type of job or request.
func (m Measures) Type(name string) Completion {
	for _, c := range m.Types {
		if c.Type == name {
			return c
		}
	}
	return Completion{Type: name}
}

// values computes the measures that expectations refer to:
//
//	undone       jobs that should be done, and are not
//	partial      gangs that started or ran without all of their members
//	doubles      requests that may run once only and ran more often
//	unanswered   requests without an answer
//	urgentlost   urgent requests that were not done
//	waits        longest guarantee wait, milliseconds
//	late         jobs that waited longer for their guarantee than the bound
//	urgentratio  p99 of urgent requests against the baseline
//	fragratio    time-weighted fragmentation against the baseline
//	longratio    mean completion time of long jobs against the baseline
//	lostratio    lost work against the baseline
//	records      records in the log for each job
func (r *replay) values(p, n Measures) map[string]float64 {
	t := r.trace
	v := map[string]float64{
		"partial":     float64(r.side.partial),
		"waits":       float64(r.waits.longest),
		"late":        float64(len(r.waits.late)),
		"urgentratio": ratio(float64(p.Type(t.Head.Urgent).P99), float64(n.Type(t.Head.Urgent).P99)),
		"fragratio":   ratio(p.Fragmentation, n.Fragmentation),
		"longratio":   ratio(p.Type(t.Head.Long).Mean, n.Type(t.Head.Long).Mean),
		"lostratio":   ratio(p.Lost, n.Lost),
		"records":     ratio(float64(r.log.records), float64(len(t.Jobs))),
		"undone":      0, "doubles": 0, "unanswered": 0, "urgentlost": 0,
	}
	other := map[string]bool{}
	for _, x := range t.Expects {
		other[x.Job] = x.Job != "" && x.End != "done"
	}
	for _, j := range t.Jobs {
		if !other[j.ID] && j.Outcome == "done" && r.side.ends[j.ID] != "done" {
			v["undone"]++
		}
	}
	for _, c := range r.service.calls {
		if c.Once && c.runs > 1 {
			v["doubles"]++
		}
	}
	for _, q := range t.expand() {
		switch fate := r.side.fates[q.ID]; {
		case fate == "":
			v["unanswered"]++
		case q.Class == "urgent" && fate != "done":
			v["urgentlost"]++
		}
	}
	return v
}

// ratio returns a over b; 1 when both are 0, and a large finite number when
// only b is, which JSON can hold.
func ratio(a, b float64) float64 {
	switch {
	case b != 0:
		return a / b
	case a == 0:
		return 1
	default:
		return 1e9
	}
}
