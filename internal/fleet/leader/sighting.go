package leader

import (
	"time"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// maxSightings bounds the incarnations of workers in Sightings.
const maxSightings = 20_000

// Incarnation is one incarnation of a worker.
type Incarnation struct {
	Worker string
	Start  int64 // Unix ms at which it started, by its own clock
}

// Sightings tells when this instance first applied a record that starts a run on an
// incarnation of a worker. The incarnation has been listed by the platform since
// then at the latest, whichever instance led, and whatever the instances' clocks say.
type Sightings map[Incarnation]time.Time

// Add notes the workers of a start record.
func (s Sightings) Add(r *ledger.Start, now time.Time) {
	for i, id := range r.Workers {
		if i >= len(r.Incarnations) || r.Incarnations[i] == 0 {
			continue
		}
		key := Incarnation{id, r.Incarnations[i]}
		if _, ok := s[key]; ok {
			continue
		}
		if len(s) >= maxSightings {
			clear(s) // those noted again count as newer than they are, which only delays
		}
		s[key] = now
	}
}

// noteSighting notes an incarnation that had runs before this leader began.
func (w *worker) noteSighting(incarnation int64, seen time.Time) {
	if seen.After(w.sightedAt) {
		w.sightedAt, w.sighted = seen, incarnation
	}
}

// listedSince returns since when the worker's present incarnation has been known, as
// far as this instance knows. The caller holds the lock of the leader.
func (w *worker) listedSince() time.Time {
	restarted := w.incarnation != 0 && w.incarnation != w.sighted || w.listed && w.entry.Incarnation != w.sighted
	if w.sightedAt.IsZero() || restarted || w.knownSince.Before(w.sightedAt) {
		return w.knownSince
	}
	return w.sightedAt
}
