package feed

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"jasminelane.example/lane/internal/fleet/latency"
	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// maxAppendCalls bounds the calls for one append of a caller's record, because
	// the log limits the write calls of all instances together.
	maxAppendCalls = 3

	// maxHedged bounds the pending repeated calls of all appends, so that they hold
	// at most half of an instance's connections to the log for writes.
	maxHedged = 8

	// lastCallFactor is the ratio of the time of the last call to that of the
	// second one. The last call is late enough to reach a log that has recovered
	// from a short outage, in which the calls before it were lost.
	lastCallFactor = 6

	// overdueCheckPeriod is the time between two checks of whether an answer is overdue:
	// the latency may have become known since the call was made.
	overdueCheckPeriod = 50 * time.Millisecond

	// minRound is the shortest time for which the leader waits for an answer to an
	// append before it makes a further call.
	minRound = 1200 * time.Millisecond

	// callTimeout is the shortest timeout of a single call: as long as callers
	// wait.
	callTimeout = 3 * time.Second

	// maxResults is more than the number of calls for one append that can be
	// pending at the same time, within callTimeout and at least minBackoff apart.
	maxResults = 128
)

// AppendCounts counts calls of appends.
type AppendCounts struct {
	Hedged uint64 // calls that repeated one without an answer
	Late   uint64 // answers that came after they were overdue
}

// appendCounters is AppendCounts in use.
type appendCounters struct {
	hedged, late atomic.Uint64
	refused      atomic.Int64 // Unix ns of the last refusal by the log; 0 is never
	pending      atomic.Int32 // repeated calls without a result
}

// lastRefused returns when an append last failed with a certain outcome, mostly because
// the log refused it.
func (c *appendCounters) lastRefused() time.Time {
	if ns := c.refused.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// AppendCounts returns the number of repeated calls and of late answers so far.
func (f *Feed) AppendCounts() AppendCounts {
	return AppendCounts{f.appends.hedged.Load(), f.appends.late.Load()}
}

// hedge is one append for which several calls may be pending at once. The first
// answer counts. The log must store the batch only once, or a second copy of its
// records must have no effect.
type hedge struct {
	f       *Feed
	batch   Batch
	results chan callResult
	cancels []context.CancelFunc // of all calls
	pending int                  // number of calls without a result
	unknown error                // of a call that may have been executed
	refused error                // of a call that was certainly not executed
}

// callResult is the result of one call.
type callResult struct {
	offset uint64
	err    error
}

// newHedge returns an append for which no call has been made.
func (f *Feed) newHedge(b Batch) *hedge {
	return &hedge{f: f, batch: b, results: make(chan callResult, maxResults)}
}

// call makes one more call in the background. It outlives the round; run cancels it
// when ctx ends.
func (h *hedge) call(ctx context.Context) {
	f := h.f
	known := f.Latency.Estimate()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(callTimeout, latency.Longest(known)))
	repeated := h.pending > 0
	if repeated {
		f.appends.hedged.Add(1)
		f.appends.pending.Add(1)
	}
	h.cancels = append(h.cancels, cancel)
	h.pending++
	overdue := f.Latency.Overdue()
	go func() {
		defer cancel()
		began := time.Now()
		offset, err := f.Append(ctx, h.batch)
		if repeated {
			f.appends.pending.Add(-1)
		}
		if answered(err) {
			f.Latency.Observe(latency.Answer{Sent: began, Received: time.Now()})
			if time.Since(began) >= overdue {
				f.appends.late.Add(1)
			}
		}
		h.results <- callResult{offset, err}
	}()
}

// answered reports whether the log has answered an append that returned err.
func answered(err error) bool {
	var mismatch *EndMismatchError
	var fenced *FencedError
	return err == nil || errors.As(err, &mismatch) || errors.As(err, &fenced)
}

