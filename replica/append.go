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

// reader is the lowest version of the fold that understands what this program
// appends.
const reader = 1

// appendBatches joins, then appends the queued proposals, one batch at a time,
// until the context ends.
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
	delay := backoff{max: appendMax}
	for ctx.Err() == nil {
		wake := r.queue.added.wait()
		p := r.queue.take()
		if p == nil {
			select {
			case <-wake:
			case <-ctx.Done():
			}
			continue
		}
		r.deliver(ctx, p, &delay)
	}
	return nil
}

func (r *Replica) caughtUp() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.view.caughtUp
}

// join appends the instance's join as the writer's first batch, before any
// proposal; it fails with *JoinError.
func (r *Replica) join(ctx context.Context) error {
	if r.Join.Name == "" {
		return nil
	}
	rec, err := record.New(record.KindJoin, "join/"+r.Writer, r.Join)
	if err != nil {
		return err
	}
	it := &item{recs: []record.Record{rec}, done: make(chan result, 1)}
	delay := backoff{max: appendMax}
	for ctx.Err() == nil {
		p := r.queue.only(it)
		if p == nil {
			return nil // closed
		}
		r.deliver(ctx, p, &delay)
		select {
		case res := <-it.done:
			if res.err == nil && !res.admitted {
				<-ctx.Done() // the tail ends this incarnation with the reason
				return nil
			}
			if res.err == nil && !res.out[0].Accepted() {
				return &JoinError{res.out[0]}
			}
			return nil
		default:
		}
	}
	return nil
}

// only makes the item the pending batch, ahead of the queue.
func (q *queue) only(it *item) *batch {
	q.mu.Lock()
	defer q.mu.Unlock()
	for class := range q.items { // put back by a failed attempt
		for i, x := range q.items[class] {
			if x == it {
				q.items[class] = append(q.items[class][:i], q.items[class][i+1:]...)
				q.records -= len(it.recs)
				break
			}
		}
	}
	if q.closed {
		return nil
	}
	q.pending = &batch{seq: q.seq + 1, items: []*item{it}, done: make(chan struct{})}
	return q.pending
}

