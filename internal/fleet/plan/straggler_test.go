package plan

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against new work on slow workers, and against reporting a worker as
// slow because its run varies in speed, runs outside the rack of its data or is
// complete.
func TestStraggler(t *testing.T) {
	tests := []struct {
		name string
		run  Straggler
		want bool
	}{
		{"as fast as its siblings", Straggler{Percent: 20, Rate: 25, BestRate: 26}, false},
		{"uneven", Straggler{Percent: 20, Rate: 18, BestRate: 26}, false},
		{"away from its data", Straggler{Percent: 7, Rate: 8.7, BestRate: 26}, false},
		{"slow", Straggler{Percent: 3, Rate: 4, BestRate: 26}, true},
		{"stands still", Straggler{Percent: 42, BestRate: 26}, true},
		{"done, waits for its gang", Straggler{Percent: 100, Rate: 2, BestRate: 26}, false},
		{"no sibling at work", Straggler{Percent: 0}, false},
		{"reports too coarse", Straggler{Percent: 1, Rate: 0, BestRate: 2}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.run.Slow(), tt.want)
		})
	}
}
