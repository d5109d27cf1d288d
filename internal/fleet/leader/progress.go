package leader

import (
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

const (
	// stragglerInterval is the pause between two searches for slow workers.
	stragglerInterval = 300 * time.Millisecond

	// minSampleTime is the shortest time over which a rate is computed.
	// Progress is reported in whole percents, too coarse for shorter times.
	minSampleTime = 500 * time.Millisecond

	// maxRateAge is the age up to which a rate is compared with others.
	maxRateAge = 2500 * time.Millisecond

	// slowPenalty is how long a worker on which a run was slow is suspect. Suspect
	// workers are used last.
	slowPenalty = 5 * time.Second
)

// progressSample is the progress of a run at one time, and its rate since the
// sample before.
type progressSample struct {
	at      time.Time
	percent float64
	rate    float64   // percent per second
	ratedAt time.Time // when the rate was computed; zero if never
}

// add updates the sample with newly reported progress.
func (s *progressSample) add(percent float64, now time.Time) {
	span := now.Sub(s.at)
	if s.at.IsZero() {
		s.at, s.percent = now, percent
		return
	}
	if span < minSampleTime {
		return
	}
	s.rate, s.ratedAt = (percent-s.percent)/span.Seconds(), now
	s.at, s.percent = now, percent
}

// rateIsFresh reports whether the rate is known and recent enough to compare.
func (s *progressSample) rateIsFresh(now time.Time) bool { return now.Sub(s.ratedAt) < maxRateAge }

// stragglerLoop looks for slow workers until the epoch ends.
func (l *Leader) stragglerLoop() {
	for l.ctx.Err() == nil {
		delay.For(l.ctx, stragglerInterval)
		l.Feed.View(func(s *ledger.State) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.findStragglers(s, time.Now())
		})
	}
}

// findStragglers compares each run with the fastest run of its step and marks
// the workers of those that are much slower. The caller holds the feed's lock
// and l.mu.
func (l *Leader) findStragglers(s *ledger.State, now time.Time) {
	best := make(map[stepKey]float64)
	for _, w := range l.workers {
		for _, n := range w.runs {
			if n.progress.rateIsFresh(now) {
				key := stepKey{n.unit.Job, n.unit.Occurrence, n.unit.Step}
				best[key] = max(best[key], n.progress.rate)
			}
		}
	}
	for _, w := range l.workers {
		for _, n := range w.runs {
			js := s.Jobs[n.unit.Job]
			if js == nil || n.stopping || n.endProposed || !n.progress.rateIsFresh(now) {
				continue
			}
			if js.Job.Steps[n.unit.Step].LongRunning {
				continue
			}
			v := plan.Straggler{
				Percent: n.progress.percent, Rate: n.progress.rate,
				BestRate: best[stepKey{n.unit.Job, n.unit.Occurrence, n.unit.Step}],
			}
			if !v.Slow() || l.hasUsualRun(w, best, now) {
				continue
			}
			if now.Sub(w.slowAt) > slowPenalty {
				l.Logger.Info("worker slow; using it last", zap.String("worker", w.id), zap.Stringer("unit", n.unit), zap.Float64("rate", v.Rate), zap.Float64("best", v.BestRate))
			}
			w.slowAt = now
		}
	}
}
