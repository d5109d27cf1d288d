package feed

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// minPatience is the shortest time that an append may take; the log
	// answers in some milliseconds.
	minPatience = 150 * time.Millisecond

	// maxPatience is the longest one, for a log that is slow.
	maxPatience = 1200 * time.Millisecond

	// patienceFactor is how many times its recent duration an append may take.
	patienceFactor = 4
)

// patience is how long to wait for an append's answer. Answers get lost, and
// the log is slow at times; it follows what appends took lately.
type patience struct {
	mu   sync.Mutex
	next time.Duration
}

func (p *patience) get() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.next, minPatience)
}

// answered shortens or lengthens the time towards what the append took.
func (p *patience) answered(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = min(max(p.next/2, patienceFactor*took, minPatience), maxPatience)
}

// missed lengthens the time after an append without answer.
func (p *patience) missed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = min(2*max(p.next, minPatience), maxPatience)
}

// attempt makes one append with as much time as appends take at present.
func (f *Feed) attempt(ctx context.Context, b Batch) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.patience.get())
	defer cancel()
	began := time.Now()
	offset, err := f.Append(ctx, b)
	var lost *UncertainError
	switch {
	case err == nil:
		f.patience.answered(time.Since(began))
	case errors.As(err, &lost) && ctx.Err() != nil:
		f.patience.missed()
	}
	return offset, err
}
