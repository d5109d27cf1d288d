package caller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"jasminelane.example/lane/backend"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
	"jasminelane.example/lane/state"
)

// step is one event of a generated history. Which and How select among the
// possibilities at that point.
type step struct {
	Op, Which, How int
}

// Operations of a history.
const (
	opSend    = iota // a caller sends a request through an instance
	opRelease        // a call to the log or to a server ends, with or without effect
	opCrash          // an instance crashes and another one joins
	opAdvance        // time passes, for deadlines and retries
	ops
)

// pendingCall is a call to the log or to a server that has not ended. It may take
// effect at any later time, even after its instance has stopped waiting for it or
// has crashed.
type pendingCall struct {
	instance  *instance
	effect    func() error // appends to the log, or runs the request
	send      bool
	end       chan error
	abandoned bool // no goroutine waits for it any more
}

type instance struct {
	router *Router
	dead   bool
}

type callKey struct{}

// simulation is a set of instances with one log. The history controls when and
// how each of their calls ends.
type simulation struct {
	mu        sync.Mutex // guards calls, dead, abandoned and results
	log       *fakeLog
	instances []*instance // live ones
	all       []*instance // live and crashed ones
	calls     []*pendingCall
	ran       map[string]int // executions by request id
	ranBy     map[int]int    // executions by number of the call of Do
	results   map[int]Result
	ids       map[int]string
	returned  chan struct{}
}

var errCrashed = errors.New("instance crashed")

func (w *simulation) call(ctx context.Context, in *instance, send bool, effect func() error) error {
	w.mu.Lock()
	if in.dead {
		w.mu.Unlock()
		return errCrashed
	}
	p := &pendingCall{instance: in, effect: effect, send: send, end: make(chan error, 1)}
	w.calls = append(w.calls, p)
	w.mu.Unlock()
	select {
	case err := <-p.end:
		return err
	case <-ctx.Done():
		w.mu.Lock()
		p.abandoned = true
		w.mu.Unlock()
		return ctx.Err()
	}
}

func (w *simulation) join() *instance {
	in := &instance{}
	name := fmt.Sprintf("i%d", len(w.all))
	w.all = append(w.all, in)
	rec, _ := record.New(record.KindJoin, "", record.Join{Name: name, Version: record.Version})
	w.log.propose(name, rec)
	in.router = &Router{
		Table: &route.Table{}, Writer: name, View: w.log.view, Changed: w.log.change, ShareDelay: -1,
		NotAppended: func(err error) bool { return errors.Is(err, errDown) },
		Propose: func(ctx context.Context, recs ...record.Record) (out []state.Decision, err error) {
			err = w.call(ctx, in, false, func() error {
				var err error
				out, err = w.log.propose(name, recs...)
				return err
			})
			if err != nil {
				return nil, err
			}
			return out, nil
		},
		Probe: func(context.Context, string) (backend.Notice, error) { return backend.Notice{}, nil },
		Send: func(ctx context.Context, _ string, q *backend.Request) (*backend.Answer, error) {
			n := ctx.Value(callKey{}).(int)
			err := w.call(ctx, in, true, func() error {
				w.ran[q.ID]++
				w.ranBy[n]++
				return nil
			})
			if err != nil {
				return nil, err
			}
			return &backend.Answer{Status: 200}, nil
		},
	}
	in.router.updateTable()
	return in
}

func newSimulation() *simulation {
	w := &simulation{
		log: newFakeLog(), ran: map[string]int{}, ranBy: map[int]int{}, results: map[int]Result{}, ids: map[int]string{},
		returned: make(chan struct{}),
	}
	for name, body := range map[string]string{
		"account/asha":   `{}`,
		"service/badges": `{"servers":[{"name":"s0","addr":"a","slots":99,"connections":999},{"name":"s1","addr":"b","slots":99,"connections":999}]}`,
	} {
		rec, _ := record.New(record.KindPublish, "", record.Publish{Name: name, Body: []byte(body)})
		w.log.propose("operator", rec)
	}
	for range 3 {
		w.instances = append(w.instances, w.join())
	}
	return w
}

