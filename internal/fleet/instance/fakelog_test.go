package instance

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"jasminelane.example/lane/internal/fleet/feed"
)

var errCut = errors.New("cut off")

// fakeLog is a log in memory with the platform's conditions and its faults.
type fakeLog struct {
	rnd *rand.Rand

	mu      sync.Mutex
	records [][]byte
	first   uint64 // records before it have expired
	epoch   uint64
	seq     uint64
	replies map[uint64]uint64 // offset by number, of the newest appends of the epoch
	changed chan struct{}

	refusing bool            // refuses everybody
	silent   bool            // answers nobody
	cut      map[string]bool // refuses these instances
	lose     float64         // share of appends that are done without an answer
	late     float64         // share of appends that are done seconds later, without an answer
	delay    time.Duration
}

func newFakeLog(rnd *rand.Rand) *fakeLog {
	return &fakeLog{rnd: rnd, replies: make(map[uint64]uint64), changed: make(chan struct{}), cut: make(map[string]bool), delay: 2 * time.Millisecond}
}

// enter waits for the log's answer time and returns an error if it does not
// serve the instance.
func (l *fakeLog) enter(ctx context.Context, node string) error {
	l.mu.Lock()
	delay, refusing, silent := l.delay, l.refusing || l.cut[node], l.silent
	l.mu.Unlock()
	if refusing {
		return errCut
	}
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *fakeLog) append(ctx context.Context, node string, b feed.Batch) (uint64, error) {
	err := l.enter(ctx, node)
	if errors.Is(err, errCut) {
		return 0, &feed.RefusedError{Err: err}
	}
	if err != nil {
		return 0, &feed.UncertainError{Err: err}
	}
	l.mu.Lock()
	lost, late := l.rnd.Float64() < l.lose, l.rnd.Float64() < l.late
	wait := time.Second + time.Duration(l.rnd.Int64N(int64(5*time.Second)))
	l.mu.Unlock()
	if late {
		time.AfterFunc(wait, func() { _, _ = l.store(b) })
		<-ctx.Done()
		return 0, &feed.UncertainError{Err: ctx.Err()}
	}
	offset, err := l.store(b)
	if lost {
		<-ctx.Done()
		return 0, &feed.UncertainError{Err: ctx.Err()}
	}
	return offset, err
}

func (l *fakeLog) store(b feed.Batch) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := uint64(len(l.records))
	if b.Epoch != 0 {
		if b.Epoch < l.epoch {
			return 0, &feed.FencedError{Epoch: b.Epoch}
		}
		if offset, ok := l.replies[b.Seq]; ok && b.Epoch == l.epoch {
			return offset, nil
		}
		if b.Epoch == l.epoch && b.Seq != l.seq+1 {
			return 0, &feed.FencedError{Epoch: b.Epoch, Detail: "seq"}
		}
	}
	if b.At != nil && *b.At != end {
		return 0, &feed.MovedError{End: end}
	}
	if b.Epoch > l.epoch {
		clear(l.replies)
		l.epoch = b.Epoch
	}
	if b.Epoch != 0 {
		l.seq = b.Seq
		l.replies[b.Seq] = end
		delete(l.replies, b.Seq-5)
	}
	for _, r := range b.Records {
		l.records = append(l.records, append([]byte(nil), r...))
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return end, nil
}

func (l *fakeLog) read(ctx context.Context, node string, from uint64, wait time.Duration) (feed.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	if err := l.enter(ctx, node); err != nil {
		return feed.Page{}, &feed.ReadError{Err: err}
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		l.mu.Lock()
		end, changed, refusing := uint64(len(l.records)), l.changed, l.refusing || l.cut[node]
		records, first := l.records[min(from, end):], l.first
		l.mu.Unlock()
		if from < first {
			return feed.Page{}, &feed.ExpiredError{First: first}
		}
		if refusing {
			return feed.Page{}, &feed.ReadError{Err: errCut}
		}
		if end > from || wait == 0 {
			return feed.Page{From: from, Records: records, End: end}, nil
		}
		select {
		case <-changed:
		case <-t.C:
			return feed.Page{From: from, End: end}, nil
		case <-ctx.Done():
			return feed.Page{}, &feed.ReadError{Err: ctx.Err()}
		}
	}
}

// set changes the faults under the lock.
func (l *fakeLog) set(f func(l *fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
	close(l.changed)
	l.changed = make(chan struct{})
}
