package trace

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jasminelane.example/lane/shape"
)

// drainLengths is how long a replay may continue after the end of the trace, in
// lengths of the trace, before jobs that have not ended count as undone. Even
// the naive baseline finishes its backlog within twice the length.
const drainLengths = 2

// limit returns the latest simulated time of a replay.
func (t *Trace) limit() int64 { return t.Head.Length * (1 + drainLengths) }

// expandRequests returns the requests with each repeated one as Count single
// requests.
func (t *Trace) expandRequests() []Request {
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

// recorder records the measures of one of the two replays.
type recorder struct {
	trace           *Trace
	largest         shape.Shape
	fragmentation   *series                            // over time
	completionTimes map[string]*hdrhistogram.Histogram // by type, milliseconds
	jobEnds         map[string]string                  // job to how it ended
	refusalReasons  map[string]string                  // job to the reason of its refusal
	requestOutcomes map[string]string                  // request to its outcome
	starts          int
	partialGangs    int   // gangs that started or ran without all of their members
	gangStarts      int   // starts with more than one member
	lostGPUMs       int64 // lost work, accelerator milliseconds
	endedAt         int64 // simulated time of the end
}

func newRecorder(t *Trace) *recorder {
	return &recorder{
		trace: t, largest: t.largestGuarantee(), fragmentation: newSeries(t.Head.Length),
		completionTimes: map[string]*hdrhistogram.Histogram{}, jobEnds: map[string]string{},
		refusalReasons: map[string]string{}, requestOutcomes: map[string]string{},
	}
}

// jobSubmitted records a job, which has not ended.
func (s *recorder) jobSubmitted(j Job) { s.jobEnds[j.ID] = "" }

// jobStarted counts a start of the job.
func (s *recorder) jobStarted(j Job) {
	s.starts++
	if j.parsed.Members > 1 {
		s.gangStarts++
	}
}

// jobEnded records how the job ended, and its completion time if it is done.
func (s *recorder) jobEnded(j Job, end string, now int64) {
	s.jobEnds[j.ID] = end
	if end == "done" {
		s.addTime(j.Type, now-j.At)
	}
}

// requestEnded records the outcome of the request, and its completion time if
// it is done.
func (s *recorder) requestEnded(r Request, outcome string, now int64) {
	s.requestOutcomes[r.ID] = outcome
	if outcome == "done" {
		s.addTime(r.Type, now-r.At)
	}
}

// addTime adds a completion time of the type.
func (s *recorder) addTime(kind string, ms int64) {
	h := s.completionTimes[kind]
	if h == nil {
		h = hdrhistogram.New(1, 4*MaxTimeMs, 3)
		s.completionTimes[kind] = h
	}
	// RecordValue cannot fail, because the replay's limit is 3*MaxTimeMs.
	_ = h.RecordValue(max(1, ms))
}

// finish records the time of the end.
func (s *recorder) finish(now int64) {
	s.endedAt = now
	s.fragmentation.finish()
}

// series records a measure over time up to length, for its time-weighted mean
// and for a plot.
type series struct {
	length   int64
	lastTime int64 // time up to which integral and points are complete
	value    float64
	integral float64 // of the value over time
	points   []Point
	interval int64 // between the points
}

// Point is the value of a measure at a time in milliseconds since the start of
// the trace.
type Point struct {
	At    int64   `json:"at"`
	Value float64 `json:"value"`
}

// newSeries returns an empty series of about 400 points at most, the resolution
// of a plot.
func newSeries(length int64) *series { return &series{length: length, interval: max(1, length/400)} }

// set records that the measure has the value v from now on.
func (s *series) set(now int64, v float64) {
	s.advance(now)
	s.value = v
}

// advance adds the time up to now to the integral, and a point for each full
// interval.
func (s *series) advance(now int64) {
	now = min(now, s.length)
	for s.lastTime < now {
		next := min(now, (s.lastTime/s.interval+1)*s.interval)
		s.integral += s.value * float64(next-s.lastTime)
		s.lastTime = next
		if next%s.interval == 0 {
			s.points = append(s.points, Point{next, s.value})
		}
	}
}

// finish extends the last value to the end.
func (s *series) finish() { s.advance(s.length) }

// mean returns the time-weighted mean.
func (s *series) mean() float64 { return s.integral / float64(s.length) }
