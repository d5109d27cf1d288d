package leader

import (
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
)

const (
	reachPeriod = 500 * time.Millisecond

	// reachGrace is how long most workers may be silent before another
	// instance should lead: less than what is left of a lease then.
	reachGrace = 2 * time.Second

	// yieldPause is how long an instance that reached few workers leaves the
	// leadership to others.
	yieldPause = 10 * time.Second
)

// reachLoop hands the leadership over when this instance cannot reach most
// workers while it reaches the log: another one may reach both.
func (l *Leader) reachLoop() {
	var since time.Time
	for l.ctx.Err() == nil {
		delay.For(l.ctx, reachPeriod)
		silent, asked := l.silent()
		if silent < 2 || 2*silent <= asked || l.Feed.LogDown() {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if time.Since(since) > reachGrace {
			l.Logger.Warn("most workers out of reach, leadership handed over", zap.Uint64("epoch", l.Epoch), zap.Int("silent", silent), zap.Int("asked", asked))
			l.Feed.Yield(l.Epoch, yieldPause)
			return
		}
	}
}

// silent counts the workers with runs, or all listed ones if few have runs, and
// those of them that did not answer the last sync.
func (l *Leader) silent() (silent, asked int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var busy, busySilent int
	for _, w := range l.workers {
		if !w.listed {
			continue
		}
		asked++
		if w.silent {
			silent++
		}
		if len(w.runs) == 0 {
			continue
		}
		busy++
		if w.silent {
			busySilent++
		}
	}
	if busy >= 2 {
		return busySilent, busy
	}
	return silent, asked
}
