package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/latency"
	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// followPollWait and leadPollWait bound one long poll of the log. The wait of
	// a follower is short because it detects a leader timeout by successful reads
	// that return no record of the leader.
	followPollWait = 500 * time.Millisecond
	leadPollWait   = time.Second

	// followPause is the pause between two reads of a follower, so that one read
	// returns several records. It does not delay queries of callers, because they
	// read the log themselves. The pause of a leader is only long enough to read
	// several submissions at once.
	followPause = 150 * time.Millisecond
	leadPause   = 25 * time.Millisecond

	// longFollowPause is the pause of a follower with a claim delay while the log
	// is busy and fast: of many small instances only a few ever lead. It is not
	// used while the log is slow, because the records of the leader would then be
	// read too late.
	longFollowPause = 400 * time.Millisecond

	// maxFastRead is the longest duration of a read that counts as fast, when
	// records are available.
	maxFastRead = 60 * time.Millisecond

	// maxLatencyPage is the size in bytes of the largest page whose time shows the
	// latency of the log. It takes 13 ms on a link of 10 Mbit/s.
	maxLatencyPage = 16 << 10

	// retryPause is the pause after a failed read.
	retryPause = 120 * time.Millisecond

	// endedJobRetention is how long ended jobs are kept in memory.
	endedJobRetention = 4 * time.Minute

	// dropEndedPeriod is the shortest time between two removals of ended jobs.
	dropEndedPeriod = 10 * time.Second
)

// Feed maintains the replicated state of one instance. The exported fields must
// be set before Run is called.
type Feed struct {
	Instance    string // name of the instance
	Incarnation string // identifies one start of the instance; differs after each start
	Append      func(ctx context.Context, b Batch) (offset uint64, err error)
	Read        func(ctx context.Context, from uint64, wait time.Duration) (Page, error)
	Logger      *zap.Logger

	// LoadSnapshot, if set, returns the newest stored snapshot, or nothing if
	// there is none. SaveSnapshot stores one.
	LoadSnapshot func(ctx context.Context) ([]byte, error)
	SaveSnapshot func(ctx context.Context, data []byte) error

	// Forward, if set, sends a record to the leader at the address, which appends it
	// with its own. It fails with *RefusedError if the record was certainly not
	// appended, and with *UncertainError if the outcome is unknown.
	Forward func(ctx context.Context, addr string, record []byte) error

	// Latency is the latency of the log, which other clients of the log may share;
	// default is one of the feed's own.
	Latency *latency.Tracker

	// Retention is how long the log keeps a record; 0 is unlimited.
	Retention time.Duration

	// MaxRecordBytes is the size of the largest record that the log accepts; 0 is
	// unknown.
	MaxRecordBytes int

	// MinSnapshotLag is the smallest size in bytes of the records since the last
	// snapshot at which another one is written; default 256 KiB.
	MinSnapshotLag int

	// ClaimDelay delays the claims of this instance, so that instances with more
	// CPU time claim first.
	ClaimDelay time.Duration

	// OnApply, if set, is called for each applied record while the lock of the
	// state is held. The parameter effective tells whether the record changed the
	// state.
	OnApply func(s *ledger.State, r ledger.Record, effective bool)

	// OnLead, if set, is called when the instance begins to lead an epoch. The
	// context ends with the epoch. The lock of the state is held during the call,
	// so s is the state right after the claim.
	OnLead func(ctx context.Context, epoch uint64, s *ledger.State)

	mu                sync.Mutex
	state             *ledger.State
	next              uint64    // offset of the next record to apply
	logEnd            uint64    // end of the log at the last read
	caughtUp          bool      // the log has been read to its end since the state was last loaded or skipped records
	lastRead          time.Time // last successful read
	readsFailing      bool      // the last read failed
	failingSince      time.Time // first failed read since the last successful one
	lastFailure       time.Time // last failed read
	seenLeaderRecords uint64    // state.LeaderRecords after the last read

	// missedBefore is 0 if the state is complete: if it contains the effect of all
	// records before next. Otherwise records before missedBefore had expired
	// before this instance could read them. A snapshot at or after that offset
	// contains them.
	missedBefore uint64

	// leaderSeen is the start of the leader timeout: the last read that returned
	// a record of the leader, the first successful read after a failed one, or the
	// read that first reached the end of the log.
	leaderSeen time.Time
	lastClaim  time.Time // last attempt of this instance to claim the leadership

	changed       chan struct{}        // closed and replaced at each change
	lastSeen      map[string]time.Time // when a Join or a submission of each instance was last read
	term          *term                // nil if this instance does not lead
	endedDropped  time.Time            // last removal of ended jobs
	retired       bool                 // this instance never claims again
	noClaimBefore time.Time            // set by Yield, so that another instance leads
	minClaimEpoch uint64               // lowest epoch for which the log may still accept a claim
	fencedStep    uint64               // steps by which the next fenced claim raises minClaimEpoch

	lastResortEpoch uint64 // last epoch that was claimed although the state lacked records

	// claimStored is the offset after that of the last claim that was answered as
	// stored. Its record shows who leads.
	claimStored uint64

	// claimConflictEnd is the end of the log that made the log refuse the last
	// conditional claim. It is 0 if no claim was refused for this reason, or if a
	// record of a leader has been read since.
	claimConflictEnd uint64

	snapshot snapshotState
	appends  appendCounters
	syncSlot chan struct{} // holds a token while a Sync reads the log
}

