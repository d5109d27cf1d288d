package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

// healthTest is a leader with ten workers, of which w0 runs at half the usual speed.
type healthTest struct {
	leader *Leader
	now    time.Time
	lines  *observer.ObservedLogs
	seq    uint64
}

func newHealthTest(on bool) *healthTest {
	h := &healthTest{leader: testLeader(), now: time.Now()}
	core, lines := observer.New(zap.InfoLevel)
	h.lines = lines
	h.leader.Logger = zap.New(core)
	h.leader.health = newHealth(on)
	for i := range 10 {
		w := h.leader.addContacted(fmt.Sprintf("w%d", i))
		w.listed = true
	}
	return h
}

// play lets tasks of a step run on all workers, one on each, and reports their progress
// and, if they end, their ends.
func (h *healthTest) play(job string, step ledger.Step, ends ledger.RunOutcome) {
	for i := range 10 {
		w, rate := h.leader.workers[fmt.Sprintf("w%d", i)], 20.0
		if i == 0 {
			rate = 10
		}
		key := runKey{TaskID{Job: job, Index: i}, 1}
		n := &run{key: key, unit: ledger.UnitID{Job: job, Index: i}, step: &step, startedAt: h.now}
		h.leader.addRun(w, n)
		for s := range 3 {
			h.leader.observeProgress(w, n, rate*float64(s), h.now.Add(time.Duration(s)*time.Second))
		}
		if ends != "" {
			h.seq++
			h.leader.recordEnd(w, EndedTask{Seq: h.seq, Task: key.task, Run: 1, Outcome: ends}, h.now.Add(time.Duration(100/rate*float64(time.Second))))
		}
		h.leader.removeRun(n)
	}
	h.now = h.now.Add(12 * time.Second)
	if h.leader.health != nil {
		h.leader.updateHealth(h.now)
	}
}

// Guards against speeds that are not learned from reports, that are learned where the
// settings do not ask for it, or from tasks whose progress tells nothing of the worker.
func TestLearnSpeedFromReports(t *testing.T) {
	tests := []struct {
		name string
		on   bool
		step ledger.Step
		slow bool
	}{
		{"tasks", true, ledger.Step{Count: 10}, true},
		{"off", false, ledger.Step{Count: 10}, false},
		{"lasting tasks", true, ledger.Step{Count: 10, LongRunning: true}, false},
		{"tasks on idle processor time", true, ledger.Step{Count: 10, IdleCPUOnly: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHealthTest(tt.on)
			for i := range 6 {
				h.play(fmt.Sprint("j", i), tt.step, ledger.Done)
			}
			is.Equal(h.leader.speed(h.leader.workers["w0"]) > 0, tt.slow)
			is.Equal(h.leader.speed(h.leader.workers["w1"]), 0.0) // usual
			is.Equal(h.lines.FilterMessage("worker slow").Len() == 1, tt.slow)
		})
	}
}

// Guards against a speed that is forgotten because the worker restarts: it belongs to
// the machine. A new leader knows nothing, and begins with usual speeds.
func TestSpeedAfterRestart(t *testing.T) {
	is := is.New(t)
	h := newHealthTest(true)
	for i := range 6 {
		h.play(fmt.Sprint("j", i), ledger.Step{Count: 10}, ledger.Done)
	}
	w := h.leader.workers["w0"]
	h.leader.applyReport(w, Report{Incarnation: 2}, h.leader.exchange(w, time.Now()))
	h.leader.updateHealth(h.now)
	is.True(h.leader.speed(w) > 0)
	is.True(h.leader.speed(w) < 0.7)
	is.Equal(h.leader.Health().Slow, 1)
	next := newHealthTest(true)
	next.leader.updateHealth(h.now)
	is.Equal(next.leader.speed(next.leader.workers["w0"]), 0.0)
}

// Guards against log lines that grow with the number of workers that change.
func TestHealthLinesAreBounded(t *testing.T) {
	is := is.New(t)
	h := newHealthTest(true)
	before, after := newHealthMarks(), newHealthMarks()
	for i := range 500 {
		after.slow[fmt.Sprint("w", i)] = 0.5
	}
	h.leader.logHealth(before, after)
	is.Equal(h.lines.Len(), maxHealthLines)
	h.leader.logHealth(after, before)
	is.Equal(h.lines.FilterMessage("worker not slow any more").Len(), maxHealthLines)
	for id := range after.slow {
		after.domains[id] = "d"
	}
	after.slowDomains["d"] = 0.5
	h.leader.logHealth(before, after)
	is.Equal(h.lines.FilterMessage("worker slow").Len(), maxHealthLines) // none for the workers of the domain
	is.Equal(h.lines.FilterMessage("domain slow").Len(), 1)
}

