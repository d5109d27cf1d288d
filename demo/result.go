package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"jasminelane.example/lane/trace"
)

// Result is the result of playing one input.
type Result struct {
	Name          string
	Items         []ItemResult
	Violations    []string // of the rules that always hold, found in the stand-ins' audit trails
	Fragmentation float64  // mean over the run
	Elapsed       time.Duration
}

// MismatchError reports an input that did not end as expected, or a rule that was
// violated.
type MismatchError struct {
	Name       string
	Mismatches []ItemResult
	Violations []string
}

// Error lists the items that ended otherwise than expected and the violations.
func (e *MismatchError) Error() string {
	lines := []string{fmt.Sprintf("%s: %d outcomes missing or wrong, %d violations", e.Name, len(e.Mismatches), len(e.Violations))}
	for _, f := range e.Mismatches {
		lines = append(lines, fmt.Sprintf("  %s %s: want %s, got %s (%s)", f.Type, f.ID, f.Want, f.Got, f.Reason))
	}
	for _, v := range e.Violations {
		lines = append(lines, "  "+v)
	}
	return strings.Join(lines, "\n")
}

// Err returns nil if everything ended as expected and no rule was violated,
// otherwise *MismatchError.
func (r *Result) Err() error {
	var wrong []ItemResult
	for _, f := range r.Items {
		if !f.OK() {
			wrong = append(wrong, f)
		}
	}
	if len(wrong) == 0 && len(r.Violations) == 0 {
		return nil
	}
	return &MismatchError{r.Name, wrong, r.Violations}
}

// Print writes the completion times by type, the fragmentation and the number of
// violations.
func (r *Result) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\tcount\tdone\tmean ms\tp50\tp95\tp99\t\n", r.Name)
	var types []string
	for _, f := range r.Items {
		if !slices.Contains(types, f.Type) {
			types = append(types, f.Type)
		}
	}
	slices.Sort(types)
	for _, typ := range types {
		h := hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)
		count, done := 0, 0
		for _, f := range r.Items {
			if f.Type != typ {
				continue
			}
			count++
			if f.Got == "done" {
				done++
				_ = h.RecordValue(f.TookMs)
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%d\t%d\t%d\t\n", typ, count, done, h.Mean(),
			h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99))
	}
	_ = w.Flush()
	fmt.Fprintf(out, "fragmentation, mean over the run: %.3f\nviolations: %d\ntook: %s\n", r.Fragmentation, len(r.Violations), r.Elapsed.Round(time.Millisecond))
}

// Run plays the trace at the path against a deployment of its own and prints the
// result; it fails with *trace.FileError, *StartError or *MismatchError.
func Run(ctx context.Context, path string, out io.Writer, logger *zap.Logger) error {
	t, err := trace.ReadFile(path)
	if err != nil {
		return err
	}
	d := &Deployment{Trace: t, Logger: logger}
	fmt.Fprintf(out, "== %s: %d racks, %d accounts, %d jobs, %d requests\n", t.Head.Name, len(t.Racks), len(t.Accounts), len(t.Jobs), len(t.Requests))
	if err := d.Start(ctx); err != nil {
		return err
	}
	defer d.Stop()
	p := &Player{Deployment: d, Out: out}
	r := p.Run(ctx)
	r.Print(out)
	return r.Err()
}
