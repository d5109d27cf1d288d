package ledger

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// scanned returns the job without its index, so that all units are scanned.
func scanned(s *JobState) *JobState {
	out := *s
	out.steps = nil
	return &out
}

// Guards against counts of a step that differ from its units, which would start a step
// too early or never, and against units that are found under another ID.
func TestStepIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Step {
			return Step{Count: rapid.IntRange(1, 3).Draw(t, "count"), Gang: rapid.Bool().Draw(t, "gang"), LongRunning: rapid.IntRange(0, 5).Draw(t, "kind") == 0}
		}), 1, 4).Draw(t, "steps")
		for i := range steps {
			steps[i].After = rapid.SliceOfN(rapid.IntRange(0, max(i-1, 0)), 0, min(i, 3)).Draw(t, "after")
		}
		s := NewState()
		s.Apply(claim(1))
		s.Apply(Record{Submit: &Job{ID: "a", OccurrenceCount: rapid.IntRange(0, 3).Draw(t, "occurrences"), Steps: steps}})
		for range rapid.IntRange(0, 40).Draw(t, "records") {
			js := s.Jobs["a"]
			u := js.Units[rapid.IntRange(0, len(js.Units)-1).Draw(t, "unit")]
			switch rapid.IntRange(0, 9).Draw(t, "record") {
			case 0:
				s.Apply(Record{Rewrite: js})
			case 1:
				s.Apply(Record{Resume: &Resume{Epoch: 1, Unit: u.ID, Run: u.Run}})
			case 2, 3, 4:
				s.Apply(Record{Start: &Start{Epoch: 1, Unit: u.ID, Run: u.Run + 1, Workers: make([]string, js.Width(&u))}})
			default:
				outcome := rapid.SampledFrom([]RunOutcome{Done, Done, Failed, Stopped, WorkerLost}).Draw(t, "outcome")
				run := max(1, u.Run-rapid.IntRange(0, 1).Draw(t, "back"))
				s.Apply(Record{End: &End{Epoch: 1, Unit: u.ID, Run: run, Outcome: outcome, At: rapid.Int64Range(1, 9).Draw(t, "at")}})
			}
		}
		js := s.Jobs["a"]
		is.True(js.steps != nil)
		scan := scanned(js)
		for i := range js.Units {
			u := &js.Units[i]
			is.Equal(js.Unit(u.ID), u)
			is.Equal(scan.Unit(u.ID), u)
			is.Equal(js.Ready(u), scan.Ready(u))
			is.True(js.DependenciesEndedAt(u) >= scan.DependenciesEndedAt(u)) // a later run may have ended earlier by another clock
			is.Equal(js.progress(u.ID.Occurrence, u.ID.Step).undone, scan.progress(u.ID.Occurrence, u.ID.Step).undone)
		}
	})
}

// Guards against a malformed or foreign list of units that is taken for one in order.
func TestUnorderedUnits(t *testing.T) {
	ids := func(ids ...UnitID) []Unit {
		var out []Unit
		for _, id := range ids {
			out = append(out, Unit{ID: id})
		}
		return out
	}
	a0, a1, b0 := UnitID{Job: "a"}, UnitID{Job: "a", Index: 1}, UnitID{Job: "a", Step: 1}
	steps := []Step{{Count: 2}, {Count: 1, After: []int{0}}}
	tests := []struct {
		name    string
		job     Job
		units   []Unit
		ordered bool
	}{
		{"in order", Job{ID: "a", Steps: steps}, ids(a0, a1, b0), true},
		{"another order", Job{ID: "a", Steps: steps}, ids(b0, a0, a1), false},
		{"unit missing", Job{ID: "a", Steps: steps}, ids(a0, a1), false},
		{"unit too many", Job{ID: "a", Steps: steps}, ids(a0, a1, b0, b0), false},
		{"unit of another job", Job{ID: "a", Steps: steps}, ids(a0, a1, UnitID{Job: "b", Step: 1}), false},
		{"no steps", Job{ID: "a"}, nil, false},
		{"no tasks", Job{ID: "a", Steps: []Step{{}}}, ids(a0), false},
		{"more occurrences than units", Job{ID: "a", OccurrenceCount: 1 << 40, Steps: steps}, ids(a0, a1, b0), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState()
			is.True(s.Apply(Record{Rewrite: &JobState{Job: tt.job, Phase: Queued, Units: tt.units}}))
			js := s.Jobs["a"]
			is.Equal(js.steps != nil, tt.ordered)
			for i := range js.Units {
				is.Equal(*js.Unit(js.Units[i].ID), js.Units[i])
				is.Equal(js.Ready(&js.Units[i]), js.Units[i].ID.Step == 0)
			}
			is.Equal(js.Unit(UnitID{Job: "a", Occurrence: -1, Step: 7, Index: 9}), nil)
		})
	}
}
