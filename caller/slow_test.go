package caller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/standin"
)

// TestFirstServerStalls guards against a request that waits until its deadline
// because the first server that its instance tries has stalled.
func TestFirstServerStalls(t *testing.T) {
	k := newTestEnv(t, 2, &standin.Backends{})
	k.backends.Servers()[0].SetFault(standin.BackendStall)
	for i := range 6 {
		r, _ := k.router(fmt.Sprint("i", i))
		if a := r.Do(context.Background(), request(onceID(), true, 3*time.Second)); a.Outcome != record.RequestDone {
			t.Errorf("%+v", a)
		}
	}
}

// TestSlowService guards against attempts that are ended only because they are
// slow. A service whose requests take longer than the minimum timeout must work
// from its first request on.
func TestSlowService(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 4, &standin.Backends{ServiceTime: 900 * time.Millisecond})
	r, _ := k.router("i1")
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			a := r.Do(context.Background(), request(onceID(), true, 5*time.Second))
			if a.Outcome != record.RequestDone {
				t.Errorf("%+v", a)
			}
		})
	}
	wg.Wait()
	is.True(len(k.backends.Audit()) <= 8+4) // hedged only within the retry budget
}

// TestSlowRequest guards against the loss of a request that takes far longer than
// the others of its service. It may also run on other servers, as often as the
// retry budget allows.
func TestSlowRequest(t *testing.T) {
	is := is.New(t)
	slow := func(string, string, []byte) []byte {
		time.Sleep(1500 * time.Millisecond)
		return []byte("slow")
	}
	b := &standin.Backends{}
	k := newTestEnv(t, 3, b)
	r, _ := k.router("i1")
	for range 30 {
		is.Equal(r.Do(context.Background(), request(onceID(), true, time.Second)).Outcome, record.RequestDone)
	}
	b.Answer = slow
	id := onceID()
	a := r.Do(context.Background(), request(id, true, 5*time.Second))
	is.Equal(a.Outcome, record.RequestDone)
	is.Equal(string(a.Body), "slow")
	is.True(k.backends.Executions()[id] <= 3)
}

// TestDomainLost guards against requests that fail because a failure domain, a
// third of the servers, is lost while the others are up. After a refused
// connection a request is tried on another server, also beyond the retry budget.
func TestDomainLost(t *testing.T) {
	k := newTestEnv(t, 12, &standin.Backends{ServiceTime: time.Millisecond})
	r, _ := k.router("i1")
	for _, s := range k.backends.Servers()[:4] {
		s.Close()
	}
	y := runLoad(t, r, 16, closedAfter(time.Second), func() *Request { return request(onceID(), true, time.Second) })
	if len(y.outcomes) != 1 || y.outcomes[record.RequestDone] == 0 {
		t.Error(fmt.Sprint(y.outcomes, y.reasons))
	}
}
