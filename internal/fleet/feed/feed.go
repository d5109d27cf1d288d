package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// followWait and leadWait bound one long poll of the log. A follower's is
	// short because it measures the leader's silence by successful reads.
	followWait = 500 * time.Millisecond
	leadWait   = time.Second

	// followPause gathers records between two reads of a follower; callers'
	// questions read the log themselves. A leader pauses only long enough to
	// read several submissions at once.
	followPause = 150 * time.Millisecond
	leadPause   = 25 * time.Millisecond

	// lazyPause is the pause of a follower that claims later than others, while
	// the log is busy and quick: of many small instances only few ever lead.
	// While answers take long the leader's signs would be seen too late.
	lazyPause = 400 * time.Millisecond

	// quickRead is how long a read takes at most when records are waiting and
	// the log is quick.
	quickRead = 60 * time.Millisecond

	// retryPause separates reads of a log that fails.
	retryPause = 120 * time.Millisecond

	// recheckTime bounds the look at whether a log that was lost is back.
	recheckTime = 60 * time.Millisecond

	// StaleAfter is how long reads may fail before the state is called stale.
	StaleAfter = 2 * time.Second

	// retain is how long ended jobs are kept in memory.
	retain = 4 * time.Minute

	forgetPeriod = 10 * time.Second
)

// Feed is one instance's copy of the ledger. The exported fields are set
// before Run.
type Feed struct {
	Instance    string // name of the instance
	Incarnation string // incarnation, different after each start
	Append      func(ctx context.Context, b Batch) (offset uint64, err error)
	Read        func(ctx context.Context, from uint64, wait time.Duration) (Page, error)
	Logger      *zap.Logger

	// ClaimDelay delays this instance's claims, so that instances with more
	// processor time come first.
	ClaimDelay time.Duration

	// OnApply, if set, is called for each record with whether it took effect,
	// under the lock of the state.
	OnApply func(s *ledger.State, r ledger.Record, took bool)
	// OnLead, if set, is called when the instance begins to lead an epoch; the
	// context ends with the epoch.
	// The feed's lock is held: the state is the one at the claim.
	OnLead func(ctx context.Context, epoch uint64, s *ledger.State)

	mu       sync.Mutex
	state    *ledger.State
	next     uint64 // offset of the next record to fold
	end      uint64 // of the log at the last read
	caught   bool   // the end of the log has been reached once
	reached  time.Time
	failing  bool
	failed   time.Time // since when reads fail
	signs    uint64    // state.Beats at the last look
	lastSign time.Time // of the leader, or since when reads succeed
	changed  chan struct{}
	lead     *term
	forgot   time.Time
	quiet    bool      // never claims again
	yielded  time.Time // until then others should lead
	floor    uint64    // lowest epoch that the log may still accept a claim for

	// overtaken is the end of the log to which a claim was too late; 0 if the
	// leader has shown itself since, or no claim was.
	overtaken uint64

	patience patience
	syncing  chan struct{} // holds a token while a Sync reads
}

// Run reads and folds the log until the context ends.
func (f *Feed) Run(ctx context.Context) error {
	f.mu.Lock()
	f.init()
	f.mu.Unlock()
	jitter := time.Duration(rand.Int64N(int64(spread)))
	for ctx.Err() == nil {
		wait := followWait
		if f.Leading() {
			wait = leadWait
		}
		began := time.Now()
		n, err := f.poll(ctx, wait)
		if err != nil {
			delay.For(ctx, retryPause)
			continue
		}
		f.forget()
		if f.shouldClaim(jitter) {
			f.claim(ctx)
			jitter = time.Duration(rand.Int64N(int64(spread)))
			continue
		}
		if n > 0 {
			delay.For(ctx, f.pause(time.Since(began)))
		}
	}
	f.stepDown("stopped")
	return ctx.Err()
}

// pause returns how long to gather records after a read that took some time.
func (f *Feed) pause(took time.Duration) time.Duration {
	switch {
	case f.Leading():
		return leadPause
	case f.ClaimDelay > 0 && took < quickRead:
		return lazyPause
	}
	return followPause
}

// init must be called with the lock held.
func (f *Feed) init() {
	if f.state == nil {
		f.state = ledger.NewState()
		f.changed = make(chan struct{})
		f.syncing = make(chan struct{}, 1)
		f.lastSign = time.Now()
	}
	if f.Logger == nil {
		f.Logger = zap.NewNop()
	}
}

// poll makes one read and folds its records; it returns their number.
func (f *Feed) poll(ctx context.Context, wait time.Duration) (int, error) {
	f.mu.Lock()
	from := f.next
	f.mu.Unlock()
	p, err := f.Read(ctx, from, wait)
	var expired *ExpiredError
	if errors.As(err, &expired) && expired.First > from {
		f.skip(from, expired.First)
		return 1, nil
	}
	if err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f.readFailed(err)
		}
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.failing {
		f.failing = false
		f.lastSign = now
		f.Logger.Info("log regained", zap.Uint64("offset", p.From))
	}
	f.reached, f.end = now, p.End
	f.fold(p)
	if f.next >= p.End && !f.caught {
		f.caught = true
		f.lastSign = now
		f.announce()
		f.Logger.Info("log read", zap.Uint64("offset", f.next), zap.Int("jobs", len(f.state.Jobs)), zap.Uint64("epoch", f.state.Epoch))
	}
	if f.state.LeaderRecords != f.signs {
		f.signs = f.state.LeaderRecords
		f.lastSign = now
		f.overtaken = 0
	}
	return len(p.Records), nil
}

func (f *Feed) readFailed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		f.init()
		f.announce()
		f.failing = true
		f.failed = time.Now()
		f.Logger.Warn("log lost", zap.Uint64("offset", f.next), zap.Error(err))
	}
}

// skip goes on at the oldest retained record. Every live job is written again
// in full within the time of retention, so the state is whole at the end.
func (f *Feed) skip(from, first uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next == from {
		f.next = first
	}
	f.Logger.Info("log expired", zap.Uint64("from", from), zap.Uint64("first", first))
}

// fold applies the records that have not been applied; it is called with the
// lock held.
func (f *Feed) fold(p Page) {
	took := false
	for i, data := range p.Records {
		offset := p.From + uint64(i)
		if offset < f.next {
			continue
		}
		if offset > f.next {
			break
		}
		f.next++
		took = true
		f.apply(offset, data)
	}
	if took {
		f.announce()
	}
}

// announce wakes those who wait for a change; it is called with the lock held.
func (f *Feed) announce() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Feed) apply(offset uint64, data []byte) {
	r, err := ledger.Decode(data)
	if err != nil {
		f.Logger.Warn("record skipped", zap.Uint64("offset", offset), zap.Error(err))
		return
	}
	took := f.state.Apply(offset, r)
	switch {
	case r.Claim != nil && took:
		f.elected(*r.Claim)
	case r.Resign != nil && took:
		f.resigned(r.Resign.Epoch)
	}
	if f.OnApply != nil {
		f.OnApply(f.state, r, took)
	}
}

func (f *Feed) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.forgot) < forgetPeriod {
		return
	}
	f.forgot = time.Now()
	f.state.DropEnded(time.Now().Add(-retain).UnixMilli())
}

// Status is how current the state is.
type Status struct {
	CaughtUp bool          // the log has been read to its end once
	Age      time.Duration // since the last successful read
	Next     uint64        // offset of the next record
	Epoch    uint64
	Leader   string
}

// Fresh reports whether the state may be trusted to know all accepted jobs but
// the newest.
func (s Status) Fresh() bool { return s.CaughtUp && s.Age < StaleAfter }

// Status returns how current the state is.
func (f *Feed) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return Status{f.caught, time.Since(f.reached), f.next, f.state.Epoch, f.state.Leader.Instance}
}

// LogDown reports whether the last read of the log failed.
func (f *Feed) LogDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

// ProbeLog reads the log once, in a short time, and reports whether it can be
// read again.
func (f *Feed) ProbeLog(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, recheckTime)
	defer cancel()
	_, err := f.poll(ctx, 0)
	return err == nil
}

// Outage returns how long reads of the log have failed.
func (f *Feed) Outage() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		return 0
	}
	return time.Since(f.failed)
}

// View calls g with the state under its lock; g must not keep or change it.
func (f *Feed) View(g func(s *ledger.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	g(f.state)
}

// ViewAt is View with the offset of the next record.
func (f *Feed) ViewAt(g func(s *ledger.State, next uint64)) {
	f.View(func(s *ledger.State) { g(s, f.next) })
}

// Changed returns a channel that is closed when the next records are folded.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.changed
}

// Sync reads the log to its present end. Until Run has read the log to its end
// once it waits for that, unless reads fail: another read would take as much of
// the link again.
func (f *Feed) Sync(ctx context.Context) error {
	if err := f.awaitCaught(ctx); err != nil {
		return err
	}
	select {
	case f.syncing <- struct{}{}:
		defer func() { <-f.syncing }()
	case <-ctx.Done():
		return &ReadError{ctx.Err()}
	}
	for {
		n, err := f.poll(ctx, 0)
		if err != nil {
			return err
		}
		if n == 0 || f.atEnd() {
			return nil
		}
	}
}

func (f *Feed) awaitCaught(ctx context.Context) error {
	for {
		changed := f.Changed()
		if f.Status().CaughtUp || f.LogDown() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &ReadError{ctx.Err()}
		}
	}
}

// atEnd reports whether the last read reached the end of the log.
func (f *Feed) atEnd() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next >= f.end
}

// Write appends a record that needs no leader. An error other than
// *UncertainError means that it was certainly not appended.
func (f *Feed) Write(ctx context.Context, r ledger.Record) error {
	data, err := ledger.Encode(r)
	if err != nil {
		return err
	}
	offset, err := f.attempt(ctx, Batch{Records: [][]byte{data}})
	if err != nil {
		return err
	}
	f.own(offset, [][]byte{data})
	return nil
}

// own folds records that this instance has appended if no other record stands
// between them and the state.
func (f *Feed) own(offset uint64, records [][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.fold(Page{From: offset, Records: records})
}
