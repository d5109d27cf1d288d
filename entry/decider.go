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

// deciders is how many ranks beyond the first decide. When all of them fail at
// once, the members that follow move up with their eviction.
const deciders = 3

// Decider runs the scheduler over the replica's state and proposes what it
// decides. The instance that ranks first for the round acts at once; the
// others act when the same work has been due for their rank's delay.
type Decider struct {
	View    func(func(*state.State))
	Propose func(context.Context, ...record.Record) ([]state.Decision, error)
	Changed func() <-chan struct{}
	Rank    func(subject string) int
	Fresh   func() bool // whether the view may be acted on
	NewID   func() string
	Now     func() time.Time
	Logger  *zap.Logger
	Metrics *metric.Set

	Round   time.Duration // between rounds without a change
	Pause   time.Duration // shortest time between rounds; default 5 ms
	Timeout time.Duration // for a proposal; default 5 s

	mu        sync.Mutex // after replica.mu; guards the scheduler, which is not safe for concurrent use
	scheduler schedule.Scheduler
	due       time.Time // since when work has been due here without being done
}

// Load attaches the scheduler to a newly loaded state; it is called under the
// replica's write lock.
func (d *Decider) Load(s *state.State, p placement.Policy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler = schedule.Scheduler{Index: placement.NewIndex(s), Policy: p}
}

// Explain says why a job waits; it is called under the replica's read lock.
func (d *Decider) Explain(s *state.State, job string) schedule.Explanation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Explain(s, job, s.Now)
}

// Run decides until the context ends, and then returns nil.
func (d *Decider) Run(ctx context.Context) error {
	pause := d.Pause
	if pause == 0 {
		pause = 5 * time.Millisecond
	}
	for ctx.Err() == nil {
		changed := d.Changed()
		wait := d.step(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
			// Changes come in bursts; one round serves all of them.
			sleep(ctx, pause)
		case <-time.After(wait):
		}
	}
	return nil
}

// step runs one round and returns how long to wait without a change.
func (d *Decider) step(ctx context.Context) time.Duration {
	rank := d.Rank("schedule")
	if rank < 0 || rank > deciders || !d.Fresh() {
		return d.Round
	}
	recs := d.decide()
	if len(recs) == 0 {
		d.due = time.Time{}
		return d.Round
	}
	now := d.Now()
	if d.due.IsZero() {
		d.due = now
	}
	if left := time.Duration(rank)*member.RankDelay - now.Sub(d.due); left > 0 {
		return left
	}
	d.due = time.Time{}
	d.propose(ctx, recs)
	return 0
}

func (d *Decider) decide() []record.Record {
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

func (d *Decider) propose(ctx context.Context, recs []record.Record) {
	timeout := d.Timeout
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
		d.Logger.Info("decisions not settled", zap.Int("records", len(recs)), zap.Error(err))
		return
	}
	for _, o := range out {
		if !o.Accepted() {
			d.Metrics.CountRetry("schedule", string(o.Reason))
			d.Logger.Debug("decision refused", zap.String("kind", string(o.Kind)), zap.String("reason", string(o.Reason)),
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
