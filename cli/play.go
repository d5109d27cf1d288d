package cli

import (
	"errors"
	"fmt"
	"os"

	"go.uber.org/zap"

	"jasminelane.example/lane/demo"
	"jasminelane.example/lane/entry"
	"jasminelane.example/lane/measure"
	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/trace"
)

// defaultInputs are the inputs of a demo without arguments, relative to the
// repository's root.
var defaultInputs = []string{"examples/chirakkal.jsonl", "examples/sandalwood.jsonl"}

func runDemo(t *Tool, f *flags) error {
	logFile := f.String("log", "", "write the instances' log lines to this file")
	if err := f.parse(-1); err != nil {
		return err
	}
	paths := f.args
	if len(paths) == 0 {
		paths = defaultInputs
	}
	logger := zap.NewNop()
	if *logFile != "" {
		out, err := os.Create(*logFile)
		if err != nil {
			return err
		}
		defer out.Close()
		logger = entry.NewLogger(out, false)
	}
	var mismatches error
	for _, path := range paths {
		err := demo.Run(f.ctx, path, t.Out, logger)
		var mismatch *demo.MismatchError
		switch {
		case errors.As(err, &mismatch):
			mismatches = errors.Join(mismatches, err)
		case err != nil:
			return err
		}
	}
	if mismatches != nil {
		return withExit(mismatches, ExitExpectation)
	}
	fmt.Fprintln(t.Out, "all fates as stated")
	return nil
}

func runReplay(t *Tool, f *flags) error {
	plot := f.String("plot", "", "also write plots as PNG files to this directory")
	completion := f.Float64("completion", -1, "weight of completion time; default from the trace")
	fragmentation := f.Float64("fragmentation", -1, "weight of fragmentation; default from the trace")
	if err := f.parse(-1); err != nil {
		return err
	}
	if len(f.args) == 0 {
		return &UsageError{"replay wants at least one trace file"}
	}
	var o trace.Options
	switch {
	case *completion >= 0 && *fragmentation >= 0:
		o.Policy = &placement.Policy{CompletionWeight: *completion, FragmentationWeight: *fragmentation}
	case *completion >= 0 || *fragmentation >= 0:
		return &UsageError{"-completion and -fragmentation go together"}
	}
	var mismatches error
	for _, path := range f.args {
		r, err := trace.Run(path, o)
		var mismatch *trace.ExpectError
		if err != nil && !errors.As(err, &mismatch) {
			return err
		}
		mismatches = errors.Join(mismatches, err)
		show := r.WriteTable
		if f.output == "json" {
			show = r.WriteJSON
		}
		if err := show(t.Out); err != nil {
			return err
		}
		if *plot != "" {
			if err := r.Plot(*plot); err != nil {
				return err
			}
		}
	}
	if mismatches != nil {
		return withExit(mismatches, ExitExpectation)
	}
	return nil
}

func runMeasure(t *Tool, f *flags) error {
	if err := f.parse(0); err != nil {
		return err
	}
	r, err := measure.Run(f.ctx, t.Err)
	if err != nil {
		return err
	}
	return r.Write(t.Out)
}
