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
	running []*run
	waiting []*run
}

// run is a request on a server. done is called once with whether the server
// answered it.
type run struct {
	call *call
	done func(ok bool)
}

// load returns the number of requests that run or are queued on the server,
// which it reports with each response.
func (b *backend) load() int { return len(b.running) + len(b.waiting) }

// full reports whether the server would refuse another request.
func (b *backend) full() bool { return b.load() >= 2*b.slots }

// accept queues a request, which must not exceed the server's capacity.
func (b *backend) accept(c *call, done func(ok bool)) {
	b.waiting = append(b.waiting, &run{c, done})
	b.work()
}

// work starts queued requests while slots are free.
func (b *backend) work() {
	for len(b.waiting) > 0 && len(b.running) < b.slots {
		n := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.running = append(b.running, n)
		epoch := b.epoch
		n.call.began = b.r.clock.now
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
			b.work()
			b.r.clock.after(hopDelay, func() { n.done(true) })
		})
	}
}

// lose drops all requests of the server and resets their connections.
func (b *backend) lose() {
	b.epoch++
	lost := append(b.running, b.waiting...)
	b.running, b.waiting = nil, nil
	for _, n := range lost {
		n.done(false)
	}
}
