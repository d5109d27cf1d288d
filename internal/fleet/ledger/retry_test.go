package ledger

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a task that lasts and stays away ever longer after its failures, and against one that crashes workers without a pause.
func TestRetryDelay(t *testing.T) {
	tests := []struct {
		name     string
		failures int
		crashes  []CrashCount
		want     int64
	}{
		{"first run", 0, nil, 0},
		{"two failures", 2, nil, 200},
		{"many failures", 1000, nil, maxRetryDelay},
		{"two crashes", 0, []CrashCount{{Total: 2}}, 0},
		{"three crashes", 0, []CrashCount{{Total: 3}}, 1000},
		{"five crashes of one member", 1, []CrashCount{{Total: 1}, {Total: 5}}, 4000},
		{"many crashes", 0, []CrashCount{{Total: 1000}}, maxRetryDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := Unit{Failures: tt.failures, Crashes: tt.crashes}
			is.Equal(u.RetryDelay(), tt.want)
		})
	}
}

// Guards against a list of workers that grows with each failure of a task that lasts.
func TestFailedOnIsBounded(t *testing.T) {
	is := is.New(t)
	u := Unit{}
	for i := range 3 * maxFailedOn {
		u.addFailedOn(fmt.Sprintf("w%d", i))
		u.addFailedOn(fmt.Sprintf("w%d", i))
	}
	is.Equal(len(u.FailedOn), maxFailedOn)
	is.Equal(u.FailedOn[0], fmt.Sprintf("w%d", 2*maxFailedOn))
	is.Equal(u.FailedOn[maxFailedOn-1], fmt.Sprintf("w%d", 3*maxFailedOn-1))
}
