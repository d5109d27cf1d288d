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

// world is a fleet in which time, contact, list and log are under control.
type world struct {
	t       *testing.T
	mu      sync.Mutex
	now     time.Time
	st      *state.State
	list    []stream.Instance
	listErr error
	cut     func(from, to string) bool // by writer
	fresh   bool
	fences  int
	folded  []func()
	running func(writer string) bool // whether it sees the log
	evicted []string
	lives   []*Liveness
}

var errCut = errors.New("no contact")

func newWorld(t *testing.T, n int) *world {
	w := &world{t: t, now: time.Unix(1_796_361_383, 0), fresh: true, st: &state.State{Writers: map[string]*state.Writer{}}}
	w.cut = func(string, string) bool { return false }
	w.running = func(string) bool { return true }
	w.st.Members = members(n)
	for _, m := range w.st.Members {
		w.st.Writers[m.Writer] = &state.Writer{ID: m.Writer, Seq: 1}
		w.list = append(w.list, stream.Instance{Name: m.Name, Addr: m.Addr})
	}
	for _, m := range w.st.Members {
		w.lives = append(w.lives, w.liveness(m.Writer))
	}
	return w
}

func (w *world) liveness(writer string) *Liveness {
	return &Liveness{
		Writer: writer,
		View: func(f func(*state.State)) {
			w.mu.Lock()
			defer w.mu.Unlock()
			f(w.st)
		},
		Fresh: func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.fresh
		},
		Propose: func(_ context.Context, recs ...record.Record) ([]state.Decision, error) {
			return nil, w.propose(writer, recs[0])
		},
		List: func(context.Context) ([]stream.Instance, error) {
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
		Ask: func(_ context.Context, addr, to string) (bool, error) {
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

func (w *world) propose(writer string, rec record.Record) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.st.Writers[writer].Seq++
	for _, l := range w.lives {
		if w.running(l.Writer) {
			w.folded = append(w.folded, func() { l.Observe(state.Decision{Kind: rec.Kind, ID: rec.ID}) })
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
		w.st.Members = slices.DeleteFunc(slices.Clone(w.st.Members), func(m *state.Member) bool { return m.Writer == e.Writer })
	}
	return nil
}

// fold shows the appended records to the instances.
func (w *world) fold() {
	w.mu.Lock()
	fs := w.folded
	w.folded = nil
	w.mu.Unlock()
	for _, f := range fs {
		f()
	}
}

// run lets the given seconds pass for the instances, with one round each.
func (w *world) run(seconds int, lives ...*Liveness) {
	for range seconds {
		for _, l := range lives {
			l.tick(context.Background())
			l.wg.Wait()
			w.fold()
		}
		w.advance(time.Second)
	}
}

func (w *world) advance(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now = w.now.Add(d)
}

// TestEviction guards against dead members that stay, and against live ones
// that are evicted; each case is one part of the rule of section 6.
func TestEviction(t *testing.T) {
	const dead = "w003"
	to := func(_, to string) bool { return to == dead }
	tests := []struct {
		name    string
		change  func(*world)
		seconds int
		want    int // members evicted
	}{
		{"reachable", func(w *world) { w.list = nil }, 60, 0},
		{"dead and not listed", func(w *world) { w.cut, w.list = to, slices.Delete(w.list, 3, 4) }, 8, 1},
		{"dead and listed as leaving", func(w *world) { w.cut, w.list[3].Leaving = to, true }, 8, 1},
		{"not listed, only just unreachable", func(w *world) { w.cut, w.list = to, slices.Delete(w.list, 3, 4) }, 4, 0},
		{"dead and still listed, not yet confirmed", func(w *world) { w.cut = to }, 28, 0},
		{"dead and still listed", func(w *world) { w.cut = to }, 35, 1},
		{"list cannot be read", func(w *world) { w.cut, w.listErr = to, errCut }, 28, 0},
		{"list cannot be read, confirmed", func(w *world) { w.cut, w.listErr = to, errCut }, 35, 1},
		{"unreachable for a minority", func(w *world) {
			w.cut = func(from, to string) bool { return to == dead && (from == "w000" || from == "w001") }
		}, 90, 0},
		{"view not fresh", func(w *world) { w.cut, w.list, w.fresh = to, nil, false }, 60, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 8)
			w.running = func(writer string) bool { return writer != dead }
			tt.change(w)
			live := slices.Concat(w.lives[:3], w.lives[4:])
			w.run(tt.seconds, live...)
			is.Equal(len(w.evicted), tt.want)
			if tt.want == 1 {
				is.Equal(w.evicted[0], dead)
			}
		})
	}
}

// TestPartition guards against two halves of the fleet that evict each other
// while all reach the log.
func TestPartition(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 8)
	w.cut = func(from, to string) bool { return (from < "w004") != (to < "w004") }
	w.run(180, w.lives...)
	is.Equal(len(w.evicted), 0)
	is.True(w.fences > 0 && w.fences <= 2*8*180/10) // a challenge and an answer each time
}

// TestUnreachableButAppending guards against the eviction of a member that
// nobody reaches directly while it reaches the log and is listed.
func TestUnreachableButAppending(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 8)
	w.cut = func(_, to string) bool { return to == "w003" }
	w.run(180, w.lives...)
	is.Equal(len(w.evicted), 0)
}

// TestRackLost guards against a fleet in which nobody watches the dead because
// all of their watchers died with them.
func TestRackLost(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 24)
	w.cut = func(_, to string) bool { return to < "w012" }
	w.list = w.list[12:]
	w.run(40, w.lives[12:]...)
	is.Equal(len(w.evicted), 12)
}

// TestPausedWatcher guards against a watcher that evicts members because it was
// itself paused.
func TestPausedWatcher(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.list = nil
	w.cut = func(string, string) bool { return true }
	w.run(3, w.lives[0]) // fails three times in a row
	w.advance(time.Hour)
	w.run(4, w.lives[0])
	is.Equal(len(w.evicted), 0)
	is.True(w.lives[0].Failing("w001") < 5*time.Second)
	w.run(3, w.lives[0])
	is.Equal(len(w.evicted), 1) // but it is when it fails from now on
}

// TestReach guards against an answer about another member than the one asked
// for, or about one that left.
func TestReach(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3)
	w.cut = func(_, to string) bool { return to == "w002" }
	l := w.lives[0]
	is.True(l.Reach(context.Background(), "w001"))
	is.True(!l.Reach(context.Background(), "w002"))
	is.True(!l.Reach(context.Background(), "w999"))
}

// TestWatchersAreFew guards against traffic that grows with the square of the
// fleet.
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
