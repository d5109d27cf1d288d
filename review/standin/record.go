//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// newRecorder creates the record at the path.
func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, began: time.Now()}, nil
}

// add writes one line with the seconds since the start of the case.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns the time as seconds since the start of the case.
func (r *recorder) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }
