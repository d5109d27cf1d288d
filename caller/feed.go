package caller

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/state"
)

// feedEvery is the shortest time between two looks at the state. The log may
// bring hundreds of entries a second and few change servers or members.
const feedEvery = 200 * time.Millisecond

// Run keeps the table in step with the configuration and the members in the
// state until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	t := time.NewTicker(feedEvery)
	defer t.Stop()
	for {
		changed := r.Changed()
		r.feed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		if r.steady() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-changed:
			}
		}
	}
}

// Ready reports whether the instance's join is so long in the log that all
// others have reduced their shares, and the services are known.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// Feed updates the table from the state unless it holds the offset already, so
// that a version is not reported in force before it is used here.
func (r *Router) Feed(offset uint64) {
	if r.fed.Load() < offset {
		r.feed()
	}
}

// feed updates the table from the state.
func (r *Router) feed() {
	r.feeding.Lock()
	defer r.feeding.Unlock()
	var members []string
	var offset uint64
	changed := map[string][]byte{}
	versions := map[string]uint64{}
	member := false
	r.View(func(s *state.State) {
		offset = s.Offset
		for _, m := range s.Members {
			members = append(members, m.Writer)
			member = member || m.Writer == r.Writer
		}
		for name, c := range s.Configs {
			service, ok := strings.CutPrefix(name, "service/")
			if !ok || c.Deleted {
				continue
			}
			versions[service] = c.Version
			if r.services[service] != c.Version {
				changed[service] = bytes.Clone(c.Body)
			}
		}
	})
	for service, body := range changed {
		b, err := state.ParseService(body)
		if err != nil {
			// The fold checked the body; the last valid one stays in use.
			r.logger().Error("service", zap.String("name", service), zap.Error(err))
			continue
		}
		r.Table.UpdateService(service, b)
	}
	for service := range r.services {
		if _, ok := versions[service]; !ok {
			r.Table.UpdateService(service, nil)
		}
	}
	r.services = versions
	r.Table.SetMembers(r.Writer, r.usable(member, members))
	r.fed.Store(offset)
	if r.Trim != nil {
		r.Trim()
	}
	r.releaseExpired()
	r.pump()
}

// releaseExpired forgets ids that no instance may claim any more.
func (r *Router) releaseExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now() < r.sweep {
		return
	}
	r.sweep = now() + 60_000
	for id, until := range r.active {
		if until != 0 && until <= r.sweep-60_000 {
			delete(r.active, id)
		}
	}
}

// usable returns the members among whom connections are shared: none until
// the own join has been in the log for JoinDelay, in which the others reduce
// their shares. A member that left counts for the same time, in which servers
// notice that its connections are closed.
func (r *Router) usable(member bool, members []string) []string {
	delay := r.JoinDelay
	if delay == 0 {
		delay = time.Second
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := time.Now()
	switch {
	case !member:
		r.joined = time.Time{}
	case r.joined.IsZero():
		r.joined = t
	}
	if r.left == nil {
		r.left = map[string]time.Time{}
	}
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m] = true
		r.left[m] = time.Time{}
	}
	r.departed = false
	for m, left := range r.left {
		switch {
		case present[m]:
			continue
		case left.IsZero():
			// The delay starts here: the last look at the state may be long ago.
			r.left[m] = t
		case t.Sub(left) >= delay:
			delete(r.left, m)
			continue
		}
		r.departed = true
		members = append(members, m)
	}
	r.ready = member && !r.drained && t.Sub(r.joined) >= delay
	if !r.ready {
		return nil
	}
	slices.Sort(members)
	return members
}

// steady reports whether the shares stay as they are until the state changes.
func (r *Router) steady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready && !r.departed
}
