package fleettest

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"jasminelane.example/lane/internal/fleet/feed"
)

var errRefused = errors.New("log refused the instance")

// Log is an in-memory log that checks the append conditions of the platform's
// log and injects faults.
type Log struct {
	rnd *rand.Rand

	mu          sync.Mutex
	records     [][]byte
	epoch       uint64
	seq         uint64
	offsetBySeq map[uint64]uint64 // offset by sequence number, of the epoch's newest appends
	snapshots   [][]byte          // oldest first
	changed     chan struct{}

	faults  LogFaults
	appends int // calls of Append

	appendsEnd time.Time // when the appends in progress have ended, see LogFaults.AppendTime

	// ReadMargin, if set, returns how much longer than its wait a read of the
	// instance may take; otherwise it is a second.
	ReadMargin func(instance string) time.Duration

	// LateAnswer, if set, is called when the answer to a read of the instance
	// arrives after the read has timed out. The duration is that of the answer.
	LateAnswer func(instance string, took time.Duration)
}

// LogFaults are the faults that a log injects.
type LogFaults struct {
	RefuseAll         bool            // refuses the requests of all instances
	AnswerNone        bool            // answers no request
	RefusedInstances  map[string]bool // refuses the requests of these instances
	CutInstances      map[string]bool // neither gets the requests of these instances nor answers them
	LostResponseRate  float64         // share of appends that are stored but not answered
	DelayedAppendRate float64         // share of appends that are stored 1 s to 6 s later and not answered
	ResponseDelay     time.Duration   // delay of each answer
	AppendTime        time.Duration   // time that one append takes; others wait for its end
	FirstOffset       uint64          // records before this offset have expired
	OldSnapshotRate   float64         // share of reads that return an older snapshot
}

// defaultResponseDelay is the delay of each answer of a log without faults.
const defaultResponseDelay = 2 * time.Millisecond

// NewLog returns an empty log that draws the appends with faults from rnd.
func NewLog(rnd *rand.Rand) *Log {
	return &Log{
		rnd: rnd, offsetBySeq: make(map[uint64]uint64), changed: make(chan struct{}),
		faults: LogFaults{RefusedInstances: make(map[string]bool), CutInstances: make(map[string]bool), ResponseDelay: defaultResponseDelay},
	}
}

