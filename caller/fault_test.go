package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
)

// resultCounts counts results of requests by outcome and by reason.
type resultCounts struct {
	mu       sync.Mutex
	outcomes map[record.RequestOutcome]int
	reasons  map[route.Reason]int
}

func (y *resultCounts) add(a Result) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.outcomes == nil {
		y.outcomes, y.reasons = map[record.RequestOutcome]int{}, map[route.Reason]int{}
	}
	y.outcomes[a.Outcome]++
	y.reasons[a.Reason]++
}

// runLoad runs a closed loop of callers until stop is closed, and checks that each
// caller gets the response to its own request.
func runLoad(t testing.TB, r *Router, callers int, stop <-chan struct{}, newRequest func() *Request) *resultCounts {
	y := &resultCounts{}
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				q := newRequest()
				a := r.Do(context.Background(), q)
				if a.Outcome == record.RequestDone && string(a.Body) != q.ID+" body of "+q.ID {
					t.Errorf("request %s got the response %q", q.ID, a.Body)
				}
				y.add(a)
				if a.Outcome != record.RequestDone {
					pause(context.Background(), 1+rand.Int64N(10)) // without it, a closed loop of refusals would use up the processor
				}
			}
		})
	}
	wg.Wait()
	return y
}

func closedAfter(d time.Duration) <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(d, func() { close(c) })
	return c
}

// TestHalfStall guards against faults after half of the servers stall: retries
// that multiply the load on the other servers, callers without a response, and
// servers that stay unused for long after they recover.
func TestHalfStall(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 8, &standin.Backends{ServiceTime: 2 * time.Millisecond})
	r, _ := k.router("i1")
	var retries atomic.Int64
	r.Count = func(event, reason string) {
		if event == "retry" {
			retries.Add(1)
		}
	}
	repeatable := func() *Request { return request(onceID(), true, 2*time.Second) }
	is.Equal(runLoad(t, r, 16, closedAfter(300*time.Millisecond), repeatable).outcomes[record.RequestNotRun], 0)
	servers := k.backends.Servers()
	for _, s := range servers[:4] {
		s.SetFault(standin.BackendStall)
	}
	before := len(k.backends.Audit())
	y := runLoad(t, r, 16, closedAfter(3*time.Second), repeatable)
	total := y.outcomes[record.RequestDone] + y.outcomes[record.RequestUnknown] + y.outcomes[record.RequestNotRun]
	sent := len(k.backends.Audit()) - before
	t.Logf("stalled: %d requests, outcomes %v, reasons %v, %d sent, %d retries", total, y.outcomes, y.reasons, sent, retries.Load())
	is.True(y.outcomes[record.RequestDone] > total*9/10)
	is.True(float64(sent) <= 1.1*float64(total)+10)
	for _, s := range servers[:4] {
		s.SetFault(standin.BackendHealthy)
	}
	// Circuit breakers probe with increasing delays, by now up to 4 s.
	limit := time.Now().Add(10 * time.Second)
	for open := true; open && time.Now().Before(limit); {
		runLoad(t, r, 4, closedAfter(50*time.Millisecond), repeatable)
		open = slices.ContainsFunc(r.Table.Status("badges", nowMs()), func(s route.Status) bool { return s.Open })
	}
	before = len(k.backends.Audit())
	y = runLoad(t, r, 16, closedAfter(300*time.Millisecond), repeatable)
	is.Equal(y.outcomes[record.RequestUnknown]+y.outcomes[record.RequestNotRun], 0)
	used := map[string]bool{}
	for _, e := range k.backends.Audit()[before:] {
		used[e.Server] = true
	}
	is.Equal(len(used), 8)
}

// TestDamagedAnswers guards against damaged responses that reach callers, and
// against wrong outcomes. Whatever happens to a response, a caller gets the
// complete response to its own request or a true outcome, never notrun for a
// request that ran.
func TestDamagedAnswers(t *testing.T) {
	k := newTestEnv(t, 6, &standin.Backends{ServiceTime: time.Millisecond})
	r, _ := k.router("i1")
	faults := []standin.BackendFault{
		standin.BackendCross, standin.BackendSwap, standin.BackendTruncate,
		standin.BackendDuplicate, standin.BackendCrash, standin.BackendRefuse, standin.BackendHealthy,
	}
	stop := closedAfter(2 * time.Second)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				k.backends.Servers()[i%6].SetFault(faults[rand.IntN(len(faults))])
			}
		}
	}()
	var mu sync.Mutex
	results := map[string]Result{}
	var wg sync.WaitGroup
	for g := range 16 {
		wg.Go(func() {
			runLoad(t, r, 1, stop, func() *Request { return request(onceID(), true, time.Second) })
		})
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				q := request(fmt.Sprintf("%d-%d.%d", time.Now().UnixMilli(), g, i), false, time.Second)
				a := r.Do(context.Background(), q)
				mu.Lock()
				results[q.ID] = a
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	ran := k.backends.Executions()
	outcomes := map[record.RequestOutcome]int{}
	for id, a := range results {
		outcomes[a.Outcome]++
		switch {
		case ran[id] > 1:
			t.Errorf("request %s ran %d times", id, ran[id])
		case a.Outcome == record.RequestNotRun && ran[id] > 0:
			t.Errorf("request %s ran and its caller got notrun, %s", id, a.Reason)
		case a.Outcome == record.RequestDone && ran[id] != 1:
			t.Errorf("request %s did not run and its caller got done", id)
		}
	}
	t.Logf("non-repeatable: %v", outcomes)
	if outcomes[record.RequestDone] == 0 || outcomes[record.RequestUnknown] == 0 {
		t.Errorf("outcomes %v: the faults did not take effect", outcomes)
	}
}

