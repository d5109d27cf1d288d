package leader

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// testLeader returns a leader without sessions.
func testLeader() *Leader {
	l := &Leader{Epoch: 1, Feed: &feed.Feed{}, Logger: zap.NewNop(), Bounds: Bounds{Lease: 6 * time.Second}}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // ends sessions at once
	l.Init(ctx, ledger.NewState(), nil)
	return l
}

// addContacted adds a worker whose incarnation 1 has answered a sync.
func (l *Leader) addContacted(id string) *worker {
	w := newWorker(id, time.Now())
	l.workers[id] = w
	l.applyReport(w, Report{Incarnation: 1}, l.exchange(w, time.Now()))
	return w
}

// exchange returns a sync of the worker that was sent at the time.
func (l *Leader) exchange(w *worker, sent time.Time) syncExchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return syncExchange{token: l.target(w).Token, sent: sent}
}

// TestReportOlderThanRun guards against a run that counts as lost because of a
// report that is older than the run. A restarted worker reports its new
// incarnation; a run that this incarnation accepts meanwhile is not in the
// report, counts as lost and continues beside a second run of the task
// (history 10734 of package instance).
func TestReportOlderThanRun(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name     string
		accepted time.Time
		sent     time.Time
		lost     bool
	}{
		{"accepted before the report was asked for", now.Add(-2 * time.Second), now.Add(-time.Second), true},
		{"accepted after the report was asked for", now.Add(-time.Second), now.Add(-2 * time.Second), false},
		{"not accepted", time.Time{}, now, false},
	}
	for _, tt := range tests {
		for _, born := range []int64{1, 2} {
			is := is.New(t)
			l := testLeader()
			w := newWorker("w0", now)
			w.contacted, w.incarnation = true, 1
			n := &run{key: runKey{TaskID{Job: "a"}, 1}, unit: ledger.UnitID{Job: "a"}, proof: proof{settledAt: tt.accepted}}
			w.runs[n.key] = n
			if l.applyReport(w, Report{ClockMs: 5, Incarnation: born}, l.exchange(w, tt.sent)) {
				l.applyReport(w, Report{ClockMs: 5, Incarnation: born}, l.exchange(w, tt.sent))
			}
			is.Equal(n.endProposed, tt.lost) // tt.name
		}
	}
}

// TestAck guards against the acknowledgement of ends that are not stored.
func TestAck(t *testing.T) {
	is := is.New(t)
	w := newWorker("w0", time.Now())
	keys := []runKey{{TaskID{Job: "a"}, 1}, {TaskID{Job: "b"}, 1}, {TaskID{Job: "c"}, 1}}
	for i, k := range keys {
		w.lastEndSeq = uint64(i + 1)
		w.ends = append(w.ends, reportedEnd{w.lastEndSeq, k, false})
	}
	is.Equal(w.storedSeq(), uint64(0))
	w.markStored(keys[1])
	is.Equal(w.storedSeq(), uint64(0)) // an earlier one is not stored
	w.markStored(keys[0])
	is.Equal(w.storedSeq(), uint64(2))
	w.dropAcknowledged(2)
	is.Equal(w.storedSeq(), uint64(2))
	w.markStored(keys[2])
	is.Equal(w.storedSeq(), uint64(3))
}

// TestSafeAck guards against the acknowledgement of an end that nobody has seen.
// A restarted worker numbers its ends from the start again, so an acknowledgement
// for its earlier incarnation drops them. In history 478 a task ended on the
// new incarnation, the answer that reported the end was lost, and the task ran
// again.
func TestSafeAck(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		silent bool
		last   time.Time
		want   uint64
	}{
		{"answered just now", false, now.Add(-10 * time.Millisecond), 5},
		{"did not answer", true, now.Add(-10 * time.Millisecond), 0},
		{"not asked for some time", false, now.Add(-3 * time.Second), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorker("w", now)
			w.unresponsive, w.lastAnswer, w.lastEndSeq = tt.silent, tt.last, 5
			is.Equal(w.safeAck(now), tt.want)
		})
	}
}

// TestUsable guards against new runs on a worker that does not answer. Their
// start requests are abandoned after 2 s, and the units start again only when
// the lease has ended.
func TestUsable(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		change func(w *worker)
		want   bool
	}{
		{"answers", func(*worker) {}, true},
		{"did not answer", func(w *worker) { w.unresponsive = true }, false},
		{"not listed", func(w *worker) { w.listed = false }, false},
		{"not asked yet", func(w *worker) { w.contacted = false }, false},
		{"draining", func(w *worker) { w.entry.Draining = true }, false},
		{"refused just now", func(w *worker) { w.unhealthyAt = now }, false},
		{"another incarnation is listed", func(w *worker) { w.entry.Incarnation = 2 }, false},
		{"carries out no stops", func(w *worker) { w.unstoppable = true }, false},
		{"runs what is not in the state", func(w *worker) { w.orphans[runKey{}] = &run{} }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorker("w", now)
			w.listed, w.contacted, w.lastAnswer, w.incarnation, w.entry.Incarnation = true, true, now, 1, 1
			tt.change(w)
			is.Equal(w.usable(now), tt.want)
		})
	}
}

// TestSlowWorker guards against new work on a slow worker, which is recognized
// by the members of the same gang on other workers that are much faster.
func TestSlowWorker(t *testing.T) {
	is := is.New(t)
	l := testLeader()
	s := ledger.NewState()
	j := ledger.Job{ID: "a", Steps: []ledger.Step{{Count: 3, Gang: true}}}
	s.Apply(ledger.Record{Submit: &j})
	now := time.Now()
	for i, percent := range []float64{30, 29, 3} {
		w := newWorker(string(rune('a'+i)), now)
		l.workers[w.id] = w
		n := &run{key: runKey{TaskID{Job: "a", Index: i}, 1}, unit: ledger.UnitID{Job: "a"}, member: i}
		n.progress.add(0, now.Add(-time.Second))
		n.progress.add(percent, now)
		w.runs[n.key] = n
	}
	l.findStragglers(s, now)
	for id, want := range map[string]bool{"a": false, "b": false, "c": true} {
		is.Equal(l.workers[id].suspect(now), want) // id
	}
	is.True(!l.workers["c"].suspect(now.Add(2 * slowPenalty))) // it may have recovered
}
