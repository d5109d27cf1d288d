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

// The first server that an instance tries stalls: the request must not wait for
// it until its deadline.
func TestFirstServerStalls(t *testing.T) {
	k := newBench(t, 2, &standin.Backends{})
	k.backends.Servers()[0].SetFault(standin.BackendStall)
	for i := range 6 {
		r, _ := k.router(fmt.Sprint("i", i))
		if a := r.Do(context.Background(), request(onceID(), true, 3*time.Second)); a.Fate != record.RequestDone {
			t.Errorf("%+v", a)
		}
	}
}

// A service that takes longer than the least timeout must work from its first
// request on: an attempt that is only slow must not be ended.
func TestSlowService(t *testing.T) {
	is := is.New(t)
	k := newBench(t, 4, &standin.Backends{Service: 900 * time.Millisecond})
	r, _ := k.router("i1")
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			a := r.Do(context.Background(), request(onceID(), true, 5*time.Second))
			if a.Fate != record.RequestDone {
				t.Errorf("%+v", a)
			}
		})
	}
	wg.Wait()
	is.True(len(k.backends.Trail()) <= 8+4) // second attempts only within the budget
}

// One request that takes far longer than the others of its service must be
// answered. It may run a second time elsewhere, no more than the budget allows.
func TestSlowRequest(t *testing.T) {
	is := is.New(t)
	slow := func(string, string, []byte) []byte {
		time.Sleep(1500 * time.Millisecond)
		return []byte("slow")
	}
	b := &standin.Backends{}
	k := newBench(t, 3, b)
	r, _ := k.router("i1")
	for range 30 {
		is.Equal(r.Do(context.Background(), request(onceID(), true, time.Second)).Fate, record.RequestDone)
	}
	b.Answer = slow
	id := onceID()
	a := r.Do(context.Background(), request(id, true, 5*time.Second))
	is.Equal(a.Fate, record.RequestDone)
	is.Equal(string(a.Body), "slow")
	is.True(k.backends.Executions()[id] <= 3)
}

// A lost failure domain, a third of the servers, must not fail requests while
// others are up: refused connections are tried elsewhere beyond the budget.
func TestDomainLost(t *testing.T) {
	k := newBench(t, 12, &standin.Backends{Service: time.Millisecond})
	r, _ := k.router("i1")
	for _, s := range k.backends.Servers()[:4] {
		s.Close()
	}
	y := load(t, r, 16, after(time.Second), func() *Request { return request(onceID(), true, time.Second) })
	if len(y.fates) != 1 || y.fates[record.RequestDone] == 0 {
		t.Error(fmt.Sprint(y.fates, y.reasons))
	}
}
