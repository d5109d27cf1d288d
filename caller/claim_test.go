package caller

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
)

// TestLogDown guards against a non-repeatable request that runs without a claim.
// While the log is down it is refused; afterwards it runs under the same id.
func TestLogDown(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 2, &standin.Backends{})
	r, _ := k.router("i1")
	k.log.setFault(func(string, []record.Record) (error, error) { return errDown, nil })
	id := onceID()
	a := r.Do(context.Background(), request(id, false, 2*time.Second))
	is.Equal(a.Outcome, record.RequestNotRun)
	is.Equal(a.Reason, route.ReasonLogDown)
	is.True(a.RetryAfter > 0)
	is.Equal(k.backends.Executions()[id], 0)
	is.Equal(r.Do(context.Background(), request(onceID(), true, 2*time.Second)).Outcome, record.RequestDone) // a repeatable request needs no log
	k.log.setFault(nil)
	is.Equal(r.Do(context.Background(), request(id, false, 2*time.Second)).Outcome, record.RequestDone)
	is.Equal(k.backends.Executions()[id], 1)
}

// TestClaimAnswerLost guards against the use of a claim that is in the log
// although the response to its append was lost: the caller got notrun. Another
// instance may run the id once that outcome is recorded, and returns unknown
// until then.
func TestClaimAnswerLost(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 2, &standin.Backends{})
	a, _ := k.router("i1")
	b, _ := k.router("i2")
	var down atomic.Bool
	down.Store(true)
	k.log.setFault(func(w string, recs []record.Record) (error, error) {
		switch {
		case w != "i1" || !down.Load():
			return nil, nil
		case recs[0].Kind == record.KindClaim:
			return nil, errLost
		}
		return errDown, nil // the settle record is delayed
	})
	id := onceID()
	got := a.Do(context.Background(), request(id, false, 5*time.Second))
	is.Equal(got.Outcome, record.RequestNotRun)
	is.Equal(got.Reason, route.ReasonLogDown)
	is.Equal(b.Do(context.Background(), request(id, false, 5*time.Second)).Outcome, record.RequestUnknown)
	down.Store(false)
	k.awaitOutcome(id, record.RequestNotRun)
	is.Equal(b.Do(context.Background(), request(id, false, 5*time.Second)).Outcome, record.RequestDone)
	is.Equal(k.backends.Executions()[id], 1)
}

// awaitOutcome waits until the outcome of the id's request is in the log.
func (k *testEnv) awaitOutcome(id string, outcome record.RequestOutcome) {
	k.t.Helper()
	limit := time.After(10 * time.Second)
	for {
		changed := k.log.change()
		var got record.RequestOutcome
		k.log.view(func(s *state.State) {
			if c := s.Claims[id]; c != nil {
				got = c.Outcome
			}
		})
		if got == outcome {
			return
		}
		select {
		case <-changed:
		case <-limit:
			k.t.Fatalf("claim %s has outcome %q, want %q", id, got, outcome)
		}
	}
}

// TestResendElsewhere guards against a request that runs again when it is sent
// once more through another instance. That instance returns unknown while the
// claim is open, and then the recorded outcome.
func TestResendElsewhere(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 2, &standin.Backends{ServiceTime: 100 * time.Millisecond})
	a, _ := k.router("i1")
	b, _ := k.router("i2")
	id := onceID()
	first := make(chan Result)
	go func() { first <- a.Do(context.Background(), request(id, false, 5*time.Second)) }()
	for open := false; !open; { // until the claim is in the log
		k.log.view(func(s *state.State) { open = s.Claims[id] != nil })
	}
	got := b.Do(context.Background(), request(id, false, 5*time.Second))
	is.Equal(got.Outcome, record.RequestUnknown)
	is.Equal(got.Reason, route.ReasonClaimed)
	is.Equal((<-first).Outcome, record.RequestDone)
	k.awaitOutcome(id, record.RequestDone)
	got = b.Do(context.Background(), request(id, false, 5*time.Second))
	is.Equal(got.Outcome, record.RequestDone)
	is.Equal(got.Reason, route.ReasonClaimed)
	is.Equal(k.backends.Executions()[id], 1)
	other := request(id, false, 5*time.Second)
	other.Account = "binu"
	is.Equal(b.Do(context.Background(), other).Reason, route.ReasonExists)
	old := b.Do(context.Background(), request("1-old", false, 5*time.Second))
	is.Equal(old.Reason, route.ReasonExpired)
	is.Equal(old.Outcome, record.RequestUnknown) // an earlier request may have run
}

// TestLateSettle guards against a settle record that ends the wrong claim. If the
// response to its append was lost, it may reach the log after a later claim of
// the same instance for the same id. If it ended that claim, another instance
// would run the request again.
func TestLateSettle(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 1, &standin.Backends{})
	a, _ := k.router("i1")
	b, _ := k.router("i2")
	var lostRecords []record.Record
	propose := a.Propose
	a.Propose = func(ctx context.Context, recs ...record.Record) ([]state.Decision, error) {
		if recs[0].Kind == record.KindSettle && lostRecords == nil {
			lostRecords = recs
			return nil, errLost
		}
		return propose(ctx, recs...)
	}
	s := k.backends.Servers()[0]
	s.SetFault(standin.BackendRefuse)
	id := onceID()
	got := a.Do(context.Background(), request(id, false, 2*time.Second))
	is.Equal(got.Outcome, record.RequestNotRun)
	k.awaitOutcome(id, record.RequestNotRun)
	s.SetFault(standin.BackendHealthy)
	a.Do(context.Background(), request(id, false, 2*time.Second))
	_, err := propose(context.Background(), lostRecords...) // the lost append takes effect
	is.NoErr(err)
	b.Do(context.Background(), request(id, false, 2*time.Second))
	is.Equal(k.backends.Executions()[id], 1)
}
