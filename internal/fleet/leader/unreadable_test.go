package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnreadableEntry guards against a worker that counts as gone, or is used for
// new runs, while another writer has overwritten its entry.
func TestUnreadableEntry(t *testing.T) {
	is := is.New(t)
	l := testLeader()
	sound := WorkerEntry{ID: "w", Addr: "10.0.0.1:80", Incarnation: 1}
	unreadable := WorkerEntry{ID: "w", Unreadable: true}
	l.mergeEntries([]WorkerEntry{sound})
	w := l.workers["w"]
	w.contacted, w.incarnation, w.lastAnswer = true, 1, time.Now()
	w.runs[runKey{}] = &run{}
	w.knownSince = time.Now().Add(-2 * machineListDelay)

	l.mergeEntries([]WorkerEntry{unreadable, {ID: "other", Unreadable: true}})
	is.True(!w.usable(time.Now()))
	is.True(!w.mayHaveLeft())
	is.Equal(w.entry.Addr, sound.Addr) // requests still reach it
	is.Equal(l.workers["other"], nil)  // nothing runs there

	l.mergeEntries([]WorkerEntry{sound})
	is.True(w.usable(time.Now()))

	l.mergeEntries(nil)
	is.True(!w.mayHaveLeft()) // it still answers
	w.unresponsive = true
	is.True(w.mayHaveLeft())
}

// TestInheritedUnreadable guards against runs of an earlier leader that count as
// lost too soon, or never, because the entry of their worker is unreadable or gone.
func TestInheritedUnreadable(t *testing.T) {
	tests := []struct {
		name    string
		entries []WorkerEntry
	}{
		{"listed", []WorkerEntry{{ID: "w", Addr: "10.0.0.1:80"}}},
		{"unreadable", []WorkerEntry{{ID: "w", Unreadable: true}}},
		{"not listed", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := testLeader()
			w := l.ensureWorker("w")
			n := &run{worker: w, proof: proof{settledAt: l.startedAt}}
			w.runs[n.key] = n
			l.mergeEntries(tt.entries)
			w.leasesEnd = time.Now().Add(time.Second) // of the inherited lease
			l.expireLeases(w)
			is.True(!n.endProposed)
			w.leasesEnd = time.Now().Add(-time.Second)
			l.expireLeases(w)
			is.True(n.endProposed)
		})
	}
}

// TestUnaskedWorkers guards against a change of leader because of workers that have
// no address to ask.
func TestUnaskedWorkers(t *testing.T) {
	is := is.New(t)
	l := testLeader()
	for _, id := range []string{"w0", "w1", "w2"} {
		l.ensureWorker(id)
	}
	l.mergeEntries([]WorkerEntry{{ID: "w0", Addr: "10.0.0.1:80"}, {ID: "w1", Unreadable: true}, {ID: "w2", Unreadable: true}})
	_, asked := l.countUnresponsive()
	is.Equal(asked, 1)
}
