package relay

import (
	"context"
	"errors"
	"time"

	"jasminelane.example/lane/internal/fleet/latency"
)

const (
	// repeatAfter is how long a read goes without an answer, beyond the time for which the
	// store may hold it back, before it is repeated. It does not follow the latency: a
	// call into a silent store is never answered, and the latency may be known wrongly.
	repeatAfter = 1200 * time.Millisecond

	// minRepeatTime is the shortest time until the timeout of a read for which it is
	// repeated. The first call then goes on as a late one.
	minRepeatTime = latency.SlowThreshold

	// lateTime is how long a direct read without an answer goes on after its
	// timeout. A late answer shows that the store is slow and not unavailable.
	lateTime = 3 * time.Second

	// maxLateReads bounds the number of such reads, which hold connections.
	maxLateReads = 2
)

// readCall is one of the calls that are pending for a read.
type readCall struct {
	call   Call
	sent   time.Time
	result chan callResult // receives one value
	cancel context.CancelFunc
}

// makeCall makes one call for a read.
type makeCall func(ctx context.Context, c Call, repeated bool) callResult

// startRead makes one call for a read. The call ends when it is cancelled.
func startRead(ctx context.Context, c Call, repeated bool, call makeCall) *readCall {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p := &readCall{c, time.Now(), make(chan callResult, 1), cancel}
	go func() {
		defer cancel()
		p.result <- call(ctx, c, repeated)
	}()
	return p
}

// read makes a call that does not change the store, and repeats it while there is no
// answer. The first answer counts. At most two calls are pending: the first one, which a
// slow store answers first, and the newest one, which was not sent into a past outage. If
// the context ends first, read returns its error and the newest call, which still goes on.
func read(ctx context.Context, c Call, call makeCall) (callResult, *readCall) {
	first, newest := startRead(ctx, c, false, call), (*readCall)(nil)
	repeat := time.NewTimer(c.Wait + repeatAfter)
	defer repeat.Stop()
	for {
		var repeated chan callResult // nil without a second call
		if newest != nil {
			repeated = newest.result
		}
		select {
		case res := <-first.result:
			if res.err == nil || newest == nil {
				newest.stop()
				return res, nil
			}
			first, newest = newest, nil
		case res := <-repeated:
			if res.err == nil {
				first.stop()
				return res, nil
			}
			newest = nil
		case <-repeat.C:
			if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < minRepeatTime {
				continue
			}
			newest.stop()
			newest = startRead(ctx, c.repeated(), true, call)
			repeat.Reset(newest.call.Wait + repeatAfter)
		case <-ctx.Done():
			if newest != nil {
				first.stop()
				first = newest
			}
			return callResult{sent: true, err: ctx.Err()}, first
		}
	}
}

// stop cancels the call, if there is one.
func (p *readCall) stop() {
	if p != nil {
		p.cancel()
	}
}

// directRead makes a direct call that does not change the store. If the context
// times out, the call goes on in the background for a late answer.
func (r *Relay) directRead(ctx context.Context, c Call) callResult {
	res, pending := read(ctx, c, func(ctx context.Context, c Call, _ bool) callResult {
		reply, sent, err := r.CallDirect(ctx, c)
		return callResult{reply, sent, err}
	})
	switch {
	case pending == nil:
		return res
	case !errors.Is(ctx.Err(), context.DeadlineExceeded) || !r.beginLateRead():
		pending.stop()
		last := <-pending.result
		if last.err != nil {
			last.err = ctx.Err()
		}
		return last
	}
	end := time.AfterFunc(lateTime, pending.cancel)
	go func() {
		last := <-pending.result
		end.Stop()
		r.endLateRead(last, pending)
	}()
	return res
}

// beginLateRead reports whether one more read may go on after its timeout.
func (r *Relay) beginLateRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lateReads >= maxLateReads {
		return false
	}
	r.lateReads++
	return true
}

// endLateRead handles the end of a read that went on after its timeout.
func (r *Relay) endLateRead(res callResult, late *readCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateReads--
	if res.served() {
		sent := late.sent
		if !res.reply.Sent.IsZero() {
			sent = res.reply.Sent
		}
		r.Latency.Observe(latency.Answer{Sent: sent, Received: time.Now(), Wait: late.call.Wait})
		r.recordServed()
	}
}
