package replica

import (
	"bytes"
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
)

// minVersion is the lowest record.Version that can apply the batches that this
// program appends.
const minVersion = 1

// appendBatches appends the instance's join record and then the queued
// proposals, one batch at a time, until the context ends. It starts once the
// replica has caught up with the log.
func (r *Replica) appendBatches(ctx context.Context) error {
	for !r.caughtUp() {
		wake := r.progress.wait()
		if r.caughtUp() {
			break
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return nil
		}
	}
	if err := r.join(ctx); err != nil || ctx.Err() != nil {
		return err
	}
	delay := backoff{max: maxAppendDelay}
	for ctx.Err() == nil {
		wake := r.queue.recordsAdded.wait()
		p := r.queue.take()
		if p == nil {
			select {
			case <-wake:
			case <-ctx.Done():
			}
			continue
		}
		r.appendUntilSettled(ctx, p, &delay)
	}
	return nil
}

func (r *Replica) caughtUp() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.view.caughtUp
}

// join appends the instance's join record as the writer's first batch, before
// any proposal. It fails with *JoinError if the record is rejected.
func (r *Replica) join(ctx context.Context) error {
	if r.Join.Name == "" {
		return nil
	}
	rec, err := record.New(record.KindJoin, "join/"+r.Writer, r.Join)
	if err != nil {
		return err
	}
	prop := &proposal{records: []record.Record{rec}, done: make(chan result, 1)}
	delay := backoff{max: maxAppendDelay}
	for ctx.Err() == nil {
		p := r.queue.makePending(prop)
		if p == nil {
			return nil // the queue is closed
		}
		r.appendUntilSettled(ctx, p, &delay)
		select {
		case res := <-prop.done:
			if res.err == nil && !res.admitted {
				<-ctx.Done() // tail ends this incarnation and reports the reason
				return nil
			}
			if res.err == nil && !res.decisions[0].Accepted() {
				return &JoinError{res.decisions[0]}
			}
			return nil
		default:
		}
	}
	return nil
}

// makePending makes the proposal the pending batch, ahead of all that are
// queued. It returns nil if the queue is closed.
func (q *queue) makePending(prop *proposal) *batch {
	q.mu.Lock()
	defer q.mu.Unlock()
	for priority := range q.waiting { // a failed attempt put the proposal back
		for i, waiting := range q.waiting[priority] {
			if waiting == prop {
				q.waiting[priority] = append(q.waiting[priority][:i], q.waiting[priority][i+1:]...)
				q.records -= len(prop.records)
				break
			}
		}
	}
	if q.closed {
		return nil
	}
	q.pending = &batch{seq: q.lastSeq + 1, proposals: []*proposal{prop}, done: make(chan struct{})}
	return q.pending
}

// appendUntilSettled appends the batch repeatedly until it is settled. If the
// first attempt certainly had no effect, it puts the proposals back into the
// queue instead.
func (r *Replica) appendUntilSettled(ctx context.Context, p *batch, delay *backoff) {
	if err := r.encode(p); err != nil {
		r.queue.fail(p, err)
		return
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if !r.awaitResume(ctx) || p.settled() {
			return
		}
		if attempt > 0 {
			r.counters.reappends.Add(1)
		}
		wasUncertain := r.queue.setUncertain(p, true)
		offset, err := r.tryAppend(ctx, p)
		var lost *stream.LostResponseError
		switch {
		case err == nil:
			delay.failures = 0
			r.awaitSettled(ctx, p, offset+1)
		case errors.As(err, &lost):
			r.settleLostResponse(ctx, p, delay)
			if attempt > 0 && !p.settled() {
				r.pause(ctx, delay, p.done) // responses are lost repeatedly
			}
		default:
			if !wasUncertain {
				// The log has no copy of the batch. The next batch can thus
				// put more urgent proposals first, and proposals whose
				// deadline passes meanwhile are withdrawn.
				r.queue.putBack(p)
				r.pause(ctx, delay, nil)
				return
			}
			r.pause(ctx, delay, p.done)
		}
		if p.settled() {
			return
		}
	}
}

func (r *Replica) encode(p *batch) error {
	b := record.Batch{Writer: r.Writer, Seq: p.seq, At: r.Clock().UnixMilli(), SnapshotEnd: r.snapshotEnd.Load(), MinVersion: minVersion}
	for _, prop := range p.proposals {
		b.Records = append(b.Records, prop.records...)
	}
	var err error
	p.data, err = record.Encode(&b)
	return err
}

func (r *Replica) tryAppend(ctx context.Context, p *batch) (uint64, error) {
	actx, cancel := context.WithTimeout(ctx, r.AppendTimeout)
	defer cancel()
	r.counters.appends.Add(1)
	offset, err := r.Log.Append(actx, p.data)
	r.queue.setLogErr(err)
	defer r.progress.fire()
	if err == nil {
		return offset, nil
	}
	var lost *stream.LostResponseError
	if errors.As(err, &lost) {
		r.counters.lost.Add(1)
	} else {
		r.counters.refused.Add(1)
	}
	r.Logger.Warn("append failed", zap.Uint64("seq", p.seq), zap.Error(err))
	return 0, err
}

