package leader

import (
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
)

const (
	// reachabilityInterval is the pause between two checks of the workers.
	reachabilityInterval = 500 * time.Millisecond

	// unreachableGrace is how long most workers may fail to answer before
	// another instance should lead. It is shorter than what is left of their
	// leases then.
	unreachableGrace = 2 * time.Second

	// yieldPause is how long an instance that could not reach most workers
	// leaves the leadership to others.
	yieldPause = 10 * time.Second
)

// reachabilityLoop hands over the leadership when this instance reaches the log
// but not most workers, since another instance may reach both.
func (l *Leader) reachabilityLoop() {
	var since time.Time
	for l.ctx.Err() == nil {
		delay.For(l.ctx, reachabilityInterval)
		unresponsive, asked := l.countUnresponsive()
		if unresponsive < 2 || 2*unresponsive <= asked || l.Feed.LogDown() {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if time.Since(since) > unreachableGrace {
			l.Logger.Warn("most workers unreachable; handing over leadership", zap.Uint64("epoch", l.Epoch), zap.Int("silent", unresponsive), zap.Int("asked", asked))
			l.Feed.Yield(l.Epoch, yieldPause)
			return
		}
	}
}

// countUnresponsive returns how many of the asked workers did not answer the
// last sync. It counts the listed workers with runs, or all listed workers if
// fewer than two have runs.
func (l *Leader) countUnresponsive() (unresponsive, asked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var busy, busyUnresponsive int
	for _, w := range l.workers {
		if !w.listed || w.entry.Addr == "" {
			continue
		}
		asked++
		if w.unresponsive {
			unresponsive++
		}
		if len(w.runs) == 0 {
			continue
		}
		busy++
		if w.unresponsive {
			busyUnresponsive++
		}
	}
	if busy >= 2 {
		return busyUnresponsive, busy
	}
	return unresponsive, asked
}
