package intake

import (
	"cmp"
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
	// appendRetryDelay is the delay before an append is retried that the log
	// refused.
	appendRetryDelay = 150 * time.Millisecond

	// answerReserve is subtracted from a caller's deadline to leave time for
	// the answer: a few milliseconds on the network and some processing on a
	// busy instance. It is small because callers that were refused during an
	// outage have little time left for their last attempt.
	answerReserve = 50 * time.Millisecond

	// maxPhaseAge is the maximum age of the replicated state for answering
	// with the phase of a job that has not ended. If the state is older, the
	// log is read first.
	maxPhaseAge = 100 * time.Millisecond

	// refreshTimeout bounds that read of the log.
	refreshTimeout = 250 * time.Millisecond

	// defaultTimeout applies to requests without a deadline.
	defaultTimeout = 3 * time.Second

	// maxAppendAttempts is the maximum number of appends for one request.
	maxAppendAttempts = 6

	// minRetryAfter and maxRetryAfter bound the delay after which callers are
	// told to retry while the log is unavailable.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// retryAfter returns the delay after which callers may retry. It equals the
// duration of the log's outage so far, because an outage is expected to last
// about as long again. Callers with few retries thus do not use them all up
// during one outage.
func (n *Intake) retryAfter() time.Duration {
	return min(max(n.Feed.Outage(), minRetryAfter), maxRetryAfter)
}

// Outcome states whether a caller's request was stored in the log.
type Outcome int

// The outcomes of requests.
const (
	Accepted  Outcome = iota // stored
	NotStored                // not stored, and certain not to be stored later
	Unknown                  // possibly stored
	Gone                     // no such job, or the job has already ended
	TooLarge                 // not stored, because the log does not accept a record of its size
)

// String returns the name of the outcome in log lines.
func (o Outcome) String() string {
	return [...]string{"accepted", "notrun", "unknown", "gone", "toolarge"}[o]
}

// Result is the outcome of a request and its cause.
type Result struct {
	Outcome    Outcome
	Cause      string
	RetryAfter time.Duration // delay after which a request that was not stored may be retried
}

// LogUnavailableError reports that the log cannot be read at present.
type LogUnavailableError struct{}

// Error implements error.
func (*LogUnavailableError) Error() string { return "log unavailable" }

// SlowLogError reports that the log is too slow to answer before the caller's
// deadline.
type SlowLogError struct{}

// Error implements error.
func (*SlowLogError) Error() string { return "log answers too slowly for the deadline" }

// Intake handles callers' requests on one instance, from the instance's copy
// of the replicated state. The exported fields are set before use.
type Intake struct {
	Feed   *feed.Feed
	Policy *policy.Current
	Node   string // name of the instance
	Logger *zap.Logger
	Now    func() time.Time // defaults to time.Now

	// MaxConfigAge is the time since the store was last read for newer configurations after
	// which the configuration may be outdated, unless the store is slow; 0 is no limit.
	MaxConfigAge time.Duration
}

func (n *Intake) now() time.Time {
	if n.Now != nil {
		return n.Now()
	}
	return time.Now()
}

// Submit appends a job to the log. cfg is the configuration with the route of
// its queue.
func (n *Intake) Submit(ctx context.Context, cfg *policy.Config, route *policy.Route, account string, j ledger.Job) Result {
	j.Queue, j.Service, j.Account = route.Name, route.Service, account
	j.Priority, j.Attempts, j.Stretch, j.Target = route.Priority, route.Attempts, route.Stretch, route.Target
	j.AcceptedAt, j.Instance, j.Seen = n.now().UnixMilli(), n.Node, n.Feed.Status().Next
	stored := func(s *ledger.State) bool { return s.Jobs[j.ID] != nil }
	res := n.appendRecord(ctx, ledger.Record{Submit: &j}, stored)
	n.Logger.Info("submit", zap.String("job", j.ID), zap.String("queue", j.Queue), zap.String("account", account), zap.Int64("config", cfg.Version),
		zap.Stringer("fate", res.Outcome), zap.String("cause", res.Cause), zap.Int64("took", n.now().UnixMilli()-j.AcceptedAt))
	return res
}

// Cancel appends the cancellation of a job to the log, also if no such job is known:
// its submission may still be stored, and must then have no effect.
func (n *Intake) Cancel(ctx context.Context, id string) Result {
	phase, err := n.lookUp(ctx, id)
	res := Result{Outcome: Accepted, Cause: "known"}
	switch {
	case err != nil:
		res = Result{NotStored, "log unavailable", n.retryAfter()}
	case phase == ledger.Finished || phase == ledger.JobFailed:
		res = Result{Outcome: Gone, Cause: string(phase)}
	case phase != ledger.Cancelled:
		res = n.appendCancel(ctx, ledger.Cancel{ID: id, At: n.now().UnixMilli()})
	}
	if res.Outcome == Accepted && phase == "" && n.localPhase(id) != ledger.Cancelled {
		res = Result{Outcome: Gone, Cause: "cancelled before it was known"}
	}
	n.Logger.Info("cancel", zap.String("job", id), zap.String("phase", string(phase)), zap.Stringer("fate", res.Outcome), zap.String("cause", res.Cause))
	return res
}

// appendCancel appends a cancellation to the log.
func (n *Intake) appendCancel(ctx context.Context, c ledger.Cancel) Result {
	stored := func(s *ledger.State) bool {
		if js := s.Jobs[c.ID]; js != nil {
			return js.Phase == ledger.Cancelled
		}
		early, ok := s.EarlyCancel(c.ID)
		return ok && early.Cancel == c
	}
	return n.appendRecord(ctx, ledger.Record{Cancel: &c}, stored)
}

// Phase returns the phase of a job. The phase is empty if there is no such
// job. It returns an error if it cannot tell whether the job exists.
func (n *Intake) Phase(ctx context.Context, id string) (ledger.Phase, error) {
	phase, err := n.lookUp(ctx, id)
	if phase != "" && !phase.Final() {
		phase = cmp.Or(n.refreshPhase(ctx, id), phase)
	}
	if phase == "" {
		n.Logger.Info("job not found", zap.String("job", id), zap.Uint64("offset", n.Feed.Status().Next), zap.Error(err))
	}
	return phase, err
}

// Pending returns the number of accepted jobs in the queue of which no task
// has started.
func (n *Intake) Pending(queue string) int {
	pending := 0
	n.Feed.View(func(s *ledger.State) { pending = s.Pending(queue) })
	return pending
}

// refreshPhase reads the log if the replicated state is older than
// maxPhaseAge, and returns the job's phase after that. It is empty if the job has
// left the state meanwhile.
func (n *Intake) refreshPhase(ctx context.Context, id string) ledger.Phase {
	st := n.Feed.Status()
	if st.Age < maxPhaseAge || n.Feed.LogDown() {
		return n.localPhase(id) // the state may have changed since the phase was read
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := n.Feed.Sync(ctx); err != nil {
		n.Logger.Info("log read failed; the returned phase may be outdated", zap.String("job", id), zap.Duration("age", st.Age), zap.Error(err))
	}
	return n.localPhase(id)
}

// lookUp returns the phase of a job. If the replicated state does not have the
// job, lookUp reads the log's newest records before it answers.
func (n *Intake) lookUp(ctx context.Context, id string) (ledger.Phase, error) {
	if phase := n.localPhase(id); phase != "" {
		return phase, nil
	}
	ctx, cancel := n.reserveAnswerTime(ctx)
	defer cancel()
	if err := n.Feed.Sync(ctx); err != nil {
		return "", err
	}
	return n.localPhase(id), nil
}

// localPhase returns the phase of a job in the replicated state, or an empty
// phase if the state does not have the job.
func (n *Intake) localPhase(id string) ledger.Phase {
	var phase ledger.Phase
	n.Feed.View(func(s *ledger.State) {
		if js := s.Jobs[id]; js != nil {
			phase = js.Phase
		}
	})
	return phase
}

// reserveAnswerTime returns a context that ends answerReserve before the
// caller's deadline.
func (n *Intake) reserveAnswerTime(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithTimeout(ctx, defaultTimeout-answerReserve)
	}
	return context.WithDeadline(ctx, deadline.Add(-answerReserve))
}

// appendRecord appends a record to the log before the caller's deadline. The
// record must be idempotent, because appendRecord retries. stored reports
// whether a state reflects the record.
func (n *Intake) appendRecord(ctx context.Context, r ledger.Record, stored func(*ledger.State) bool) Result {
	ctx, cancel := n.reserveAnswerTime(ctx)
	defer cancel()
	uncertain := false
	var cause error
	for attempt := 0; attempt < maxAppendAttempts; attempt++ {
		if n.stateHas(stored) {
			return Result{Outcome: Accepted, Cause: "known"}
		}
		if n.Feed.LogDown() && !n.Feed.ProbeLog(ctx) {
			// The outcome of an append sent now might stay unknown. Without an
			// append it is certain, and the caller may retry on another
			// instance.
			cause = &LogUnavailableError{}
			break
		}
		if !n.answerInTime(ctx) {
			cause = &SlowLogError{}
			break
		}
		err := n.Feed.Write(ctx, r)
		if err == nil {
			return Result{Outcome: Accepted}
		}
		cause = err
		var tooLarge *feed.RecordSizeError
		if errors.As(err, &tooLarge) {
			return Result{Outcome: TooLarge, Cause: err.Error()}
		}
		var uncertainErr *feed.UncertainError
		if errors.As(err, &uncertainErr) {
			uncertain = true
			// Reading the newest records shows whether the record was stored.
			err = n.Feed.Sync(ctx)
		} else {
			delay.For(ctx, appendRetryDelay)
		}
		if ctx.Err() != nil || err != nil && uncertain {
			break
		}
	}
	switch {
	case n.stateHas(stored):
		return Result{Outcome: Accepted, Cause: "known"}
	case uncertain:
		return Result{Outcome: Unknown, Cause: cause.Error()}
	}
	return Result{NotStored, cause.Error(), n.retryAfter()}
}

// answerInTime reports whether the answer of a slow log to an append sent now can
// arrive before the deadline. Otherwise the outcome would stay unknown.
func (n *Intake) answerInTime(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) > n.Feed.Latency.SlowLatency()
}

// stateHas reports whether the condition holds for the replicated state.
func (n *Intake) stateHas(cond func(*ledger.State) bool) bool {
	ok := false
	n.Feed.View(func(s *ledger.State) { ok = cond(s) })
	return ok
}
