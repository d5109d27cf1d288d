package entry

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/go-logfmt/logfmt"
	"github.com/matryer/is"
	"go.uber.org/zap"
)

// TestLogger guards against events that are written in several lines, or that are
// not valid logfmt, because of special characters in the values.
func TestLogger(t *testing.T) {
	for _, c := range []struct{ value, name string }{
		{"plain", "plain"},
		{"two words", "spaces"},
		{"two\nlines\r\n", "line breaks"},
		{`a "quoted" = value\`, "quotes"},
		{"", "empty"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var b bytes.Buffer
			l := NewLogger(&b, false)
			l.Info("refused", zap.String("detail", c.value), zap.Error(errors.New(c.value)), zap.Uint64("offset", 17))
			l.Debug("not shown")
			is.Equal(strings.Count(b.String(), "\n"), 1)
			got := map[string]string{}
			d := logfmt.NewDecoder(&b)
			for d.ScanRecord() {
				for d.ScanKeyval() {
					got[string(d.Key())] = string(d.Value())
				}
			}
			is.NoErr(d.Err())
			is.Equal(got["level"], "info")
			is.Equal(got["msg"], "refused")
			is.Equal(got["detail"], c.value)
			is.Equal(got["error"], c.value)
			is.Equal(got["offset"], "17")
			is.True(got["ts"] != "")
		})
	}
	is := is.New(t)
	var b bytes.Buffer
	NewLogger(&b, true).Debug("shown")
	is.True(strings.Contains(b.String(), "level=debug"))
}
