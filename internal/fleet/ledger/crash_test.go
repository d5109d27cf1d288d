package ledger

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a job that is not given up although its task crashes worker after worker, and against one that is given up for crashes that are not its fault.
func TestWorkerCrashes(t *testing.T) {
	one, gang := Step{Count: 1}, Step{Count: 2, Gang: true}
	const long = crashBlameTime + 1
	type crash struct {
		members  []RunOutcome // how the members end, in their order
		duration int64        // of the run, ms
		late     bool         // the crashes were not right after the start
	}
	crashed, lost, broken := WorkerCrashed, WorkerLost, GangEnded
	tests := []struct {
		name string
		step Step
		runs []crash
		want Phase
	}{
		{"twice", one, []crash{{[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{crashed}, 1, false}}, Running},
		{"three times", one, []crash{{[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{crashed}, 1, false}}, JobFailed},
		{"three times, once promptly", one, []crash{{[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{crashed}, 1, true}, {[]RunOutcome{crashed}, 1, true}}, Running},
		{"three times, twice promptly", one, []crash{{[]RunOutcome{crashed}, 1, true}, {[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{crashed}, 1, false}}, JobFailed},
		{"five times, never promptly", one, []crash{{[]RunOutcome{crashed}, 1, true}, {[]RunOutcome{crashed}, 1, true}, {[]RunOutcome{crashed}, 1, true}, {[]RunOutcome{crashed}, 1, true}, {[]RunOutcome{crashed}, 1, true}}, JobFailed},
		{"four times, never promptly", one, []crash{{[]RunOutcome{crashed}, 1, true}, {[]RunOutcome{crashed}, 1, true}, {[]RunOutcome{crashed}, 1, true}, {[]RunOutcome{crashed}, 1, true}}, Running},
		{"not in a row", one, []crash{{[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{lost}, 1, false}, {[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{Stopped}, 1, false}, {[]RunOutcome{crashed}, 1, false}}, JobFailed},
		{"workers lost otherwise", one, []crash{{[]RunOutcome{lost}, 1, false}, {[]RunOutcome{lost}, 1, false}, {[]RunOutcome{lost}, 1, false}}, Running},
		{"a long run before the last crash", one, []crash{{[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{lost}, long, false}, {[]RunOutcome{crashed}, 1, false}}, Running},
		{"crashes after long runs", one, []crash{{[]RunOutcome{crashed}, long, false}, {[]RunOutcome{crashed}, long, false}, {[]RunOutcome{crashed}, long, false}}, Running},
		{"task that lasts", Step{Count: 1, LongRunning: true}, []crash{{[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{crashed}, 1, false}}, Running},
		{"task that lasts ended well in between", Step{Count: 1, LongRunning: true}, []crash{{[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{crashed}, 1, false}, {[]RunOutcome{Done}, 1, false}, {[]RunOutcome{crashed}, 1, false}}, Running},
		{"another member each time", gang, []crash{{[]RunOutcome{crashed, broken}, 1, false}, {[]RunOutcome{broken, crashed}, 1, false}, {[]RunOutcome{crashed, broken}, 1, false}}, Running},
		{"one member three times", gang, []crash{{[]RunOutcome{broken, crashed}, 1, false}, {[]RunOutcome{broken, crashed}, 1, false}, {[]RunOutcome{crashed, crashed}, 1, false}}, JobFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := NewState()
			s.Apply(claim(1))
			s.Apply(submit("a", tt.step))
			now := int64(1000)
			for i, r := range tt.runs {
				workers := []string{"v", "w"}[:len(r.members)]
				is.True(s.Apply(Record{Start: &Start{Epoch: 1, Unit: UnitID{Job: "a"}, Run: i + 1, Workers: workers, At: now}}))
				now += r.duration
				for member, outcome := range r.members {
					s.Apply(Record{End: &End{Epoch: 1, Unit: UnitID{Job: "a"}, Run: i + 1, Member: member, Outcome: outcome, At: now, Prompt: outcome == crashed && !r.late}})
				}
			}
			is.Equal(s.Jobs["a"].Phase, tt.want)
		})
	}
}
