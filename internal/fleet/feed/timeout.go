package feed

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// minAppendTimeout is the shortest timeout of an append. The log normally
	// answers within a few milliseconds.
	minAppendTimeout = 150 * time.Millisecond

	// maxAppendTimeout is the longest timeout of an append, for a slow log.
	maxAppendTimeout = 1200 * time.Millisecond

	// appendTimeoutFactor is the ratio of the timeout to the duration of a recent
	// append.
	appendTimeoutFactor = 4
)

// appendTimeout is the adaptive timeout of appends. It follows the duration of
// recent appends, because answers get lost and the log is slow at times.
type appendTimeout struct {
	mu   sync.Mutex
	next time.Duration
}

// get returns the timeout for the next append.
func (t *appendTimeout) get() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.next, minAppendTimeout)
}

// observe adapts the timeout to the duration of an append that was answered. One
// call at most halves the timeout.
func (t *appendTimeout) observe(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = min(max(t.next/2, appendTimeoutFactor*took, minAppendTimeout), maxAppendTimeout)
}

// expired doubles the timeout, up to maxAppendTimeout, after an append without an
// answer.
func (t *appendTimeout) expired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = min(2*max(t.next, minAppendTimeout), maxAppendTimeout)
}

// tryAppend makes one append with the current timeout and adapts the timeout to
// the result.
func (f *Feed) tryAppend(ctx context.Context, b Batch) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.appendTimeout.get())
	defer cancel()
	began := time.Now()
	offset, err := f.Append(ctx, b)
	var uncertain *UncertainError
	switch {
	case err == nil:
		f.appendTimeout.observe(time.Since(began))
	case errors.As(err, &uncertain) && ctx.Err() != nil:
		f.appendTimeout.expired()
	}
	return offset, err
}
