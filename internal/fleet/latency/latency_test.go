package latency

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// observe adds an answer that arrives now.
func observe(t *Tracker, took, wait time.Duration) {
	now := time.Now()
	t.Observe(Answer{Sent: now.Add(-took), Received: now, Wait: wait})
}

// Guards against an estimate that takes the wait of a long poll for the latency,
// that falls with a single fast answer, or that old announcements keep high, and
// against a single late answer that makes the store count as slow.
func TestTracker(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		play func(t *Tracker)
		want time.Duration
		slow time.Duration
	}{
		{"no answer", func(*Tracker) {}, 0, 0},
		{"first answer", func(t *Tracker) { observe(t, 4*ms, 0) }, 4 * ms, 0},
		{"slow at once", func(t *Tracker) { observe(t, 4*ms, 0); observe(t, 400*ms, 0) }, 400 * ms, 0},
		{"one fast answer", func(t *Tracker) { observe(t, 400*ms, 0); observe(t, 4*ms, 0) }, 200 * ms, 0},
		{"long poll without records", func(t *Tracker) { observe(t, 4*ms, 0); observe(t, 505*ms, 500*ms) }, 5 * ms, 0},
		{"long poll with records", func(t *Tracker) { observe(t, 400*ms, 0); observe(t, 300*ms, 500*ms) }, 300 * ms, 0},
		{"long poll of a slow store", func(t *Tracker) { observe(t, 4*ms, 0); observe(t, 900*ms, 500*ms) }, 400 * ms, 0},
		{"two slow answers", func(t *Tracker) { observe(t, 400*ms, 0); observe(t, 300*ms, 0) }, 300 * ms, 300 * ms},
		{"fast answer after slow ones", func(t *Tracker) { observe(t, 400*ms, 0); observe(t, 400*ms, 0); observe(t, 4*ms, 0) }, 200 * ms, 200 * ms},
		{"fast answers after slow ones", func(t *Tracker) {
			for _, took := range []time.Duration{400, 400, 4, 4, 4} {
				observe(t, took*ms, 0)
			}
		}, 50 * ms, 0},
		{"slow answers not in a row", func(t *Tracker) { observe(t, 400*ms, 0); observe(t, 4*ms, 0); observe(t, 400*ms, 0) }, 400 * ms, 0},
		{"announced before any answer", func(t *Tracker) { t.Learn(400 * ms) }, 400 * ms, 400 * ms},
		{"announced, own answer fast", func(t *Tracker) { observe(t, 4*ms, 0); t.Learn(400 * ms) }, 4 * ms, 0},
		{"announced, own answer old", func(t *Tracker) { observe(t, 4*ms, 0); time.Sleep(3 * time.Second); t.Learn(400 * ms) }, 400 * ms, 400 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var tracker Tracker
				tt.play(&tracker)
				is.Equal(tracker.Estimate(), tt.want)
				is.Equal(tracker.SlowLatency(), tt.slow)
			})
		})
	}
}
