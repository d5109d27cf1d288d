package member

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
)

// fakeCluster is a set of instances for which a test controls the time, the
// connections, the platform's list and the log.
type fakeCluster struct {
	t           *testing.T
	mu          sync.Mutex
	now         time.Time
	state       *state.State
	list        []stream.Instance
	listErr     error
	cut         func(from, to string) bool // whether the writer from cannot reach the writer to
	fresh       bool
	fences      int
	undelivered []func()
	receivesLog func(writer string) bool // whether the instance receives log records
	evicted     []string
	detectors   []*FailureDetector
}

var errCut = errors.New("unreachable")

func newFakeCluster(t *testing.T, n int) *fakeCluster {
	w := &fakeCluster{t: t, now: time.Unix(1_796_361_383, 0), fresh: true, state: &state.State{Writers: map[string]*state.Writer{}}}
	w.cut = func(string, string) bool { return false }
	w.receivesLog = func(string) bool { return true }
	w.state.Members = members(n)
	for _, m := range w.state.Members {
		w.state.Writers[m.Writer] = &state.Writer{ID: m.Writer, Seq: 1}
		w.list = append(w.list, stream.Instance{Name: m.Name, Addr: m.Addr})
	}
	for _, m := range w.state.Members {
		w.detectors = append(w.detectors, w.newDetector(m.Writer))
	}
	return w
}

func (w *fakeCluster) newDetector(writer string) *FailureDetector {
	return &FailureDetector{
		Writer: writer,
		View: func(f func(*state.State)) {
			w.mu.Lock()
			defer w.mu.Unlock()
			f(w.state)
		},
		Fresh: func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.fresh
		},
		Propose: func(_ context.Context, recs ...record.Record) ([]state.Decision, error) {
			return nil, w.propose(writer, recs[0])
		},
		ListInstances: func(context.Context) ([]stream.Instance, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return slices.Clone(w.list), w.listErr
		},
		Ping: func(_ context.Context, _, to string) error {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.cut(writer, to) {
				return errCut
			}
			return nil
		},
		AskReach: func(_ context.Context, addr, to string) (bool, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			via := "w" + addr[1:]
			if w.cut(writer, via) {
				return false, errCut
			}
			return !w.cut(via, to), nil
		},
		Clock: func() time.Time {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.now
		},
	}
}

func (w *fakeCluster) propose(writer string, rec record.Record) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Writers[writer].Seq++
	for _, l := range w.detectors {
		if w.receivesLog(l.Writer) {
			w.undelivered = append(w.undelivered, func() { l.Observe(state.Decision{Kind: rec.Kind, ID: rec.ID}) })
		}
	}
	switch rec.Kind {
	case record.KindFence:
		w.fences++
	case record.KindEvict:
		e, err := record.Body[record.Evict](rec)
		if err != nil {
			return err
		}
		w.evicted = append(w.evicted, e.Writer)
		w.state.Members = slices.DeleteFunc(slices.Clone(w.state.Members), func(m *state.Member) bool { return m.Writer == e.Writer })
	}
	return nil
}

// deliver passes the appended records to the instances.
func (w *fakeCluster) deliver() {
	w.mu.Lock()
	callbacks := w.undelivered
	w.undelivered = nil
	w.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}

// run advances the time by the given seconds and runs one round of each detector
// every second.
func (w *fakeCluster) run(seconds int, detectors ...*FailureDetector) {
	for range seconds {
		for _, l := range detectors {
			l.tick(context.Background())
			l.wg.Wait()
			w.deliver()
		}
		w.advance(time.Second)
	}
}

func (w *fakeCluster) advance(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
}

