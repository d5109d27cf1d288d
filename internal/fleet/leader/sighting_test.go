package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a new leader that waits for the list of machines to include workers that were listed long before it began, and against counting workers as gone that may be new.
func TestDepartedBeforeLeader(t *testing.T) {
	const old, new = int64(1), int64(2)
	long := machineListDelay + time.Second
	tests := []struct {
		name    string
		sighted time.Duration // how long ago this instance saw the old incarnation; 0 is never
		leads   time.Duration // how long this instance leads
		entry   *WorkerEntry
		silent  bool
		want    bool // it has left if the list of machines does not name it
	}{
		{"does not answer", long, time.Second, &WorkerEntry{Addr: "w", Incarnation: old}, true, true},
		{"answers", long, long, &WorkerEntry{Addr: "w", Incarnation: old}, false, false},
		{"does not answer, new", time.Second, time.Second, &WorkerEntry{Addr: "w", Incarnation: old}, true, false},
		{"does not answer, never seen", 0, time.Second, &WorkerEntry{Addr: "w", Incarnation: old}, true, false},
		{"does not answer, has restarted", long, time.Second, &WorkerEntry{Addr: "w", Incarnation: new}, true, false},
		{"no entry", long, entryReturnTime + time.Second, nil, false, true},
		{"no entry yet", long, time.Second, nil, false, false},
		{"no entry, never seen", 0, entryReturnTime + time.Second, nil, false, false},
		{"unreadable entry", long, long, &WorkerEntry{Unreadable: true}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			w := newWorker("w", now)
			w.runs[runKey{}] = &run{unit: ledger.UnitID{Job: "a"}, worker: w}
			w.knownSince = now.Add(-tt.leads)
			seen := make(Sightings)
			if tt.sighted > 0 {
				seen.Add(&ledger.Start{Workers: []string{"v", "w"}, Incarnations: []int64{new, old}}, now.Add(-tt.sighted))
				seen.Add(&ledger.Start{Workers: []string{"w"}, Incarnations: []int64{old}}, now)
			}
			w.noteSighting(old, seen[Incarnation{"w", old}])
			if tt.entry != nil {
				tt.entry.ID = "w"
				w.setEntry(*tt.entry)
			}
			w.unresponsive = tt.silent
			l := &Leader{Logger: zap.NewNop(), workers: map[string]*worker{"w": w}}
			l.endDeparted([]Machine{{Worker: "v"}})
			is.Equal(len(l.endDeparted([]Machine{{Worker: "v"}})), map[bool]int{true: 1}[tt.want])
		})
	}
}

// Guards against sightings that grow without a bound.
func TestSightingsAreBounded(t *testing.T) {
	is := is.New(t)
	s := make(Sightings)
	now := time.Now()
	for i := range int64(maxSightings + 1) {
		s.Add(&ledger.Start{Workers: []string{"w", "v"}, Incarnations: []int64{i + 1}}, now)
	}
	is.Equal(len(s), 1)
}
