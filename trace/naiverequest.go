package trace

import "slices"

// naiveService routes the requests of the baseline: one first-in, first-out
// queue, the first backend server with a free slot, no priorities, no deadlines
// and no claims.
type naiveService struct {
	n       *naive
	servers []*naiveServer
	queue   []Request
	paused  bool
}

// naiveServer is a backend server of the baseline.
type naiveServer struct {
	domain    string
	freeSlots int
	down      bool
	epoch     int // incremented when the server is lost; invalidates earlier responses
	running   []Request
}

// newNaiveService schedules the requests of the trace.
func newNaiveService(n *naive) *naiveService {
	v := &naiveService{n: n}
	for _, s := range n.trace.Services {
		for i := range s.Servers {
			v.servers = append(v.servers, &naiveServer{domain: n.fleet.domains[i%len(n.fleet.domains)], freeSlots: s.Slots})
		}
	}
	for _, r := range n.trace.expandRequests() {
		n.clock.at(r.At, func() {
			v.queue = append(v.queue, r)
			v.dispatch()
		})
	}
	return v
}

// dispatch sends queued requests to free servers.
func (v *naiveService) dispatch() {
	for len(v.queue) > 0 && !v.paused {
		k := slices.IndexFunc(v.servers, func(s *naiveServer) bool { return s.freeSlots > 0 && !s.down })
		if k < 0 {
			return
		}
		r := v.queue[0]
		v.queue = v.queue[1:]
		v.serve(v.servers[k], r)
	}
}

// serve runs the request on the server.
func (v *naiveService) serve(s *naiveServer, r Request) {
	s.freeSlots--
	s.running = append(s.running, r)
	epoch := s.epoch
	v.n.clock.after(r.Run, func() {
		if s.epoch != epoch {
			return
		}
		s.freeSlots++
		s.running = slices.DeleteFunc(s.running, func(x Request) bool { return x.ID == r.ID })
		v.n.recorder.requestEnded(r, "done", v.n.clock.now)
		v.dispatch()
	})
}

// setPaused stops or resumes dispatching.
func (v *naiveService) setPaused(begin bool) {
	v.paused = begin
	v.dispatch()
}

// setDomainDown begins or ends the loss of a failure domain's backend servers.
// Lost repeatable requests are queued again; the outcome of the others is
// unknown.
func (v *naiveService) setDomainDown(name string, begin bool) {
	for _, s := range v.servers {
		if s.domain != name {
			continue
		}
		s.down = begin
		if !begin {
			continue
		}
		s.epoch++
		s.freeSlots += len(s.running)
		for _, r := range s.running {
			if r.Once {
				v.n.recorder.requestEnded(r, "unknown", v.n.clock.now)
			} else {
				v.queue = append(v.queue, r)
			}
		}
		s.running = nil
	}
	v.dispatch()
}