// TestEviction guards against failed members that stay and live ones that are
// evicted. Each case covers one part of the rules of FailureDetector.
func TestEviction(t *testing.T) {
	const dead = "w003"
	to := func(_, to string) bool { return to == dead }
	tests := []struct {
		name    string
		change  func(*fakeCluster)
		seconds int
		want    int // members evicted
	}{
		{"reachable", func(w *fakeCluster) { w.list = nil }, 60, 0},
		{"dead and not listed", func(w *fakeCluster) { w.cut, w.list = to, slices.Delete(w.list, 3, 4) }, 8, 1},
		{"dead and listed as leaving", func(w *fakeCluster) { w.cut, w.list[3].Leaving = to, true }, 8, 1},
		{"not listed, only just unreachable", func(w *fakeCluster) { w.cut, w.list = to, slices.Delete(w.list, 3, 4) }, 4, 0},
		{"dead and still listed, not yet confirmed", func(w *fakeCluster) { w.cut = to }, 28, 0},
		{"dead and still listed", func(w *fakeCluster) { w.cut = to }, 35, 1},
		{"list cannot be read", func(w *fakeCluster) { w.cut, w.listErr = to, errCut }, 28, 0},
		{"list cannot be read, confirmed", func(w *fakeCluster) { w.cut, w.listErr = to, errCut }, 35, 1},
		{"unreachable for a minority", func(w *fakeCluster) {
			w.cut = func(from, to string) bool { return to == dead && (from == "w000" || from == "w001") }
		}, 90, 0},
		{"view not fresh", func(w *fakeCluster) { w.cut, w.list, w.fresh = to, nil, false }, 60, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newFakeCluster(t, 8)
			w.receivesLog = func(writer string) bool { return writer != dead }
			tt.change(w)
			live := slices.Concat(w.detectors[:3], w.detectors[4:])
			w.run(tt.seconds, live...)
			is.Equal(len(w.evicted), tt.want)
			if tt.want == 1 {
				is.Equal(w.evicted[0], dead)
			}
		})
	}
}

// TestPartition guards against two halves of the instances that evict each other
// in a network partition while all of them reach the log.
func TestPartition(t *testing.T) {
	is := is.New(t)
	w := newFakeCluster(t, 8)
	w.cut = func(from, to string) bool { return (from < "w004") != (to < "w004") }
	w.run(180, w.detectors...)
	is.Equal(len(w.evicted), 0)
	is.True(w.fences > 0 && w.fences <= 2*8*180/10) // a challenge and an answer for each member every 10 s
}

// TestUnreachableButAppending guards against the eviction of a member that no
// other member reaches directly although it appends to the log and is listed.
func TestUnreachableButAppending(t *testing.T) {
	is := is.New(t)
	w := newFakeCluster(t, 8)
	w.cut = func(_, to string) bool { return to == "w003" }
	w.run(180, w.detectors...)
	is.Equal(len(w.evicted), 0)
}

// TestRackLost guards against failed members that stay because all of their
// watchers failed at the same time.
func TestRackLost(t *testing.T) {
	is := is.New(t)
	w := newFakeCluster(t, 24)
	w.cut = func(_, to string) bool { return to < "w012" }
	w.list = w.list[12:]
	w.run(40, w.detectors[12:]...)
	is.Equal(len(w.evicted), 12)
}

// TestPausedWatcher guards against a watcher that evicts members because its own
// process was paused.
func TestPausedWatcher(t *testing.T) {
	is := is.New(t)
	w := newFakeCluster(t, 2)
	w.list = nil
	w.cut = func(string, string) bool { return true }
	w.run(3, w.detectors[0]) // three consecutive failures
	w.advance(time.Hour)
	w.run(4, w.detectors[0])
	is.Equal(len(w.evicted), 0)
	is.True(w.detectors[0].FailingFor("w001") < 5*time.Second)
	w.run(3, w.detectors[0])
	is.Equal(len(w.evicted), 1) // evicted once pings fail for long enough after the pause
}

// TestReach guards against an answer about a member other than the one asked
// for, or about a former member.
func TestReach(t *testing.T) {
	is := is.New(t)
	w := newFakeCluster(t, 3)
	w.cut = func(_, to string) bool { return to == "w002" }
	l := w.detectors[0]
	is.True(l.Reach(context.Background(), "w001"))
	is.True(!l.Reach(context.Background(), "w002"))
	is.True(!l.Reach(context.Background(), "w999"))
}

// TestWatchersAreFew guards against ping traffic that grows with the square of
// the number of members.
func TestWatchersAreFew(t *testing.T) {
	is := is.New(t)
	ms := members(60)
	for _, m := range ms {
		watchers := 0
		for _, o := range ms {
			if o != m {
				if r := watchRank(ms, m.Writer, o.Writer); r >= 0 && r < 5 {
					watchers++
				}
			}
		}
		is.Equal(watchers, 5)
	}
}
