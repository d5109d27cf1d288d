package logline

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stalled is a reader that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// Guards against a process that waits for the reader of its log, and against
// lines that are dropped without a trace.
func TestStalledReader(t *testing.T) {
	is := is.New(t)
	out := &stalled{release: make(chan struct{})}
	w := &Writer{Out: out}
	w.Start()
	log := New(w)
	const lines = 3 * pending
	done := make(chan struct{})
	go func() {
		for range lines {
			log.Info("event")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the log blocks")
	}
	is.True(w.Dropped() >= lines-pending-1)
	close(out.release)
	w.Flush(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(strings.Contains(out.text.String(), "log lines dropped"))
	is.True(strings.Contains(out.text.String(), "msg=event"))
}
