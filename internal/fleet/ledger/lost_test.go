package ledger

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a unit that is blamed for a crash that did not happen, because the run that was lost by it came back.
func TestCrashOfReturnedRun(t *testing.T) {
	crash := func(run int, prompt bool) []Record {
		e := end(1, "a", run, 0, WorkerCrashed)
		e.End.Prompt = prompt
		return []Record{start(1, "a", run, "w"), e}
	}
	tests := []struct {
		name    string
		records [][]Record
		want    []CrashCount
	}{
		{"crashed", [][]Record{crash(1, true)}, []CrashCount{{1, 1}}},
		{"resumed", [][]Record{crash(1, true), {resume(1, "a", 1)}}, nil},
		{"resumed after a crash", [][]Record{crash(1, true), crash(2, false), {resume(1, "a", 2)}}, []CrashCount{{1, 1}}},
		{"lapsed", [][]Record{crash(1, true), {end(1, "a", 1, 0, LeaseExpired)}}, nil},
		{"failed", [][]Record{crash(1, false), crash(2, true), {end(1, "a", 1, 0, Failed)}}, []CrashCount{{1, 1}}},
		{"cleared before", [][]Record{crash(1, true), {start(1, "a", 2, "w"), longRunEnd(2)}, crash(3, true), {end(1, "a", 1, 0, Stopped)}}, []CrashCount{{1, 1}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState()
			s.Apply(claim(1))
			s.Apply(submit("a", Step{Count: 1}))
			for _, records := range tt.records {
				for _, r := range records {
					is.True(s.Apply(r))
				}
			}
			is.Equal(s.Jobs["a"].Units[0].Crashes, tt.want)
		})
	}
}

// longRunEnd is the end of a run that took so long that no crash is blamed on it.
func longRunEnd(run int) Record {
	r := end(1, "a", run, 0, Stopped)
	r.End.At = crashBlameTime + 1
	return r
}

// Guards against lost runs that fill the state, and against forgetting the newest ones.
func TestLostRunsAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewState()
	s.Apply(claim(1))
	s.Apply(submit("a", Step{Count: 2, Gang: true}))
	for run := range 3 * maxLostRuns {
		s.Apply(start(1, "a", run+1, "v", "w"))
		s.Apply(end(1, "a", run+1, 0, WorkerLost))
		s.Apply(end(1, "a", run+1, 1, WorkerLost))
	}
	lost := s.Jobs["a"].Units[0].Lost
	is.Equal(len(lost), 2*maxLostRuns)
	is.Equal(lost[0].Run, 2*maxLostRuns+1)
	s.Apply(end(1, "a", 3*maxLostRuns, 0, Done))
	is.Equal(len(s.Jobs["a"].Units[0].Lost), 0)
}

// Guards against a checkpoint of a lost run that replaces one of a later run.
func TestCheckpointOfLostRun(t *testing.T) {
	tests := []struct {
		name  string
		later bool // a later run has written a checkpoint
		want  string
	}{
		{"newest run", false, "lost"},
		{"earlier run", true, "later"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState()
			s.Apply(claim(1))
			s.Apply(submit("a", Step{Count: 1}))
			s.Apply(start(1, "a", 1, "w"))
			s.Apply(end(1, "a", 1, 0, WorkerLost))
			if tt.later {
				s.Apply(start(1, "a", 2, "v"))
				r := end(1, "a", 2, 0, Stopped)
				r.End.Checkpoint = "later"
				s.Apply(r)
			}
			r := end(1, "a", 1, 0, Stopped)
			r.End.Checkpoint = "lost"
			is.True(s.Apply(r))
			is.Equal(s.Jobs["a"].Units[0].Checkpoint, tt.want)
		})
	}
}
