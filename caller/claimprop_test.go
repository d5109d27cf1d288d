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

// step is one event of a generated history; its numbers select among what is
// possible at that point.
type step struct {
	Op, Which, How int
}

// Operations of a history.
const (
	opSend    = iota // a caller sends an id through an instance
	opRelease        // a call to the log or to a server ends in some way
	opCrash          // an instance crashes and another one joins
	opAdvance        // time passes: deadlines and retries
	ops
)

// pending is a call to the log or a server that has not ended. The call may
// take effect at any later time, also when its instance has given up or
// crashed.
type pending struct {
	instance *instance
	effect   func() error // appends, or runs the request
	send     bool
	end      chan error
	left     bool // nobody waits for it
}

type instance struct {
	router *Router
	dead   bool
}

type callKey struct{}

// world is a set of instances over one log, with every call under control of
// the history.
type world struct {
	mu        sync.Mutex // guards calls, dead, left and answers
	log       *fakeLog
	instances []*instance // live
	all       []*instance // and crashed
	calls     []*pending
	ran       map[string]int // executions by request id
	ranBy     map[int]int    // executions by sending
	answers   map[int]Answer
	ids       map[int]string
	returned  chan struct{}
}

var errCrashed = errors.New("instance crashed")

func (w *world) call(ctx context.Context, in *instance, send bool, effect func() error) error {
	w.mu.Lock()
	if in.dead {
		w.mu.Unlock()
		return errCrashed
	}
	p := &pending{instance: in, effect: effect, send: send, end: make(chan error, 1)}
	w.calls = append(w.calls, p)
	w.mu.Unlock()
	select {
	case err := <-p.end:
		return err
	case <-ctx.Done():
		w.mu.Lock()
		p.left = true
		w.mu.Unlock()
		return ctx.Err()
	}
}

func (w *world) join() *instance {
	in := &instance{}
	name := fmt.Sprintf("i%d", len(w.all))
	w.all = append(w.all, in)
	rec, _ := record.New(record.KindJoin, "", record.Join{Name: name, Version: record.Version})
	w.log.propose(name, rec)
	in.router = &Router{
		Table: &route.Table{}, Writer: name, View: w.log.view, Changed: w.log.change, JoinDelay: -1,
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
	in.router.feed()
	return in
}

func newWorld() *world {
	w := &world{
		log: newFakeLog(), ran: map[string]int{}, ranBy: map[int]int{}, answers: map[int]Answer{}, ids: map[int]string{},
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

// apply takes one step and waits until every instance waits again.
func (w *world) apply(n int, s step) {
	switch s.Op {
	case opSend:
		in := w.instances[s.Which%len(w.instances)]
		id := fmt.Sprintf("%d-%d", time.Now().UnixMilli()/60_000*60_000, s.How%2)
		q := &Request{ID: id, Service: "badges", Account: "asha", Deadline: time.Now().Add(time.Duration(1+s.How%5) * time.Second)}
		w.ids[n] = id
		go func() {
			a := in.router.Do(context.WithValue(context.Background(), callKey{}, n), q)
			w.mu.Lock()
			w.answers[n] = a
			w.mu.Unlock()
			w.returned <- struct{}{}
		}()
	case opRelease:
		if p, left := w.take(s.Which); p != nil {
			p.release(s.How, left)
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

func (w *world) kill(in *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	in.dead = true
}

// take removes one of the calls and tells whether its instance gave up on it.
func (w *world) take(which int) (p *pending, left bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.calls) == 0 {
		return nil, false
	}
	i := which % len(w.calls)
	p = w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	return p, p.left
}

// release ends the call: with its effect and answer, with the effect and a
// lost answer, or without effect and with or without certainty about that.
func (p *pending) release(how int, left bool) {
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
		if left {
			return // cannot be certain any more
		}
	}
	p.end <- err
}

// finish ends all calls so that every goroutine returns, and checks the
// answers.
func (w *world) finish() (fault string) {
	for _, in := range w.all {
		w.kill(in)
		in.router.giveUpShares()
	}
	for returned := 0; returned < len(w.ids); {
		w.mu.Lock()
		calls := w.calls
		w.calls = nil
		w.mu.Unlock()
		for _, p := range calls {
			p.release(2, false) // the effect still comes
		}
		select {
		case <-w.returned:
			returned++
		case <-time.After(time.Minute):
		}
	}
	time.Sleep(time.Hour) // the recording of fates gives up
	for id, n := range w.ran {
		if n > 1 {
			fault = fmt.Sprintf("request %s ran %d times", id, n)
		}
	}
	for n, a := range w.answers {
		switch {
		case a.Fate == record.RequestNotRun && w.ranBy[n] > 0:
			fault = fmt.Sprintf("sending %d of %s ran, answer %+v", n, w.ids[n], a)
		case a.Fate == record.RequestDone && w.ran[w.ids[n]] != 1:
			fault = fmt.Sprintf("sending %d of %s did not run, answer %+v", n, w.ids[n], a)
		}
	}
	return fault
}

// A request that is not repeatable must run at most once under any
// interleaving of crashes, resends through any instance, lost answers of the
// log and of servers, and calls that take effect late.
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
			w := newWorld()
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
	t.Logf("%d histories, %d sendings, %d requests ran", histories, resent, ran)
	if ran < histories/2 {
		t.Errorf("only %d requests ran in %d histories, the test shows little", ran, histories)
	}
}
