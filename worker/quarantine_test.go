package worker

import (
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// TestSuspect guards against a worker that is set aside for the faults of one
// job or account, and against one that stays although only it fails.
func TestSuspect(t *testing.T) {
	const now = 100_000_000
	fail := func(job, account string, ago int64) state.Failure {
		return state.Failure{Job: job, Account: account, At: now - ago}
	}
	three := []state.Failure{fail("a", "asha", 3), fail("b", "asha", 2), fail("c", "binu", 1)}
	tests := []struct {
		name     string
		worker   state.Worker
		others   state.Worker
		jobs     state.JobPhase // of the jobs now
		failedOn []uint32
		want     bool
	}{
		{"jobs succeed elsewhere", state.Worker{Failed: 3, Done: 9, Failures: three}, state.Worker{Failed: 9, Done: 9}, state.JobDone, nil, true},
		{"fails most, others do not", state.Worker{Failed: 3, Done: 2, Failures: three}, state.Worker{Failed: 2, Done: 9}, state.JobWaiting, nil, true},
		{"fails some", state.Worker{Failed: 3, Done: 3, Failures: three}, state.Worker{Failed: 2, Done: 9}, state.JobWaiting, nil, false},
		{"all fail", state.Worker{Failed: 3, Failures: three}, state.Worker{Failed: 3, Done: 9}, state.JobWaiting, nil, false},
		{"nothing known of others", state.Worker{Failed: 3, Failures: three}, state.Worker{}, state.JobWaiting, nil, false},
		{"two jobs", state.Worker{Failed: 3, Failures: append([]state.Failure{three[0]}, fail("a", "binu", 1), fail("b", "asha", 1))}, state.Worker{Done: 9}, state.JobDone, nil, false},
		{"one account", state.Worker{Failed: 3, Failures: []state.Failure{three[0], three[1], fail("c", "asha", 1)}}, state.Worker{Done: 9}, state.JobDone, nil, false},
		{"long ago", state.Worker{Failed: 3, Failures: []state.Failure{three[0], three[1], fail("c", "binu", 1_800_001)}}, state.Worker{Done: 9}, state.JobDone, nil, false},
		{"before it was returned", state.Worker{Failed: 3, Since: now, Failures: three}, state.Worker{Done: 9}, state.JobDone, nil, false},
		{"on probation", state.Worker{Failed: 1, Strikes: 1, Failures: three[:1]}, state.Worker{Done: 9}, state.JobWaiting, []uint32{0}, true},
		{"on probation, bad job", state.Worker{Failed: 1, Strikes: 1, Failures: three[:1]}, state.Worker{Done: 9}, state.JobWaiting, []uint32{1, 0}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &state.State{Now: now, Jobs: map[string]*state.Job{}, Workers: []*state.Worker{&tt.worker, &tt.others}}
			tt.others.Index = 1
			for _, id := range []string{"a", "b", "c"} {
				s.Jobs[id] = &state.Job{ID: id, Phase: tt.jobs, FailedOn: tt.failedOn}
			}
			var q Quarantine
			is.New(t).Equal(q.Suspect(s, &tt.worker), tt.want)
		})
	}
}

// TestDue guards against probes that come at once, or never, and against the
// return of a worker that an operator set aside.
func TestDue(t *testing.T) {
	tests := []struct {
		cause   string
		strikes uint32
		after   int64 // ms
		want    bool
	}{
		{state.CauseFailures, 1, 59_999, false},
		{state.CauseFailures, 1, 60_000, true},
		{state.CauseFailures, 3, 239_999, false},
		{state.CauseFailures, 3, 240_000, true},
		{state.CauseFailures, 99, 3_600_000, true}, // an hour at most
		{"operator", 1, 3_600_000, false},
	}
	for _, tt := range tests {
		var q Quarantine
		w := &state.Worker{Condition: record.ConditionAside, Cause: tt.cause, Strikes: tt.strikes, Since: 5}
		is.New(t).Equal(q.Due(&state.State{Now: 5 + tt.after}, w), tt.want)
	}
}

// TestSuspectLimit guards against a fault of several workers at a time that
// takes more than one worker in twenty out of service.
func TestSuspectLimit(t *testing.T) {
	const now = 100_000_000
	for _, tt := range []struct {
		workers, aside int
		want           bool
	}{{2, 0, true}, {39, 1, false}, {40, 1, true}, {40, 2, false}} {
		s := &state.State{Now: now, Jobs: map[string]*state.Job{}}
		for i := range tt.workers {
			w := &state.Worker{Index: uint32(i), Done: 9}
			if i > 0 && i <= tt.aside {
				w.Condition = record.ConditionAside
			}
			s.Workers = append(s.Workers, w)
		}
		w := s.Workers[0]
		w.Done, w.Failed = 0, 3
		w.Failures = []state.Failure{{Job: "a", Account: "asha", At: now}, {Job: "b", Account: "asha", At: now}, {Job: "c", Account: "binu", At: now}}
		var q Quarantine
		is.New(t).Equal(q.Suspect(s, w), tt.want) // of so many workers, with so many aside
	}
}
