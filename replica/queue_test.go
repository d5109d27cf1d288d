package replica

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/standin"
)

// TestPriority guards against urgent records that wait behind bulk records while
// the log is slow, and against snapshot chunks that precede any other record.
func TestPriority(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a := f.start("a", nil).ready()
	f.log.Fault(standin.LogFault{NoAppends: ptr(true)})
	var wg sync.WaitGroup
	for i, kind := range []record.Kind{record.KindChunk, record.KindReport, record.KindClaim, record.KindStart, record.KindCancel} {
		rec := record.Record{Kind: kind, ID: string(kind), Body: []byte{0xa0}}
		wg.Go(func() { _, _ = a.Propose(context.Background(), rec) })
		a.await("queue", func(s Status) bool { return queued(a.Replica) == i+1 })
	}
	f.log.Fault(standin.LogFault{NoAppends: ptr(false)})
	wg.Wait()
	var order []string
	last := 0 // records in the last batch
	seen := map[uint64]bool{}
	_, log := f.log.Entries()
	for _, data := range log[1:] {
		b, err := record.Decode(data)
		is.NoErr(err)
		if seen[b.Seq] {
			continue // appended again after a timeout; the state ignores the duplicate
		}
		seen[b.Seq] = true
		for _, rec := range b.Records {
			order = append(order, rec.ID)
		}
		last = len(b.Records)
	}
	is.Equal(order, []string{"cancel", "start", "claim", "report", "chunk"})
	is.Equal(last, 1) // the chunk was appended alone, after all others
}

// queued returns the number of records that wait or are being appended.
func queued(r *Replica) int {
	r.queue.mu.Lock()
	defer r.queue.mu.Unlock()
	n := r.queue.records
	if p := r.queue.pending; p != nil {
		for _, prop := range p.proposals {
			n += len(prop.records)
		}
	}
	return n
}

// TestQueueLimit guards against a queue that grows with the duration of an outage
// until memory runs out, and against a queue that is so full of bulk records that
// it accepts no urgent ones.
func TestQueueLimit(t *testing.T) {
	is := is.New(t)
	r := &Replica{MaxQueuedRecords: 2}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	bulk := record.Record{Kind: record.KindReport}
	go func() { _, _ = r.Propose(ctx, bulk, bulk) }()
	for r.Status().Queue < 2 {
		<-time.After(time.Millisecond)
	}
	_, err := r.Propose(ctx, bulk)
	var full *QueueFullError
	is.True(errors.As(err, &full))
	_, err = r.Propose(ctx, record.Record{Kind: record.KindCancel})
	is.True(!errors.As(err, &full))
	is.True(errors.Is(err, context.DeadlineExceeded))
}
