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

// scanPause is the shortest time between two scans, which read all jobs that
// start.
const scanPause = 2 * time.Millisecond

// Starter brings gangs from holding to running, in steps that any instance can
// repeat for the same token:
//
//  1. sync all members until each holds; propose the start with the
//     incarnation of each worker, or an abort when one refuses or in time not
//     all hold;
//  2. once the start is in the log, sync all members until each is armed;
//  3. tell all members to run, until each says that it does.
//
// Step 2 finds the holds that were lost while the start was on its way through
// the log: such a worker answers absent, its keeper reports that, and the fold
// releases the gang before any member has run. A worker that is lost after
// step 2 is no different from one that is lost while the gang runs.
//
// The instance that ranks first for a job acts at once, the others after a
// delay when the gang does not run by then. Exported fields are set before
// Run. The functions are called without any lock held, apart from the one that
// View takes.
type Starter struct {
	View    func(func(*state.State))
	Propose func(context.Context, ...record.Record) ([]state.Decision, error)
	Changed func() <-chan struct{}
	Rank    func(subject string) int
	Fresh   func() bool // nil means always
	Sync    func(ctx context.Context, addr string, q SyncRequest) (SyncAnswer, error)

	Lease     time.Duration      // default DefaultLease
	HoldTime  time.Duration      // default DefaultHoldTime
	RankDelay time.Duration      // default DefaultRankDelay
	Retry     time.Duration      // between two rounds of syncs, default 50 ms
	Parallel  int                // syncs in flight, default DefaultParallel
	Count     func(event string) // counts events such as "abort.refused"; nil counts nothing
	Logger    *zap.Logger        // default none

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
		// Entries of the log that follow at once are seen by one scan.
		if !sleep(ctx, scanPause) {
			return nil
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
	if t.Count == nil {
		t.Count = func(string) {}
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

// scan returns the gangs that are not driven here yet, and forgets those that
// have ended.
func (t *Starter) scan() []gang {
	var out []gang
	t.View(func(s *state.State) {
		t.mu.Lock()
		defer t.mu.Unlock()
		live := map[gang]bool{}
		for j := range s.StartingJobs() {
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
	delay, retry := time.Duration(max(rank, 0))*t.RankDelay, t.Retry
	if rank < 0 {
		delay = t.HoldTime // not a member: only when no member does it
	}
	if rank > backups {
		delay += t.HoldTime // enough are ahead; do not add to their syncs
	}
	if rank != 0 {
		retry *= 4
	}
	if !sleep(ctx, delay) {
		return
	}
	began := time.Now()
	for {
		r := t.step(ctx, g, time.Since(began))
		if r.gone || r.running {
			return
		}
		if !sleep(ctx, retry) {
			return
		}
	}
}

// step syncs all members once and takes the next step if they allow it.
func (t *Starter) step(ctx context.Context, g gang, passed time.Duration) result {
	if t.Fresh != nil && !t.Fresh() {
		return result{}
	}
	r := t.syncAll(ctx, g, false)
	switch {
	case r.gone || r.running:
	case r.phase == state.JobHolding && r.refused != "":
		t.Count("abort.refused")
		t.propose(ctx, add(nil, t.Logger, record.KindAbort, record.Abort{Job: g.job, Token: g.token, Cause: r.refused, MissingWorkers: r.missed})...)
	case r.phase == state.JobHolding && r.held:
		t.Count("start")
		// First what the evicted jobs kept: the start ends their tasks, and the
		// batcher would put a report in the same call behind it.
		t.propose(ctx, r.reports...)
		t.propose(ctx, add(nil, t.Logger, record.KindStart, record.Start{Job: g.job, Token: g.token, Incarnations: r.boots})...)
	case r.phase == state.JobHolding && passed >= t.HoldTime+r.grace:
		t.Count("abort.late")
		t.propose(ctx, add(nil, t.Logger, record.KindAbort, record.Abort{Job: g.job, Token: g.token, Cause: "not all members hold in time", MissingWorkers: r.missed})...)
	case r.phase == state.JobRunning && r.armed:
		r = t.syncAll(ctx, g, true)
	}
	return r
}

// result is what one round of syncs found.
type result struct {
	gone    bool // the placement has ended
	phase   state.JobPhase
	held    bool     // all members hold or are beyond that
	armed   bool     // all members are armed or run, and at least one is not running
	running bool     // all members run
	refused string   // why a member will never hold
	missed  []uint32 // workers that do not hold
	boots   []uint64
	reports []record.Record // when all hold: what the workers have ended
	grace   time.Duration   // of what still stops on the gang's accelerators
}

// syncAll syncs all members; run says that they are to run.
func (t *Starter) syncAll(ctx context.Context, g gang, run bool) result {
	type call struct {
		index uint32
		done  bool // the member has ended and is no longer in the request
		addr  string
		q     SyncRequest
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
			c := call{index: w.Index, addr: w.Addr, q: Request(s, w, t.Lease.Milliseconds(), name)}
			for _, x := range w.Tasks {
				c.done = c.done || x.Job == j && x.Phase == state.TaskDone
				if x.Phase == state.TaskStopping && x.Mask&sl.Mask != 0 {
					r.grace = max(r.grace, time.Duration(x.GraceMs)*time.Millisecond)
				}
			}
			calls = append(calls, c)
		}
	})
	if r.gone {
		return r
	}
	r.boots = make([]uint64, len(calls))
	phases := make([]string, len(calls))
	answers := make([]SyncAnswer, len(calls))
	var wg sync.WaitGroup
	for i, c := range calls {
		if c.done {
			phases[i] = StatusDone
			continue
		}
		t.slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-t.slots }()
			a, err := t.Sync(ctx, c.addr, c.q)
			if err != nil {
				t.Count("sync.failed")
				return
			}
			r.boots[i], answers[i] = a.Boot, a
			for _, st := range a.Tasks {
				if st.Job == g.job && st.Token == g.token && phases[i] != StatusAbsent {
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
			r.missed = append(r.missed, calls[i].index)
			r.refused = "worker " + calls[i].q.Worker + " refuses"
			r.held, r.armed, r.running = false, false, false
		default:
			r.missed = append(r.missed, calls[i].index)
			r.held, r.armed, r.running = false, false, false
		}
	}
	if r.held && r.phase == state.JobHolding {
		t.View(func(s *state.State) {
			for i, c := range calls {
				w := s.Workers[c.index]
				if res := Results(s, w, c.q, answers[i]); len(res) > 0 {
					r.reports = add(r.reports, t.Logger, record.KindReport, record.Report{Worker: w.Index, Results: res})
				}
			}
		})
	}
	return r
}

func (t *Starter) propose(ctx context.Context, recs ...record.Record) {
	if len(recs) == 0 {
		return
	}
	out, err := t.Propose(ctx, recs...)
	for _, o := range out {
		if !o.Accepted() {
			t.Count("refused." + string(o.Reason))
		}
	}
	if err != nil {
		t.Count("propose.failed")
		t.Logger.Info("proposal failed", zap.String("kind", string(recs[0].Kind)), zap.Error(err))
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
