package replica

import (
	"context"
	"math/rand/v2"
	"time"
)

// Delays of the exponential backoff after failed requests to the log. The
// jitter is full, because instances that retry at the same time would overload
// the log when it recovers.
const (
	baseDelay      = 50 * time.Millisecond
	maxAppendDelay = 5 * time.Second
	maxReadDelay   = time.Second // a configuration must take effect within 4 s of its acceptance
)

// backoff computes the delays between failed attempts.
type backoff struct {
	max      time.Duration
	failures int
}

// next returns the delay before the next attempt.
func (b *backoff) next() time.Duration {
	d := b.max
	if b.failures < 16 {
		d = min(b.max, baseDelay<<b.failures)
	}
	b.failures++
	return rand.N(d) + time.Millisecond
}

// sleep waits until the duration has passed, wake is closed or the context
// ends. It reports whether the context is still live.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