// settleLostResponse reads the end of the log after a lost response and waits
// until all entries before it are settled. If that does not settle the batch,
// the batch was not in the log at that time. A delayed copy can still arrive, so
// the caller appends the same bytes again.
func (r *Replica) settleLostResponse(ctx context.Context, p *batch, delay *backoff) {
	for ctx.Err() == nil && !p.settled() {
		rctx, cancel := context.WithTimeout(ctx, r.ReadTimeout)
		_, end, err := r.Log.Bounds(rctx)
		cancel()
		if err == nil {
			r.awaitSettled(ctx, p, end)
			return
		}
		r.pause(ctx, delay, p.done)
	}
}

// awaitSettled waits until the batch is settled, or until all entries before the
// offset are applied and their decisions passed on.
func (r *Replica) awaitSettled(ctx context.Context, p *batch, offset uint64) {
	for {
		wake := r.changed.wait()
		if r.queue.settledBefore(offset) {
			return
		}
		select {
		case <-p.done:
			return
		case <-wake:
		case <-ctx.Done():
			return
		}
	}
}

// awaitResume delays the first append after an outage, so that the instances
// do not all append at the same moment when the log recovers. It reports whether
// the context is still live.
func (r *Replica) awaitResume(ctx context.Context) bool {
	r.mu.RLock()
	d := r.view.resumeAt.Sub(r.Clock())
	r.mu.RUnlock()
	if d <= 0 {
		return ctx.Err() == nil
	}
	return sleep(ctx, min(d, r.MaxResumeDelay), nil)
}

// pause waits for the backoff delay before the next attempt. It returns early
// when the log recovers from an outage or the batch is settled.
func (r *Replica) pause(ctx context.Context, delay *backoff, settled <-chan struct{}) {
	end := time.Now().Add(delay.next())
	r.mu.RLock()
	resume := r.view.resumeAt
	r.mu.RUnlock()
	for {
		wake := r.progress.wait()
		r.mu.RLock()
		recovered := r.view.resumeAt != resume
		r.mu.RUnlock()
		d := time.Until(end)
		if recovered || d <= 0 {
			return
		}
		t := time.NewTimer(d)
		select {
		case <-wake:
			t.Stop()
		case <-t.C:
			return
		case <-settled:
			t.Stop()
			return
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// settle passes the state's decisions on a batch of this writer, read from the
// log, to its proposers. It fails with *FencedError if the state no longer
// accepts the writer.
func (r *Replica) settle(e stream.Entry, b *record.Batch, decisions []state.Decision, admitted bool) error {
	q := &r.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.pending
	switch {
	case b.Seq <= q.lastSeq:
		return nil // settled before: a duplicate, or the entry was read again after a reload
	case p == nil || b.Seq != p.seq || !bytes.Equal(e.Data, p.data):
		if admitted {
			return &FencedError{r.Writer, state.ReasonExists} // another process uses the same writer identity
		}
		return nil
	}
	reason := decisions[0].Reason
	for _, prop := range p.proposals {
		prop.done <- result{decisions: decisions[:len(prop.records):len(prop.records)], admitted: admitted}
		decisions = decisions[len(prop.records):]
	}
	q.pending = nil
	close(p.done)
	if !admitted {
		// The whole batch is stale, fenced or out of sequence. The same applies
		// to each later batch and each later copy of this one.
		return &FencedError{r.Writer, reason}
	}
	q.lastSeq = b.Seq
	return nil
}

// settleLoaded settles the pending batch if a state loaded from a snapshot
// already includes it. The snapshot does not contain the decisions on the batch,
// so its proposals fail with *UnknownOutcomeError. It fails with *FencedError if
// the loaded state no longer accepts the writer.
func (r *Replica) settleLoaded(offset uint64, w *state.Writer) error {
	q := &r.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.pending; p != nil && w != nil && w.Seq >= p.seq {
		for _, prop := range p.proposals {
			prop.done <- result{err: &UnknownOutcomeError{r.Writer, p.seq, &MissedDecisionError{offset}}}
		}
		q.pending, q.lastSeq = nil, p.seq
		close(p.done)
	}
	switch {
	case w != nil && w.Fenced:
		return &FencedError{r.Writer, state.ReasonFenced}
	case w == nil && q.lastSeq > 0:
		return &FencedError{r.Writer, state.ReasonSequence} // the writer was deleted, so no further batch can be in sequence
	}
	return nil
}

// advance notes that the decisions on all entries before the offset have been
// passed to their proposers.
func (q *queue) advance(offset uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settledOffset = max(q.settledOffset, offset)
}

// settledBefore reports whether the decisions on all entries before the offset
// have been passed to their proposers.
func (q *queue) settledBefore(offset uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.settledOffset >= offset
}

// fail settles a batch that cannot be encoded: its proposals fail with
// *NotAppendedError.
func (q *queue) fail(p *batch, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, prop := range p.proposals {
		prop.done <- result{err: &NotAppendedError{Err: err}}
	}
	q.pending = nil
	close(p.done)
}

// setUncertain sets whether the batch may have taken effect and returns the
// previous value.
func (q *queue) setUncertain(p *batch, uncertain bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	old := p.uncertain
	p.uncertain = uncertain
	return old
}

func (q *queue) setLogErr(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.logErr = err
}

func (b *batch) settled() bool {
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}
