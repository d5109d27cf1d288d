package worker

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// DefaultHoldTimeout is how long the members of a gang may take to hold their
// accelerators, beyond the longest grace period of the jobs preempted for it.
const DefaultHoldTimeout = 2 * time.Second

// minScanInterval is the shortest time between two scans, each of which reads
// all starting jobs.
const minScanInterval = 2 * time.Millisecond

// GangStarter brings gangs from holding to running. Each step is idempotent, so
// any instance can repeat it for the same token:
//
//  1. Sync all members until each holds its accelerators. Then propose the start
//     with the incarnation of each worker. Propose an abort if a member refuses,
//     or if not all members hold within the timeout.
//  2. Once the start is in the log, sync all members until each is armed.
//  3. Tell all members to run until each reports that it runs.
//
// Step 2 detects holds that were lost before the start was applied: such a
// worker answers absent, its LeaseKeeper reports that, and applying the report
// releases the gang before any member has run. A worker that is lost after
// step 2 is treated like one that is lost while the gang runs.
//
// The instance that ranks first for a job acts at once. The others act after a
// delay if the gang does not run by then. Exported fields are set before Run.
// The functions are called without any lock held, except the one that View
// takes.
type GangStarter struct {
	View    func(func(*state.State))
	Propose func(context.Context, ...record.Record) ([]state.Decision, error)
	Changed func() <-chan struct{}
	Rank    func(subject string) int
	Fresh   func() bool // nil means always
	Sync    func(ctx context.Context, addr string, q SyncRequest) (SyncAnswer, error)

	Lease         time.Duration      // default DefaultLease
	HoldTimeout   time.Duration      // default DefaultHoldTimeout
	RankDelay     time.Duration      // default DefaultRankDelay
	RetryInterval time.Duration      // between two rounds of syncs; default 50 ms
	MaxSyncs      int                // syncs in flight; default DefaultMaxSyncs
	Count         func(event string) // counts events such as "abort.refused"; nil counts nothing
	Logger        *zap.Logger        // default none

	mu        sync.Mutex
	known     map[placement]bool // being started here, or already done
	syncSlots chan struct{}
	wg        sync.WaitGroup
}

// placement identifies one placement of a job.
type placement struct {
	job   string
	token uint64
}

