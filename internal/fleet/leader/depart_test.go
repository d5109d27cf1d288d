package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a worker that is taken to have left because one list of
// machines missed it, because it is too new for the list, or while it answers.
func TestDeparted(t *testing.T) {
	here, gone := []Machine{{Worker: "w"}}, []Machine{{Worker: "other"}}
	old := time.Now().Add(-2 * listLag)
	tests := []struct {
		name   string
		known  time.Time
		silent bool
		lists  [][]Machine
		want   int // ends after the last list
	}{
		{"one list", old, true, [][]Machine{gone}, 0},
		{"two lists", old, true, [][]Machine{gone, gone}, 1},
		{"back in between", old, true, [][]Machine{gone, here, gone}, 0},
		{"answers", old, false, [][]Machine{gone, gone}, 0},
		{"new", time.Now(), true, [][]Machine{gone, gone}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorker("w", time.Time{})
			w.known, w.silent, w.listed = tt.known, tt.silent, true
			key := runKey{TaskID{Job: "a"}, 1}
			w.runs[key] = &run{key: key, unit: ledger.UnitID{Job: "a"}}
			l := &Leader{Logger: zap.NewNop(), workers: map[string]*worker{"w": w}}
			var ends []ledger.Record
			for _, list := range tt.lists {
				ends = l.departed(list)
			}
			is.Equal(len(ends), tt.want)
		})
	}
}
