package cli

import (
	"errors"
	"fmt"
	"os"

	"go.uber.org/zap"

	"jasminelane.example/lane/demo"
	"jasminelane.example/lane/entry"
)

// defaultInputs are the demo's inputs, as seen from the repository's root.
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
	var failed error
	for _, path := range paths {
		err := demo.Run(f.ctx, path, t.Out, logger)
		var wrong *demo.WrongError
		switch {
		case errors.As(err, &wrong):
			failed = errors.Join(failed, err)
		case err != nil:
			return err
		}
	}
	if failed != nil {
		return &exitError{ExitExpectation, failed}
	}
	fmt.Fprintln(t.Out, "all fates as stated")
	return nil
}
