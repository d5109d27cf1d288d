package trace

// backend simulates one backend server. It runs as many requests as it has
// slots, queues the same number first in, first out, and refuses further
// requests, as the stand-in for backend servers does.
type backend struct {
	r       *replay
	domain  string
	slots   int
	down    bool
	epoch   int // incremented when the server is lost; invalidates timers of earlier runs
	running []*backendRequest
	queued  []*backendRequest
}

// backendRequest is a request on a server. done is called once with whether the
// server answered it.
type backendRequest struct {
	call *call
	done func(ok bool)
}

// load returns the number of requests that run or are queued on the server,
// which it reports with each response.
func (b *backend) load() int { return len(b.running) + len(b.queued) }

// full reports whether the server would refuse another request.
func (b *backend) full() bool { return b.load() >= 2*b.slots }

// accept queues a request, which must not exceed the server's capacity.
func (b *backend) accept(c *call, done func(ok bool)) {
	b.queued = append(b.queued, &backendRequest{c, done})
	b.startQueued()
}

// startQueued starts queued requests while slots are free.
func (b *backend) startQueued() {
	for len(b.queued) > 0 && len(b.running) < b.slots {
		n := b.queued[0]
		b.queued = b.queued[1:]
		b.running = append(b.running, n)
		epoch := b.epoch
		n.call.startedAt = b.r.clock.now
		b.r.clock.after(n.call.Run, func() {
			if b.epoch != epoch {
				return
			}
			for i, x := range b.running {
				if x == n {
					b.running = append(b.running[:i], b.running[i+1:]...)
					break
				}
			}
			b.startQueued()
			b.r.clock.after(hopDelay, func() { n.done(true) })
		})
	}
}

// dropAll drops all requests of the server and resets their connections.
func (b *backend) dropAll() {
	b.epoch++
	lost := append(b.running, b.queued...)
	b.running, b.queued = nil, nil
	for _, n := range lost {
		n.done(false)
	}
}