// Guards against slack that follows from estimates that are far off, rather than from
// the factor of the objective.
func TestSlack(t *testing.T) {
	tests := []struct {
		name     string
		estimate int64
		step     int
		age      float64
		want     float64
	}{
		{"new", 1000, 0, 0, 1.5},
		{"estimate a tenth", 100, 0, 0, 1.5},
		{"half of the objective has passed", 1000, 0, 0.5, 0.75},
		{"second of two steps", 1000, 1, 0.5, 1.5},
	}
	for _, tt := range tests {
		is := is.New(t)
		l := newHealthTest(true).leader
		js := &ledger.JobState{Job: ledger.Job{Stretch: 1.5, Target: 250, Steps: []ledger.Step{{Estimate: tt.estimate}, {Estimate: tt.estimate}}}}
		is.Equal(l.slackOf(&js.Job, js.Job.Objective()).of(tt.step, tt.age), tt.want) // tt.name
	}
}

// Guards against a record that is not learned from reported ends, that blames all
// workers for a job that fails everywhere, or that a restart of the worker leaves.
func TestFailureRisk(t *testing.T) {
	is := is.New(t)
	h := newHealthTest(true)
	w := h.leader.workers["w3"]
	for i := range 4 {
		h.play(fmt.Sprint("j", i), ledger.Step{Count: 10}, ledger.Done)
		key := runKey{TaskID{Job: fmt.Sprint("j", i), Index: 30}, 1}
		h.leader.addRun(w, &run{key: key, unit: ledger.UnitID{Job: key.task.Job, Index: 30}, startedAt: h.now})
		h.seq++
		h.leader.recordEnd(w, EndedTask{Seq: h.seq, Task: key.task, Run: 1, Outcome: ledger.Failed}, h.now)
	}
	h.leader.updateHealth(h.now)
	is.True(h.leader.failureRisk(w) > plan.RiskLimit)
	is.True(h.leader.failureRisk(h.leader.workers["w4"]) < plan.RiskLimit)
	is.Equal(h.leader.Health().Unreliable, 1)
	h.leader.applyReport(w, Report{Incarnation: 2}, h.leader.exchange(w, time.Now()))
	h.leader.updateHealth(h.now)
	is.True(h.leader.failureRisk(w) < plan.RiskLimit)
	h.play("bad", ledger.Step{Count: 10}, ledger.Failed)
	for _, w := range h.leader.workers {
		is.True(h.leader.failureRisk(w) < plan.RiskLimit)
	}
	next := newHealthTest(true) // a new leader knows nothing
	next.leader.updateHealth(h.now)
	is.Equal(next.leader.failureRisk(next.leader.workers["w3"]), next.leader.failureRisk(next.leader.workers["w4"]))
}

// Guards against last attempts that are not recognized, and against attempts that are
// counted for tasks that last.
func TestLastAttempt(t *testing.T) {
	tests := []struct {
		name               string
		on                 bool
		attempts, failures int
		lasting, want      bool
	}{
		{"last of two", true, 2, 1, false, true},
		{"first of two", true, 2, 0, false, false},
		{"the only one", true, 1, 0, false, true},
		{"no limit", true, 0, 9, false, false},
		{"off", false, 2, 1, false, false},
		{"lasting", true, 2, 1, true, false},
	}
	for _, tt := range tests {
		is := is.New(t)
		js := &ledger.JobState{Job: ledger.Job{Attempts: tt.attempts, Steps: []ledger.Step{{LongRunning: tt.lasting}}}}
		is.Equal(newHealthTest(tt.on).leader.lastAttempt(js, &ledger.Unit{Failures: tt.failures}), tt.want) // tt.name
	}
}

// Guards against a worker that counts as slow because of one task that takes many times
// as long as its siblings, and against one that hangs and does not.
func TestStragglerBesideUsualRun(t *testing.T) {
	tests := []struct {
		name  string
		on    bool
		rates []float64 // of the runs on w0, beside siblings at 20 percent a second
		want  bool
	}{
		{"one of two", true, []float64{3, 19}, false},
		{"one of two, off", false, []float64{3, 19}, true},
		{"both", true, []float64{3, 0}, true},
		{"the only one", true, []float64{3}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := newHealthTest(tt.on).leader
			s := ledger.NewState()
			now := time.Now()
			for i, rate := range tt.rates {
				job := fmt.Sprint("j", i)
				s.Apply(ledger.Record{Submit: &ledger.Job{ID: job, Steps: []ledger.Step{{Count: 2}}}})
				for index, v := range []float64{rate, 20} {
					n := &run{key: runKey{TaskID{Job: job, Index: index}, 1}, unit: ledger.UnitID{Job: job, Index: index}, step: &s.Jobs[job].Job.Steps[0]}
					n.progress = progressSample{at: now, percent: 50, rate: v, ratedAt: now}
					l.addRun(l.workers[fmt.Sprint("w", index)], n)
				}
			}
			l.findStragglers(s, now)
			is.Equal(l.workers["w0"].suspect(now), tt.want)
			is.True(!l.workers["w1"].suspect(now))
		})
	}
}
