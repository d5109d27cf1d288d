package worker

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// Defaults of LeaseKeeper and GangStarter.
const (
	DefaultLease        = 15 * time.Second
	DefaultRankDelay    = 300 * time.Millisecond
	DefaultMaxSyncs     = 64                    // syncs in flight
	DefaultScanInterval = 20 * time.Millisecond // shortest time between two scans of the state
)

// backupRanks is how many ranks beyond the first renew leases. With none, a
// lease of 15 s could expire before a failed instance is evicted, which takes
// 5 s to 30 s.
const backupRanks = 2

// LeaseKeeper renews the leases of workers and proposes records for what their
// answers change. The instance that ranks first for a worker syncs it three
// times a lease and whenever its grants change. The next two ranks do so after
// a delay and half as often, so that a lease outlives the failure of an
// instance. Exported fields are set before Run. The functions are called
// without any lock held, except the one that View takes.
type LeaseKeeper struct {
	View    func(func(*state.State))
	Propose func(context.Context, ...record.Record) ([]state.Decision, error)
	Changed func() <-chan struct{}
	Rank    func(subject string) int // 0 is first; negative if this instance is not a member
	Fresh   func() bool              // whether the view is recent enough to act on; nil means always
	Sync    func(ctx context.Context, addr string, q SyncRequest) (SyncAnswer, error)
	Count   func(event string) // counts events such as "sync.stale"; nil counts nothing

	Lease        time.Duration // default DefaultLease
	RankDelay    time.Duration // default DefaultRankDelay
	ScanInterval time.Duration // default DefaultScanInterval
	MaxSyncs     int           // syncs in flight; default DefaultMaxSyncs
	Logger       *zap.Logger   // default none

	mu         sync.Mutex
	entries    map[uint32]*workerEntry
	lastScan   time.Time
	rankDigest uint64 // digest of the members and the number of workers that the ranks in entries are based on
	syncSlots  chan struct{}
	wake       chan struct{}
	wg         sync.WaitGroup
}

// workerEntry is what the LeaseKeeper knows of one worker. It is guarded by
// LeaseKeeper.mu.
type workerEntry struct {
	rank           int
	syncedRevision uint64    // local revision of the worker at the last sync
	changedAt      time.Time // when a newer local revision was first seen; zero if none
	nextSync       time.Time
	changeDue      time.Time // when a task on the worker is expected to change; zero if none is
	reachedAt      time.Time // last answer, or when the entry was created
	syncing        bool      // a sync is in flight
	proposing      bool      // a proposal is in flight
	proposeAfter   time.Time // no proposals before this
	request        SyncRequest
	answer         *SyncAnswer // last answer to an accepted sync, which was request
	answeredAt     time.Time
	pendingSince   time.Time     // since when there are records to propose; zero if none
	lostSince      time.Time     // when the state was first seen to have the worker as lost; zero if it has not
	lossTimeout    time.Duration // how long the worker must be unreachable before it is reported lost
}

// Run syncs workers until the context ends.
func (k *LeaseKeeper) Run(ctx context.Context) error {
	k.defaults()
	defer k.wg.Wait()
	tick := time.NewTicker(k.Lease / 60)
	defer tick.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		changed := k.Changed()
		k.scan(ctx)
		pause.Reset(k.ScanInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-pause.C:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-k.wake:
		case <-tick.C:
		}
	}
}

func (k *LeaseKeeper) defaults() {
	if k.Lease == 0 {
		k.Lease = DefaultLease
	}
	if k.RankDelay == 0 {
		k.RankDelay = DefaultRankDelay
	}
	if k.ScanInterval == 0 {
		k.ScanInterval = DefaultScanInterval
	}
	if k.MaxSyncs == 0 {
		k.MaxSyncs = DefaultMaxSyncs
	}
	if k.Logger == nil {
		k.Logger = zap.NewNop()
	}
	if k.Count == nil {
		k.Count = func(string) {}
	}
	if k.Sync == nil {
		k.Sync = (&Client{Timeout: k.Lease / 6}).Sync
	}
	k.entries = map[uint32]*workerEntry{}
	k.rankDigest = 0
	k.syncSlots = make(chan struct{}, k.MaxSyncs)
	k.wake = make(chan struct{}, 1)
}

// scan starts the syncs that are due and proposes the records that follow from
// the last answers.
func (k *LeaseKeeper) scan(ctx context.Context) {
	if k.Fresh != nil && !k.Fresh() {
		return
	}
	now := time.Now()
	k.resetAfterPause(now)
	k.updateRanks(now)
	var recs []record.Record
	var from []*workerEntry
	k.View(func(s *state.State) {
		k.mu.Lock()
		defer k.mu.Unlock()
		for index, e := range k.entries {
			if int(index) >= len(s.Workers) || s.Workers[index].Removed {
				continue
			}
			w := s.Workers[index]
			k.syncIfDue(ctx, s, w, e, now)
			if e.proposing || now.Before(e.proposeAfter) {
				continue
			}
			if out := k.dueRecords(s, w, e, now); len(out) > 0 {
				recs = append(recs, out...)
				e.proposing = true
				from = append(from, e)
			}
		}
	})
	if len(recs) > 0 {
		k.wg.Go(func() { k.propose(ctx, recs, from) })
	}
}

// resetAfterPause restarts the loss timeouts of all workers after this instance
// has not scanned for a while, because it was paused or its view was not fresh.
// It sent no syncs in that time, so missing answers do not show that a worker
// is unreachable.
func (k *LeaseKeeper) resetAfterPause(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.lastScan.IsZero() && now.Sub(k.lastScan) > k.Lease/6 {
		for _, e := range k.entries {
			e.reachedAt = now
		}
		k.Count("resumed")
	}
	k.lastScan = now
}

