package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against acknowledging unseen ends because an old report arrives after the first one of the next incarnation.
func TestReportOfEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := testLeader()
	w := newWorker("w", now)
	old := Report{Incarnation: 1}
	for i := range 5 {
		old.Ended = append(old.Ended, EndedTask{Seq: uint64(i + 1), Task: TaskID{Job: "a", Index: i}, Run: 1, Outcome: ledger.Done})
	}
	late := l.exchange(w, now.Add(-2*time.Second))
	l.applyReport(w, Report{Incarnation: 1}, l.exchange(w, now.Add(-3*time.Second)))
	is.True(l.applyReport(w, Report{Incarnation: 2}, l.exchange(w, now.Add(-time.Second))))
	l.applyReport(w, old, late)
	is.True(!l.applyReport(w, Report{Incarnation: 2}, l.exchange(w, now.Add(-time.Second))))
	l.applyReport(w, old, late)
	is.Equal(w.incarnation, int64(2))
	is.Equal(w.safeAck(time.Now()), uint64(0))
}

// Guards against taking a run for lost whose end does not fit into the report.
func TestReportOfManyEnds(t *testing.T) {
	for _, tt := range []struct {
		ends int
		lost bool
	}{{MaxReportedEnds - 1, true}, {MaxReportedEnds, false}} {
		is := is.New(t)
		now := time.Now()
		l := testLeader()
		w := newWorker("w", now)
		n := &run{key: runKey{TaskID{Job: "b"}, 1}, unit: ledger.UnitID{Job: "b"}, worker: w, proof: proof{settledAt: now.Add(-time.Second)}}
		w.runs[n.key] = n
		report := Report{Incarnation: 1}
		for i := range tt.ends {
			report.Ended = append(report.Ended, EndedTask{Seq: uint64(i + 1), Task: TaskID{Job: "a", Index: i}, Run: 1, Outcome: ledger.Done})
		}
		l.applyReport(w, report, l.exchange(w, now))
		is.Equal(n.endProposed, tt.lost) // tt.ends
	}
}
