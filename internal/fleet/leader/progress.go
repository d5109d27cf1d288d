package leader

import (
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

const (
	// progressPeriod separates the comparisons of runs with their siblings.
	progressPeriod = 300 * time.Millisecond

	// minSample is the shortest time over which a rate is taken; progress is
	// reported in whole percents.
	minSample = 500 * time.Millisecond

	// rateFresh is how old a rate may be to be compared.
	rateFresh = 2500 * time.Millisecond

	// slowFor is how long a worker on which runs were slow is used last.
	slowFor = 5 * time.Second
)

// sample is a run's progress at one time, and its rate since the one before.
type sample struct {
	at      time.Time
	percent float64
	rate    float64   // percent a second
	rated   time.Time // when the rate was taken; zero if never
}

// add takes over a report of the progress.
func (s *sample) add(percent float64, now time.Time) {
	span := now.Sub(s.at)
	if s.at.IsZero() {
		s.at, s.percent = now, percent
		return
	}
	if span < minSample {
		return
	}
	s.rate, s.rated = (percent-s.percent)/span.Seconds(), now
	s.at, s.percent = now, percent
}

// fresh reports whether the rate is known and new.
func (s *sample) fresh(now time.Time) bool { return now.Sub(s.rated) < rateFresh }

// progressLoop finds slow workers.
func (l *Leader) progressLoop() {
	for l.ctx.Err() == nil {
		delay.For(l.ctx, progressPeriod)
		l.Feed.View(func(s *ledger.State) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.compare(s, time.Now())
		})
	}
}

// compare looks at all runs beside their siblings; both locks are held.
func (l *Leader) compare(s *ledger.State, now time.Time) {
	best := make(map[stepKey]float64)
	for _, w := range l.workers {
		for _, n := range w.runs {
			if n.progress.fresh(now) {
				key := stepKey{n.unit.Job, n.unit.Occurrence, n.unit.Step}
				best[key] = max(best[key], n.progress.rate)
			}
		}
	}
	for _, w := range l.workers {
		for _, n := range w.runs {
			js := s.Jobs[n.unit.Job]
			if js == nil || n.stopping || n.ending || !n.progress.fresh(now) {
				continue
			}
			if js.Job.Steps[n.unit.Step].Lasting {
				continue
			}
			v := plan.Straggler{
				Percent: n.progress.percent, Rate: n.progress.rate,
				BestRate: best[stepKey{n.unit.Job, n.unit.Occurrence, n.unit.Step}],
			}
			if !v.Slow() {
				continue
			}
			if now.Sub(w.slow) > slowFor {
				l.Logger.Info("worker slow", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Float64("rate", v.Rate), zap.Float64("best", v.BestRate))
			}
			w.slow = now
		}
	}
}
