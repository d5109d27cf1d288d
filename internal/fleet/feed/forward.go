package feed

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// maxForwardedBytes bounds the forwarded records that wait for the leader's next
	// append. Each append takes up to maxBatchBytes.
	maxForwardedBytes = 4 * maxBatchBytes

	// forwardLatencies is how many latencies of the log an append through the leader may
	// take: the end of the append in progress and the next one, with a margin.
	forwardLatencies = 2.5

	// refusedMemory is how long an append that was refused counts as a sign that the log
	// has too many of them.
	refusedMemory = 3 * time.Second
)

// NotTakenError reports a record that the leader did not take: the instance does not
// lead, has no room, or could not be reached.
type NotTakenError struct{}

// Error implements error.
func (*NotTakenError) Error() string { return "leader did not take the record" }

// errTermEnded is the cause of an unknown outcome: the leader was replaced while it
// appended the record.
var errTermEnded = errors.New("leadership ended during the append")

// ForwardedKindError reports a forwarded record that is not a caller's. Only the leader
// itself may write the others.
type ForwardedKindError struct{}

// Error implements error.
func (*ForwardedKindError) Error() string { return "not a record of a caller" }

// callersRecord reports whether the record is a submission or a cancellation, and
// nothing else.
func callersRecord(r ledger.Record) bool {
	return (r.Submit != nil) != (r.Cancel != nil) && r == ledger.Record{Submit: r.Submit, Cancel: r.Cancel}
}

// forwarded is a record of another instance that waits for the leader's next append.
type forwarded struct {
	data      []byte
	taken     bool       // it is part of an append, so that its outcome may be unknown
	withdrawn bool       // nobody waits for it any more
	done      chan error // receives the outcome; has room for it
}

// AppendForwarded appends a record that another instance has forwarded, together with
// the leader's next records. It returns *RefusedError if the record was certainly not
// appended, and *UncertainError if its outcome is unknown.
func (f *Feed) AppendForwarded(ctx context.Context, data []byte) error {
	r, err := ledger.Decode(data)
	if err != nil {
		return &RefusedError{err}
	}
	if !callersRecord(r) {
		return &RefusedError{&ForwardedKindError{}}
	}
	if err := f.checkSize(data); err != nil {
		return &RefusedError{err}
	}
	w, err := f.enqueueForwarded(data)
	if err != nil {
		return err
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return f.withdraw(w, ctx.Err())
	}
}

// withdraw gives up a forwarded record, which is then left out of the next append. It
// returns the outcome.
func (f *Feed) withdraw(w *forwarded, cause error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	default:
	}
	if w.taken {
		return &UncertainError{cause}
	}
	w.withdrawn = true
	if f.term != nil {
		f.term.forwardedBytes -= len(w.data)
	}
	return &RefusedError{cause}
}

// enqueueForwarded adds a record to the next append of the term, if this instance
// leads.
func (f *Feed) enqueueForwarded(data []byte) (*forwarded, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.term
	if t == nil || t.resigning || t.handover != nil || t.forwardedBytes+len(data) > maxForwardedBytes {
		return nil, &RefusedError{&NotTakenError{}}
	}
	w := &forwarded{data: data, done: make(chan error, 1)}
	t.forwarded = append(t.forwarded, w)
	t.forwardedBytes += len(data)
	select {
	case t.wake <- struct{}{}:
	default:
	}
	return w, nil
}

// takeForwarded adds forwarded records to a batch of the term. The caller holds the
// lock.
func (t *term) takeForwarded(b *leaderBatch, size int) {
	for len(t.forwarded) > 0 && len(b.records) < maxBatchRecords && size < maxBatchBytes {
		w := t.forwarded[0]
		t.forwarded = t.forwarded[1:]
		if w.withdrawn {
			continue
		}
		t.forwardedBytes -= len(w.data)
		w.taken = true
		size += len(w.data)
		b.records = append(b.records, w.data)
		b.forwarded = append(b.forwarded, w)
	}
}

// answerForwarded tells the outcome of a batch to those who wait for its forwarded
// records.
func (b *leaderBatch) answerForwarded(err error) {
	for _, w := range b.forwarded {
		w.done <- err
	}
}

// refuseForwarded refuses the forwarded records that are not part of an append when
// the term ends.
func (f *Feed) refuseForwarded(t *term) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.resigning = true // takes no further ones
	for _, w := range t.forwarded {
		w.done <- &RefusedError{&NotTakenError{}}
	}
	t.forwarded, t.forwardedBytes = nil, 0
}

// writeThroughLeader appends a caller's record through the leader while the log is
// slow. handled is false if the record was certainly not appended and this instance
// should append it itself.
//
// A slow log processes appends one at a time, so it takes some ten of them a second
// and refuses what queues up behind them. One append with the records of all
// instances costs it as much as one with a single record.
func (f *Feed) writeThroughLeader(ctx context.Context, data []byte) (handled bool, err error) {
	if f.Forward == nil || f.Latency.SlowLatency() == 0 {
		return false, nil
	}
	f.mu.Lock()
	leads := f.term != nil
	leader, addr := f.state.Leader.Instance, f.state.Peers[f.state.Leader.Instance]
	known := !f.state.NoLeader && leader != f.Instance && addr != ""
	f.mu.Unlock()
	if !leads && !known || !f.leaderInTime(ctx) {
		return false, nil
	}
	if leads {
		err = f.AppendForwarded(ctx, data)
	} else {
		err = f.Forward(ctx, addr, data)
	}
	var notTaken *NotTakenError
	if errors.As(err, &notTaken) {
		f.Logger.Debug("leader did not take a record; appending directly", zap.String("leader", leader), zap.Error(err))
		return false, nil
	}
	return true, err
}

// leaderInTime reports whether an append through the leader should be tried. It may
// take longer than a direct one, which is better if the deadline leaves time only for
// that, unless the log has refused appends lately: then there are too many of them.
func (f *Feed) leaderInTime(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	needed := time.Duration(forwardLatencies * float64(f.Latency.Estimate()))
	return !ok || time.Until(deadline) >= needed || time.Since(f.appends.lastRefused()) < refusedMemory
}
