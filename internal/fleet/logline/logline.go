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

// maxPending bounds the queued lines. At about 200 bytes a line they take 100
// KiB at most.
const maxPending = 512

// Writer queues lines and writes them to Out in a goroutine of its own. Set Out
// and call Start before the first Write.
type Writer struct {
	Out io.Writer

	lines   chan []byte // a nil line ends the writer
	dropped atomic.Uint64
	done    chan struct{}
}

// Start starts the goroutine that writes to Out.
func (w *Writer) Start() {
	w.lines = make(chan []byte, maxPending)
	w.done = make(chan struct{})
	go w.forward()
}

// Write queues a copy of the line, or drops the line if the queue is full. It
// never blocks.
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

// forward writes the queued lines to Out, preceded by a warning whenever lines
// were dropped, until Close.
func (w *Writer) forward() {
	defer close(w.done)
	reported := uint64(0)
	for line := range w.lines {
		if line == nil {
			return
		}
		if n := w.dropped.Load(); n != reported {
			reported = n
			_, _ = fmt.Fprintf(w.Out, "level=warn msg=\"log lines dropped\" total=%d\n", n)
		}
		_, _ = w.Out.Write(line) // a failed write cannot be reported anywhere else
	}
}

// Close stops the writer after the queued lines are written, and waits for that
// no longer than limit.
func (w *Writer) Close(limit time.Duration) {
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

// Sync does nothing, since lines are written as soon as possible.
func (w *Writer) Sync() error { return nil }

// New returns a logger that writes each event as one line of key=value pairs.
func New(w zapcore.WriteSyncer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(printingCore{zapcore.NewCore(zaplogfmt.NewEncoder(config), w, zapcore.InfoLevel)})
}

// printingCore prints the fields for which the encoder has no format of its own.
// The encoder panics on some of them, such as slices of structs.
type printingCore struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c printingCore) With(fields []zapcore.Field) zapcore.Core {
	return printingCore{c.Core.With(printReflected(fields))}
}

// Check implements zapcore.Core.
func (c printingCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write implements zapcore.Core.
func (c printingCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, printReflected(fields))
}

// printReflected replaces the fields that hold an arbitrary value by strings.
func printReflected(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		if f.Type == zapcore.ReflectType {
			fields[i] = zap.String(f.Key, fmt.Sprint(f.Interface))
		}
	}
	return fields
}
