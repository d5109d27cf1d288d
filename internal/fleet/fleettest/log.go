package fleettest

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"jasminelane.example/lane/internal/fleet/feed"
)

var errCut = errors.New("cut off")

// Log is a log in memory with the platform's conditions and its faults.
type Log struct {
	rnd *rand.Rand

	mu      sync.Mutex
	records [][]byte
	epoch   uint64
	seq     uint64
	replies map[uint64]uint64 // offset by number, of the newest appends of the epoch
	changed chan struct{}

	faults LogFaults
}

// LogFaults is how a log misbehaves.
type LogFaults struct {
	Refusing bool            // refuses everybody
	Silent   bool            // answers nobody
	Cut      map[string]bool // refuses these instances
	Lose     float64         // share of appends that are done without an answer
	Late     float64         // share of appends that are done seconds later, without an answer
	Delay    time.Duration   // of each answer
	First    uint64          // records before it have expired
}

// defaultDelay is how long a log takes to answer.
const defaultDelay = 2 * time.Millisecond

// NewLog returns an empty log whose faults are drawn from rnd.
func NewLog(rnd *rand.Rand) *Log {
	return &Log{
		rnd: rnd, replies: make(map[uint64]uint64), changed: make(chan struct{}),
		faults: LogFaults{Cut: make(map[string]bool), Delay: defaultDelay},
	}
}

// Admit waits for the log's answer time and returns an error if it does not
// serve the instance.
func (l *Log) Admit(ctx context.Context, node string) error {
	l.mu.Lock()
	delay, refusing, silent := l.faults.Delay, l.faults.Refusing || l.faults.Cut[node], l.faults.Silent
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

// Append stores a batch for the instance, as the log's faults allow.
func (l *Log) Append(ctx context.Context, node string, b feed.Batch) (uint64, error) {
	err := l.Admit(ctx, node)
	if errors.Is(err, errCut) {
		return 0, &feed.RefusedError{Err: err}
	}
	if err != nil {
		return 0, &feed.UncertainError{Err: err}
	}
	l.mu.Lock()
	lost, late := l.rnd.Float64() < l.faults.Lose, l.rnd.Float64() < l.faults.Late
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

func (l *Log) store(b feed.Batch) (uint64, error) {
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
	if b.ExpectedEnd != nil && *b.ExpectedEnd != end {
		return 0, &feed.EndMismatchError{End: end}
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

// Read returns the records from an offset on, as the log's faults allow.
func (l *Log) Read(ctx context.Context, node string, from uint64, wait time.Duration) (feed.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	if err := l.Admit(ctx, node); err != nil {
		return feed.Page{}, &feed.ReadError{Err: err}
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		l.mu.Lock()
		end, changed, refusing := uint64(len(l.records)), l.changed, l.faults.Refusing || l.faults.Cut[node]
		records, first := l.records[min(from, end):], l.faults.First
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

// End returns the offset of the next append.
func (l *Log) End() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(len(l.records))
}

// Records returns all records from the offset on.
func (l *Log) Records(from uint64) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[min(from, uint64(len(l.records))):]
}

// Heal ends all faults.
func (l *Log) Heal() {
	l.Set(func(f *LogFaults) {
		f.Refusing, f.Silent, f.Lose, f.Late, f.Delay = false, false, 0, 0, defaultDelay
		clear(f.Cut)
	})
}

// Set changes the faults.
func (l *Log) Set(f func(l *LogFaults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.faults)
	close(l.changed)
	l.changed = make(chan struct{})
}

// Size returns the number of records that were ever stored.
func (l *Log) Size() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(len(l.records))
}