// take handles the result of a call. It reports whether the outcome of the append
// is known: it was stored, its epoch has ended, or no call is pending.
func (h *hedge) take(r callResult) (offset uint64, err error, known bool) {
	h.pending--
	var uncertain *UncertainError
	var fenced *FencedError
	switch {
	case r.err == nil, errors.As(r.err, &fenced):
		return r.offset, r.err, true
	case errors.As(r.err, &uncertain):
		h.unknown = r.err
	default:
		h.refused = r.err
		h.f.appends.refused.Store(time.Now().UnixNano())
	}
	return 0, h.err(), h.pending == 0
}

// err returns the error of an append that no call is known to have made.
func (h *hedge) err() error {
	if h.unknown != nil {
		return h.unknown
	}
	return h.refused
}

// run makes calls until the outcome is known, the context ends or the limit has
// passed. It makes the first call immediately, and another one each time that the
// answers are overdue, at most the given number in all. The limit follows the latency.
func (h *hedge) run(ctx context.Context, calls int, limit func() time.Duration) (uint64, error) {
	began := time.Now()
	h.call(ctx)
	check := time.NewTicker(overdueCheckPeriod)
	defer check.Stop()
	for made := 1; ; {
		select {
		case r := <-h.results:
			if offset, err, known := h.take(r); known {
				return offset, err
			}
		case <-check.C:
			passed := time.Since(began)
			if passed >= limit() {
				return 0, &UncertainError{context.DeadlineExceeded}
			}
			if made < calls && passed >= h.dueCall(made) && h.f.appends.pending.Load() < maxHedged {
				h.call(ctx)
				made++
			}
		case <-ctx.Done():
			return h.cancel(ctx.Err())
		}
	}
}

// dueCall returns when the next call is due, after the given number of them, as a time
// since the first one.
func (h *hedge) dueCall(made int) time.Duration {
	overdue := h.f.Latency.Overdue()
	if made > 1 {
		overdue *= lastCallFactor
	}
	return overdue
}

// cancel cancels all calls and returns the outcome, which is unknown unless all
// calls turn out not to have been sent.
func (h *hedge) cancel(cause error) (uint64, error) {
	for _, cancel := range h.cancels {
		cancel()
	}
	for h.pending > 0 {
		if offset, err, known := h.take(<-h.results); known {
			return offset, err
		}
	}
	return 0, &UncertainError{cause}
}

// append makes an append for a caller, whose deadline is that of ctx.
func (f *Feed) append(ctx context.Context, b Batch) (uint64, error) {
	return f.newHedge(b).run(ctx, maxAppendCalls, func() time.Duration { return max(callTimeout, latency.Longest(f.Latency.Estimate())) })
}

// appendRound makes the calls of one attempt of the leader. Calls of earlier
// attempts may still be pending. Only the first attempt makes several calls, so
// that an unavailable log gets few.
func (h *hedge) appendRound(ctx context.Context, attempt int) (uint64, error) {
	if attempt == 1 {
		return h.run(ctx, maxAppendCalls, func() time.Duration { return max(minRound, 2*h.f.Latency.Overdue()) })
	}
	return h.run(ctx, 1, func() time.Duration { return max(minRound, h.f.Latency.Overdue()) })
}

// Write appends a record that need not come from the leader. If it returns an
// error other than *UncertainError, the record was certainly not appended.
func (f *Feed) Write(ctx context.Context, r ledger.Record) error {
	data, err := f.Encode(r)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.init()
	f.mu.Unlock()
	if callersRecord(r) {
		if handled, err := f.writeThroughLeader(ctx, data); handled {
			return err
		}
	}
	offset, err := f.append(ctx, Batch{Records: [][]byte{data}})
	if err != nil {
		return err
	}
	f.applyOwn(offset, [][]byte{data})
	return nil
}

// applyOwn applies records that this instance has appended, without reading them
// from the log, if the state includes all earlier records.
func (f *Feed) applyOwn(offset uint64, records [][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.applyPage(Page{From: offset, Records: records})
}
