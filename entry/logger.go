package entry

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes each event as one line in logfmt
// (key=value pairs), for example
//
//	ts=2026-12-04T05:20:55Z level=info msg=joined instance=e1 offset=17
func NewLogger(w io.Writer, verbose bool) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	level := zapcore.InfoLevel
	if verbose {
		level = zapcore.DebugLevel
	}
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(zapcore.AddSync(w)), level))
}
