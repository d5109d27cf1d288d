package trace

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jasminelane.example/lane/shape"
)

// drain is how long a replay may go on after the end of the trace before what
// has not ended counts as undone: twice the length, in which even the naive
// baseline works off its backlog.
const drain = 2

func (t *Trace) limit() int64 { return t.Head.Length * (1 + drain) }

// expand returns the requests one by one.
func (t *Trace) expand() []Request {
	var out []Request
	for _, r := range t.Requests {
		if r.Count < 2 {
			out = append(out, r)
			continue
		}
		for i := range r.Count {
			one := r
			one.ID = fmt.Sprintf("%s-%d", r.ID, i)
			one.At = r.At + int64(i)*r.Gap
			one.Count, one.Gap = 0, 0
			out = append(out, one)
		}
	}
	return out
}

// side is what is measured of one of the two replays.
type side struct {
	trace    *Trace
	largest  shape.Shape
	frag     *series
	times    map[string]*hdrhistogram.Histogram // completion times by type, milliseconds
	ends     map[string]string                  // job to how it ended
	reasons  map[string]string                  // job to the reason of its refusal
	fates    map[string]string                  // request to its fate
	starts   int
	partial  int   // gangs that started or ran without all of their members
	gangs    int   // starts with more than one member
	lost     int64 // work that was done in vain, accelerator milliseconds
	finished int64
}

func newSide(t *Trace) *side {
	return &side{
		trace: t, largest: t.largest(), frag: newSeries(t.Head.Length),
		times: map[string]*hdrhistogram.Histogram{}, ends: map[string]string{},
		reasons: map[string]string{}, fates: map[string]string{},
	}
}

func (s *side) submitted(j Job) { s.ends[j.ID] = "" }

func (s *side) started(j Job) {
	s.starts++
	if j.parsed.Members > 1 {
		s.gangs++
	}
}

func (s *side) ended(j Job, how string, now int64) {
	s.ends[j.ID] = how
	if how == "done" {
		s.record(j.Type, now-j.At)
	}
}

func (s *side) answered(r Request, fate string, now int64) {
	s.fates[r.ID] = fate
	if fate == "done" {
		s.record(r.Type, now-r.At)
	}
}

func (s *side) record(kind string, took int64) {
	h := s.times[kind]
	if h == nil {
		h = hdrhistogram.New(1, 4*MaxTime, 3)
		s.times[kind] = h
	}
	// Times are at most the replay's limit, three times MaxTime.
	_ = h.RecordValue(max(1, took))
}

func (s *side) finish(now int64) {
	s.finished = now
	s.frag.finish()
}

// series is a measure over time, weighted by time up to the length.
type series struct {
	length int64
	last   int64
	value  float64
	area   float64
	points []Point
	step   int64
}

// Point is a measure at a time in milliseconds since the start of the trace.
type Point struct {
	At    int64   `json:"at"`
	Value float64 `json:"value"`
}

// newSeries keeps at most about 400 points, which is what a plot can show.
func newSeries(length int64) *series { return &series{length: length, step: max(1, length/400)} }

// set notes that the measure has the value from now on.
func (s *series) set(now int64, v float64) {
	s.pass(now)
	s.value = v
}

// pass accounts for the time up to now and adds a point for each full step.
func (s *series) pass(now int64) {
	now = min(now, s.length)
	for s.last < now {
		next := min(now, (s.last/s.step+1)*s.step)
		s.area += s.value * float64(next-s.last)
		s.last = next
		if next%s.step == 0 {
			s.points = append(s.points, Point{next, s.value})
		}
	}
}

func (s *series) finish() { s.pass(s.length) }

// mean returns the time-weighted mean.
func (s *series) mean() float64 { return s.area / float64(s.length) }
