package replica

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff after failures of the log, with full jitter: a fleet that retried in
// step would overload the log when it returns.
const (
	backoffBase = 50 * time.Millisecond
	appendMax   = 5 * time.Second
	readMax     = time.Second // a configuration must be in force 4 s after it is accepted
)

type backoff struct {
	max time.Duration
	n   int
}

// next returns the delay before the next attempt.
func (b *backoff) next() time.Duration {
	d := b.max
	if b.n < 16 {
		d = min(b.max, backoffBase<<b.n)
	}
	b.n++
	return rand.N(d) + time.Millisecond
}

// sleep waits for the duration, the wake-up or the end of the context; it
// reports whether the context is still live.
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
