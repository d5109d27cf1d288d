package worker

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// DefaultHoldTime bounds the time that a gang may take to hold, beyond the
// longest grace of what is evicted for it.
const DefaultHoldTime = 2 * time.Second

// Starter brings gangs from holding to running. The instance that ranks first
// for a job acts at once; others act after a delay when nothing has changed.
// Exported fields are set before Run.
type Starter struct {
	View    func(func(*state.State))
	Propose func(context.Context, ...record.Record) ([]state.Outcome, error)
	Changed func() <-chan struct{}
	Rank    func(subject string) int
	Fresh   func() bool // nil means always
	Sync    func(ctx context.Context, addr string, q SyncRequest) (SyncAnswer, error)

	Lease     time.Duration // default DefaultLease
	HoldTime  time.Duration // default DefaultHoldTime
	RankDelay time.Duration // default DefaultRankDelay
	Retry     time.Duration // between two rounds of syncs, default 50 ms
	Parallel  int           // syncs in flight, default DefaultParallel
	Logger    *zap.Logger   // default none

	mu    sync.Mutex
	gangs map[gang]bool // being driven, or done
	slots chan struct{}
	wg    sync.WaitGroup
}

// gang identifies one placement of a job.
type gang struct {
	job   string
	token uint64
}

// Run starts gangs until the context ends.
func (t *Starter) Run(ctx context.Context) error {
	t.defaults()
	defer t.wg.Wait()
	for {
		changed := t.Changed()
		for _, g := range t.scan() {
			t.wg.Go(func() { t.drive(ctx, g) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (t *Starter) defaults() {
	if t.Lease == 0 {
		t.Lease = DefaultLease
	}
	if t.HoldTime == 0 {
		t.HoldTime = DefaultHoldTime
	}
	if t.RankDelay == 0 {
		t.RankDelay = DefaultRankDelay
	}
	if t.Retry == 0 {
		t.Retry = 50 * time.Millisecond
	}
	if t.Parallel == 0 {
		t.Parallel = DefaultParallel
	}
	if t.Logger == nil {
		t.Logger = zap.NewNop()
	}
	if t.Sync == nil {
		t.Sync = (&Client{}).Sync
	}
	t.gangs = map[gang]bool{}
	t.slots = make(chan struct{}, t.Parallel)
}

// scan returns the gangs that nobody here drives yet, and forgets those that
// have ended.
func (t *Starter) scan() []gang {
	var out []gang
	t.View(func(s *state.State) {
		t.mu.Lock()
		defer t.mu.Unlock()
		live := map[gang]bool{}
		for j := range s.Starting() {
			g := gang{j.ID, j.Token}
			live[g] = true
			if !t.gangs[g] {
				t.gangs[g] = true
				out = append(out, g)
			}
		}
		for g := range t.gangs {
			if !live[g] {
				delete(t.gangs, g)
			}
		}
	})
	return out
}

// drive repeats rounds of syncs until the gang runs or is released.
func (t *Starter) drive(ctx context.Context, g gang) {
	rank := t.Rank(g.job)
	if rank < 0 {
		rank = 0
	}
	if !sleep(ctx, time.Duration(rank)*t.RankDelay) {
		return
	}
	began := time.Now()
	for {
		r := t.round(ctx, g)
		switch {
		case r.gone || r.running:
			return
		case r.phase == state.JobHolding && r.refused != "":
			t.propose(ctx, record.KindAbort, record.Abort{Job: g.job, Token: g.token, Cause: r.refused})
		case r.phase == state.JobHolding && r.held:
			t.propose(ctx, record.KindStart, record.Start{Job: g.job, Token: g.token, Boots: r.boots})
		case r.phase == state.JobHolding && time.Since(began) >= t.HoldTime+r.grace:
			t.propose(ctx, record.KindAbort, record.Abort{Job: g.job, Token: g.token, Cause: "not all members hold in time"})
		case r.phase == state.JobRunning && r.armed:
			t.syncAll(ctx, g, true)
			continue
		}
		if !sleep(ctx, t.Retry) {
			return
		}
	}
}

// result is what one round of syncs found.
type result struct {
	gone    bool // the placement has ended
	phase   state.JobPhase
	held    bool // all members hold or are beyond that
	armed   bool // all members are armed or run, and at least one is not running
	running bool // all members run
	refused string
	boots   []uint64
	grace   time.Duration // of what still stops on the gang's accelerators
}

// round syncs all members once.
func (t *Starter) round(ctx context.Context, g gang) result {
	if t.Fresh != nil && !t.Fresh() {
		return result{}
	}
	return t.syncAll(ctx, g, false)
}

func (t *Starter) syncAll(ctx context.Context, g gang, run bool) result {
	type call struct {
		addr string
		q    SyncRequest
	}
	var calls []call
	r := result{gone: true}
	t.View(func(s *state.State) {
		j := s.Jobs[g.job]
		if j == nil || j.Token != g.token || j.Phase != state.JobHolding && j.Phase != state.JobRunning {
			return
		}
		r.gone, r.phase = false, j.Phase
		name := ""
		if run {
			name = j.ID
		}
		for _, sl := range j.Slots {
			w := s.Workers[sl.Worker]
			calls = append(calls, call{w.Addr, Request(s, w, t.Lease.Milliseconds(), name)})
			for _, x := range w.Tasks {
				if x.Phase == state.TaskStopping && x.Mask&sl.Mask != 0 {
					r.grace = max(r.grace, time.Duration(x.Grace)*time.Millisecond)
				}
			}
		}
	})
	if r.gone {
		return r
	}
	r.boots = make([]uint64, len(calls))
	phases := make([]string, len(calls))
	var wg sync.WaitGroup
	for i, c := range calls {
		t.slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-t.slots }()
			a, err := t.Sync(ctx, c.addr, c.q)
			if err != nil {
				return
			}
			r.boots[i] = a.Boot
			for _, st := range a.Tasks {
				if st.Job == g.job && st.Token == g.token {
					phases[i] = st.Phase
				}
			}
		})
	}
	wg.Wait()
	r.held, r.armed, r.running = true, true, true
	for i, p := range phases {
		switch p {
		case StatusHeld:
			r.armed, r.running = false, false
		case StatusArmed:
			r.running = false
		case StatusRunning, StatusDone, StatusFailed, StatusStopped:
		case StatusAbsent, StatusRefused:
			r.refused = "worker " + calls[i].q.Worker + " refuses"
			r.held, r.armed, r.running = false, false, false
		default:
			r.held, r.armed, r.running = false, false, false
		}
	}
	return r
}

func (t *Starter) propose(ctx context.Context, kind record.Kind, body any) {
	r, err := record.New(kind, "", body)
	if err != nil {
		return
	}
	if _, err := t.Propose(ctx, r); err != nil {
		t.Logger.Info("proposal failed", zap.String("kind", string(kind)), zap.Error(err))
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