// apply executes one step and returns once all goroutines are blocked again.
func (w *simulation) apply(n int, s step) {
	switch s.Op {
	case opSend:
		in := w.instances[s.Which%len(w.instances)]
		id := fmt.Sprintf("%d-%d", time.Now().UnixMilli()/60_000*60_000, s.How%2)
		q := &Request{ID: id, Service: "badges", Account: "asha", Deadline: time.Now().Add(time.Duration(1+s.How%5) * time.Second)}
		w.ids[n] = id
		go func() {
			a := in.router.Do(context.WithValue(context.Background(), callKey{}, n), q)
			w.mu.Lock()
			w.results[n] = a
			w.mu.Unlock()
			w.returned <- struct{}{}
		}()
	case opRelease:
		if p, abandoned := w.takeCall(s.Which); p != nil {
			p.release(s.How, abandoned)
		}
	case opCrash:
		i := s.Which % len(w.instances)
		w.kill(w.instances[i])
		w.instances[i] = w.join()
	case opAdvance:
		time.Sleep(time.Duration(1+s.How%40) * 100 * time.Millisecond)
	}
	synctest.Wait()
}

func (w *simulation) kill(in *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	in.dead = true
}

// takeCall removes one of the calls and reports whether its instance has stopped
// waiting for it.
func (w *simulation) takeCall(which int) (p *pendingCall, abandoned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.calls) == 0 {
		return nil, false
	}
	i := which % len(w.calls)
	p = w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	return p, p.abandoned
}

// release ends the call in one of these ways: with its effect and a response,
// with its effect and a lost response, or without effect. In the last case the
// instance may or may not learn that there was none.
func (p *pendingCall) release(how int, abandoned bool) {
	var err error
	switch how % 5 {
	case 0, 1:
		err = p.effect()
	case 2:
		p.effect()
		err = errLost
	case 3:
		err = errLost
	case 4:
		err = errDown
		if p.send {
			err = &backend.Error{Reason: route.ReasonBusy, NotRun: true, Told: true}
		}
		if abandoned {
			return // the instance can no longer learn that there was no effect
		}
	}
	p.end <- err
}

// finish ends all calls, so that all goroutines return, and checks the results.
// It returns a description of a fault, if there is one.
func (w *simulation) finish() (fault string) {
	for _, in := range w.all {
		w.kill(in)
		in.router.releaseShares()
	}
	for returned := 0; returned < len(w.ids); {
		w.mu.Lock()
		calls := w.calls
		w.calls = nil
		w.mu.Unlock()
		for _, p := range calls {
			p.release(2, false) // with its effect, although the instance has crashed
		}
		select {
		case <-w.returned:
			returned++
		case <-time.After(time.Minute):
		}
	}
	time.Sleep(time.Hour) // the recording of outcomes stops
	for id, n := range w.ran {
		if n > 1 {
			fault = fmt.Sprintf("request %s ran %d times", id, n)
		}
	}
	for n, a := range w.results {
		switch {
		case a.Outcome == record.RequestNotRun && w.ranBy[n] > 0:
			fault = fmt.Sprintf("call %d of %s ran, result %+v", n, w.ids[n], a)
		case a.Outcome == record.RequestDone && w.ran[w.ids[n]] != 1:
			fault = fmt.Sprintf("call %d of %s did not run, result %+v", n, w.ids[n], a)
		}
	}
	return fault
}

// TestAtMostOnce guards against a non-repeatable request that runs more than
// once. The generated histories interleave crashes, repeated sending through any
// instance, lost responses of the log and of servers, and calls that take effect
// late.
func TestAtMostOnce(t *testing.T) {
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Op:    rapid.SampledFrom([]int{opSend, opSend, opSend, opRelease, opRelease, opRelease, opRelease, opRelease, opCrash, opAdvance}).Draw(t, "op"),
			Which: rapid.IntRange(0, 5).Draw(t, "which"), How: rapid.IntRange(0, 59).Draw(t, "how"),
		}
	}), 20, 150)
	var ran, resent, histories int
	rapid.Check(t, func(rt *rapid.T) {
		history := steps.Draw(rt, "history")
		var fault string
		synctest.Test(t, func(*testing.T) {
			w := newSimulation()
			for n, s := range history {
				w.apply(n, s)
			}
			fault = w.finish()
			histories++
			ran += len(w.ran)
			resent += len(w.ids)
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
	t.Logf("%d histories, %d calls, %d requests ran", histories, resent, ran)
	if ran < histories/2 {
		t.Errorf("only %d requests ran in %d histories; the test covers too little", ran, histories)
	}
}
