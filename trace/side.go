package trace

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jasminelane.example/lane/shape"
)

// drain is how long a replay may continue after the end of the trace, in lengths
// of the trace, before jobs that have not ended count as undone. Even the naive
// baseline finishes its backlog within twice the length.
const drain = 2

// limit returns the latest simulated time of a replay.
func (t *Trace) limit() int64 { return t.Head.Length * (1 + drain) }

// expand returns the requests with each repeated one as Count single requests.
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

// side records the measures of one of the two replays.
type side struct {
	trace    *Trace
	largest  shape.Shape
	frag     *series                            // fragmentation over time
	times    map[string]*hdrhistogram.Histogram // completion times by type, milliseconds
	ends     map[string]string                  // job to how it ended
	reasons  map[string]string                  // job to the reason of its refusal
	fates    map[string]string                  // request to its outcome
	starts   int
	partial  int   // gangs that started or ran without all of their members
	gangs    int   // starts with more than one member
	lost     int64 // lost work, accelerator milliseconds
	finished int64 // simulated time of the end
}

func newSide(t *Trace) *side {
	return &side{
		trace: t, largest: t.largest(), frag: newSeries(t.Head.Length),
		times: map[string]*hdrhistogram.Histogram{}, ends: map[string]string{},
		reasons: map[string]string{}, fates: map[string]string{},
	}
}

// submitted records a job, which has not ended.
func (s *side) submitted(j Job) { s.ends[j.ID] = "" }

// started counts a start of the job.
func (s *side) started(j Job) {
	s.starts++
	if j.parsed.Members > 1 {
		s.gangs++
	}
}

// ended records how the job ended, and its completion time if it is done.
func (s *side) ended(j Job, how string, now int64) {
	s.ends[j.ID] = how
	if how == "done" {
		s.record(j.Type, now-j.At)
	}
}

// answered records the outcome of the request, and its completion time if it is
// done.
func (s *side) answered(r Request, fate string, now int64) {
	s.fates[r.ID] = fate
	if fate == "done" {
		s.record(r.Type, now-r.At)
	}
}

// record adds a completion time of the type.
func (s *side) record(kind string, took int64) {
	h := s.times[kind]
	if h == nil {
		h = hdrhistogram.New(1, 4*MaxTimeMs, 3)
		s.times[kind] = h
	}
	// RecordValue cannot fail, because the replay's limit is 3*MaxTimeMs.
	_ = h.RecordValue(max(1, took))
}

// finish records the time of the end.
func (s *side) finish(now int64) {
	s.finished = now
	s.frag.finish()
}

// series records a measure over time up to length, for its time-weighted mean and
// for a plot.
type series struct {
	length int64
	last   int64 // time up to which area and points are complete
	value  float64
	area   float64 // integral of the value over time
	points []Point
	step   int64 // interval of the points
}

// Point is the value of a measure at a time in milliseconds since the start of
// the trace.
type Point struct {
	At    int64   `json:"at"`
	Value float64 `json:"value"`
}

// newSeries returns an empty series of about 400 points at most, the resolution
// of a plot.
func newSeries(length int64) *series { return &series{length: length, step: max(1, length/400)} }

// set records that the measure has the value v from now on.
func (s *series) set(now int64, v float64) {
	s.pass(now)
	s.value = v
}

// pass adds the time up to now to the integral, and a point for each full step.
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

// finish extends the last value to the end.
func (s *series) finish() { s.pass(s.length) }

// mean returns the time-weighted mean.
func (s *series) mean() float64 { return s.area / float64(s.length) }
