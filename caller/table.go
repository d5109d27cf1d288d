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

// tableUpdateInterval is the minimum time between two updates of the routing
// table in Run. The log may have hundreds of entries a second, and few of them
// change servers or members.
const tableUpdateInterval = 200 * time.Millisecond

// Run updates the routing table with the services and members in the replicated
// state until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	t := time.NewTicker(tableUpdateInterval)
	defer t.Stop()
	for {
		changed := r.Changed()
		r.updateTable()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		if r.sharesStable() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-changed:
			}
		}
	}
}

// Ready reports whether the instance's join has been in the log for ShareDelay,
// so that all other instances have reduced their connection shares, and the
// services are in the routing table.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// UpdateTo updates the routing table from the replicated state unless the table
// already reflects the log up to offset. A configuration version is thus not
// reported as in force before this instance uses it.
func (r *Router) UpdateTo(offset uint64) {
	if r.tableOffset.Load() < offset {
		r.updateTable()
	}
}

// updateTable updates the routing table from the replicated state.
func (r *Router) updateTable() {
	r.updateMu.Lock()
	defer r.updateMu.Unlock()
	var members []string
	var offset uint64
	changed := map[string][]byte{}
	versions := map[string]uint64{}
	isMember := false
	r.View(func(s *state.State) {
		offset = s.Offset
		for _, m := range s.Members {
			members = append(members, m.Writer)
			isMember = isMember || m.Writer == r.Writer
		}
		for name, c := range s.Configs {
			service, ok := strings.CutPrefix(name, "service/")
			if !ok || c.Deleted {
				continue
			}
			versions[service] = c.Version
			if r.serviceVersions[service] != c.Version {
				changed[service] = bytes.Clone(c.Body)
			}
		}
	})
	for service, body := range changed {
		b, err := state.ParseService(body)
		if err != nil {
			// Not expected, since the state validated the body when it was published.
			r.logger().Error("service configuration is invalid; the last valid one stays in use", zap.String("name", service), zap.Error(err))
			continue
		}
		r.Table.UpdateService(service, b)
	}
	for service := range r.serviceVersions {
		if _, ok := versions[service]; !ok {
			r.Table.UpdateService(service, nil)
		}
	}
	r.serviceVersions = versions
	r.Table.SetMembers(r.Writer, r.sharingMembers(isMember, members))
	r.tableOffset.Store(offset)
	if r.OnShareChange != nil {
		r.OnShareChange()
	}
	r.dropExpiredIDs()
	r.dispatch()
}

// dropExpiredIDs releases the held ids that have expired. No instance may claim
// an expired id any more.
func (r *Router) dropExpiredIDs() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if nowMs() < r.nextIDExpiry {
		return
	}
	r.nextIDExpiry = nowMs() + 60_000
	for id, until := range r.heldIDs {
		if until != 0 && until <= r.nextIDExpiry-60_000 {
			delete(r.heldIDs, id)
		}
	}
}

// sharingMembers returns the members among which the connections to each server
// are divided. It returns none until this instance's join has been in the log
// for ShareDelay, in which the other instances reduce their shares. A member
// that left is counted for the same time, in which the servers notice that its
// connections are closed.
func (r *Router) sharingMembers(isMember bool, members []string) []string {
	delay := r.ShareDelay
	if delay == 0 {
		delay = time.Second
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Now()
	switch {
	case !isMember:
		r.joinedAt = time.Time{}
	case r.joinedAt.IsZero():
		r.joinedAt = at
	}
	if r.leftAt == nil {
		r.leftAt = map[string]time.Time{}
	}
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m] = true
		r.leftAt[m] = time.Time{}
	}
	r.countsDeparted = false
	for m, leftAt := range r.leftAt {
		switch {
		case present[m]:
			continue
		case leftAt.IsZero():
			// The delay starts now, since the state may have been read long before.
			r.leftAt[m] = at
		case at.Sub(leftAt) >= delay:
			delete(r.leftAt, m)
			continue
		}
		r.countsDeparted = true
		members = append(members, m)
	}
	r.ready = isMember && !r.sharesReleased && at.Sub(r.joinedAt) >= delay
	if !r.ready {
		return nil
	}
	slices.Sort(members)
	return members
}

// sharesStable reports whether the shares cannot change until the state does.
func (r *Router) sharesStable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready && !r.countsDeparted
}