// Admit waits for the response delay. It returns an error if a fault keeps the
// log from serving the instance.
func (l *Log) Admit(ctx context.Context, instance string) error {
	l.mu.Lock()
	delay, refused, unanswered := l.faults.ResponseDelay, l.faults.RefuseAll || l.faults.RefusedInstances[instance], l.faults.AnswerNone || l.faults.CutInstances[instance]
	l.mu.Unlock()
	if refused {
		return errRefused
	}
	if unanswered {
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

// takeTurn waits until the log has processed an append, one after the other. It
// refuses an append behind maxAppendQueue of others.
func (l *Log) takeTurn() error {
	l.mu.Lock()
	l.appends++
	now := time.Now()
	if l.appendsEnd.Before(now) {
		l.appendsEnd = now
	}
	wait := l.appendsEnd.Sub(now)
	if wait > maxAppendQueue {
		l.mu.Unlock()
		return errRefused
	}
	wait += l.faults.AppendTime
	l.appendsEnd = now.Add(wait)
	l.mu.Unlock()
	time.Sleep(wait)
	return nil
}

// maxAppendQueue is the time of waiting appends above which the log refuses further
// ones.
const maxAppendQueue = 2 * time.Second

// Append stores a batch for the instance, subject to the faults.
func (l *Log) Append(ctx context.Context, instance string, b feed.Batch) (uint64, error) {
	err := l.takeTurn()
	if err == nil {
		err = l.Admit(ctx, instance)
	}
	if errors.Is(err, errRefused) {
		return 0, &feed.RefusedError{Err: err}
	}
	if err != nil {
		return 0, &feed.UncertainError{Err: err}
	}
	l.mu.Lock()
	lost, late := l.rnd.Float64() < l.faults.LostResponseRate, l.rnd.Float64() < l.faults.DelayedAppendRate
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
		if offset, ok := l.offsetBySeq[b.Seq]; ok && b.Epoch == l.epoch {
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
		clear(l.offsetBySeq)
		l.epoch = b.Epoch
	}
	if b.Epoch != 0 {
		l.seq = b.Seq
		l.offsetBySeq[b.Seq] = end
		delete(l.offsetBySeq, b.Seq-5)
	}
	for _, r := range b.Records {
		l.records = append(l.records, append([]byte(nil), r...))
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return end, nil
}

// Appends returns the number of calls of Append so far.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// admitRead is like Admit and reports a late answer.
func (l *Log) admitRead(ctx context.Context, instance string) error {
	began := time.Now()
	err := l.Admit(ctx, instance)
	l.mu.Lock()
	defer l.mu.Unlock()
	late := l.faults.ResponseDelay - time.Since(began)
	if errors.Is(err, context.DeadlineExceeded) && late > 0 && l.LateAnswer != nil && !l.faults.AnswerNone && !l.faults.CutInstances[instance] {
		time.AfterFunc(late, func() { l.LateAnswer(instance, time.Since(began)) })
	}
	return err
}

// readMargin returns how much longer than its wait a read of the instance may take.
func (l *Log) readMargin(instance string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ReadMargin == nil {
		return time.Second
	}
	return l.ReadMargin(instance)
}

// Read returns the records from an offset on, subject to the faults.
func (l *Log) Read(ctx context.Context, instance string, from uint64, wait time.Duration) (feed.Page, error) {
	margin := l.readMargin(instance)
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	if err := l.admitRead(ctx, instance); err != nil {
		return feed.Page{}, &feed.ReadError{Err: err}
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		l.mu.Lock()
		end, changed, refused := uint64(len(l.records)), l.changed, l.faults.RefuseAll || l.faults.RefusedInstances[instance]
		records, first, cut := l.records[min(from, end):], l.faults.FirstOffset, l.faults.CutInstances[instance]
		l.mu.Unlock()
		if cut {
			<-ctx.Done()
			return feed.Page{}, &feed.ReadError{Err: ctx.Err()}
		}
		if from < first {
			return feed.Page{}, &feed.ExpiredError{First: first}
		}
		if refused {
			return feed.Page{}, &feed.ReadError{Err: errRefused}
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

// SaveSnapshot stores a snapshot of the instance, subject to the faults.
func (l *Log) SaveSnapshot(ctx context.Context, instance string, data []byte) error {
	if err := l.Admit(ctx, instance); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = append(l.snapshots, data)
	return nil
}

// LoadSnapshot returns the newest snapshot, subject to the faults.
func (l *Log) LoadSnapshot(ctx context.Context, instance string) ([]byte, error) {
	if err := l.Admit(ctx, instance); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.snapshots)
	if n == 0 {
		return nil, nil
	}
	if n > 1 && l.rnd.Float64() < l.faults.OldSnapshotRate {
		return l.snapshots[l.rnd.IntN(n)], nil
	}
	return l.snapshots[n-1], nil
}

// Snapshots returns the number of snapshots stored so far.
func (l *Log) Snapshots() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.snapshots)
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

// ClearFaults ends all faults but the expiry of records.
func (l *Log) ClearFaults() {
	l.SetFaults(func(f *LogFaults) {
		f.RefuseAll, f.AnswerNone, f.LostResponseRate, f.DelayedAppendRate, f.ResponseDelay = false, false, 0, 0, defaultResponseDelay
		clear(f.RefusedInstances)
		clear(f.CutInstances)
	})
}

// SetFaults calls f to change the faults, and wakes waiting reads.
func (l *Log) SetFaults(f func(l *LogFaults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.faults)
	close(l.changed)
	l.changed = make(chan struct{})
}

// Size returns the number of records stored so far, expired ones included.
func (l *Log) Size() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(len(l.records))
}
