package feed

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// beatPeriod is how long a leader appends nothing before it shows that it
	// is alive; several fit into the silence after which others claim.
	beatPeriod = 400 * time.Millisecond

	maxBatchRecords = 500
	maxBatchBytes   = 512 << 10

	minBackoff = 30 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// Propose queues records of the epoch for the next append. They are dropped
// when the epoch ends; OnApply tells what became of them.
func (f *Feed) Propose(epoch uint64, records ...ledger.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ProposeLocked(epoch, records...)
}

// ProposeLocked is Propose for callers that hold the state's lock, as OnApply
// does.
func (f *Feed) ProposeLocked(epoch uint64, records ...ledger.Record) {
	if f.lead == nil || f.lead.epoch != epoch || len(records) == 0 {
		return
	}
	f.lead.queue = append(f.lead.queue, records...)
	select {
	case f.lead.wake <- struct{}{}:
	default:
	}
}

// commitLoop appends the term's records, one batch at a time.
func (f *Feed) commitLoop(ctx context.Context, t *term) {
	seq := uint64(1) // the claim's
	beat := time.NewTimer(beatPeriod)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-beat.C:
			f.Propose(t.epoch, ledger.Record{Heartbeat: &ledger.LeaderNotice{Epoch: t.epoch}})
		}
		for {
			records := f.take(t)
			if len(records) == 0 {
				break
			}
			seq++
			if !f.commit(ctx, t, seq, records) {
				return
			}
		}
		beat.Reset(beatPeriod)
	}
}

// take removes the next batch from the queue, encoded.
func (f *Feed) take(t *term) [][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out [][]byte
	size := 0
	for len(t.queue) > 0 && len(out) < maxBatchRecords && size < maxBatchBytes {
		r := t.queue[0]
		t.queue = t.queue[1:]
		data, err := ledger.Encode(r)
		if err != nil {
			f.Logger.Error("record not encoded", zap.Error(err))
			continue
		}
		size += len(data)
		out = append(out, data)
	}
	return out
}

// commit appends one batch, however often that has to be tried; it returns
// false when the term has ended.
func (f *Feed) commit(ctx context.Context, t *term, seq uint64, records [][]byte) bool {
	backoff := minBackoff
	for try := 1; ctx.Err() == nil; try++ {
		// A try without answer is repeated with the same number, which has no
		// second effect.
		offset, err := f.attempt(ctx, Batch{Records: records, Epoch: t.epoch, Seq: seq})
		var fenced *FencedError
		switch {
		case err == nil:
			if try > 1 {
				f.Logger.Info("append regained", zap.Uint64("epoch", t.epoch), zap.Int("tries", try))
			}
			f.own(offset, records)
			return true
		case errors.As(err, &fenced):
			f.stepDown("fenced")
			return false
		}
		if try == 1 {
			f.Logger.Warn("append failed", zap.Uint64("epoch", t.epoch), zap.Uint64("seq", seq), zap.Int("records", len(records)), zap.Error(err))
		}
		delay.For(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return false
}
