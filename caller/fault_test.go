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

// tally counts answers of a load.
type tally struct {
	mu      sync.Mutex
	fates   map[record.RequestOutcome]int
	reasons map[route.Reason]int
}

func (y *tally) add(a Answer) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.fates == nil {
		y.fates, y.reasons = map[record.RequestOutcome]int{}, map[route.Reason]int{}
	}
	y.fates[a.Fate]++
	y.reasons[a.Reason]++
}

// load runs callers in a closed loop until stop is closed and checks that each
// gets its own answer.
func load(t testing.TB, r *Router, callers int, stop <-chan struct{}, make func() *Request) *tally {
	y := &tally{}
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				q := make()
				a := r.Do(context.Background(), q)
				if a.Fate == record.RequestDone && string(a.Body) != q.ID+" body of "+q.ID {
					t.Errorf("request %s got the answer %q", q.ID, a.Body)
				}
				y.add(a)
				if a.Fate != record.RequestDone {
					pause(context.Background(), 1+rand.Int64N(10)) // a closed loop of refusals would only spin
				}
			}
		})
	}
	wg.Wait()
	return y
}

func after(d time.Duration) <-chan struct{} {
	c := make(chan struct{})
	time.AfterFunc(d, func() { close(c) })
	return c
}

// Half of the servers stall. Retries must not multiply the load on the rest,
// callers must still get answers, and all servers must be used again soon
// after they recover.
func TestHalfStall(t *testing.T) {
	is := is.New(t)
	k := newBench(t, 8, &standin.Backends{Service: 2 * time.Millisecond})
	r, _ := k.router("i1")
	var retries atomic.Int64
	r.Count = func(event, reason string) {
		if event == "retry" {
			retries.Add(1)
		}
	}
	repeatable := func() *Request { return request(onceID(), true, 2*time.Second) }
	is.Equal(load(t, r, 16, after(300*time.Millisecond), repeatable).fates[record.RequestNotRun], 0)
	servers := k.backends.Servers()
	for _, s := range servers[:4] {
		s.SetFault(standin.BackendStall)
	}
	before := len(k.backends.Trail())
	y := load(t, r, 16, after(3*time.Second), repeatable)
	total := y.fates[record.RequestDone] + y.fates[record.RequestUnknown] + y.fates[record.RequestNotRun]
	sent := len(k.backends.Trail()) - before
	t.Logf("stalled: %d requests, fates %v, reasons %v, %d sent, %d retries", total, y.fates, y.reasons, sent, retries.Load())
	is.True(y.fates[record.RequestDone] > total*9/10)
	is.True(float64(sent) <= 1.1*float64(total)+10)
	for _, s := range servers[:4] {
		s.SetFault(standin.BackendFine)
	}
	// Breakers test with growing delays, at this age of the fault up to 4 s.
	limit := time.Now().Add(10 * time.Second)
	for open := true; open && time.Now().Before(limit); {
		load(t, r, 4, after(50*time.Millisecond), repeatable)
		open = slices.ContainsFunc(r.Table.Status("badges", now()), func(s route.Status) bool { return s.Open })
	}
	before = len(k.backends.Trail())
	y = load(t, r, 16, after(300*time.Millisecond), repeatable)
	is.Equal(y.fates[record.RequestUnknown]+y.fates[record.RequestNotRun], 0)
	used := map[string]bool{}
	for _, e := range k.backends.Trail()[before:] {
		used[e.Server] = true
	}
	is.Equal(len(used), 8)
}

