package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a unit that does not start again while no line says which run it waits for.
func TestPendingRunIsLogged(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(s *startTest)
		want  string // what the run waits for; empty if it is not logged
	}{
		{"runs", func(*startTest) {}, ""},
		{"stop not answered", func(s *startTest) { s.run.settle(); s.stop() }, "stop not carried out"},
		{"no address", func(s *startTest) { s.worker.entry.Addr = ""; s.run.settle(); s.stop() }, "worker has no address"},
		{"end not stored", func(s *startTest) { s.run.endProposed = true }, "end not stored"},
		{"start not sent", func(s *startTest) { s.leader.unsentStarts[s.run] = 1 }, "start request not sent"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				core, lines := observer.New(zapcore.InfoLevel)
				s := newStartTest(t, WorkerClient{})
				defer s.cancel()
				s.leader.Logger = zap.New(core)
				s.leader.workers["w0"] = s.worker
				tt.setUp(s)
				go s.leader.pendingLoop()
				time.Sleep(minPendingTime + 2*pendingInterval + 2*pendingLogInterval)
				var waits []string
				for _, e := range lines.FilterMessage("run has not ended").All() {
					waits = append(waits, e.ContextMap()["waits"].(string))
				}
				if tt.want == "" {
					is.Equal(waits, nil)
					return
				}
				is.Equal(waits, []string{tt.want, tt.want, tt.want})
			})
		})
	}
}

// Guards against a flood of lines when many runs cannot be stopped.
func TestPendingLinesAreBounded(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	l := testLeader()
	l.Logger = zap.New(core)
	w := l.addContacted("w")
	for i := range 1000 {
		n := &run{key: runKey{TaskID{Job: "a", Index: i}, 1}, unit: ledger.UnitID{Job: "a", Index: i / 10}, member: i % 10, worker: w, stopping: true}
		w.runs[n.key] = n
	}
	p := &pendingRuns{make(map[*run]time.Time), make(map[*run]time.Time)}
	now := time.Now()
	for i := range 20 {
		l.logPending(p, now.Add(time.Duration(i)*pendingInterval))
	}
	searches := 1 + int((20*pendingInterval-minPendingTime-1)/pendingLogInterval)
	is.Equal(lines.Len(), searches*(maxPendingLines+1))
}

// Guards against a log that tells that a gang was stopped and not why.
func TestBreakOfGangIsLogged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	l := testLeader()
	l.Logger = zap.New(core)
	s := ledger.NewState()
	unit := ledger.UnitID{Job: "a"}
	s.Apply(ledger.Record{Submit: &ledger.Job{ID: "a", Steps: []ledger.Step{{Count: 3, Gang: true}}}})
	s.Apply(ledger.Record{Start: &ledger.Start{Epoch: l.Epoch, Unit: unit, Run: 1, Workers: []string{"w0", "w1", "w2"}}})
	for _, member := range []int{1, 0} {
		r := ledger.Record{End: &ledger.End{Epoch: l.Epoch, Unit: unit, Run: 1, Member: member, Outcome: ledger.Stopped}}
		l.RecordApplied(s, r, s.Apply(r))
	}
	broken := lines.FilterMessage("gang broken; stopping its other members").All()
	is.Equal(len(broken), 1)
	is.Equal(broken[0].ContextMap()["worker"], "w1")
	is.Equal(broken[0].ContextMap()["how"], "stopped")
}
