package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against stopping a run that can end before its worker leaves, and
// against keeping a run on the worker when it cannot end there in time.
func TestLeaver(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name string
		run  DrainingRun
		want bool
	}{
		{"ends in time", DrainingRun{Remaining: s, Elapsed: 5 * s, WorkerRemaining: 2 * s}, false},
		{"overdue", DrainingRun{Remaining: -s, Elapsed: 5 * s, WorkerRemaining: 2 * s}, false},
		{"cannot end", DrainingRun{Remaining: 8 * s, Elapsed: 5 * s, WorkerRemaining: 2 * s}, true},
		{"may end if the worker stays longer", DrainingRun{Remaining: 2 * s, Elapsed: 5 * s, WorkerRemaining: 2 * s}, false},
		{"keeps its work", DrainingRun{Remaining: 2 * s, Elapsed: 5 * s, Checkpointable: true, WorkerRemaining: 2 * s}, true},
		{"has just begun", DrainingRun{Remaining: 2 * s, Elapsed: s / 10, WorkerRemaining: 2 * s}, true},
		{"leaves at once", DrainingRun{Remaining: s, Elapsed: s}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.run.ShouldMigrate(), tt.want)
		})
	}
}
