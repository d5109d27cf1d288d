package intake

import (
	"context"
	"fmt"
	"time"

	"jasminelane.example/lane/internal/fleet/feed"
)

const (
	// configReadTimeout bounds the wait of a request for a read of the configuration.
	configReadTimeout = 250 * time.Millisecond

	// outageReadTimeout is that time while the log is known to be unavailable. The store
	// answers within a few milliseconds when it is back.
	outageReadTimeout = 60 * time.Millisecond
)

// OutdatedConfigError reports that a newer configuration may have come into force that the
// instance has not read.
type OutdatedConfigError struct {
	RetryAfter time.Duration // delay after which a request may be retried
	Err        error
}

// Error returns a message that contains the cause.
func (e *OutdatedConfigError) Error() string {
	return fmt.Sprintf("configuration may be outdated: %v", e.Err)
}

// Unwrap returns the cause.
func (e *OutdatedConfigError) Unwrap() error { return e.Err }

// ConfigOutdated reports whether a newer configuration may have come into force that the
// instance has not read.
func (n *Intake) ConfigOutdated() bool {
	return n.MaxConfigAge > 0 && n.Policy.Status().Age > feed.StaleTime(n.MaxConfigAge, n.Feed.Latency.SlowLatency())
}

// EnsureConfig makes sure that the configuration is recent enough to decide on a request. If
// it may be outdated, the store is read at once. It returns *OutdatedConfigError if that
// fails.
func (n *Intake) EnsureConfig(ctx context.Context) error {
	if !n.ConfigOutdated() {
		return nil
	}
	timeout := configReadTimeout
	if n.Feed.LogDown() {
		timeout = outageReadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := n.Policy.Refresh(ctx); err != nil {
		return &OutdatedConfigError{n.retryAfter(), err}
	}
	return nil
}
