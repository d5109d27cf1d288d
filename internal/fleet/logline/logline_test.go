package logline

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// stalledWriter blocks every write until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// Guards against a process that blocks while the reader of its log is stalled,
// and against lines that are dropped without a warning in the log.
func TestStalledReader(t *testing.T) {
	is := is.New(t)
	out := &stalledWriter{release: make(chan struct{})}
	w := &Writer{Out: out}
	w.Start()
	log := New(w)
	const lines = 3 * maxPending
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
		t.Fatal("logging blocks while the reader is stalled")
	}
	is.True(w.Dropped() >= lines-maxPending-1)
	close(out.release)
	w.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(strings.Contains(out.text.String(), "log lines dropped"))
	is.True(strings.Contains(out.text.String(), "msg=event"))
}

// Guards against a process that ends because the encoder panics on the type of a field.
func TestFieldOfAnyType(t *testing.T) {
	type count struct{ Total, Prompt int }
	tests := []struct {
		name  string
		value any
		want  string
	}{
		{"struct", count{3, 2}, `v="{3 2}"`},
		{"slice of structs", []count{{3, 2}, {1, 0}}, `v="[{3 2} {1 0}]"`},
		{"empty slice", []count(nil), `v=[]`},
		{"map", map[string]int{"a": 1}, `v=map[a:1]`},
		{"nil", nil, `v=<nil>`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			log := New(zapcore.AddSync(&out))
			log.Info("event", zap.Any("v", tt.value))
			log.With(zap.Any("v", tt.value)).Info("event")
			for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
				is.True(strings.HasSuffix(line, tt.want))
			}
		})
	}
}
