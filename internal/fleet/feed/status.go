package feed

import (
	"context"
	"time"
)

const (
	// probeTimeout bounds the read that tests whether an unavailable log is
	// readable again, unless the log is known to be slower.
	probeTimeout = 60 * time.Millisecond

	// StaleAfter is the time since the last successful read after which the
	// state is stale, unless the log is slow.
	StaleAfter = 2 * time.Second

	// staleLatencies is how much longer that time is on a slow log, as a multiple
	// of its latency: a read without records, and the next one.
	staleLatencies = 2
)

// StaleTime returns after which time without a successful read data is stale, which is the
// given one unless the log is slow.
func StaleTime(usual, slow time.Duration) time.Duration { return usual + staleLatencies*slow }

// Status describes how current the state of a Feed is.
type Status struct {
	CaughtUp bool          // the log has been read to its end once
	Age      time.Duration // time since the last successful read
	Next     uint64        // offset of the next record to apply
	Epoch    uint64
	Leader   string
	slow     time.Duration // latency of the log while it is slow, otherwise 0
}

// Fresh reports whether the state is recent enough to contain all accepted jobs
// except the newest ones.
func (s Status) Fresh() bool { return s.CaughtUp && s.Age < StaleTime(StaleAfter, s.slow) }

// Status reports how current the state is.
func (f *Feed) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return Status{f.caughtUp, time.Since(f.lastRead), f.next, f.state.Epoch, f.state.Leader.Instance, f.Latency.SlowLatency()}
}

// LogDown reports whether the last read of the log failed, and no late answer of
// the log has arrived since then.
func (f *Feed) LogDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readsFailing && !f.Latency.AnsweredSince(f.lastFailure)
}

// ProbeLog reads the log once, with a short timeout, and reports whether the
// read succeeded.
func (f *Feed) ProbeLog(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, max(probeTimeout, 2*f.Latency.Estimate()))
	defer cancel()
	_, err := f.poll(ctx, 0)
	return err == nil
}

// Outage returns how long reads of the log have been failing. It is 0 if the
// last read succeeded.
func (f *Feed) Outage() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.readsFailing {
		return 0
	}
	return time.Since(f.failingSince)
}