// deliver appends the batch until it is settled, or puts its proposals back
// when the first attempt certainly had no effect.
func (r *Replica) deliver(ctx context.Context, p *batch, delay *backoff) {
	if err := r.encode(p); err != nil {
		r.queue.refuse(p, err)
		return
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if !r.awaitResume(ctx) || p.settled() {
			return
		}
		if attempt > 0 {
			r.counts.reappends.Add(1)
		}
		wasDoubt := r.queue.setDoubt(p, true)
		offset, err := r.append(ctx, p)
		var lost *stream.LostResponseError
		switch {
		case err == nil:
			delay.n = 0
			r.awaitFold(ctx, p, offset+1)
		case errors.As(err, &lost):
			r.settleLost(ctx, p, delay)
			if attempt > 0 && !p.settled() {
				r.pause(ctx, delay, p.done) // answers keep getting lost
			}
		default:
			if !wasDoubt {
				// Nothing is in the log: more urgent proposals may go first
				// next time, and those whose deadline ends are not run.
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
	b := record.Batch{Writer: r.Writer, Seq: p.seq, At: r.Clock().UnixMilli(), SnapshotEnd: r.snap.Load(), MinVersion: reader}
	for _, it := range p.items {
		b.Records = append(b.Records, it.recs...)
	}
	var err error
	p.data, err = record.Encode(&b)
	return err
}

func (r *Replica) append(ctx context.Context, p *batch) (uint64, error) {
	actx, cancel := context.WithTimeout(ctx, r.AppendTimeout)
	defer cancel()
	r.counts.appends.Add(1)
	offset, err := r.Log.Append(actx, p.data)
	r.queue.setLog(err)
	defer r.progress.fire()
	if err == nil {
		return offset, nil
	}
	var lost *stream.LostResponseError
	if errors.As(err, &lost) {
		r.counts.lost.Add(1)
	} else {
		r.counts.refused.Add(1)
	}
	r.Logger.Warn("append failed", zap.Uint64("seq", p.seq), zap.Error(err))
	return 0, err
}

// settleLost reads the end of the log after a lost answer and waits until all
// before it is folded; if that did not settle the batch, it was not in the log.
// It may still arrive late, which is why the same bytes are appended again.
func (r *Replica) settleLost(ctx context.Context, p *batch, delay *backoff) {
	for ctx.Err() == nil && !p.settled() {
		rctx, cancel := context.WithTimeout(ctx, r.ReadTimeout)
		_, end, err := r.Log.Bounds(rctx)
		cancel()
		if err == nil {
			r.awaitFold(ctx, p, end)
			return
		}
		r.pause(ctx, delay, p.done)
	}
}

// awaitFold waits until the batch is settled or all entries before the offset
// are folded.
func (r *Replica) awaitFold(ctx context.Context, p *batch, offset uint64) {
	for {
		wake := r.changed.wait()
		r.mu.RLock()
		folded := r.st.Offset >= offset
		r.mu.RUnlock()
		if folded {
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

// awaitResume delays the first append after an outage, so that a fleet does
// not append at once when the log returns.
func (r *Replica) awaitResume(ctx context.Context) bool {
	r.mu.RLock()
	d := r.view.resume.Sub(r.Clock())
	r.mu.RUnlock()
	if d <= 0 {
		return ctx.Err() == nil
	}
	return sleep(ctx, min(d, r.ReturnDelay), nil)
}

// pause waits before the next attempt, until the log returns at the latest.
func (r *Replica) pause(ctx context.Context, delay *backoff, settled <-chan struct{}) {
	end := time.Now().Add(delay.next())
	r.mu.RLock()
	resume := r.view.resume
	r.mu.RUnlock()
	for {
		wake := r.progress.wait()
		r.mu.RLock()
		returned := r.view.resume != resume
		r.mu.RUnlock()
		d := time.Until(end)
		if returned || d <= 0 {
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

// settle takes the fold's outcomes for an own batch read from the log. It
// fails with *FencedError when the log refuses the writer.
func (r *Replica) settle(e stream.Entry, b *record.Batch, out []state.Decision, admitted bool) error {
	q := &r.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.pending
	switch {
	case b.Seq <= q.seq:
		return nil // settled before: a second copy, or read again after a reload
	case p == nil || b.Seq != p.seq || !bytes.Equal(e.Data, p.data):
		if admitted {
			return &FencedError{r.Writer, state.ReasonExists} // another process has this identity
		}
		return nil
	}
	reason := out[0].Reason
	for _, it := range p.items {
		it.done <- result{out: out[:len(it.recs):len(it.recs)], admitted: admitted}
		out = out[len(it.recs):]
	}
	q.pending = nil
	close(p.done)
	if !admitted {
		// Stale, fenced or out of sequence as a whole: each later batch and
		// each later copy of this one would be too.
		return &FencedError{r.Writer, reason}
	}
	q.seq = b.Seq
	return nil
}

// settleLoaded settles the pending batch against a state loaded from a
// snapshot, in which its outcomes can no longer be seen.
func (r *Replica) settleLoaded(offset uint64, w *state.Writer) error {
	q := &r.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.pending; p != nil && w != nil && w.Seq >= p.seq {
		for _, it := range p.items {
			it.done <- result{err: &UnknownError{r.Writer, p.seq, &ReloadError{offset}}}
		}
		q.pending, q.seq = nil, p.seq
		close(p.done)
	}
	switch {
	case w != nil && w.Fenced:
		return &FencedError{r.Writer, state.ReasonFenced}
	case w == nil && q.seq > 0:
		return &FencedError{r.Writer, state.ReasonSequence} // forgotten: no further batch can be in sequence
	}
	return nil
}

// refuse ends a batch that cannot be encoded.
func (q *queue) refuse(p *batch, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, it := range p.items {
		it.done <- result{err: &NotAppendedError{Err: err}}
	}
	q.pending = nil
	close(p.done)
}

// setDoubt notes whether the batch may have taken effect and returns what was
// noted before.
func (q *queue) setDoubt(p *batch, doubt bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	old := p.doubt
	p.doubt = doubt
	return old
}

func (q *queue) setLog(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.log = err
}

func (b *batch) settled() bool {
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}
