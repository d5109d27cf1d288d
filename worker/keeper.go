package worker

import (
	"context"
	"errors"
	"sync"
	"time"

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
	backups          = 2                     // ranks beyond the first that renew leases too
)

// Keeper renews the leases of workers and turns their answers into records.
// The instance that ranks first for a worker syncs it three times a lease and
// whenever its grants change; the next two ranks do so after a delay and half
// as often, so a lease outlives the loss of one or two instances. Exported
// fields are set before Run.
type Keeper struct {
	View    func(func(*state.State))
	Propose func(context.Context, ...record.Record) ([]state.Outcome, error)
	Changed func() <-chan struct{}
	Rank    func(subject string) int // 0 is first; below 0: not a member
	Fresh   func() bool              // whether the view may be acted on; nil means always
	Sync    func(ctx context.Context, addr string, q SyncRequest) (SyncAnswer, error)

	Lease     time.Duration // default DefaultLease
	RankDelay time.Duration // default DefaultRankDelay
	Scan      time.Duration // default DefaultScan
	Parallel  int           // default DefaultParallel
	Logger    *zap.Logger   // default none
	Now       func() time.Time

	mu    sync.Mutex
	table map[uint32]*kept
	slots chan struct{}
	wg    sync.WaitGroup
}

// kept is what the keeper knows of one worker. It is guarded by Keeper.mu.
type kept struct {
	rank     int
	edition  uint64    // of the worker's grants in the last sync
	changed  time.Time // when a newer edition was first seen; zero when none
	next     time.Time // next sync
	reached  time.Time // last accepted sync, or when the worker was first kept
	busy     bool
	answer   *SyncAnswer
	request  SyncRequest
	answered time.Time
	wait     time.Duration // how long unreachable before it is reported lost
}

// Run keeps workers until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.defaults()
	defer k.wg.Wait()
	scan := time.NewTicker(k.Lease / 30)
	defer scan.Stop()
	for {
		changed := k.Changed()
		k.scan(ctx)
		pause := time.NewTimer(k.Scan)
		select {
		case <-ctx.Done():
			pause.Stop()
			return nil
		case <-pause.C:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-scan.C:
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
	if k.Now == nil {
		k.Now = time.Now
	}
	if k.Sync == nil {
		k.Sync = (&Client{Timeout: k.Lease / 6}).Sync
	}
	k.table = map[uint32]*kept{}
	k.slots = make(chan struct{}, k.Parallel)
}

// scan starts the syncs that are due and proposes what the last answers ask
// for.
func (k *Keeper) scan(ctx context.Context) {
	if k.Fresh != nil && !k.Fresh() {
		return
	}
	now := k.Now()
	var recs []record.Record
	k.View(func(s *state.State) {
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, w := range s.Workers {
			rank := k.Rank(w.Name)
			if w.Gone || rank < 0 || rank > backups {
				delete(k.table, w.Index)
				continue
			}
			e := k.entry(w, rank, now)
			k.plan(ctx, s, w, e, now)
			recs = append(recs, k.records(s, w, e, now)...)
		}
	})
	if len(recs) > 0 {
		k.wg.Go(func() { k.propose(ctx, recs) })
	}
}

func (k *Keeper) entry(w *state.Worker, rank int, now time.Time) *kept {
	e := k.table[w.Index]
	if e == nil {
		e = &kept{next: now, reached: now, wait: k.Lease}
		k.table[w.Index] = e
	}
	e.rank = rank
	return e
}

// plan starts a sync when the period has passed or the grants have changed.
func (k *Keeper) plan(ctx context.Context, s *state.State, w *state.Worker, e *kept, now time.Time) {
	if w.Edition() != e.edition {
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
	if e.answer != nil {
		q.Acks = Acks(s, w, *e.answer)
	}
	e.busy, e.edition, e.changed = true, w.Edition(), time.Time{}
	period := k.Lease / 3
	if e.rank > 0 {
		period = k.Lease * 2 / 3
	}
	e.next = now.Add(period)
	addr, index := w.Addr, w.Index
	k.wg.Go(func() {
		a, err := k.Sync(ctx, addr, q)
		<-k.slots
		k.answered(index, q, a, err)
	})
}

func (k *Keeper) answered(index uint32, q SyncRequest, a SyncAnswer, err error) {
	now := k.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.table[index]
	if e == nil {
		return
	}
	e.busy = false
	var stale *StaleError
	switch {
	case err == nil:
		e.answer, e.request, e.answered, e.reached = &a, q, now, now
	case errors.As(err, &stale):
		e.reached = now // it lives; another instance is ahead of this one
	default:
		e.next = now.Add(k.Lease / 15)
		k.Logger.Info("sync failed", zap.String("worker", q.Worker), zap.Error(err))
	}
}

// records returns what the last answer of the worker, or its silence, asks
// for. Ranks beyond the first wait, because the first has likely proposed the
// same.
func (k *Keeper) records(s *state.State, w *state.Worker, e *kept, now time.Time) []record.Record {
	delay := time.Duration(e.rank) * k.RankDelay
	var out []record.Record
	add := func(r record.Record, err error) {
		if err == nil {
			out = append(out, r)
		}
	}
	if now.Sub(e.reached) >= e.wait+delay && w.Condition != record.ConditionLost {
		add(record.New(record.KindHealth, "", record.Health{Worker: w.Index, Revision: w.Revision, Condition: record.ConditionLost, Cause: "unreachable"}))
		return out
	}
	if e.answer == nil || now.Sub(e.answered) < delay {
		return out
	}
	if w.Condition == record.ConditionLost && now.Sub(e.reached) < k.Lease/3 {
		add(record.New(record.KindHealth, "", record.Health{Worker: w.Index, Revision: w.Revision, Condition: record.ConditionReady, Cause: "reachable"}))
	}
	if res := Results(s, w, e.request, *e.answer); len(res) > 0 {
		add(record.New(record.KindReport, "", record.Report{Worker: w.Index, Results: res}))
	}
	return out
}

func (k *Keeper) propose(ctx context.Context, recs []record.Record) {
	out, err := k.Propose(ctx, recs...)
	if err != nil {
		k.Logger.Info("proposals failed", zap.Int("records", len(recs)), zap.Error(err))
		return
	}
	for _, o := range out {
		if !o.Accepted() {
			k.Logger.Debug("refused", zap.String("kind", string(o.Kind)), zap.String("reason", string(o.Reason)))
		}
	}
}
