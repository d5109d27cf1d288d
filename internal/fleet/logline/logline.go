package logline

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// pending bounds the lines that wait for the reader; at about 200 bytes a line
// they take 100 KiB at most.
const pending = 512

// Writer passes lines on to Out from a goroutine of its own. The zero value
// with Out set is ready after Start.
type Writer struct {
	Out io.Writer

	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// Start begins to pass lines on.
func (w *Writer) Start() {
	w.lines = make(chan []byte, pending)
	w.done = make(chan struct{})
	go w.pass()
}

// Write takes a line, or drops it if too many wait; it never blocks.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) pass() {
	defer close(w.done)
	told := uint64(0)
	for line := range w.lines {
		if line == nil {
			return
		}
		if n := w.dropped.Load(); n != told {
			told = n
			_, _ = fmt.Fprintf(w.Out, "level=warn msg=\"log lines dropped\" total=%d\n", n)
		}
		_, _ = w.Out.Write(line) // there is nowhere else to report a failure
	}
}

// Flush waits until the waiting lines are written, at most for the time, and
// ends the writer.
func (w *Writer) Flush(limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case w.lines <- nil:
	case <-t.C:
		return
	}
	select {
	case <-w.done:
	case <-t.C:
	}
}

// Sync does nothing: lines are passed on as they come.
func (w *Writer) Sync() error { return nil }

// New returns a logger that writes one line of key=value pairs for each event.
func New(w zapcore.WriteSyncer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(config), w, zapcore.InfoLevel))
}
