package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a summary that hides preempted work among other stops, or counts saved work as done again.
func TestTally(t *testing.T) {
	tests := []struct {
		name      string
		outcome   ledger.RunOutcome
		stopCause string
		saves     bool
		want      string // end, runs, core-seconds worked, and those done again
	}{
		{"done", ledger.Done, "", false, "done 2 120 0"},
		{"failed", ledger.Failed, "", false, "failed 2 120 120"},
		{"preempted", ledger.Stopped, "preempted", false, "preempted 2 120 120"},
		{"preempted with a checkpoint", ledger.Stopped, "preempted", true, "preempted 2 120 0"},
		{"ended before its stop", ledger.Done, "preempted", false, "done 2 120 0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			js := &ledger.JobState{Job: ledger.Job{Priority: 2, Steps: []ledger.Step{{Count: 2, CPU: 4000, GPU: 1, Checkpointable: tt.saves}}}}
			n := &run{startedAt: now.Add(-5 * time.Second), stopCause: tt.stopCause}
			a := newTally(now)
			a.addRun(js, n, tt.outcome, now)
			a.addRun(js, n, tt.outcome, now)
			is.Equal(a.describeRuns(2), []string{tt.want})
			is.Equal(len(a.describeRuns(1)), 0)
		})
	}
}
