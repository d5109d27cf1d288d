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

func testLeader() *Leader {
	l := &Leader{Epoch: 1, Feed: &feed.Feed{}, Logger: zap.NewNop(), Bounds: Bounds{Lease: 6 * time.Second}}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no sessions
	l.Init(ctx, ledger.NewState(), nil)
	return l
}

// Guards against a run that is taken for lost by a report of its worker that
// is older than the run: a worker that restarted reports its new incarnation,
// and a run that this incarnation accepted meanwhile went on beside a second
// one (history 10734 of package instance).
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
			w.looked, w.born = true, 1
			n := &run{key: runKey{TaskID{Job: "a"}, 1}, unit: ledger.UnitID{Job: "a"}, accepted: tt.accepted}
			w.runs[n.key] = n
			l.takeIn(w, Report{Clock: 5, Born: born}, tt.sent, 0)
			is.Equal(n.ending, tt.lost) // tt.name
		}
	}
}

// Guards against an acknowledgement of ends that are not stored.
func TestAck(t *testing.T) {
	is := is.New(t)
	w := newWorker("w0", time.Now())
	keys := []runKey{{TaskID{Job: "a"}, 1}, {TaskID{Job: "b"}, 1}, {TaskID{Job: "c"}, 1}}
	for i, k := range keys {
		w.seenEnd = uint64(i + 1)
		w.ends = append(w.ends, end{w.seenEnd, k, false})
	}
	is.Equal(w.ack(), uint64(0))
	w.stored(keys[1])
	is.Equal(w.ack(), uint64(0)) // an earlier one is not stored
	w.stored(keys[0])
	is.Equal(w.ack(), uint64(2))
	w.prune(2)
	is.Equal(w.ack(), uint64(2))
	w.stored(keys[2])
	is.Equal(w.ack(), uint64(3))
}

// Guards against the acknowledgement of an end that nobody has seen: a worker
// that has restarted counts its ends anew, and a stale count would drop them.
// Found by history 478: a task ended on the new incarnation, the answer that
// told so was lost, and the task ran again.
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
			w.silent, w.lastOK, w.seenEnd = tt.silent, tt.last, 5
			is.Equal(w.safeAck(now), tt.want)
		})
	}
}

// Guards against new runs on a worker that does not answer: their orders are
// given up after 2 s, and started again only when the lease has ended.
func TestUsable(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		change func(w *worker)
		want   bool
	}{
		{"answers", func(*worker) {}, true},
		{"did not answer", func(w *worker) { w.silent = true }, false},
		{"not listed", func(w *worker) { w.listed = false }, false},
		{"not asked yet", func(w *worker) { w.looked = false }, false},
		{"draining", func(w *worker) { w.entry.Draining = true }, false},
		{"refused just now", func(w *worker) { w.refused = now }, false},
		{"another incarnation is listed", func(w *worker) { w.entry.Born = 2 }, false},
		{"runs what is not in the state", func(w *worker) { w.foreign[runKey{}] = now }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorker("w", now)
			w.listed, w.looked, w.lastOK, w.born, w.entry.Born = true, true, now, 1, 1
			tt.change(w)
			is.Equal(w.usable(now), tt.want)
		})
	}
}

// Guards against a slow worker that goes on getting new work: the members of a
// gang on other workers are much faster.
func TestSlowWorker(t *testing.T) {
	is := is.New(t)
	l := testLeader()
	s := ledger.NewState()
	j := ledger.Job{ID: "a", Steps: []ledger.Step{{Count: 3, Gang: true}}}
	s.Apply(0, ledger.Record{Submit: &j})
	now := time.Now()
	for i, percent := range []float64{30, 29, 3} {
		w := newWorker(string(rune('a'+i)), now)
		l.workers[w.id] = w
		n := &run{key: runKey{TaskID{Job: "a", Index: i}, 1}, unit: ledger.UnitID{Job: "a"}, member: i}
		n.progress.add(0, now.Add(-time.Second))
		n.progress.add(percent, now)
		w.runs[n.key] = n
	}
	l.compare(s, now)
	for id, want := range map[string]bool{"a": false, "b": false, "c": true} {
		is.Equal(l.workers[id].suspect(now), want) // id
	}
	is.True(!l.workers["c"].suspect(now.Add(2 * slowFor))) // it may have recovered
}
