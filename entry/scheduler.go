package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/member"
	"jasminelane.example/lane/metric"
	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/schedule"
	"jasminelane.example/lane/state"
)

// maxSchedulerRank is the highest rank, counted from 0, at which an instance
// runs the scheduler. If all instances up to it fail at once, the members behind
// them move up when these are evicted.
const maxSchedulerRank = 3

// SchedulerLoop runs the scheduler on the replica's state and proposes the
// records that it returns. The instance with rank 0 proposes at once. Every other
// instance proposes only after work has been due for the delay of its rank.
type SchedulerLoop struct {
	View    func(func(*state.State))
	Propose func(context.Context, ...record.Record) ([]state.Decision, error)
	Changed func() <-chan struct{}
	Rank    func(subject string) int
	Fresh   func() bool // whether the state is current enough to propose from
	NewID   func() string
	Now     func() time.Time
	Logger  *zap.Logger
	Metrics *metric.Set

	IdleInterval   time.Duration // between rounds while the state does not change
	MinInterval    time.Duration // between a change and the next round; default 5 ms
	ProposeTimeout time.Duration // of one proposal; default 5 s

	// mu guards scheduler, which is not safe for concurrent use. It is locked
	// after replica.mu.
	mu        sync.Mutex
	scheduler schedule.Scheduler
	dueSince  time.Time // when this instance first saw the work that is still due; zero if none is
}

// Load starts a new scheduler on a newly loaded state. It is called under the
// replica's write lock.
func (d *SchedulerLoop) Load(s *state.State, p placement.Policy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler = schedule.Scheduler{Index: placement.NewIndex(s), Policy: p}
}

// Explain returns why a job waits. It is called under the replica's read lock.
func (d *SchedulerLoop) Explain(s *state.State, job string) schedule.Explanation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Explain(s, job, s.Now)
}

// Run runs rounds of the scheduler until the context ends, and then returns nil.
func (d *SchedulerLoop) Run(ctx context.Context) error {
	pause := d.MinInterval
	if pause == 0 {
		pause = 5 * time.Millisecond
	}
	for ctx.Err() == nil {
		changed := d.Changed()
		wait := d.step(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
			// Changes come in bursts, so one round after a short delay handles
			// all of them.
			sleep(ctx, pause)
		case <-time.After(wait):
		}
	}
	return nil
}

// step runs one round. It returns how long to wait before the next round if the
// state does not change.
func (d *SchedulerLoop) step(ctx context.Context) time.Duration {
	rank := d.Rank("schedule")
	if rank < 0 || rank > maxSchedulerRank || !d.Fresh() {
		return d.IdleInterval
	}
	recs := d.decide()
	if len(recs) == 0 {
		d.dueSince = time.Time{}
		return d.IdleInterval
	}
	now := d.Now()
	if d.dueSince.IsZero() {
		d.dueSince = now
	}
	if remaining := time.Duration(rank)*member.RankDelay - now.Sub(d.dueSince); remaining > 0 {
		return remaining
	}
	d.dueSince = time.Time{}
	d.propose(ctx, recs)
	return 0
}

func (d *SchedulerLoop) decide() []record.Record {
	var recs []record.Record
	d.View(func(s *state.State) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.scheduler.Index == nil {
			return
		}
		recs = d.scheduler.Decide(s, d.Now().UnixMilli())
	})
	return recs
}

func (d *SchedulerLoop) propose(ctx context.Context, recs []record.Record) {
	timeout := d.ProposeTimeout
	if timeout == 0 {
		timeout = 5 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for i := range recs {
		if recs[i].ID == "" {
			recs[i].ID = d.NewID()
		}
	}
	out, err := d.Propose(ctx, recs...)
	if err != nil {
		d.Metrics.CountRetry("schedule", "append")
		d.Logger.Info("proposing the scheduler's records failed or its outcome is unknown; retrying in the next round", zap.Int("records", len(recs)), zap.Error(err))
		return
	}
	for _, o := range out {
		if !o.Accepted() {
			d.Metrics.CountRetry("schedule", string(o.Reason))
			d.Logger.Debug("the replicated state refused a record of the scheduler", zap.String("kind", string(o.Kind)), zap.String("reason", string(o.Reason)),
				zap.String("detail", o.Detail), zap.Uint64("offset", o.Offset))
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
