package caller

import (
	"cmp"
	"context"
	"errors"
	"time"

	"jasminelane.example/lane/route"
)

// dispatchInterval is the interval of the dispatch loop, which runs while
// requests are queued. Circuit breakers close and deadlines pass without an
// event that would cause a dispatch.
const dispatchInterval = 10 * time.Millisecond

// waiter is a queued request. It gets exactly one grant unless it is removed
// from its queue first.
type waiter struct {
	grant chan grant
}

// grant ends the wait of a queued request with a server or an error.
type grant struct {
	server *route.Server
	err    *route.RefusedError
}

// acquireServer returns a server for the request. If none is available at once,
// the request waits in the queue of its service. Servers in exclude are chosen
// only if there is no other.
func (r *Router) acquireServer(ctx context.Context, q *Request, exclude []string) (*route.Server, *route.RefusedError) {
	r.mu.Lock()
	// The service is looked up before a queue is created for it, so that requests
	// for unknown services take no memory.
	queue := r.queues[q.Service]
	if queue == nil || queue.Ahead(q.Class) == 0 {
		s, err := r.pickServer(q, exclude)
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
	// The service time of a service's first requests is unknown; a default is used.
	queue.ServiceTimeMs[q.Class] = cmp.Or(r.Table.ServiceTimeMs(q.Service, q.Class), route.DefaultServiceTimeMs)
	w := &waiter{make(chan grant, 1)}
	it := &route.Item{
		Account: q.Account, Class: q.Class, Value: w,
		Deadline: nowMs() + time.Until(q.Deadline).Milliseconds(),
	}
	if err := queue.Push(nowMs(), it); err != nil {
		r.mu.Unlock()
		return nil, asRefused(err)
	}
	if !r.dispatching {
		r.dispatching = true
		go r.dispatchLoop()
	}
	r.mu.Unlock()
	select {
	case g := <-w.grant:
		return r.replaceTried(q, g, exclude)
	case <-ctx.Done():
	}
	r.mu.Lock()
	removed := queue.Remove(it)
	r.mu.Unlock()
	if !removed {
		if g := <-w.grant; g.server != nil {
			r.Table.Done(g.server, nowMs(), route.Result{Outcome: route.Abandoned, Class: q.Class})
			r.dispatch()
		}
	}
	return nil, &route.RefusedError{Reason: contextReason(ctx)}
}

// replaceTried replaces a granted server that the request has already tried by
// another one, if one is available.
func (r *Router) replaceTried(q *Request, g grant, exclude []string) (*route.Server, *route.RefusedError) {
	if g.err != nil {
		return nil, g.err
	}
	for _, addr := range exclude {
		if addr != g.server.Addr {
			continue
		}
		s, err := r.Table.Pick(q.Service, nowMs(), exclude, q.Class)
		if err == nil {
			r.Table.Done(g.server, nowMs(), route.Result{Outcome: route.Abandoned, Class: q.Class})
			r.dispatch()
			return s, nil
		}
	}
	return g.server, nil
}

// pickServer returns a server outside exclude if one is available, and otherwise
// any available server. A server may be tried twice, since only requests that
// may run again get here a second time.
func (r *Router) pickServer(q *Request, exclude []string) (*route.Server, *route.RefusedError) {
	s, err := r.Table.Pick(q.Service, nowMs(), exclude, q.Class)
	if err != nil && len(exclude) > 0 {
		s, err = r.Table.Pick(q.Service, nowMs(), nil, q.Class)
	}
	if err != nil {
		return nil, asRefused(err)
	}
	return s, nil
}

func asRefused(err error) *route.RefusedError {
	var e *route.RefusedError
	if errors.As(err, &e) {
		return e
	}
	return &route.RefusedError{Reason: route.ReasonNoServer, RetryAfter: 1000}
}

// queue returns the service's queue and creates it if needed. The caller must
// hold r.mu.
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

// dispatch assigns available servers to queued requests and reports whether
// requests are still queued.
func (r *Router) dispatch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting, at := false, nowMs()
	for service, q := range r.queues {
		refuseExpired(q.Expire(at), r.noServerReason[service])
		for q.Len() > 0 {
			// If a class gets no server, lower classes would get none either.
			s, err := r.Table.Pick(service, at, nil, q.Peek().Class)
			if err != nil {
				if r.noServerReason == nil {
					r.noServerReason = map[string]route.Reason{}
				}
				r.noServerReason[service] = asRefused(err).Reason
				break
			}
			it, _ := q.Pop(at) // the item of Next: those past their deadline were removed above
			it.Value.(*waiter).grant <- grant{server: s}
		}
		waiting = waiting || q.Len() > 0
	}
	return waiting
}

func refuseExpired(items []*route.Item, waitedFor route.Reason) {
	for _, it := range items {
		it.Value.(*waiter).grant <- grant{err: &route.RefusedError{Reason: route.ReasonDeadline, WaitedFor: waitedFor}}
	}
}

// dispatchLoop calls dispatch at intervals until no request is queued.
func (r *Router) dispatchLoop() {
	t := time.NewTicker(dispatchInterval)
	defer t.Stop()
	for range t.C {
		if !r.dispatch() && r.stopDispatching() {
			return
		}
	}
}

func (r *Router) stopDispatching() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.queues {
		if q.Len() > 0 {
			return false
		}
	}
	r.dispatching = false
	return true
}