// Run reads the log and applies its records until the context ends. It claims
// the leadership when there is no leader.
func (f *Feed) Run(ctx context.Context) error {
	f.mu.Lock()
	f.init()
	f.mu.Unlock()
	jitter := time.Duration(rand.Int64N(int64(maxClaimJitter)))
	for ctx.Err() == nil {
		wait := followPollWait
		if f.Leading() {
			wait = leadPollWait
		}
		if !f.loadSnapshot(ctx) {
			delay.For(ctx, retryPause)
			continue
		}
		began := time.Now()
		n, err := f.poll(ctx, wait)
		if err != nil {
			delay.For(ctx, retryPause)
			continue
		}
		f.dropEnded()
		if f.shouldClaim(jitter) {
			f.claim(ctx)
			jitter = time.Duration(rand.Int64N(int64(maxClaimJitter)))
			continue
		}
		if n > 0 {
			delay.For(ctx, f.pauseAfterRead(time.Since(began)))
		}
	}
	f.stepDown("stopped")
	return ctx.Err()
}

// pauseAfterRead returns the pause before the next read, given the duration of
// the last one.
func (f *Feed) pauseAfterRead(readTime time.Duration) time.Duration {
	switch {
	case f.Leading():
		return leadPause
	case f.ClaimDelay > 0 && readTime < maxFastRead:
		return longFollowPause
	}
	return followPause
}

// init sets the initial state, and a logger if there is none. The caller holds
// the lock.
func (f *Feed) init() {
	if f.state == nil {
		f.state = ledger.NewState()
		f.changed = make(chan struct{})
		f.syncSlot = make(chan struct{}, 1)
		f.lastSeen = make(map[string]time.Time)
		f.leaderSeen = time.Now()
		f.fencedStep = 1
	}
	if f.Logger == nil {
		f.Logger = zap.NewNop()
	}
	if f.Latency == nil {
		f.Latency = &latency.Tracker{}
	}
}

// poll reads one page of the log and applies its records. It returns the number
// of records read, or 1 if it skipped expired records.
func (f *Feed) poll(ctx context.Context, wait time.Duration) (int, error) {
	f.mu.Lock()
	from := f.next
	possibleWait := wait
	if from < f.logEnd {
		possibleWait = 0 // records are available
	}
	f.mu.Unlock()
	began := time.Now()
	p, err := f.Read(ctx, from, wait)
	var expired *ExpiredError
	if errors.As(err, &expired) && expired.First > from {
		f.skipExpired(from, expired.First)
		return 1, nil
	}
	if err != nil {
		// A timeout shorter than the latency says nothing about the log.
		tooShort := time.Since(began) < latency.Longest(f.Latency.Estimate())
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) && !tooShort {
			f.readFailed(err)
		}
		return 0, err
	}
	if p.size() > maxLatencyPage {
		possibleWait = latency.UnknownWait // the transfer took most of the time
	}
	if !p.Sent.IsZero() {
		began = p.Sent
	}
	f.Latency.Observe(latency.Answer{Sent: began, Received: time.Now(), Wait: possibleWait})
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.readsFailing {
		f.readsFailing = false
		f.leaderSeen = now
		f.Logger.Info("log readable again", zap.Uint64("offset", p.From))
	}
	f.lastRead, f.logEnd = now, p.End
	f.applyPage(p)
	if f.next >= p.End && !f.caughtUp {
		f.caughtUp = true
		f.leaderSeen = now
		f.notifyChanged()
		f.Logger.Info("log read to its end", zap.Uint64("offset", f.next), zap.Int("jobs", len(f.state.Jobs)), zap.Uint64("epoch", f.state.Epoch), zap.Uint64("missing", f.missedBefore))
	}
	if f.state.LeaderRecords != f.seenLeaderRecords {
		f.seenLeaderRecords = f.state.LeaderRecords
		f.leaderSeen = now
		f.claimConflictEnd = 0
		f.fencedStep = 1
	}
	return len(p.Records), nil
}

