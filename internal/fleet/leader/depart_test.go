package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// TestDeparted guards against ending the runs of a worker that has not left:
// it was absent from a single list of machines, it is too new to be listed, or
// it still answers.
func TestDeparted(t *testing.T) {
	here, gone := []Machine{{Worker: "w"}}, []Machine{{Worker: "other"}}
	old := time.Now().Add(-2 * machineListDelay)
	tests := []struct {
		name     string
		known    time.Time
		silent   bool
		unlisted bool // it has no entry in the list of workers
		noAddr   bool // this leader has never seen an address of it
		lists    [][]Machine
		want     int // number of ends returned for the last list
	}{
		{"one list", old, true, false, false, [][]Machine{gone}, 0},
		{"two lists", old, true, false, false, [][]Machine{gone, gone}, 1},
		{"two lists and no entry", old, true, true, false, [][]Machine{gone, gone}, 1},
		{"back in between", old, true, false, false, [][]Machine{gone, here, gone}, 0},
		{"answers", old, false, false, false, [][]Machine{gone, gone}, 0},
		{"answers without an entry", old, false, true, false, [][]Machine{gone, gone}, 0},
		{"new", time.Now(), true, false, false, [][]Machine{gone, gone}, 0},
		{"two lists, never an entry", old, false, true, true, [][]Machine{gone, gone}, 1},
		{"never an entry, listed", old, false, true, true, [][]Machine{here, here}, 0},
		{"never an entry, new", time.Now(), false, true, true, [][]Machine{gone, gone}, 0},
		{"unreadable entry", old, false, false, true, [][]Machine{gone, gone}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorker("w", time.Time{})
			w.knownSince, w.unresponsive, w.listed = tt.known, tt.silent, !tt.unlisted
			if !tt.noAddr {
				w.entry.Addr = "w"
			}
			key := runKey{TaskID{Job: "a"}, 1}
			w.runs[key] = &run{key: key, unit: ledger.UnitID{Job: "a"}}
			l := &Leader{Logger: zap.NewNop(), workers: map[string]*worker{"w": w}}
			var ends []ledger.Record
			for _, list := range tt.lists {
				ends = l.endDeparted(list)
			}
			is.Equal(len(ends), tt.want)
		})
	}
}