// Under every damage to answers a caller gets its own complete answer or a
// typed fate that is true: notrun never for a request that ran.
func TestDamagedAnswers(t *testing.T) {
	k := newBench(t, 6, &standin.Backends{Service: time.Millisecond})
	r, _ := k.router("i1")
	faults := []standin.BackendFault{
		standin.BackendCross, standin.BackendSwap, standin.BackendTruncate,
		standin.BackendDuplicate, standin.BackendCrash, standin.BackendRefuse, standin.BackendFine,
	}
	stop := after(2 * time.Second)
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
	answers := map[string]Answer{}
	var wg sync.WaitGroup
	for g := range 16 {
		wg.Go(func() {
			load(t, r, 1, stop, func() *Request { return request(onceID(), true, time.Second) })
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
				answers[q.ID] = a
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	ran := k.backends.Executions()
	fates := map[record.RequestOutcome]int{}
	for id, a := range answers {
		fates[a.Fate]++
		switch {
		case ran[id] > 1:
			t.Errorf("request %s ran %d times", id, ran[id])
		case a.Fate == record.RequestNotRun && ran[id] > 0:
			t.Errorf("request %s ran and its caller was told notrun, %s", id, a.Reason)
		case a.Fate == record.RequestDone && ran[id] != 1:
			t.Errorf("request %s did not run and its caller was told done", id)
		}
	}
	t.Logf("not repeatable: %v", fates)
	if fates[record.RequestDone] == 0 || fates[record.RequestUnknown] == 0 {
		t.Errorf("fates %v: the faults did not take effect", fates)
	}
}

// A leaving server must get nothing new after 3 s although the list and the
// configuration still show it, both from an instance that is busy with it and
// from one that had no contact for a while.
func TestLeavingWhileListLags(t *testing.T) {
	is := is.New(t)
	k := newBench(t, 2, &standin.Backends{Service: time.Millisecond})
	busy, _ := k.router("i1")
	idle, _ := k.router("i2")
	repeatable := func() *Request { return request(onceID(), true, time.Second) }
	load(t, idle, 8, after(100*time.Millisecond), repeatable)
	s := k.backends.Servers()[0]
	s.SetLeaving(true)
	left := time.Now()
	load(t, busy, 4, after(3100*time.Millisecond), repeatable)
	y := load(t, idle, 8, after(200*time.Millisecond), repeatable)
	is.Equal(len(y.fates), 1) // all done
	late, other := 0, 0
	for _, e := range k.backends.Trail() {
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

// A shutdown under load interrupts nothing that was accepted and takes nothing
// new.
func TestDrainUnderLoad(t *testing.T) {
	is := is.New(t)
	k := newBench(t, 2, &standin.Backends{Service: 20 * time.Millisecond})
	r, client := k.router("i1")
	stop := make(chan struct{})
	done := make(chan *tally, 2)
	for _, repeatable := range []bool{true, false} {
		go func() {
			done <- load(t, r, 6, stop, func() *Request { return request(onceID(), repeatable, 5*time.Second) })
		}()
	}
	<-after(300 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(r.Drain(ctx))
	sent := len(k.backends.Trail())
	close(stop)
	finished := 0
	for range 2 {
		y := <-done
		finished += y.fates[record.RequestDone]
		is.Equal(y.fates[record.RequestUnknown], 0)
		is.Equal(y.fates[record.RequestNotRun], y.reasons[route.ReasonDraining])
	}
	is.Equal(finished, sent)
	is.Equal(len(k.backends.Trail()), sent)
	for _, s := range k.backends.Servers() {
		is.Equal(client.OpenConnections(s.Addr), 0) // free for the other instances
	}
	k.log.view(func(s *state.State) {
		for id, c := range s.Claims {
			if c.Outcome != record.RequestDone {
				t.Errorf("claim %s has fate %q after the drain", id, c.Outcome)
			}
		}
	})
}

// Under overload bulk must be shed first and urgent requests must still be
// answered in time.
func TestOverloadByClass(t *testing.T) {
	is := is.New(t)
	k := newBench(t, 1, &standin.Backends{Service: 10 * time.Millisecond}) // 8 slots: 800 requests a second
	r, _ := k.router("i1")
	stop := after(2 * time.Second)
	tallies := make([]*tally, 3)
	var wg sync.WaitGroup
	for class, callers := range []int{4, 8, 40} {
		wg.Go(func() {
			tallies[class] = load(t, r, callers, stop, func() *Request {
				q := request(onceID(), true, time.Second)
				q.Class = route.Class(class)
				return q
			})
		})
	}
	wg.Wait()
	share := func(c route.Class) float64 {
		y := tallies[c]
		return float64(y.reasons[route.ReasonShed]) / float64(y.fates[record.RequestDone]+y.fates[record.RequestNotRun]+y.fates[record.RequestUnknown])
	}
	for c, y := range tallies {
		t.Logf("%s: %v %v, shed %.2f", route.Class(c), y.fates, y.reasons, share(route.Class(c)))
	}
	is.True(share(route.Urgent) < 0.02)
	is.True(share(route.Bulk) > 0.3)
	is.True(share(route.Normal) < share(route.Bulk))
	// Recovery: the load has dropped, nothing is shed for long.
	y := load(t, r, 4, after(time.Second), func() *Request {
		q := request(onceID(), true, time.Second)
		q.Class = route.Bulk
		return q
	})
	is.True(y.reasons[route.ReasonShed] < y.fates[record.RequestDone]/10)
}

// The sum of all instances' connections must stay within a server's cap while
// instances join and leave.
func TestConnectionCapWithChangingMembers(t *testing.T) {
	is := is.New(t)
	k := newBench(t, 2, &standin.Backends{Service: 2 * time.Millisecond, Slots: 64, Conns: 12})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	begin := func(r *Router) {
		wg.Go(func() {
			load(t, r, 24, stop, func() *Request { return request(onceID(), true, time.Second) })
		})
	}
	var routers []*Router
	for i := range 5 {
		r, _ := k.routerAfter(fmt.Sprintf("i%d", i), time.Second)
		routers = append(routers, r)
		begin(r)
		<-after(600 * time.Millisecond)
	}
	for i, r := range routers[:3] {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		is.NoErr(r.Drain(ctx))
		cancel()
		k.log.must(t, fmt.Sprintf("i%d", i), record.KindLeave, record.Leave{})
		<-after(300 * time.Millisecond)
	}
	<-after(1200 * time.Millisecond) // the last growth
	for _, r := range routers[3:] {
		is.Equal(r.Table.Connections(k.backends.Servers()[0].Addr), 6)
	}
	close(stop)
	wg.Wait()
	for _, s := range k.backends.Servers() {
		peak, over := s.Peak()
		t.Logf("%s: at most %d of 12 connections, %d refused", s.Name, peak, over)
		is.Equal(over, 0)
		is.True(peak >= 8)
	}
}
