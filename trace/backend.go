package trace

// backend is one backend server: it runs as many requests as it has slots,
// keeps as many more in order of arrival, and refuses what is beyond that, as
// the stand-in for backend servers does.
type backend struct {
	r       *replay
	domain  string
	slots   int
	down    bool
	epoch   int // grows when the server is lost, to recognize runs of before
	running []*run
	waiting []*run
}

// run is a request in a server; done is told whether it was answered.
type run struct {
	call *call
	done func(ok bool)
}

// load returns the requests that run or wait in the server, as it reports
// them with each answer.
func (b *backend) load() int { return len(b.running) + len(b.waiting) }

// full reports whether the server refuses another request.
func (b *backend) full() bool { return b.load() >= 2*b.slots }

func (b *backend) accept(c *call, done func(ok bool)) {
	b.waiting = append(b.waiting, &run{c, done})
	b.work()
}

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

// lose drops everything that the server has; its connections are reset.
func (b *backend) lose() {
	b.epoch++
	lost := append(b.running, b.waiting...)
	b.running, b.waiting = nil, nil
	for _, n := range lost {
		n.done(false)
	}
}
