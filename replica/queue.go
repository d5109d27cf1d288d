package replica

import (
	"context"
	"slices"
	"sync"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

const (
	priorityCount       = 5    // number of values of record.Kind.Priority
	recordOverheadBytes = 64   // encoded size of a record beyond its id and body
	batchOverheadBytes  = 1024 // encoded size of a batch beyond its records
	urgentPriorities    = 2    // the first priorities, which may fill the queue to twice its limit
)

// queue holds the proposals that wait to be appended, by priority, and the
// batch that is being appended.
type queue struct {
	mu      sync.Mutex
	waiting [priorityCount][]*proposal
	records int // in waiting
	pending *batch
	lastSeq uint64 // last sequence number that a settled batch has used
	// settledOffset is the log offset before which all decisions have been passed
	// to their proposers. It follows the offset of the state.
	settledOffset uint64
	logErr        error // error of the last append; nil if it succeeded
	closed        bool
	closeCause    error // why the queue was closed
	recordsAdded  signal
}

// proposal is the records of one call of Propose. They are appended together
// and in order.
type proposal struct {
	records   []record.Record
	priority  int
	sizeBytes int
	done      chan result // buffered
}

// result is the outcome of a proposal.
type result struct {
	decisions []state.Decision
	admitted  bool // whether the state accepted the batch as a whole
	err       error
}

// batch is a batch of proposals that is being appended; there is at most one at
// a time.
type batch struct {
	seq       uint64
	data      []byte // identical in each attempt, since a delayed copy can still take effect
	proposals []*proposal
	uncertain bool          // an attempt may have taken effect
	done      chan struct{} // closed when settled
}

// Propose appends the records, together and in order, and returns the state's
// decision on each. It waits until the decisions are known or the context ends.
// It fails with *record.SizeError if the records do not fit into a batch, with
// *NotAppendedError if they certainly have no effect, and with
// *UnknownOutcomeError if they may have taken effect.
func (r *Replica) Propose(ctx context.Context, recs ...record.Record) ([]state.Decision, error) {
	r.init()
	if len(recs) == 0 {
		return nil, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, &NotAppendedError{Err: err}
	}
	prop := &proposal{records: recs, priority: priorityCount - 1, done: make(chan result, 1)}
	for _, rec := range recs {
		prop.priority = min(prop.priority, rec.Kind.Priority())
		prop.sizeBytes += len(rec.Body) + len(rec.ID) + recordOverheadBytes
	}
	if len(recs) > record.MaxBatchRecords || prop.sizeBytes > record.MaxBatchBytes-batchOverheadBytes {
		return nil, &record.SizeError{Bytes: prop.sizeBytes, Records: len(recs)}
	}
	if err := r.queue.add(prop, r.MaxQueuedRecords); err != nil {
		return nil, err
	}
	select {
	case res := <-prop.done:
		return res.decisions, res.err
	case <-ctx.Done():
		return r.queue.withdraw(prop, r.Writer, ctx.Err())
	}
}

func (q *queue) add(prop *proposal, limit int) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return &NotAppendedError{Err: q.closeCause}
	}
	if prop.priority < urgentPriorities {
		limit *= 2
	}
	if q.records+len(prop.records) > limit {
		return &NotAppendedError{Err: &QueueFullError{limit}, LogErr: q.logErr}
	}
	q.waiting[prop.priority] = append(q.waiting[prop.priority], prop)
	q.records += len(prop.records)
	q.recordsAdded.fire()
	return nil
}

// withdraw stops waiting for a proposal. The error tells whether the proposal
// may still take effect; if it is already settled, withdraw returns its result.
func (q *queue) withdraw(prop *proposal, writer string, cause error) ([]state.Decision, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case res := <-prop.done:
		return res.decisions, res.err
	default:
	}
	if i := slices.Index(q.waiting[prop.priority], prop); i >= 0 {
		q.waiting[prop.priority] = slices.Delete(q.waiting[prop.priority], i, i+1)
		q.records -= len(prop.records)
		return nil, &NotAppendedError{cause, q.logErr}
	}
	if p := q.pending; p != nil {
		return nil, &UnknownOutcomeError{writer, p.seq, cause}
	}
	return nil, &UnknownOutcomeError{writer, q.lastSeq, cause}
}

// take moves the next proposals, in order of priority, into a new pending batch,
// or returns nil if there are none. Snapshot chunks are taken only if nothing
// else waits.
func (q *queue) take() *batch {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := &batch{seq: q.lastSeq + 1, done: make(chan struct{})}
	records, size := 0, 0
	for priority := range q.waiting {
		if priority == priorityCount-1 && records > 0 {
			break
		}
		n := 0
		for _, prop := range q.waiting[priority] {
			if records+len(prop.records) > record.MaxBatchRecords || size+prop.sizeBytes > record.MaxBatchBytes-batchOverheadBytes {
				break
			}
			records += len(prop.records)
			size += prop.sizeBytes
			n++
		}
		p.proposals = append(p.proposals, q.waiting[priority][:n]...)
		q.waiting[priority] = slices.Delete(q.waiting[priority], 0, n)
	}
	if records == 0 || q.closed {
		return nil
	}
	q.records -= records
	q.pending = p
	return p
}

// putBack returns the proposals of a batch that certainly had no effect to the
// queue, in front of the others of their priority.
func (q *queue) putBack(p *batch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, prop := range slices.Backward(p.proposals) {
		q.waiting[prop.priority] = slices.Insert(q.waiting[prop.priority], 0, prop)
		q.records += len(prop.records)
	}
	q.pending = nil
}

func (q *queue) queuedRecords() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.records
}

func (q *queue) isClosed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed
}

// closeQueue closes the queue and settles all proposals. The outcome of those in
// a batch that may be in the log is unknown, unless the writer is fenced: then
// the batch can no longer take effect. All others were not appended.
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
	q.closed, q.closeCause = true, cause
	for priority := range q.waiting {
		for _, prop := range q.waiting[priority] {
			prop.done <- result{err: &NotAppendedError{cause, q.logErr}}
		}
		q.waiting[priority] = nil
	}
	q.records = 0
	if p := q.pending; p != nil {
		var err error = &UnknownOutcomeError{r.Writer, p.seq, cause}
		if _, fenced := cause.(*FencedError); fenced || !p.uncertain {
			err = &NotAppendedError{cause, q.logErr}
		}
		for _, prop := range p.proposals {
			prop.done <- result{err: err}
		}
		q.pending = nil
		close(p.done)
	}
	q.recordsAdded.fire()
}
