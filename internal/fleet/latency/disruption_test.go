package latency

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against an estimate that takes a pause of the process or an outage of the store for
// its latency, and against one that misses a slow store.
func TestDisruption(t *testing.T) {
	const ms = time.Millisecond
	answer := func(t *Tracker, sent time.Time, wait time.Duration) { t.Observe(Answer{sent, time.Now(), wait}) }
	tests := []struct {
		name string
		play func(t *Tracker)
		want time.Duration
		slow time.Duration
	}{
		{"pause", func(t *Tracker) {
			t.tick()
			sent := time.Now()
			time.Sleep(4 * time.Second)
			answer(t, sent, 0) // before the next tick
			t.tick()
			answer(t, sent, time.Second)
		}, 4 * ms, 0},
		{"pause, then a slow store", func(t *Tracker) {
			t.tick()
			time.Sleep(4 * time.Second)
			t.tick()
			for range 2 {
				sent := time.Now()
				time.Sleep(240 * ms)
				t.tick()
				answer(t, sent, 0)
			}
		}, 240 * ms, 240 * ms},
		{"busy process", func(t *Tracker) {
			t.tick()
			sent := time.Now()
			time.Sleep(minPause - ms)
			answer(t, sent, 0)
		}, minPause - ms, 0},
		{"end of an outage", func(t *Tracker) {
			began := time.Now()
			time.Sleep(5 * time.Second)
			answer(t, began, 0)
			answer(t, began.Add(2*time.Second), 0)
			answer(t, began.Add(5*time.Second-4*ms), 0)
		}, 4 * ms, 0},
		{"end of an outage, older calls last", func(t *Tracker) {
			began := time.Now()
			time.Sleep(5 * time.Second)
			answer(t, began.Add(2*time.Second), 0)
			answer(t, began.Add(5*time.Second-4*ms), 0)
			answer(t, began, 0)
		}, 4 * ms, 0},
		{"single late answer", func(t *Tracker) {
			answer(t, time.Now().Add(-3*time.Second), 0)
			time.Sleep(100 * ms)
			answer(t, time.Now().Add(-4*ms), 0)
		}, 4 * ms, 0},
		{"store that becomes slow", func(t *Tracker) {
			began := time.Now()
			for i := range 4 {
				time.Sleep(time.Until(began.Add(2*time.Second + time.Duration(i)*50*ms)))
				answer(t, time.Now().Add(-2*time.Second), 0)
			}
		}, 2 * time.Second, 2 * time.Second},
		{"single fast answer of a slow store", func(t *Tracker) {
			for range 2 {
				time.Sleep(2 * time.Second)
				answer(t, time.Now().Add(-2*time.Second), 0)
			}
			time.Sleep(time.Second)
			answer(t, time.Now().Add(-4*ms), 0)
		}, time.Second, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var tracker Tracker
				observe(&tracker, 4*ms, 0)
				tt.play(&tracker)
				is.Equal(tracker.Estimate(), tt.want)
				is.Equal(tracker.SlowLatency(), tt.slow)
			})
		})
	}
}

// Guards against pauses that are seen where the process runs all the time, or that are
// still seen when the watch has ended.
func TestWatchPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var tracker Tracker
		ctx, cancel := context.WithCancel(t.Context())
		go tracker.WatchPauses(ctx)
		sent := time.Now()
		time.Sleep(time.Second)
		synctest.Wait()
		tracker.Observe(Answer{Sent: sent, Received: time.Now()})
		is.Equal(tracker.Estimate(), time.Second)
		cancel()
		synctest.Wait()
		time.Sleep(time.Minute)
		tracker.Observe(Answer{Sent: time.Now().Add(-2 * time.Second), Received: time.Now()})
		is.Equal(tracker.Estimate(), 2*time.Second)
	})
}
