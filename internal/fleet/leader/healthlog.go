package leader

import (
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/plan"
	"jasminelane.example/lane/internal/fleet/workerhealth"
)

// healthLogInterval and maxHealthLines bound the log lines about slow and unreliable
// workers and failure domains, of each kind.
const (
	healthLogInterval = 5 * time.Second
	maxHealthLines    = 8
)

// healthMarks are the workers and failure domains that are slow, with their speeds, and
// those that are unreliable, with their failure risks.
type healthMarks struct {
	slow, slowDomains             map[string]float64
	unreliable, unreliableDomains map[string]float64
	domains                       map[string]string // by worker, of those that are marked
}

// newHealthMarks returns no marks.
func newHealthMarks() healthMarks {
	return healthMarks{make(map[string]float64), make(map[string]float64), make(map[string]float64), make(map[string]float64), make(map[string]string)}
}

// mark marks a worker and its failure domain.
func (h *health) mark(p workerhealth.Place) {
	if v := h.speed[p.Worker]; v > 0 && v < 1 {
		h.marks.slow[p.Worker], h.marks.domains[p.Worker] = v, p.Domain
	}
	if v := h.risk[p.Worker]; v > plan.RiskLimit {
		h.marks.unreliable[p.Worker], h.marks.domains[p.Worker] = v, p.Domain
	}
	if v := h.speeds.DomainSpeed(p.Domain); v < 1 {
		h.marks.slowDomains[p.Domain] = v
	}
	if v := h.failures.DomainRisk(p.Domain); v > plan.RiskLimit {
		h.marks.unreliableDomains[p.Domain] = v
	}
}

// logHealth logs the marks that have changed. What is told of a failure domain is not
// told again for each of its workers. The caller holds l.mu.
func (l *Leader) logHealth(before, after healthMarks) {
	l.logMarks("domain", "slow", before.slowDomains, after.slowDomains, nil)
	l.logMarks("domain", "unreliable", before.unreliableDomains, after.unreliableDomains, nil)
	inMarked := func(a, b map[string]float64) func(id string) bool {
		return func(id string) bool {
			was, is := before.domains[id], after.domains[id]
			return a[was] > 0 || a[is] > 0 || b[was] > 0 || b[is] > 0
		}
	}
	l.logMarks("worker", "slow", before.slow, after.slow, inMarked(before.slowDomains, after.slowDomains))
	l.logMarks("worker", "unreliable", before.unreliable, after.unreliable, inMarked(before.unreliableDomains, after.unreliableDomains))
}

// logMarks counts and logs the marks of one kind that have changed. known, if not nil,
// reports whether nothing need be logged of the name. The caller holds l.mu.
func (l *Leader) logMarks(what, mark string, before, after map[string]float64, known func(name string) bool) {
	names := maps.Clone(after)
	maps.Copy(names, before)
	lines := 0
	for _, name := range slices.Sorted(maps.Keys(names)) {
		value, marked := after[name]
		if _, was := before[name]; was == marked {
			continue
		}
		change := what + " " + mark
		if !marked {
			change, value = what+" not "+mark+" any more", before[name]
		}
		if l.Metrics != nil {
			l.Metrics.Count("health." + change)
		}
		if lines < maxHealthLines && (known == nil || !known(name)) {
			lines++
			l.Logger.Info(change, zap.String(what, name), zap.Float64("value", math.Round(100*value)/100))
		}
	}
}

// HealthStatus is what the leader knows of workers over all jobs.
type HealthStatus struct {
	Slow              int                // workers
	SlowDomains       map[string]float64 // speeds of the slow failure domains
	Unreliable        int                // workers
	UnreliableDomains map[string]float64 // failure risks of the unreliable failure domains
}

// Health returns what the leader knows of workers over all jobs.
func (l *Leader) Health() HealthStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.health == nil {
		return HealthStatus{}
	}
	m := l.health.marks // its maps do not change any more
	return HealthStatus{len(m.slow), m.slowDomains, len(m.unreliable), m.unreliableDomains}
}
