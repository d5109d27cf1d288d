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

// Defaults of the keeper and the starter.
const (
	DefaultLease     = 15 * time.Second
	DefaultRankDelay = 300 * time.Millisecond
	DefaultParallel  = 64                    // syncs in flight
	DefaultScan      = 20 * time.Millisecond // shortest time between two scans of the state
)

// backups is how many ranks beyond the first renew leases. With none, a lease
// of 15 s could expire before a failed instance is evicted, which takes 5 s to
// 30 s.
const backups = 2

// Keeper renews the leases of workers and turns their answers into records.
// The instance that ranks first for a worker syncs it three times a lease and
// whenever its grants change; the next two ranks do so after a delay and half
// as often, so a lease outlives the failure of an instance. Exported fields
// are set before Run. The functions are called without any lock held, apart
// from the one that View takes.
type Keeper struct {
	View    func(func(*state.State))
	Propose func(context.Context, ...record.Record) ([]state.Decision, error)
	Changed func() <-chan struct{}
	Rank    func(subject string) int // 0 is first; below 0: not a member
	Fresh   func() bool              // whether the view may be acted on; nil means always
	Sync    func(ctx context.Context, addr string, q SyncRequest) (SyncAnswer, error)
	Count   func(event string) // counts events such as "sync.stale"; nil counts nothing

	Lease     time.Duration // default DefaultLease
	RankDelay time.Duration // default DefaultRankDelay
	Scan      time.Duration // default DefaultScan
	Parallel  int           // default DefaultParallel
	Logger    *zap.Logger   // default none

	mu      sync.Mutex
	table   map[uint32]*kept
	scanned time.Time // last scan
	members uint64    // digest of the members and the number of workers that the table is for
	slots   chan struct{}
	wake    chan struct{}
	wg      sync.WaitGroup
}

// kept is what the keeper knows of one worker. It is guarded by Keeper.mu.
type kept struct {
	rank      int
	edition   uint64    // of the worker's grants in the last sync
	changed   time.Time // when a newer edition was first seen; zero when none
	next      time.Time // next sync
	due       time.Time // when something is expected to have changed on the worker; zero when nothing is
	reached   time.Time // last answer, or when the worker was first kept
	busy      bool      // a sync is in flight
	proposing bool      // a proposal is in flight
	quiet     time.Time // no proposals before this
	request   SyncRequest
	answer    *SyncAnswer // last answer to an accepted sync, to request
	answered  time.Time
	since     time.Time     // since when there is something to propose
	lost      time.Time     // when the worker was first seen as lost
	wait      time.Duration // how long unreachable before it is reported lost
}

// Run keeps workers until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.defaults()
	defer k.wg.Wait()
	tick := time.NewTicker(k.Lease / 60)
	defer tick.Stop()
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		changed := k.Changed()
		k.scan(ctx)
		pause.Reset(k.Scan)
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