// TestLeavingWhileListLags guards against a leaving server that gets new requests
// after 3 s because the list and the configuration still contain it. One
// instance sends it requests all the time, the other has not contacted it for a
// while.
func TestLeavingWhileListLags(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 2, &standin.Backends{ServiceTime: time.Millisecond})
	busy, _ := k.router("i1")
	idle, _ := k.router("i2")
	repeatable := func() *Request { return request(onceID(), true, time.Second) }
	runLoad(t, idle, 8, closedAfter(100*time.Millisecond), repeatable)
	s := k.backends.Servers()[0]
	s.SetLeaving(true)
	left := time.Now()
	runLoad(t, busy, 4, closedAfter(3100*time.Millisecond), repeatable)
	y := runLoad(t, idle, 8, closedAfter(200*time.Millisecond), repeatable)
	is.Equal(len(y.outcomes), 1) // all requests are done
	late, other := 0, 0
	for _, e := range k.backends.Audit() {
		switch {
		case e.Server != s.Name && e.At.After(left):
			other++
		case e.Server == s.Name && e.At.After(left.Add(3*time.Second)):
			late++
		}
	}
	is.Equal(late, 0)
	is.True(other > 0)
}

// TestDrainUnderLoad guards against a shutdown under load that interrupts accepted
// requests or accepts new ones.
func TestDrainUnderLoad(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 2, &standin.Backends{ServiceTime: 20 * time.Millisecond})
	r, client := k.router("i1")
	stop := make(chan struct{})
	done := make(chan *resultCounts, 2)
	for _, repeatable := range []bool{true, false} {
		go func() {
			done <- runLoad(t, r, 6, stop, func() *Request { return request(onceID(), repeatable, 5*time.Second) })
		}()
	}
	<-closedAfter(300 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(r.Drain(ctx))
	sent := len(k.backends.Audit())
	close(stop)
	finished := 0
	for range 2 {
		y := <-done
		finished += y.outcomes[record.RequestDone]
		is.Equal(y.outcomes[record.RequestUnknown], 0)
		is.Equal(y.outcomes[record.RequestNotRun], y.reasons[route.ReasonDraining])
	}
	is.Equal(finished, sent)
	is.Equal(len(k.backends.Audit()), sent)
	for _, s := range k.backends.Servers() {
		is.Equal(client.OpenConnections(s.Addr), 0) // the connections are free for the other instances
	}
	k.log.view(func(s *state.State) {
		for id, c := range s.Claims {
			if c.Outcome != record.RequestDone {
				t.Errorf("claim %s has outcome %q after the drain", id, c.Outcome)
			}
		}
	})
}

// TestOverloadByClass guards against overload that delays urgent requests. Bulk
// requests must be shed first, and urgent requests must be done in time.
func TestOverloadByClass(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 1, &standin.Backends{ServiceTime: 10 * time.Millisecond}) // 8 slots, so 800 requests a second
	r, _ := k.router("i1")
	stop := closedAfter(2 * time.Second)
	counts := make([]*resultCounts, 3)
	var wg sync.WaitGroup
	for class, callers := range []int{4, 8, 40} {
		wg.Go(func() {
			counts[class] = runLoad(t, r, callers, stop, func() *Request {
				q := request(onceID(), true, time.Second)
				q.Class = route.Class(class)
				return q
			})
		})
	}
	wg.Wait()
	share := func(c route.Class) float64 {
		y := counts[c]
		return float64(y.reasons[route.ReasonShed]) / float64(y.outcomes[record.RequestDone]+y.outcomes[record.RequestNotRun]+y.outcomes[record.RequestUnknown])
	}
	for c, y := range counts {
		t.Logf("%s: %v %v, shed %.2f", route.Class(c), y.outcomes, y.reasons, share(route.Class(c)))
	}
	is.True(share(route.Urgent) < 0.02)
	is.True(share(route.Bulk) > 0.3)
	is.True(share(route.Normal) < share(route.Bulk))
	// After the load has dropped, requests must soon no longer be shed.
	y := runLoad(t, r, 4, closedAfter(time.Second), func() *Request {
		q := request(onceID(), true, time.Second)
		q.Class = route.Bulk
		return q
	})
	is.True(y.reasons[route.ReasonShed] < y.outcomes[record.RequestDone]/10)
}

// TestConnectionCapWithChangingMembers guards against instances that together
// exceed a server's connection limit while instances join and leave.
func TestConnectionCapWithChangingMembers(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 2, &standin.Backends{ServiceTime: 2 * time.Millisecond, Slots: 64, MaxConns: 12})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	begin := func(r *Router) {
		wg.Go(func() {
			runLoad(t, r, 24, stop, func() *Request { return request(onceID(), true, time.Second) })
		})
	}
	var routers []*Router
	for i := range 5 {
		r, _ := k.routerAfter(fmt.Sprintf("i%d", i), time.Second)
		routers = append(routers, r)
		begin(r)
		<-closedAfter(600 * time.Millisecond)
	}
	for i, r := range routers[:3] {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		is.NoErr(r.Drain(ctx))
		cancel()
		k.log.must(t, fmt.Sprintf("i%d", i), record.KindLeave, record.Leave{})
		<-closedAfter(300 * time.Millisecond)
	}
	<-closedAfter(1200 * time.Millisecond) // the shares have grown for the last time
	for _, r := range routers[3:] {
		is.Equal(r.Table.Connections(k.backends.Servers()[0].Addr), 6)
	}
	close(stop)
	wg.Wait()
	for _, s := range k.backends.Servers() {
		peak, over := s.ConnCounts()
		t.Logf("%s: at most %d of 12 connections, %d refused", s.Name, peak, over)
		is.Equal(over, 0)
		is.True(peak >= 8)
	}
}
