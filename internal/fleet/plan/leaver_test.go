package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against runs that are stopped although they could end in time, and
// against runs that stay where they certainly cannot.
func TestLeaver(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name string
		run  Leaver
		want bool
	}{
		{"ends in time", Leaver{Left: s, Ran: 5 * s, Stays: 2 * s}, false},
		{"overdue", Leaver{Left: -s, Ran: 5 * s, Stays: 2 * s}, false},
		{"cannot end", Leaver{Left: 8 * s, Ran: 5 * s, Stays: 2 * s}, true},
		{"may end if the worker stays longer", Leaver{Left: 2 * s, Ran: 5 * s, Stays: 2 * s}, false},
		{"keeps its work", Leaver{Left: 2 * s, Ran: 5 * s, Saves: true, Stays: 2 * s}, true},
		{"has just begun", Leaver{Left: 2 * s, Ran: s / 10, Stays: 2 * s}, true},
		{"leaves at once", Leaver{Left: s, Ran: s}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.run.Evacuate(), tt.want)
		})
	}
}
