package metric

import (
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Set holds the metrics of one instance. The zero value is ready for use.
type Set struct {
	Refusals  expvar.Map // refusals by area and reason, for example "proposal.conflict" or "request.overload"
	Retries   expvar.Map // retries by area and reason
	Events    expvar.Map // other events by name
	Durations expvar.Map // durations by name and upper bound in ms, for example "submit.16"

	mu     sync.Mutex
	gauges []gauge
}

// gauge is a named value that is read at each request for the metrics.
type gauge struct {
	name string
	read func() any
}

// CountRefusal counts a refusal. The area is the component that refused, for
// example "request".
func (s *Set) CountRefusal(area, reason string) { s.Refusals.Add(area+"."+reason, 1) }

// CountRetry counts a retry in an area.
func (s *Set) CountRetry(area, reason string) { s.Retries.Add(area+"."+reason, 1) }

// Count counts an event.
func (s *Set) Count(name string) { s.Events.Add(name, 1) }

// Observe counts a duration in a histogram bucket, whose upper bound in ms is the
// next power of two.
func (s *Set) Observe(name string, d time.Duration) {
	upperBoundMs := int64(1)
	for upperBoundMs < d.Milliseconds() {
		upperBoundMs *= 2
	}
	s.Durations.Add(name+"."+strconv.FormatInt(upperBoundMs, 10), 1)
}

// AddGauge adds a gauge. Its value is read at each request for the metrics and
// must be encodable as JSON.
func (s *Set) AddGauge(name string, read func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gauges = append(s.gauges, gauge{name, read})
}

// ServeHTTP responds with all metrics as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	gauges := s.gauges
	s.mu.Unlock()
	out := map[string]any{
		"refused": json.RawMessage(s.Refusals.String()),
		"retried": json.RawMessage(s.Retries.String()),
		"events":  json.RawMessage(s.Events.String()),
		"took":    json.RawMessage(s.Durations.String()),
	}
	for _, g := range gauges {
		out[g.name] = g.read()
	}
	if v := expvar.Get("memstats"); v != nil {
		out["memstats"] = json.RawMessage(v.String())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}