// Run starts gangs until the context ends.
func (t *GangStarter) Run(ctx context.Context) error {
	t.defaults()
	defer t.wg.Wait()
	for {
		changed := t.Changed()
		for _, g := range t.scan() {
			t.wg.Go(func() { t.startGang(ctx, g) })
		}
		// One scan covers all log entries that arrive in quick succession.
		if !sleep(ctx, minScanInterval) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (t *GangStarter) defaults() {
	if t.Lease == 0 {
		t.Lease = DefaultLease
	}
	if t.HoldTimeout == 0 {
		t.HoldTimeout = DefaultHoldTimeout
	}
	if t.RankDelay == 0 {
		t.RankDelay = DefaultRankDelay
	}
	if t.RetryInterval == 0 {
		t.RetryInterval = 50 * time.Millisecond
	}
	if t.MaxSyncs == 0 {
		t.MaxSyncs = DefaultMaxSyncs
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
	t.known = map[placement]bool{}
	t.syncSlots = make(chan struct{}, t.MaxSyncs)
}

// scan returns the starting gangs that this instance does not handle yet, and
// deletes those that start no longer.
func (t *GangStarter) scan() []placement {
	var out []placement
	t.View(func(s *state.State) {
		t.mu.Lock()
		defer t.mu.Unlock()
		live := map[placement]bool{}
		for j := range s.StartingJobs() {
			g := placement{j.ID, j.Token}
			live[g] = true
			if !t.known[g] {
				t.known[g] = true
				out = append(out, g)
			}
		}
		for g := range t.known {
			if !live[g] {
				delete(t.known, g)
			}
		}
	})
	return out
}

// startGang repeats rounds of syncs until the gang runs or its placement ends.
func (t *GangStarter) startGang(ctx context.Context, g placement) {
	rank := t.Rank(g.job)
	delay, retry := time.Duration(max(rank, 0))*t.RankDelay, t.RetryInterval
	if rank < 0 {
		delay = t.HoldTimeout // this instance is not a member: act only if no member does
	}
	if rank > backupRanks {
		delay += t.HoldTimeout // enough instances act earlier; avoid duplicate syncs
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
		if r.ended || r.running {
			return
		}
		if !sleep(ctx, retry) {
			return
		}
	}
}

// step syncs all members once and takes the next step if their answers allow
// it.
func (t *GangStarter) step(ctx context.Context, g placement, elapsed time.Duration) syncRound {
	if t.Fresh != nil && !t.Fresh() {
		return syncRound{}
	}
	r := t.syncAll(ctx, g, false)
	switch {
	case r.ended || r.running:
	case r.phase == state.JobHolding && r.refusal != "":
		t.Count("abort.refused")
		t.propose(ctx, appendRecord(nil, t.Logger, record.KindAbort, record.Abort{Job: g.job, Token: g.token, Cause: r.refusal, MissingWorkers: r.missing})...)
	case r.phase == state.JobHolding && r.held:
		t.Count("start")
		// The reports of the preempted jobs, with the progress that their
		// checkpoints kept, come first: the start ends their tasks, and in the
		// same call the batcher would put a report behind the start.
		t.propose(ctx, r.reports...)
		t.propose(ctx, appendRecord(nil, t.Logger, record.KindStart, record.Start{Job: g.job, Token: g.token, Incarnations: r.incarnations})...)
	case r.phase == state.JobHolding && elapsed >= t.HoldTimeout+r.grace:
		t.Count("abort.late")
		t.propose(ctx, appendRecord(nil, t.Logger, record.KindAbort, record.Abort{Job: g.job, Token: g.token, Cause: "not all members hold in time", MissingWorkers: r.missing})...)
	case r.phase == state.JobRunning && r.armed:
		r = t.syncAll(ctx, g, true)
	}
	return r
}

// syncRound is the result of one round of syncs with all members of a gang.
type syncRound struct {
	ended        bool // the placement has ended
	phase        state.JobPhase
	held         bool     // all members hold or have passed that phase
	armed        bool     // all members are armed or run, and at least one is not running
	running      bool     // all members run
	refusal      string   // why a member will never hold
	missing      []uint32 // workers that do not hold
	incarnations []uint64
	reports      []record.Record // when all hold: results of ended tasks on the workers
	grace        time.Duration   // longest grace period of tasks still stopping on the gang's accelerators
}

// syncAll syncs all members once. If run is set, it tells them to run.
func (t *GangStarter) syncAll(ctx context.Context, g placement, run bool) syncRound {
	type call struct {
		index uint32
		done  bool // the member has ended and is no longer in the request
		addr  string
		q     SyncRequest
	}
	var calls []call
	r := syncRound{ended: true}
	t.View(func(s *state.State) {
		j := s.Jobs[g.job]
		if j == nil || j.Token != g.token || j.Phase != state.JobHolding && j.Phase != state.JobRunning {
			return
		}
		r.ended, r.phase = false, j.Phase
		name := ""
		if run {
			name = j.ID
		}
		for _, sl := range j.Slots {
			w := s.Workers[sl.Worker]
			c := call{index: w.Index, addr: w.Addr, q: NewSyncRequest(s, w, t.Lease.Milliseconds(), name)}
			for _, x := range w.Tasks {
				c.done = c.done || x.Job == j && x.Phase == state.TaskDone
				if x.Phase == state.TaskStopping && x.Mask&sl.Mask != 0 {
					r.grace = max(r.grace, time.Duration(x.GraceMs)*time.Millisecond)
				}
			}
			calls = append(calls, c)
		}
	})
	if r.ended {
		return r
	}
	r.incarnations = make([]uint64, len(calls))
	phases := make([]string, len(calls))
	answers := make([]SyncAnswer, len(calls))
	var wg sync.WaitGroup
	for i, c := range calls {
		if c.done {
			phases[i] = StatusDone
			continue
		}
		t.syncSlots <- struct{}{}
		wg.Go(func() {
			defer func() { <-t.syncSlots }()
			a, err := t.Sync(ctx, c.addr, c.q)
			if err != nil {
				t.Count("sync.failed")
				return
			}
			r.incarnations[i], answers[i] = a.Incarnation, a
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
			r.missing = append(r.missing, calls[i].index)
			r.refusal = "worker " + calls[i].q.Worker + " refuses"
			r.held, r.armed, r.running = false, false, false
		default:
			r.missing = append(r.missing, calls[i].index)
			r.held, r.armed, r.running = false, false, false
		}
	}
	if r.held && r.phase == state.JobHolding {
		t.View(func(s *state.State) {
			for i, c := range calls {
				w := s.Workers[c.index]
				if res := Results(s, w, c.q, answers[i]); len(res) > 0 {
					r.reports = appendRecord(r.reports, t.Logger, record.KindReport, record.Report{Worker: w.Index, Results: res})
				}
			}
		})
	}
	return r
}

// propose proposes the records and counts refusals and failures.
func (t *GangStarter) propose(ctx context.Context, recs ...record.Record) {
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
		t.Logger.Info("proposal failed; checking again in the next round of syncs", zap.String("kind", string(recs[0].Kind)), zap.Error(err))
	}
}

// sleep waits for d and reports whether the context is still active.
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
