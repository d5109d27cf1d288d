package leader

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
	"jasminelane.example/lane/metric"
)

// Guards against a unit that waits for long and of which the log does not say why, and against a line in each round.
func TestLogOfWaits(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	l := &Leader{Logger: zap.New(core), Metrics: &metric.Set{}, waits: make(map[ledger.UnitID]*unitWait)}
	for now := int64(0); now < 9000; now += 100 {
		cause := plan.WaitRack
		if now >= 3000 {
			cause = plan.WaitNoRoom
		}
		l.noteWait(ledger.UnitID{Job: "a"}, now, cause)
		if now < 900 {
			l.noteWait(ledger.UnitID{Job: "short"}, now, waitPause)
		}
		l.endWaits(now)
	}
	var got []string
	for _, e := range lines.All() {
		got = append(got, fmt.Sprint(e.ContextMap()["unit"], " ", e.ContextMap()["cause"], " ", e.ContextMap()["waited"]))
	}
	is.Equal(got, []string{"a.0.0.0 rack busy 1000", "a.0.0.0 no room 3000", "a.0.0.0 no room 8000"})
	is.Equal(l.Metrics.Events.Get("waits.no room").String(), "2")
	is.Equal(len(l.waits), 1)
}

// Guards against a log that is flooded while many units wait.
func TestLogOfManyWaits(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	l := &Leader{Logger: zap.New(core), waits: make(map[ledger.UnitID]*unitWait)}
	for now := int64(0); now < 3000; now += 20 {
		for i := range 1000 {
			l.noteWait(ledger.UnitID{Job: "a", Index: i}, now, waitPaced)
		}
		l.endWaits(now)
	}
	is.Equal(lines.Len(), 4*maxWaitLines)
}

// Guards against lines about other units than those that wait the longest.
func TestLongestWaitsAreLogged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	l := &Leader{Logger: zap.New(core), waits: make(map[ledger.UnitID]*unitWait)}
	for i := range 100 {
		l.noteWait(ledger.UnitID{Job: "a", Index: i}, int64(1000-i), waitPaced)
	}
	l.endWaits(3000)
	var got []string
	for _, e := range lines.All() {
		got = append(got, fmt.Sprint(e.ContextMap()["unit"]))
	}
	is.Equal(got, []string{"a.0.0.99", "a.0.0.98", "a.0.0.97", "a.0.0.96", "a.0.0.95", "a.0.0.94", "a.0.0.93", "a.0.0.92"})
}

// waitingJob returns a job with two steps, the second of which follows the first and lasts.
func waitingJob(acceptedAt int64) *ledger.JobState {
	s := ledger.NewState()
	s.Apply(ledger.Record{Submit: &ledger.Job{ID: "a", AcceptedAt: acceptedAt, Steps: []ledger.Step{{Count: 2}, {Count: 1, After: []int{0}, LongRunning: true}}}})
	return s.Jobs["a"]
}

// rewritten returns the job as a state has it after it was rewritten.
func rewritten(js *ledger.JobState) *ledger.JobState {
	s := ledger.NewState()
	s.Apply(ledger.Record{Rewrite: js})
	return s.Jobs[js.Job.ID]
}

// Guards against a wait that begins anew with each leader or after a pause, and against one that clocks which differ make longer.
func TestReadySince(t *testing.T) {
	const now = 100_000
	tests := []struct {
		name   string
		step   int // of the unit
		change func(js *ledger.JobState)
		want   int64
	}{
		{"accepted", 0, func(*ledger.JobState) {}, now - 1500},
		{"accepted long ago", 0, func(js *ledger.JobState) { js.Job.AcceptedAt = 0 }, now - plan.MaxChoiceWaitMs},
		{"accepted by a clock that is ahead", 0, func(js *ledger.JobState) { js.Job.AcceptedAt = now + 5000 }, now},
		{"due", 0, func(js *ledger.JobState) { js.Job.OccurrenceCount, js.Job.FirstDue = 1, now-100 }, now - 100},
		{"after its last run, with the pause", 0, func(js *ledger.JobState) { js.Units[0].RunEndedAt, js.Units[0].Failures = now-700, 5 }, now - 700},
		{"after the steps before", 1, func(js *ledger.JobState) { js.Units[0].RunEndedAt, js.Units[1].RunEndedAt = now-300, now-200 }, now - 200},
		{"lasts, after the pause", 1, func(js *ledger.JobState) { js.Units[2].RunEndedAt, js.Units[2].Failures = now-700, 5 }, now - 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			js := waitingJob(now - 1500)
			tt.change(js)
			js = rewritten(js)
			u := &js.Units[2*tt.step]
			is.Equal(readySince(js, u, js.DependenciesEndedAt(u), now), tt.want)
		})
	}
}

// Guards against waits that depend on other instances' clocks for longer than a leader's first round.
func TestCouldRunSince(t *testing.T) {
	const now = 100_000
	tests := []struct {
		name  string
		step  int   // of the unit
		round int64 // in which it is first seen
		want  int64
	}{
		{"waited before this leader", 0, 0, now - 1500},
		{"seen first by this leader, a second ago", 0, 7, now - 1000},
		{"lasts, after a pause", 1, 7, now},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			js := waitingJob(now - 1500)
			u := &js.Units[2*tt.step]
			l := &Leader{round: tt.round, waits: map[ledger.UnitID]*unitWait{u.ID: {began: now - 1000}}}
			is.Equal(l.couldRunSince(js, u, js.DependenciesEndedAt(u), now), tt.want)
		})
	}
}

// Guards against a pause before the next run that is longer than callers expect, also if the clock of the earlier leader was ahead.
func TestPause(t *testing.T) {
	tests := []struct {
		name     string
		step     int // of the unit
		failures int
		endedAt  int64 // against the time at which the leader sees the unit
		want     int64 // ms for which the leader sees it pause
	}{
		{"no failure, clock ahead", 0, 0, 60_000, 0},
		{"three failures", 0, 3, 0, 300},
		{"many failures", 0, 100, 0, plan.MaxChoiceWaitMs},
		{"many failures, seen late", 0, 100, -1500, plan.MaxChoiceWaitMs - 1500},
		{"many failures, clock ahead", 0, 100, 60_000, plan.MaxChoiceWaitMs},
		{"lasting, many failures", 1, 100, 0, 5000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := &Leader{waits: make(map[ledger.UnitID]*unitWait)}
			js := waitingJob(0)
			u := &js.Units[2*tt.step]
			const seenAt = 100_000
			u.Failures, u.RunEndedAt = tt.failures, seenAt+tt.endedAt
			now := int64(seenAt)
			for l.pausing(js, u, now) {
				now += 50
			}
			is.Equal(now-seenAt, tt.want)
		})
	}
}

// Guards against a job of which nothing runs and whose other tasks wait by choice, because a run that was stopped is not known to have ended.
func TestIdleJob(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *returnTest)
		want   bool
	}{
		{"running", func(*returnTest) {}, false},
		{"being stopped", func(s *returnTest) { s.leader.stopUnit(returnUnit, "gang broken") }, true},
		{"end not stored", func(s *returnTest) { s.run(s.worker, 1).endProposed = true }, true},
		{"lost", func(s *returnTest) { s.lose() }, true},
		{"start not stored", func(s *returnTest) {
			s.lose()
			s.leader.proposedStarts[returnUnit] = ledger.Start{Workers: []string{"v"}}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newReturnTest(t, ledger.Step{Count: 1})
			tt.change(s)
			is.Equal(s.leader.idle(s.state.Jobs["a"]), tt.want)
		})
	}
}
