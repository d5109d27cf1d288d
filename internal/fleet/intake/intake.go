package intake

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/policy"
)

const (
	// retryPause separates appends that the log refused.
	retryPause = 150 * time.Millisecond

	// answerReserve is the part of a caller's time that is kept for the answer,
	// some milliseconds of network and the time of a busy instance. Callers
	// that were refused during an outage have little time left for their last
	// try.
	answerReserve = 50 * time.Millisecond

	// phaseFresh is how old the state may be for the answer to a caller who
	// asks for a job that has not ended.
	phaseFresh = 100 * time.Millisecond

	// refreshTime bounds the read of the log for such an answer.
	refreshTime = 250 * time.Millisecond

	// defaultTime is the time of callers that name none.
	defaultTime = 3 * time.Second

	// maxTries bounds the appends for one request.
	maxTries = 6

	// minRetryAfter and maxRetryAfter bound when callers may return while the
	// log is away.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// retryAfter returns when callers may return. An outage is expected to last
// about as long again as it has lasted, so that callers with few retries do
// not spend them all on it.
func (n *Intake) retryAfter() time.Duration {
	return min(max(n.Feed.Outage(), minRetryAfter), maxRetryAfter)
}

// Fate is what became of a caller's request.
type Fate int

// The fates of requests.
const (
	Accepted Fate = iota // stored
	NotRun               // certainly not stored, and never will be
	Unknown              // may be stored
	Gone                 // no such job
)

// String returns the fate's name in logs.
func (f Fate) String() string {
	return [...]string{"accepted", "notrun", "unknown", "gone"}[f]
}

// Answer is the fate of a request and its cause.
type Answer struct {
	Fate       Fate
	Cause      string
	RetryAfter time.Duration // when a request that was not run may come again
}

// DownError reports that the log cannot be read at present.
type DownError struct{}

// Error says so.
func (*DownError) Error() string { return "log unavailable" }

// Intake serves callers from one instance's copy of the ledger. The exported
// fields are set before use.
type Intake struct {
	Feed   *feed.Feed
	Policy *policy.Current
	Node   string
	Logger *zap.Logger
	Now    func() time.Time // time.Now if nil
}

func (n *Intake) now() time.Time {
	if n.Now != nil {
		return n.Now()
	}
	return time.Now()
}

// Submit stores a job of the route's queue.
func (n *Intake) Submit(ctx context.Context, route *policy.Route, account string, j ledger.Job) Answer {
	j.Queue, j.Service, j.Account = route.Name, route.Service, account
	j.Priority, j.Attempts, j.Stretch, j.Target = route.Priority, route.Attempts, route.Stretch, route.Target
	j.AcceptedAt, j.Instance = n.now().UnixMilli(), n.Node
	known := func(s *ledger.State) bool { return s.Jobs[j.ID] != nil }
	a := n.store(ctx, ledger.Record{Submit: &j}, known)
	n.Logger.Info("submit", zap.String("job", j.ID), zap.String("queue", j.Queue), zap.String("account", account),
		zap.Stringer("fate", a.Fate), zap.String("cause", a.Cause), zap.Int64("took", n.now().UnixMilli()-j.AcceptedAt))
	return a
}

// Cancel stores the cancellation of a job.
func (n *Intake) Cancel(ctx context.Context, id string) Answer {
	phase, err := n.find(ctx, id)
	a := Answer{Fate: Accepted, Cause: "known"}
	switch {
	case err != nil:
		a = Answer{NotRun, "log unavailable", n.retryAfter()}
	case phase == "" || phase == ledger.Finished || phase == ledger.JobFailed:
		a = Answer{Fate: Gone, Cause: string(phase)}
	case phase != ledger.Cancelled:
		known := func(s *ledger.State) bool { return s.Jobs[id] != nil && s.Jobs[id].Phase == ledger.Cancelled }
		a = n.store(ctx, ledger.Record{Cancel: &ledger.Cancel{ID: id, At: n.now().UnixMilli()}}, known)
	}
	n.Logger.Info("cancel", zap.String("job", id), zap.String("phase", string(phase)), zap.Stringer("fate", a.Fate), zap.String("cause", a.Cause))
	return a
}

// Phase returns the phase of a job; it is empty if no such job exists, and the
// error is set if that cannot be told.
func (n *Intake) Phase(ctx context.Context, id string) (ledger.Phase, error) {
	phase, err := n.find(ctx, id)
	if phase != "" && !phase.Final() {
		phase = n.refresh(ctx, id, phase)
	}
	if phase == "" {
		n.Logger.Info("job not found", zap.String("job", id), zap.Uint64("offset", n.Feed.Status().Next), zap.Error(err))
	}
	return phase, err
}

// Pending counts the queue's accepted jobs of which no task has started.
func (n *Intake) Pending(queue string) int {
	pending := 0
	n.Feed.View(func(s *ledger.State) { pending = s.Pending(queue) })
	return pending
}

// refresh reads the log if the state is old, and returns the phase then.
func (n *Intake) refresh(ctx context.Context, id string, phase ledger.Phase) ledger.Phase {
	st := n.Feed.Status()
	if st.Age < phaseFresh || n.Feed.LogDown() {
		return phase
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTime)
	defer cancel()
	if err := n.Feed.Sync(ctx); err != nil {
		n.Logger.Info("phase may be old", zap.String("job", id), zap.Duration("age", st.Age), zap.Error(err))
		return phase
	}
	return n.look(id)
}

// find looks a job up, in the log's newest records too if it is not known.
func (n *Intake) find(ctx context.Context, id string) (ledger.Phase, error) {
	if phase := n.look(id); phase != "" {
		return phase, nil
	}
	ctx, cancel := n.budget(ctx)
	defer cancel()
	if err := n.Feed.Sync(ctx); err != nil {
		return "", err
	}
	return n.look(id), nil
}

func (n *Intake) look(id string) ledger.Phase {
	var phase ledger.Phase
	n.Feed.View(func(s *ledger.State) {
		if js := s.Jobs[id]; js != nil {
			phase = js.Phase
		}
	})
	return phase
}

// budget bounds the context by the caller's time, less what the answer takes.
func (n *Intake) budget(ctx context.Context) (context.Context, context.CancelFunc) {
	end, ok := ctx.Deadline()
	if !ok {
		return context.WithTimeout(ctx, defaultTime-answerReserve)
	}
	return context.WithDeadline(ctx, end.Add(-answerReserve))
}

// store appends a record whose repetition has no effect, within the caller's
// time. known reports whether the state shows its effect.
func (n *Intake) store(ctx context.Context, r ledger.Record, known func(*ledger.State) bool) Answer {
	ctx, cancel := n.budget(ctx)
	defer cancel()
	uncertain := false
	var cause error
	for try := 0; try < maxTries; try++ {
		if n.view(known) {
			return Answer{Fate: Accepted, Cause: "known"}
		}
		if n.Feed.LogDown() && !n.Feed.ProbeLog(ctx) {
			// Sent now, the request's fate might be unknown; unsent, it is
			// certain and the caller may try another instance.
			cause = &DownError{}
			break
		}
		err := n.Feed.Write(ctx, r)
		if err == nil {
			return Answer{Fate: Accepted}
		}
		cause = err
		var lost *feed.UncertainError
		if errors.As(err, &lost) {
			uncertain = true
			// The records that can be read now tell whether it was stored.
			err = n.Feed.Sync(ctx)
		} else {
			delay.For(ctx, retryPause)
		}
		if ctx.Err() != nil || err != nil && uncertain {
			break
		}
	}
	switch {
	case n.view(known):
		return Answer{Fate: Accepted, Cause: "known"}
	case uncertain:
		return Answer{Fate: Unknown, Cause: cause.Error()}
	}
	return Answer{NotRun, cause.Error(), n.retryAfter()}
}

func (n *Intake) view(known func(*ledger.State) bool) bool {
	ok := false
	n.Feed.View(func(s *ledger.State) { ok = known(s) })
	return ok
}
