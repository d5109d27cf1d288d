package metric

import (
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Set is the metrics of one instance. The zero value is ready to use.
type Set struct {
	Refused expvar.Map // refusals by reason, as "proposal.conflict" or "request.overload"
	Retried expvar.Map // retries by reason
	Events  expvar.Map // other counted events by name
	Took    expvar.Map // durations by name and upper bound in ms, as "submit.16"

	mu     sync.Mutex
	gauges []gauge
}

type gauge struct {
	name string
	read func() any
}

// Refuse counts a refusal; area is the part that refused, for example
// "request".
func (s *Set) Refuse(area, reason string) { s.Refused.Add(area+"."+reason, 1) }

// Retry counts a retry.
func (s *Set) Retry(area, reason string) { s.Retried.Add(area+"."+reason, 1) }

// Count counts an event.
func (s *Set) Count(name string) { s.Events.Add(name, 1) }

// Observe counts a duration in a bucket whose upper bound is the next power of
// two, in ms.
func (s *Set) Observe(name string, d time.Duration) {
	bound := int64(1)
	for bound < d.Milliseconds() {
		bound *= 2
	}
	s.Took.Add(name+"."+strconv.FormatInt(bound, 10), 1)
}

// Gauge adds a value that is read at each request for the metrics; it must
// encode as JSON.
func (s *Set) Gauge(name string, read func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gauges = append(s.gauges, gauge{name, read})
}

// ServeHTTP answers with all metrics as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	gauges := s.gauges
	s.mu.Unlock()
	out := map[string]any{
		"refused": json.RawMessage(s.Refused.String()),
		"retried": json.RawMessage(s.Retried.String()),
		"events":  json.RawMessage(s.Events.String()),
		"took":    json.RawMessage(s.Took.String()),
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
