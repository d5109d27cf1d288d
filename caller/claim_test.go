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

// A request that is not repeatable must not run without a claim: with the log
// down it is refused, and it runs after the log is back, under the same id.
func TestLogDown(t *testing.T) {
	is := is.New(t)
	k := newBench(t, 2, &standin.Backends{})
	r, _ := k.router("i1")
	k.log.setFault(func(string, []record.Record) (error, error) { return errDown, nil })
	id := onceID()
	a := r.Do(context.Background(), request(id, false, 2*time.Second))
	is.Equal(a.Fate, record.RequestNotRun)
	is.Equal(a.Reason, route.ReasonLogDown)
	is.True(a.RetryAfter > 0)
	is.Equal(k.backends.Executions()[id], 0)
	is.Equal(r.Do(context.Background(), request(onceID(), true, 2*time.Second)).Fate, record.RequestDone) // needs no log
	k.log.setFault(nil)
	is.Equal(r.Do(context.Background(), request(id, false, 2*time.Second)).Fate, record.RequestDone)
	is.Equal(k.backends.Executions()[id], 1)
}

// A claim whose append lost its answer is in the log but must not be used: the
// caller was told notrun. Another instance may run the id after that fate is
// recorded, and before that it answers unknown.
func TestClaimAnswerLost(t *testing.T) {
	is := is.New(t)
	k := newBench(t, 2, &standin.Backends{})
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
		return errDown, nil // the settlement waits
	})
	id := onceID()
	got := a.Do(context.Background(), request(id, false, 5*time.Second))
	is.Equal(got.Fate, record.RequestNotRun)
	is.Equal(got.Reason, route.ReasonLogDown)
	is.Equal(b.Do(context.Background(), request(id, false, 5*time.Second)).Fate, record.RequestUnknown)
	down.Store(false)
	k.awaitFate(id, record.RequestNotRun)
	is.Equal(b.Do(context.Background(), request(id, false, 5*time.Second)).Fate, record.RequestDone)
	is.Equal(k.backends.Executions()[id], 1)
}

// awaitFate waits until the log has the fate.
func (k *bench) awaitFate(id string, fate record.RequestOutcome) {
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
		if got == fate {
			return
		}
		select {
		case <-changed:
		case <-limit:
			k.t.Fatalf("claim %s has fate %q, want %q", id, got, fate)
		}
	}
}

// A resend through another instance of the same log must not run the request
// again: it gets unknown while the claim is open and then the recorded fate.
func TestResendElsewhere(t *testing.T) {
	is := is.New(t)
	k := newBench(t, 2, &standin.Backends{Service: 100 * time.Millisecond})
	a, _ := k.router("i1")
	b, _ := k.router("i2")
	id := onceID()
	first := make(chan Answer)
	go func() { first <- a.Do(context.Background(), request(id, false, 5*time.Second)) }()
	for open := false; !open; { // until the claim is there
		k.log.view(func(s *state.State) { open = s.Claims[id] != nil })
	}
	got := b.Do(context.Background(), request(id, false, 5*time.Second))
	is.Equal(got.Fate, record.RequestUnknown)
	is.Equal(got.Reason, route.ReasonClaimed)
	is.Equal((<-first).Fate, record.RequestDone)
	k.awaitFate(id, record.RequestDone)
	got = b.Do(context.Background(), request(id, false, 5*time.Second))
	is.Equal(got.Fate, record.RequestDone)
	is.Equal(got.Reason, route.ReasonClaimed)
	is.Equal(k.backends.Executions()[id], 1)
	other := request(id, false, 5*time.Second)
	other.Account = "binu"
	is.Equal(b.Do(context.Background(), other).Reason, route.ReasonExists)
	old := b.Do(context.Background(), request("1-old", false, 5*time.Second))
	is.Equal(old.Reason, route.ReasonExpired)
	is.Equal(old.Fate, record.RequestUnknown) // an earlier sending may have run
}

// A settle whose answer was lost may reach the log after a later claim of the
// same instance for the same id. It must not free that claim, or another
// instance would run the request again.
func TestLateSettle(t *testing.T) {
	is := is.New(t)
	k := newBench(t, 1, &standin.Backends{})
	a, _ := k.router("i1")
	b, _ := k.router("i2")
	var held []record.Record
	propose := a.Propose
	a.Propose = func(ctx context.Context, recs ...record.Record) ([]state.Decision, error) {
		if recs[0].Kind == record.KindSettle && held == nil {
			held = recs
			return nil, errLost
		}
		return propose(ctx, recs...)
	}
	s := k.backends.Servers()[0]
	s.SetFault(standin.BackendRefuse)
	id := onceID()
	got := a.Do(context.Background(), request(id, false, 2*time.Second))
	is.Equal(got.Fate, record.RequestNotRun)
	k.awaitFate(id, record.RequestNotRun)
	s.SetFault(standin.BackendFine)
	a.Do(context.Background(), request(id, false, 2*time.Second))
	_, err := propose(context.Background(), held...) // the lost one arrives
	is.NoErr(err)
	b.Do(context.Background(), request(id, false, 2*time.Second))
	is.Equal(k.backends.Executions()[id], 1)
}
