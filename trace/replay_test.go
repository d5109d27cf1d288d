package trace

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var plots = flag.String("plots", "", "directory to write the plots of all traces to")

// ratios contains the measures that compare the product with the baseline. The
// other measures are invariants, which hold with any policy.
var ratios = map[string]bool{"urgentratio": true, "fragratio": true, "longratio": true}

// replayResult is the result of a replay. Each trace is replayed once for all
// tests.
type replayResult struct {
	res Result
	err error
}

var replayResults = map[string]replayResult{}

// failures returns the failed expectations of the trace that match the filter.
// Errors other than failed expectations end the test.
func failures(t *testing.T, name string, pick func(Expect) bool) string {
	t.Helper()
	is := is.New(t)
	o, ok := replayResults[name]
	if !ok {
		o.res, o.err = Run(tracePath(name), Options{})
		replayResults[name] = o
		if testing.Verbose() {
			is.NoErr(o.res.WriteTable(os.Stdout))
		}
		if *plots != "" {
			is.NoErr(o.res.Plot(*plots))
		}
	}
	var xe *ExpectError
	if !errors.As(o.err, &xe) {
		is.NoErr(o.err)
		return ""
	}
	var out []string
	for _, f := range xe.Failures {
		if pick(f.Expect) {
			out = append(out, f.String())
		}
	}
	return strings.Join(out, "; ")
}

// Guards against violated invariants, partial gangs, lost jobs, non-repeatable
// requests that run twice, and guaranteed jobs that wait too long, on every
// trace.
func TestReplay(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			if got := failures(t, name, func(x Expect) bool { return !ratios[x.Measure] }); got != "" {
				t.Fatal(got)
			}
		})
	}
}

// Guards against decisions that, compared with the naive baseline, miss the
// targets of section 1.5 of the design page.
func TestAims(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			if got := failures(t, name, func(x Expect) bool { return ratios[x.Measure] }); got != "" {
				t.Fatal(got)
			}
		})
	}
}

// Guards against replays that depend on the iteration order of a map or on real
// time, and against results that cannot be written as JSON or plotted.
func TestRepeatable(t *testing.T) {
	is := is.New(t)
	var texts []string
	for range 2 {
		res, err := Run(tracePath("log-outage"), Options{})
		var xe *ExpectError
		is.True(err == nil || errors.As(err, &xe))
		res.Took = 0
		var out bytes.Buffer
		is.NoErr(res.WriteJSON(&out))
		is.True(json.Valid(out.Bytes()))
		texts = append(texts, out.String())
		dir := t.TempDir()
		is.NoErr(res.Plot(dir))
		files, err := filepath.Glob(filepath.Join(dir, "*.png"))
		is.NoErr(err)
		is.Equal(len(files), 2)
	}
	is.Equal(texts[0], texts[1])
}
