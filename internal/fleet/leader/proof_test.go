package leader

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against taking an answer for proof of more than it says.
func TestSettledBy(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want settlement
	}{
		{"carried out", nil, settlesRun},
		{"the run ended or was stopped before", &RefusedError{RefusedStaleRun}, settlesRun},
		{"unhealthy", &RefusedError{RefusedUnhealthy}, settlesRequest},
		{"no resources", &RefusedError{RefusedCapacity}, settlesRequest},
		{"lease ended", &RefusedError{RefusedLeaseEnded}, settlesRequest},
		{"invalid", &RefusedError{RefusedInvalid}, settlesRequest},
		{"no ticket", &RefusedError{RefusedTicket}, settlesRequest},
		{"another incarnation", &RefusedError{RefusedIncarnation}, settlesRequest},
		{"newer leader", &RefusedError{RefusedStaleToken}, settlesRequest},
		{"reason of a newer worker", &RefusedError{"quota"}, settlesRequest},
		{"no answer", &NoAnswerError{io.EOF}, settlesNothing},
		{"no connection", &NotSentError{io.ErrClosedPipe}, settlesRequest},
		{"error of another kind", io.ErrClosedPipe, settlesNothing},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(settledBy(tt.err), tt.want)
		})
	}
}

// Guards against ending a run that may still start.
func TestNeverStarted(t *testing.T) {
	tests := []struct {
		name string
		run  run
		want bool
	}{
		{"nothing sent", run{}, true},
		{"a request without an answer", run{proof: proof{openStarts: 1}}, false},
		{"settled", run{proof: proof{settledAt: time.Now()}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.run.neverStarted(), tt.want)
		})
	}
}
