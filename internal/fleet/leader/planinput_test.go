package leader

import (
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
	"jasminelane.example/lane/internal/fleet/policy"
)

// Guards against small jobs of one task that come after all larger ones once they are late, because they count as starting as a whole.
func TestOnlyGangsAreWhole(t *testing.T) {
	tests := []struct {
		name  string
		steps []ledger.Step
		want  bool
	}{
		{"one task", []ledger.Step{{Count: 1}}, false},
		{"several tasks", []ledger.Step{{Count: 3}}, false},
		{"one gang", []ledger.Step{{Count: 3, Gang: true}}, true},
		{"two gangs", []ledger.Step{{Count: 3, Gang: true}, {Count: 3, Gang: true}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := ledger.NewState()
			s.Apply(ledger.Record{Submit: &ledger.Job{ID: "a", Steps: tt.steps}})
			l := &Leader{waits: make(map[ledger.UnitID]*unitWait)}
			var in plan.Input
			l.addWaiting(&in, s.Jobs["a"], &policy.Config{}, false)
			is.Equal(in.Waiting[0].Whole, tt.want)
		})
	}
}

// Guards against work that is counted for another occurrence, or as still to start although it runs or is done.
func TestJobWork(t *testing.T) {
	is := is.New(t)
	s := ledger.NewState()
	s.Apply(ledger.Record{Claim: &ledger.Claim{Epoch: 1}})
	s.Apply(ledger.Record{Submit: &ledger.Job{ID: "a", OccurrenceCount: 2, Steps: []ledger.Step{
		{Count: 3, CPU: 2000, Estimate: 1000},
		{Count: 4, GPU: 1, Estimate: 500, Gang: true, After: []int{0}},
	}}})
	js := s.Jobs["a"]
	is.Equal(jobWork(js), map[int]plan.Work{0: {Total: 22, ToStart: 22}, 1: {Total: 22, ToStart: 22}})

	start := func(index int) { // of the first step
		s.Apply(ledger.Record{Start: &ledger.Start{Epoch: 1, Unit: ledger.UnitID{Job: "a", Occurrence: 1, Index: index}, Run: 1, Workers: []string{"w"}}})
	}
	start(0)
	start(1)
	s.Apply(ledger.Record{End: &ledger.End{Epoch: 1, Unit: ledger.UnitID{Job: "a", Occurrence: 1, Index: 1}, Run: 1, Outcome: ledger.Done}})
	is.Equal(jobWork(js)[1], plan.Work{Total: 22, ToStart: 18})
	is.Equal(jobWork(js)[0], plan.Work{Total: 22, ToStart: 22})

	s.Apply(ledger.Record{End: &ledger.End{Epoch: 1, Unit: ledger.UnitID{Job: "a", Occurrence: 1}, Run: 1, Outcome: ledger.Stopped}})
	is.Equal(jobWork(js)[1], plan.Work{Total: 22, ToStart: 20})
}
