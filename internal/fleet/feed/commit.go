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
	// heartbeatPeriod is how long a leader appends nothing before it appends a
	// heartbeat. Several heartbeats fit into leaderTimeout.
	heartbeatPeriod = 400 * time.Millisecond

	// maxBatchRecords and maxBatchBytes bound one append. The last record of a
	// batch may exceed maxBatchBytes.
	maxBatchRecords = 500
	maxBatchBytes   = 512 << 10

	// minBackoff and maxBackoff bound the delay between two attempts to append a
	// batch. The delay doubles after each attempt.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// Propose queues records for the next append in the epoch. Records that are
// still queued when the epoch ends are dropped, as are those queued after the
// leader has begun to hand over. OnApply reports the records that
// were appended and whether they had an effect.
func (f *Feed) Propose(epoch uint64, records ...ledger.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ProposeLocked(epoch, records...)
}

// ProposeLocked is like Propose, for callers that hold the lock of the state,
// such as OnApply.
func (f *Feed) ProposeLocked(epoch uint64, records ...ledger.Record) {
	if f.term == nil || f.term.epoch != epoch || f.term.handover != nil || len(records) == 0 {
		return
	}
	f.term.queue = append(f.term.queue, records...)
	f.term.signal()
}

// commitLoop appends the queued records of the term, one batch at a time, and
// heartbeats when the queue stays empty. It repeats the claim before it expires.
func (f *Feed) commitLoop(ctx context.Context, t *term) {
	seq := uint64(1) // number of the append that claimed the epoch
	heartbeat := time.NewTimer(heartbeatPeriod)
	defer heartbeat.Stop()
	claims, stop := every(f.Retention / claimsPerRetention)
	defer stop()
	defer f.refuseForwarded(t)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-heartbeat.C:
			f.Propose(t.epoch, f.heartbeatRecord(t.epoch))
		case <-claims:
			f.Propose(t.epoch, f.claimRecord(t.epoch))
		}
		for {
			b := f.nextBatch(t)
			if len(b.records) == 0 {
				break
			}
			seq++
			if !f.commit(ctx, t, seq, b.records) {
				b.answerForwarded(&UncertainError{errTermEnded})
				return
			}
			b.answerForwarded(nil)
			select {
			case <-claims: // the queue may never be empty while the log is slow
				f.Propose(t.epoch, f.claimRecord(t.epoch))
			default:
			}
		}
		if claim := f.handoverOf(t); claim != nil {
			f.appendHandover(ctx, t, *claim)
			return
		}
		heartbeat.Reset(heartbeatPeriod)
	}
}

// heartbeatRecord returns a heartbeat. It announces the latency of a slow log, for
// instances that append and read too rarely to know it.
func (f *Feed) heartbeatRecord(epoch uint64) ledger.Record {
	return ledger.Record{Heartbeat: &ledger.LeaderNotice{Epoch: epoch, Latency: f.Latency.SlowLatency().Milliseconds()}}
}

// every returns a channel that receives a value once per period, never if the
// period is 0, and a function that ends this.
func every(period time.Duration) (<-chan time.Time, func()) {
	if period <= 0 {
		return nil, func() {}
	}
	t := time.NewTicker(period)
	return t.C, t.Stop
}

// Encode returns the record as it is stored in the log. It fails with
// *ledger.CodecError, or with *RecordSizeError if the log does not accept it.
func (f *Feed) Encode(r ledger.Record) ([]byte, error) {
	data, err := ledger.Encode(r)
	if err != nil {
		return nil, err
	}
	return data, f.checkSize(data)
}

// checkSize returns *RecordSizeError if the log does not accept an encoded record. An
// append with such a record would be repeated, and keep all later ones from the log.
func (f *Feed) checkSize(data []byte) error {
	if f.MaxRecordBytes > 0 && len(data) > f.MaxRecordBytes {
		return &RecordSizeError{len(data), f.MaxRecordBytes}
	}
	return nil
}

// leaderBatch is the content of one append of the leader.
type leaderBatch struct {
	records   [][]byte
	forwarded []*forwarded // those of the records that other instances have forwarded
}

// nextBatch removes the next batch from the queue and encodes its records.
func (f *Feed) nextBatch(t *term) leaderBatch {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out leaderBatch
	size := 0
	for len(t.queue) > 0 && len(out.records) < maxBatchRecords && size < maxBatchBytes {
		r := t.queue[0]
		t.queue = t.queue[1:]
		data, err := f.Encode(r)
		if err != nil {
			f.Logger.Error("record dropped: it cannot be stored", zap.Error(err))
			continue
		}
		size += len(data)
		out.records = append(out.records, data)
	}
	t.takeForwarded(&out, size)
	return out
}

// commit appends one batch and retries until the append succeeds. It returns
// false if the term has ended.
func (f *Feed) commit(ctx context.Context, t *term, seq uint64, records [][]byte) bool {
	backoff := minBackoff
	// A call without an answer is repeated with the same sequence number, so that
	// the log stores the batch only once.
	h := f.newHedge(Batch{Records: records, Epoch: t.epoch, Seq: seq})
	for attempt := 1; ctx.Err() == nil; attempt++ {
		offset, err := h.appendRound(ctx, attempt)
		var fenced *FencedError
		switch {
		case err == nil:
			if attempt > 1 {
				f.Logger.Info("append succeeded after retries", zap.Uint64("epoch", t.epoch), zap.Int("tries", attempt))
			}
			f.applyOwn(offset, records)
			return true
		case errors.As(err, &fenced):
			f.stepDown("fenced")
			return false
		}
		if attempt == 1 {
			f.Logger.Warn("append failed; retrying while this instance leads", zap.Uint64("epoch", t.epoch), zap.Uint64("seq", seq), zap.Int("records", len(records)), zap.Error(err))
		}
		delay.For(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return false
}
