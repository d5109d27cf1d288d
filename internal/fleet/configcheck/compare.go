package configcheck

import (
	"slices"

	"jasminelane.example/lane/internal/fleet/policy"
)

// compare adds the differences between two versions. API keys are only counted.
func (l *findings) compare(old, c *policy.Config) {
	compareEntries(l, "routes.", routesByName(old), routesByName(c), func(a, b policy.Route) bool { return a == b })
	compareEntries(l, "services.", old.Services, c.Services, func(a, b policy.Service) bool { return a == b })
	compareEntries(l, "accounts.", old.Accounts, c.Accounts, func(a, b policy.Account) bool { return a.GuaranteedGPUs == b.GuaranteedGPUs })
	for name, a := range c.Accounts {
		before, ok := old.Accounts[name]
		if added, removed := missing(before.Keys, a.Keys), missing(a.Keys, before.Keys); ok && added+removed > 0 {
			l.add(Change, "accounts."+name+".keys", "%d added, %d removed", added, removed)
		}
	}
	for _, n := range []struct {
		path   string
		before int64
		after  int64
	}{
		{"limits.header", int64(old.Limits.MaxHeaderBytes), int64(c.Limits.MaxHeaderBytes)},
		{"limits.body", old.Limits.MaxBodyBytes, c.Limits.MaxBodyBytes},
		{"limits.headertime", old.Limits.HeaderTimeoutMs, c.Limits.HeaderTimeoutMs},
		{"limits.idletime", old.Limits.IdleTimeoutMs, c.Limits.IdleTimeoutMs},
	} {
		if n.before != n.after {
			l.add(Change, n.path, "from %d to %d", n.before, n.after)
		}
	}
}

// compareEntries adds the entries that only one version has, and those that differ.
func compareEntries[T any](l *findings, path string, old, entries map[string]T, equal func(a, b T) bool) {
	for name, b := range entries {
		if a, ok := old[name]; !ok {
			l.add(Change, path+name, "added")
		} else if !equal(a, b) {
			l.add(Change, path+name, "changed")
		}
	}
	for name := range old {
		if _, ok := entries[name]; !ok {
			l.add(Change, path+name, "removed")
		}
	}
}

func routesByName(c *policy.Config) map[string]policy.Route {
	out := make(map[string]policy.Route, len(c.Routes))
	for _, r := range c.Routes {
		out[r.Name] = r
	}
	return out
}

// missing returns the number of different keys of the second list that the first
// one lacks.
func missing(have, keys []string) int {
	lacking := make(map[string]bool)
	for _, k := range keys {
		if !slices.Contains(have, k) {
			lacking[k] = true
		}
	}
	return len(lacking)
}
