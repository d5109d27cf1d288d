package trace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Result holds the measures of one trace, replayed through the product and
// through the baseline.
type Result struct {
	Trace   string             `json:"trace"`
	User    string             `json:"user"`
	Values  map[string]float64 `json:"values"` // measures that expectations refer to, by name
	Product Measures           `json:"product"`
	Naive   Measures           `json:"naive"`
	Late    []string           `json:"late"`    // jobs whose wait for guaranteed accelerators exceeds the bound
	Refused map[string]int     `json:"refused"` // number of refused records by reason
	Shed    map[string]int     `json:"shed"`    // number of requests that were not done, by type and reason
	Took    int64              `json:"took"`    // real time of the run, milliseconds
}

// Measures holds the measures of one replay.
type Measures struct {
	Types         []Completion   `json:"types"`
	Fragmentation float64        `json:"fragmentation"` // time-weighted mean over the trace's length
	Series        []Point        `json:"series"`        // fragmentation over time
	Starts        int            `json:"starts"`
	Gangs         int            `json:"gangs"` // starts of jobs with several members
	Lost          float64        `json:"lost"`  // lost work, accelerator seconds
	End           int64          `json:"end"`   // simulated milliseconds until all jobs and requests had ended
	Jobs          map[string]int `json:"jobs"`  // number of jobs by how they ended
	Fates         map[string]int `json:"fates"` // number of requests by outcome
}

// Completion summarizes the completion times of one type of job or request, in
// milliseconds.
type Completion struct {
	Type  string  `json:"type"`
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P95   int64   `json:"p95"`
	P99   int64   `json:"p99"`
}

// ExpectError reports all failed expectations of a trace.
type ExpectError struct {
	Trace    string
	Failures []Failure
}

// Failure is one failed expectation with the actual value.
type Failure struct {
	Expect Expect
	Got    string
}

// Error lists the failures, one a line.
func (e *ExpectError) Error() string {
	lines := []string{fmt.Sprintf("trace %s: %d expectations failed", e.Trace, len(e.Failures))}
	for _, f := range e.Failures {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// String returns the expected and the actual value.
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

// failedExpectations returns the failed expectations.
func (t *Trace) failedExpectations(values map[string]float64, s *recorder) []Failure {
	var out []Failure
	for _, x := range t.Expects {
		if x.Job != "" {
			got, reason := s.jobEnds[x.Job], s.refusalReasons[x.Job]
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

// measures summarizes the recorded measures.
func (s *recorder) measures() Measures {
	m := Measures{
		Fragmentation: s.fragmentation.mean(), Series: s.fragmentation.points, Starts: s.starts, Gangs: s.gangStarts,
		Lost: float64(s.lostGPUMs) / 1000, End: s.endedAt, Jobs: map[string]int{}, Fates: map[string]int{},
	}
	for _, end := range s.jobEnds {
		m.Jobs[cmp.Or(end, "open")]++
	}
	for _, outcome := range s.requestOutcomes {
		m.Fates[outcome]++
	}
	for _, kind := range slices.Sorted(maps.Keys(s.completionTimes)) {
		h := s.completionTimes[kind]
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
//	undone       jobs that should have been done but were not
//	partial      gangs that started or ran without all of their members
//	doubles      non-repeatable requests that ran more than once
//	unanswered   requests without an answer
//	urgentlost   urgent requests that were not done
//	waits        longest wait for guaranteed accelerators, milliseconds
//	late         jobs that waited for guaranteed accelerators longer than the bound
//	urgentratio  p99 completion time of urgent requests, product / baseline
//	fragratio    time-weighted mean fragmentation, product / baseline
//	longratio    mean completion time of long jobs, product / baseline
//	lostratio    lost work, product / baseline
//	records      records appended to the log per job
func (r *replay) values(p, n Measures) map[string]float64 {
	t := r.trace
	v := map[string]float64{
		"partial":     float64(r.recorder.partialGangs),
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
		if !other[j.ID] && j.Outcome == "done" && r.recorder.jobEnds[j.ID] != "done" {
			v["undone"]++
		}
	}
	for _, c := range r.requests.calls {
		if c.Once && c.runs > 1 {
			v["doubles"]++
		}
	}
	for _, q := range t.expandRequests() {
		switch outcome := r.recorder.requestOutcomes[q.ID]; {
		case outcome == "":
			v["unanswered"]++
		case q.Class == "urgent" && outcome != "done":
			v["urgentlost"]++
		}
	}
	return v
}

// ratio returns a / b, 1 if both are 0, and 1e9 if only b is 0, because JSON
// cannot represent infinity.
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