// readFailed notes that reads of the log fail, and logs the first failure.
func (f *Feed) readFailed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastFailure = time.Now()
	if !f.readsFailing {
		f.init()
		f.notifyChanged()
		f.readsFailing = true
		f.failingSince = time.Now()
		f.Logger.Warn("log read failed; retrying", zap.Uint64("offset", f.next), zap.Error(err))
	}
}

// skipExpired continues at the oldest retained record, or at the newest snapshot
// if that is newer. Without such a snapshot the state lacks records until one is
// loaded. An instance whose state lacks records does not lead.
func (f *Feed) skipExpired(from, first uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next != from {
		return
	}
	f.next, f.missedBefore = first, first
	f.caughtUp = false
	f.snapshot.loaded, f.snapshot.loadAttempts = false, 0
	f.Logger.Warn("records expired before they were read; continuing at the oldest retained record", zap.Uint64("from", from), zap.Uint64("first", first))
	f.endTerm("records expired before they were read")
}

// applyPage applies the records of a page that have not been applied yet. It
// stops at a gap between the state and the page. The caller holds the lock.
func (f *Feed) applyPage(p Page) {
	applied := false
	for i, data := range p.Records {
		offset := p.From + uint64(i)
		if offset < f.next {
			continue
		}
		if offset > f.next {
			break
		}
		f.next++
		applied = true
		f.applyRecord(offset, data)
	}
	if applied {
		f.notifyChanged()
	}
}

// notifyChanged wakes all goroutines that wait for a change of the state. The
// caller holds the lock.
func (f *Feed) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// applyRecord applies one encoded record and skips one that cannot be decoded.
// The caller holds the lock.
func (f *Feed) applyRecord(offset uint64, data []byte) {
	f.snapshot.lag += len(data)
	r, err := ledger.Decode(data)
	if err != nil {
		f.Logger.Warn("record skipped: it could not be decoded", zap.Uint64("offset", offset), zap.Error(err))
		return
	}
	r.Offset = offset
	epoch := f.state.Epoch
	effective := f.state.Apply(r)
	if f.state.Epoch > epoch {
		f.epochBegan(f.state.Leader)
	}
	f.noteSeen(r)
	if r.Heartbeat != nil && r.Heartbeat.Latency > 0 && effective && f.caughtUp {
		f.Latency.Learn(time.Duration(r.Heartbeat.Latency) * time.Millisecond)
	}
	if r.Resign != nil && effective {
		f.resignApplied(r.Resign.Epoch)
	}
	if f.OnApply != nil {
		f.OnApply(f.state, r, effective)
	}
}

// dropEnded deletes the jobs from the state that ended more than
// endedJobRetention ago. It does so at most once per dropEndedPeriod.
func (f *Feed) dropEnded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.endedDropped) < dropEndedPeriod {
		return
	}
	f.endedDropped = time.Now()
	f.state.DropEnded(time.Now().Add(-endedJobRetention).UnixMilli())
}

// View calls g with the state while its lock is held. g must not modify the
// state or keep a reference to it.
func (f *Feed) View(g func(s *ledger.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	g(f.state)
}

// ViewAt is like View and also passes the offset of the next record to apply.
func (f *Feed) ViewAt(g func(s *ledger.State, next uint64)) {
	f.View(func(s *ledger.State) { g(s, f.next) })
}

// Changed returns a channel that is closed when the next records are applied,
// when the end of the log is first reached, or when reads begin to fail.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.changed
}
