package caller

import (
	"cmp"
	"context"
	"errors"
	"time"

	"jasminelane.example/lane/route"
)

// tickEvery is how often waiting requests are looked at while no answer
// frees a server: breakers close and deadlines pass without an event.
const tickEvery = 10 * time.Millisecond

// waiter is a queued request; it gets exactly one grant unless it is removed
// from its queue first.
type waiter struct {
	grant chan grant
}

type grant struct {
	server *route.Server
	err    *route.RefusedError
}

// acquire returns a server for the request, after waiting in the queue of the
// service if there is none at once. Servers in exclude are avoided.
func (r *Router) acquire(ctx context.Context, q *Request, exclude []string) (*route.Server, *route.RefusedError) {
	r.mu.Lock()
	// Looked up before the queue is made, so that made-up services take no memory.
	queue := r.queues[q.Service]
	if queue == nil || queue.Ahead(q.Class) == 0 {
		s, err := r.pick(q, exclude)
		if err == nil {
			r.mu.Unlock()
			return s, nil
		}
		if err.Reason == route.ReasonNoService {
			r.mu.Unlock()
			return nil, err
		}
	}
	queue = r.queue(q.Service)
	// With the first requests it cannot be told whether they wait for long.
	queue.ServiceTimeMs[q.Class] = cmp.Or(r.Table.ServiceTimeMs(q.Service, q.Class), route.DefaultServiceTimeMs)
	w := &waiter{make(chan grant, 1)}
	it := &route.Item{
		Account: q.Account, Class: q.Class, Value: w,
		Deadline: now() + time.Until(q.Deadline).Milliseconds(),
	}
	if err := queue.Push(now(), it); err != nil {
		r.mu.Unlock()
		return nil, refused(err)
	}
	if !r.ticking {
		r.ticking = true
		go r.tick()
	}
	r.mu.Unlock()
	select {
	case g := <-w.grant:
		return r.elsewhere(q, g, exclude)
	case <-ctx.Done():
	}
	r.mu.Lock()
	removed := queue.Remove(it)
	r.mu.Unlock()
	if !removed {
		if g := <-w.grant; g.server != nil {
			r.Table.Done(g.server, now(), route.Result{Outcome: route.Abandoned, Class: q.Class})
			r.pump()
		}
	}
	return nil, &route.RefusedError{Reason: ended(ctx)}
}

// elsewhere exchanges a granted server that the request already tried for
// another one, if there is one.
func (r *Router) elsewhere(q *Request, g grant, exclude []string) (*route.Server, *route.RefusedError) {
	if g.err != nil {
		return nil, g.err
	}
	for _, addr := range exclude {
		if addr != g.server.Addr {
			continue
		}
		s, err := r.Table.Pick(q.Service, now(), exclude, q.Class)
		if err == nil {
			r.Table.Done(g.server, now(), route.Result{Outcome: route.Abandoned, Class: q.Class})
			r.pump()
			return s, nil
		}
	}
	return g.server, nil
}

// pick prefers servers outside exclude and falls back to all, since only work
// that may run again is picked for again.
func (r *Router) pick(q *Request, exclude []string) (*route.Server, *route.RefusedError) {
	s, err := r.Table.Pick(q.Service, now(), exclude, q.Class)
	if err != nil && len(exclude) > 0 {
		s, err = r.Table.Pick(q.Service, now(), nil, q.Class)
	}
	if err != nil {
		return nil, refused(err)
	}
	return s, nil
}

func refused(err error) *route.RefusedError {
	var e *route.RefusedError
	if errors.As(err, &e) {
		return e
	}
	return &route.RefusedError{Reason: route.ReasonNoServer, RetryAfter: 1000}
}

// queue returns the service's queue; r.mu is held.
func (r *Router) queue(service string) *route.Queue {
	q := r.queues[service]
	if q == nil {
		if r.queues == nil {
			r.queues = map[string]*route.Queue{}
		}
		q = &route.Queue{}
		if r.NewQueue != nil {
			q = r.NewQueue()
		}
		r.queues[service] = q
	}
	return q
}

// pump grants free servers to waiting requests and reports whether any still
// wait.
func (r *Router) pump() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting, at := false, now()
	for service, q := range r.queues {
		expire(q.Expire(at), r.blocked[service])
		for q.Len() > 0 {
			// A class that gets no server leaves none to those below it.
			s, err := r.Table.Pick(service, at, nil, q.Peek().Class)
			if err != nil {
				if r.blocked == nil {
					r.blocked = map[string]route.Reason{}
				}
				r.blocked[service] = refused(err).Reason
				break
			}
			it, _ := q.Pop(at) // the next one: what is past its deadline was taken out above
			it.Value.(*waiter).grant <- grant{server: s}
		}
		waiting = waiting || q.Len() > 0
	}
	return waiting
}

func expire(items []*route.Item, cause route.Reason) {
	for _, it := range items {
		it.Value.(*waiter).grant <- grant{err: &route.RefusedError{Reason: route.ReasonDeadline, WaitedFor: cause}}
	}
}

// tick pumps until nothing waits.
func (r *Router) tick() {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for range t.C {
		if !r.pump() && r.stopTicking() {
			return
		}
	}
}

func (r *Router) stopTicking() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.queues {
		if q.Len() > 0 {
			return false
		}
	}
	r.ticking = false
	return true
}
