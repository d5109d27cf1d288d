package latency

import (
	"context"
	"time"
)

const (
	// tickPeriod is the time between two checks of whether the process runs.
	tickPeriod = 100 * time.Millisecond

	// minPause is the shortest time without a check that counts as a pause of the process.
	// A busy process is late by less.
	minPause = 3 * tickPeriod
)

// WatchPauses notices when the process was paused, by a signal or for lack of processor
// time, until the context ends. A pause is a disruption of the calls that were pending:
// their answers may have arrived at any time during it.
func (t *Tracker) WatchPauses(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	t.tick()
	for {
		select {
		case <-ticker.C:
			t.tick()
		case <-ctx.Done():
			t.mu.Lock()
			defer t.mu.Unlock()
			t.lastTick = time.Time{}
			return
		}
	}
}

// tick notes that the process runs now.
func (t *Tracker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.notePause(now)
	t.lastTick = now
}

// notePause notes a disruption if the process has been paused since the last tick. After
// a pause an answer may be handled before the next tick. The caller holds the lock.
func (t *Tracker) notePause(now time.Time) {
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) >= minPause {
		t.disrupted = now
	}
}
