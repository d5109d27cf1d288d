package trace

import "slices"

// naiveService answers the requests of the baseline: one queue in order of
// arrival, the first backend server with a free slot, no priorities, no
// deadlines and no claims.
type naiveService struct {
	n       *naive
	servers []*naiveServer
	queue   []Request
	paused  bool
}

type naiveServer struct {
	domain  string
	free    int
	down    bool
	epoch   int // grows when the server is lost, to recognize answers of before
	running []Request
}

func newNaiveService(n *naive) *naiveService {
	v := &naiveService{n: n}
	for _, s := range n.trace.Services {
		for i := range s.Servers {
			v.servers = append(v.servers, &naiveServer{domain: n.fleet.domains[i%len(n.fleet.domains)], free: s.Slots})
		}
	}
	for _, r := range n.trace.expand() {
		n.clock.at(r.At, func() {
			v.queue = append(v.queue, r)
			v.dispatch()
		})
	}
	return v
}

func (v *naiveService) dispatch() {
	for len(v.queue) > 0 && !v.paused {
		k := slices.IndexFunc(v.servers, func(s *naiveServer) bool { return s.free > 0 && !s.down })
		if k < 0 {
			return
		}
		r := v.queue[0]
		v.queue = v.queue[1:]
		v.run(v.servers[k], r)
	}
}

func (v *naiveService) run(s *naiveServer, r Request) {
	s.free--
	s.running = append(s.running, r)
	epoch := s.epoch
	v.n.clock.after(r.Run, func() {
		if s.epoch != epoch {
			return
		}
		s.free++
		s.running = slices.DeleteFunc(s.running, func(x Request) bool { return x.ID == r.ID })
		v.n.side.answered(r, "done", v.n.clock.now)
		v.dispatch()
	})
}

func (v *naiveService) pause(begin bool) {
	v.paused = begin
	v.dispatch()
}

// domain loses the backend servers of a failure domain, or brings them back.
func (v *naiveService) domain(name string, begin bool) {
	for _, s := range v.servers {
		if s.domain != name {
			continue
		}
		s.down = begin
		if !begin {
			continue
		}
		s.epoch++
		s.free += len(s.running)
		for _, r := range s.running {
			if r.Once {
				v.n.side.answered(r, "unknown", v.n.clock.now)
			} else {
				v.queue = append(v.queue, r)
			}
		}
		s.running = nil
	}
	v.dispatch()
}