// updateRanks updates the entries to the workers that this instance syncs.
// Ranks are computed only when the members or the number of workers change:
// hashing 12,000 workers against 170 members on each scan would take most of a
// core.
func (k *LeaseKeeper) updateRanks(now time.Time) {
	h := xxhash.New()
	var names []string
	k.View(func(s *state.State) {
		for _, m := range s.Members {
			_, _ = h.WriteString(m.Writer)
			_, _ = h.WriteString(" ")
		}
		sum := h.Sum64() + uint64(len(s.Workers)) + 1
		if sum == k.rankDigest {
			return
		}
		k.rankDigest = sum
		for _, w := range s.Workers {
			names = append(names, w.Name)
		}
	})
	for i, name := range names {
		rank := k.Rank(name)
		k.mu.Lock()
		if rank < 0 || rank > backupRanks {
			delete(k.entries, uint32(i))
		} else if e := k.entries[uint32(i)]; e != nil {
			e.rank = rank
		} else {
			k.entries[uint32(i)] = &workerEntry{rank: rank, nextSync: now, reachedAt: now, lossTimeout: k.Lease}
		}
		k.mu.Unlock()
	}
}

// syncIfDue starts a sync if the period has passed or the grants have changed.
func (k *LeaseKeeper) syncIfDue(ctx context.Context, s *state.State, w *state.Worker, e *workerEntry, now time.Time) {
	if w.LocalRevision() != e.syncedRevision {
		if e.changedAt.IsZero() {
			e.changedAt = now
		}
		if due := e.changedAt.Add(time.Duration(e.rank) * k.RankDelay); due.Before(e.nextSync) {
			e.nextSync = due
		}
	}
	if e.syncing || now.Before(e.nextSync) {
		return
	}
	select {
	case k.syncSlots <- struct{}{}:
	default:
		return // MaxSyncs are in flight; the next scan tries again
	}
	q := NewSyncRequest(s, w, k.Lease.Milliseconds(), "")
	q.Full = !e.changeDue.IsZero() && !now.Before(e.changeDue)
	if e.answer != nil {
		q.Acks = Acks(s, w, *e.answer)
	}
	e.syncing, e.syncedRevision, e.changedAt = true, w.LocalRevision(), time.Time{}
	period := k.Lease / 3
	if e.rank > 0 {
		period = k.Lease * 2 / 3
	}
	// The period is shortened by a random part of up to a tenth, so that syncs
	// do not stay synchronized.
	e.nextSync = now.Add(period - rand.N(period/10))
	addr := w.Addr
	k.wg.Go(func() {
		a, err := k.Sync(ctx, addr, q)
		<-k.syncSlots
		k.handleAnswer(e, q, a, err)
		select {
		case k.wake <- struct{}{}:
		default:
		}
	})
}

// handleAnswer stores the answer to q and schedules the next sync.
func (k *LeaseKeeper) handleAnswer(e *workerEntry, q SyncRequest, a SyncAnswer, err error) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	e.syncing = false
	var stale *StaleError
	switch {
	case err == nil:
		e.answer, e.request, e.answeredAt, e.reachedAt, e.lossTimeout = &a, q, now, now, k.Lease
		if !a.Unchanged {
			// The time is estimated only from a full answer; an unchanged one
			// has the progress of an earlier answer.
			e.changeDue = time.Time{}
			if soon := k.nextChange(q, a); soon > 0 {
				e.changeDue = now.Add(soon)
			}
		}
		if due := e.changeDue; !due.IsZero() && due.Before(e.nextSync) {
			e.nextSync = latest(due, now.Add(k.Lease/60))
		}
	case errors.As(err, &stale):
		e.reachedAt = now // the worker is alive; another instance's view is newer
		e.nextSync = now.Add(k.Lease / 60)
		k.Count("sync.stale")
	default:
		e.nextSync = now.Add(k.Lease / 15)
		k.Count("sync.unreachable")
		k.Logger.Info("sync failed; retrying after a pause", zap.String("worker", q.Worker), zap.Error(err))
	}
}

// latest returns the later of the two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// nextChange returns how long until a task on the worker is expected to change,
// so that the end of a short task is not found one period late. It returns 0 if
// no change is expected.
func (k *LeaseKeeper) nextChange(q SyncRequest, a SyncAnswer) time.Duration {
	shortest := k.Lease / 60
	next := time.Duration(0)
	consider := func(d time.Duration) {
		if d = max(d, shortest); next == 0 || d < next {
			next = d
		}
	}
	for _, t := range a.Tasks {
		if _, ok := t.outcome(); ok {
			consider(shortest) // the result has to be acknowledged
		}
		if t.Phase == StatusRunning && t.Progress > 0 && t.RanMs > 0 {
			remaining := float64(t.RanMs) * (1 - t.Progress) / t.Progress
			consider(time.Duration(min(remaining, 1e9)) * time.Millisecond)
		}
	}
	for _, g := range q.Grants {
		if g.Phase == PhaseCheckpoint {
			consider(min(k.Lease/30, time.Duration(g.GraceMs)*time.Millisecond))
		}
	}
	return next
}

// propose proposes the records that were collected for the entries in from.
func (k *LeaseKeeper) propose(ctx context.Context, recs []record.Record, from []*workerEntry) {
	out, err := k.Propose(ctx, recs...)
	for _, o := range out {
		if !o.Accepted() {
			k.Count("refused." + string(o.Reason))
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range from {
		e.proposing = false
		if err != nil {
			e.proposeAfter = time.Now().Add(k.Lease / 15)
		}
	}
	if err != nil {
		k.Count("propose.failed")
		k.Logger.Info("proposals failed; retrying after a pause", zap.Int("records", len(recs)), zap.Error(err))
	}
}
