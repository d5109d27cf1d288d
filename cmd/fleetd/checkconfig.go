package main

import (
	"fmt"
	"io"
	"os"

	"jasminelane.example/lane/internal/fleet/configcheck"
	"jasminelane.example/lane/platform"
)

// checkConfig checks the configuration in a file and prints the findings. inForce
// is the path of the version in force, or empty. It returns the exit code of the
// process: 0 without errors, 1 with errors, 2 if a file cannot be read.
func checkConfig(out, errOut io.Writer, path, inForce string) int {
	data, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return 2
	}
	var current []byte
	if inForce != "" {
		if current, err = os.ReadFile(inForce); err != nil {
			fmt.Fprintln(errOut, err)
			return 2
		}
	}
	findings, err := platform.CheckConfig(data, current)
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", inForce, err)
		return 2
	}
	for _, f := range findings {
		fmt.Fprintln(out, f)
	}
	if configcheck.HasErrors(findings) {
		return 1
	}
	return 0
}