func (k *Keeper) defaults() {
	if k.Lease == 0 {
		k.Lease = DefaultLease
	}
	if k.RankDelay == 0 {
		k.RankDelay = DefaultRankDelay
	}
	if k.Scan == 0 {
		k.Scan = DefaultScan
	}
	if k.Parallel == 0 {
		k.Parallel = DefaultParallel
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
	k.table = map[uint32]*kept{}
	k.members = 0
	k.slots = make(chan struct{}, k.Parallel)
	k.wake = make(chan struct{}, 1)
}

// scan starts the syncs that are due and proposes what the last answers ask
// for.
func (k *Keeper) scan(ctx context.Context) {
	if k.Fresh != nil && !k.Fresh() {
		return
	}
	now := time.Now()
	k.resume(now)
	k.rank(now)
	var recs []record.Record
	var from []*kept
	k.View(func(s *state.State) {
		k.mu.Lock()
		defer k.mu.Unlock()
		for index, e := range k.table {
			if int(index) >= len(s.Workers) || s.Workers[index].Removed {
				continue
			}
			w := s.Workers[index]
			k.plan(ctx, s, w, e, now)
			if e.proposing || now.Before(e.quiet) {
				continue
			}
			if out := k.records(s, w, e, now); len(out) > 0 {
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

// resume voids the evidence against workers after a time in which this instance
// scanned nothing, because it was paused or its view was not fresh: it sent no
// syncs then, so the silence of the workers says nothing about them.
func (k *Keeper) resume(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.scanned.IsZero() && now.Sub(k.scanned) > k.Lease/6 {
		for _, e := range k.table {
			e.reached = now
		}
		k.Count("resumed")
	}
	k.scanned = now
}

// rank brings the table to the workers that this instance is to keep. Ranks
// are derived only when the members or the workers change: hashing 12,000
// workers against 170 members on each scan would take most of a core.
func (k *Keeper) rank(now time.Time) {
	h := xxhash.New()
	var names []string
	k.View(func(s *state.State) {
		for _, m := range s.Members {
			_, _ = h.WriteString(m.Writer)
			_, _ = h.WriteString(" ")
		}
		sum := h.Sum64() + uint64(len(s.Workers)) + 1
		if sum == k.members {
			return
		}
		k.members = sum
		for _, w := range s.Workers {
			names = append(names, w.Name)
		}
	})
	for i, name := range names {
		rank := k.Rank(name)
		k.mu.Lock()
		if rank < 0 || rank > backups {
			delete(k.table, uint32(i))
		} else if e := k.table[uint32(i)]; e != nil {
			e.rank = rank
		} else {
			k.table[uint32(i)] = &kept{rank: rank, next: now, reached: now, wait: k.Lease}
		}
		k.mu.Unlock()
	}
}

// plan starts a sync when the period has passed or the grants have changed.
func (k *Keeper) plan(ctx context.Context, s *state.State, w *state.Worker, e *kept, now time.Time) {
	if w.LocalRevision() != e.edition {
		if e.changed.IsZero() {
			e.changed = now
		}
		if due := e.changed.Add(time.Duration(e.rank) * k.RankDelay); due.Before(e.next) {
			e.next = due
		}
	}
	if e.busy || now.Before(e.next) {
		return
	}
	select {
	case k.slots <- struct{}{}:
	default:
		return // all are in use; the next scan tries again
	}
	q := Request(s, w, k.Lease.Milliseconds(), "")
	q.Full = !e.due.IsZero() && !now.Before(e.due)
	if e.answer != nil {
		q.Acks = Acks(s, w, *e.answer)
	}
	e.busy, e.edition, e.changed = true, w.LocalRevision(), time.Time{}
	period := k.Lease / 3
	if e.rank > 0 {
		period = k.Lease * 2 / 3
	}
	// Up to a tenth earlier, so that syncs do not stay in step.
	e.next = now.Add(period - rand.N(period/10))
	addr := w.Addr
	k.wg.Go(func() {
		a, err := k.Sync(ctx, addr, q)
		<-k.slots
		k.answered(e, q, a, err)
		select {
		case k.wake <- struct{}{}:
		default:
		}
	})
}

func (k *Keeper) answered(e *kept, q SyncRequest, a SyncAnswer, err error) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	e.busy = false
	var stale *StaleError
	switch {
	case err == nil:
		e.answer, e.request, e.answered, e.reached, e.wait = &a, q, now, now, k.Lease
		if !a.Same {
			// An answer that repeats an earlier one has its old progress.
			e.due = time.Time{}
			if soon := k.soon(q, a); soon > 0 {
				e.due = now.Add(soon)
			}
		}
		if due := e.due; !due.IsZero() && due.Before(e.next) {
			e.next = latest(due, now.Add(k.Lease/60))
		}
	case errors.As(err, &stale):
		e.reached = now // it is alive; another instance's view is newer
		e.next = now.Add(k.Lease / 60)
		k.Count("sync.stale")
	default:
		e.next = now.Add(k.Lease / 15)
		k.Count("sync.unreachable")
		k.Logger.Info("sync failed", zap.String("worker", q.Worker), zap.Error(err))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// soon returns after which time something is expected to have changed on the
// worker, so that the end of a short task is not found one period late; 0
// means that nothing is expected.
func (k *Keeper) soon(q SyncRequest, a SyncAnswer) time.Duration {
	shortest := k.Lease / 60
	soon := time.Duration(0)
	least := func(d time.Duration) {
		if d = max(d, shortest); soon == 0 || d < soon {
			soon = d
		}
	}
	for _, t := range a.Tasks {
		if _, ok := t.outcome(); ok {
			least(shortest) // to be acknowledged
		}
		if t.Phase == StatusRunning && t.Progress > 0 && t.Ran > 0 {
			left := float64(t.Ran) * (1 - t.Progress) / t.Progress
			least(time.Duration(min(left, 1e9)) * time.Millisecond)
		}
	}
	for _, g := range q.Grants {
		if g.Phase == PhaseCheckpoint {
			least(min(k.Lease/30, time.Duration(g.Grace)*time.Millisecond))
		}
	}
	return soon
}

func (k *Keeper) propose(ctx context.Context, recs []record.Record, from []*kept) {
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
			e.quiet = time.Now().Add(k.Lease / 15)
		}
	}
	if err != nil {
		k.Count("propose.failed")
		k.Logger.Info("proposals failed", zap.Int("records", len(recs)), zap.Error(err))
	}
}
