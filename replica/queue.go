package replica

import (
	"context"
	"slices"
	"sync"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

const (
	classes       = 5    // of record.Kind.Class
	recordOver    = 64   // bytes that a record takes beyond its id and body
	batchOver     = 1024 // bytes that a batch takes beyond its records
	urgentClasses = 2    // classes that may exceed the queue's limit, once over
)

// queue holds the proposals that wait to be appended, by class, and the batch
// that is being appended.
type queue struct {
	mu      sync.Mutex
	items   [classes][]*item
	records int
	pending *batch
	seq     uint64 // last sequence number that was consumed
	log     error  // last error of an append, nil after a success
	closed  bool
	cause   error // why it was closed
	added   signal
}

// item is one proposal: its records stay together and in order.
type item struct {
	recs  []record.Record
	class int
	size  int
	done  chan result // buffered
}

type result struct {
	out      []state.Decision
	admitted bool // whether the batch as a whole was
	err      error
}

// batch is the one batch that is being appended.
type batch struct {
	seq   uint64
	data  []byte // stays the same in each attempt, since a late copy may take effect
	items []*item
	doubt bool          // an attempt may have taken effect
	done  chan struct{} // closed when settled
}

// Propose appends the records, together and in order, and returns the fold's
// outcome for each. It waits until the outcome is known or the context ends.
// It fails with *record.SizeError, with *NotAppendedError when the records
// certainly have no effect, and with *UnknownError when they may have.
func (r *Replica) Propose(ctx context.Context, recs ...record.Record) ([]state.Decision, error) {
	r.init()
	if len(recs) == 0 {
		return nil, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, &NotAppendedError{Err: err}
	}
	it := &item{recs: recs, class: classes - 1, done: make(chan result, 1)}
	for _, rec := range recs {
		it.class = min(it.class, rec.Kind.Priority())
		it.size += len(rec.Body) + len(rec.ID) + recordOver
	}
	if len(recs) > record.MaxBatchRecords || it.size > record.MaxBatchBytes-batchOver {
		return nil, &record.SizeError{Bytes: it.size, Records: len(recs)}
	}
	if err := r.queue.add(it, r.MaxQueue); err != nil {
		return nil, err
	}
	select {
	case res := <-it.done:
		return res.out, res.err
	case <-ctx.Done():
		return r.queue.withdraw(it, r.Writer, ctx.Err())
	}
}

func (q *queue) add(it *item, limit int) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return &NotAppendedError{Err: q.cause}
	}
	if it.class < urgentClasses {
		limit *= 2
	}
	if q.records+len(it.recs) > limit {
		return &NotAppendedError{Err: &QueueError{limit}, Log: q.log}
	}
	q.items[it.class] = append(q.items[it.class], it)
	q.records += len(it.recs)
	q.added.fire()
	return nil
}

// withdraw gives a proposal up; what it returns says whether it may still take
// effect.
func (q *queue) withdraw(it *item, writer string, cause error) ([]state.Decision, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case res := <-it.done:
		return res.out, res.err
	default:
	}
	if i := slices.Index(q.items[it.class], it); i >= 0 {
		q.items[it.class] = slices.Delete(q.items[it.class], i, i+1)
		q.records -= len(it.recs)
		return nil, &NotAppendedError{cause, q.log}
	}
	if p := q.pending; p != nil {
		return nil, &UnknownError{writer, p.seq, cause}
	}
	return nil, &UnknownError{writer, q.seq, cause}
}

// take moves the next proposals into the pending batch, in order of class, or
// returns nil. Chunks of snapshots go only when nothing else waits.
func (q *queue) take() *batch {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := &batch{seq: q.seq + 1, done: make(chan struct{})}
	records, size := 0, 0
	for class := range q.items {
		if class == classes-1 && records > 0 {
			break
		}
		n := 0
		for _, it := range q.items[class] {
			if records+len(it.recs) > record.MaxBatchRecords || size+it.size > record.MaxBatchBytes-batchOver {
				break
			}
			records += len(it.recs)
			size += it.size
			n++
		}
		p.items = append(p.items, q.items[class][:n]...)
		q.items[class] = slices.Delete(q.items[class], 0, n)
	}
	if records == 0 || q.closed {
		return nil
	}
	q.records -= records
	q.pending = p
	return p
}

// putBack returns the proposals of a batch that had certainly no effect, in
// front of the others of their class.
func (q *queue) putBack(p *batch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, it := range slices.Backward(p.items) {
		q.items[it.class] = slices.Insert(q.items[it.class], 0, it)
		q.records += len(it.recs)
	}
	q.pending = nil
}

func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.records
}

func (q *queue) isClosed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed
}

// closeQueue ends all proposals: those in a batch that may be in the log are
// unknown, except that a fenced writer's batch can no longer take effect.
func (r *Replica) closeQueue(cause error) {
	if cause == nil {
		cause = &ClosedError{}
	}
	q := &r.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.closed, q.cause = true, cause
	for class := range q.items {
		for _, it := range q.items[class] {
			it.done <- result{err: &NotAppendedError{cause, q.log}}
		}
		q.items[class] = nil
	}
	q.records = 0
	if p := q.pending; p != nil {
		var err error = &UnknownError{r.Writer, p.seq, cause}
		if _, fenced := cause.(*FencedError); fenced || !p.doubt {
			err = &NotAppendedError{cause, q.log}
		}
		for _, it := range p.items {
			it.done <- result{err: err}
		}
		q.pending = nil
		close(p.done)
	}
	q.added.fire()
}
