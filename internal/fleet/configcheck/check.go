package configcheck

import (
	"maps"
	"slices"

	"jasminelane.example/lane/internal/fleet/policy"
)

// Bounds are what every instance accepts, whatever the configuration allows.
type Bounds struct {
	HeaderBytes      int   // header of a request
	RecordBytes      int64 // record that one instance sends to another
	BodyBytes        int64 // request bodies above the size of small ones, together, with the least memory
	DefaultBodyBytes int64 // body of a request if the configuration sets no limit
}

// Check returns the faults of a configuration, sorted. If inForce is not nil, it
// adds the differences from that version.
func Check(c, inForce *policy.Config, b Bounds) []Finding {
	var l findings
	l.checkVersion(c, inForce)
	l.checkRoutes(c)
	l.checkServices(c)
	l.checkAccounts(c)
	l.checkLimits(c.Limits, b)
	if inForce != nil {
		l.compare(inForce, c)
	}
	Sort(l)
	return l
}

func (l *findings) checkVersion(c, inForce *policy.Config) {
	switch {
	case c.Version < 0:
		l.add(Error, "version", "%d is negative", c.Version)
	case c.Version == 0:
		l.add(Error, "version", "no version")
	case inForce != nil && c.Version <= inForce.Version:
		l.add(Error, "version", "%d is not higher than %d, which is in force", c.Version, inForce.Version)
	}
}

func (l *findings) checkServices(c *policy.Config) {
	for name := range c.Services {
		if !slices.ContainsFunc(c.Routes, func(r policy.Route) bool { return r.Service == name }) {
			l.add(Warning, "services."+name, "no route leads to this service")
		}
	}
}

func (l *findings) checkAccounts(c *policy.Config) {
	owners := make(map[string]string) // first account by key
	guaranteed := int64(0)
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) {
		a := c.Accounts[name]
		path := "accounts." + name
		l.checkNumbers(number{path + ".guaranteed", float64(a.GuaranteedGPUs)})
		guaranteed += max(a.GuaranteedGPUs, 0)
		if len(a.Keys) == 0 {
			l.add(Warning, path+".keys", "no keys, so no request counts as one of this account")
		}
		shared := make(map[string]bool)
		for _, k := range a.Keys {
			if k == "" {
				l.add(Warning, path+".keys", "an empty key: requests without a key count as requests of this account")
			}
			if owner, ok := owners[k]; !ok {
				owners[k] = name
			} else if owner != name && !shared[owner] {
				shared[owner] = true
				l.add(Error, path+".keys", "a key also belongs to account %q", owner)
			}
		}
	}
	// Guarantees cover jobs of the most urgent priority only.
	urgent := slices.ContainsFunc(c.Routes, func(r policy.Route) bool { return r.Priority == 0 })
	if guaranteed > 0 && !urgent {
		l.add(Warning, "accounts", "%d GPUs are guaranteed, but no service needs them: guarantees cover priority 0, and no route has it", guaranteed)
	}
}

func (l *findings) checkLimits(limits policy.Limits, b Bounds) {
	l.checkNumbers(
		number{"limits.header", float64(limits.MaxHeaderBytes)},
		number{"limits.body", float64(limits.MaxBodyBytes)},
		number{"limits.headertime", float64(limits.HeaderTimeoutMs)},
		number{"limits.idletime", float64(limits.IdleTimeoutMs)},
	)
	if limits.MaxHeaderBytes > b.HeaderBytes {
		l.add(Warning, "limits.header", "%d is above the limit of %d bytes that instances apply", limits.MaxHeaderBytes, b.HeaderBytes)
	}
	body := limits.MaxBodyBytes
	if body <= 0 {
		body = b.DefaultBodyBytes
		l.add(Warning, "limits.body", "no limit, so instances apply %d bytes", body)
	}
	if body > b.RecordBytes {
		l.add(Warning, "limits.body", "%d is above the %d bytes of a record that an instance can forward", body, b.RecordBytes)
	}
	if body > b.BodyBytes {
		l.add(Warning, "limits.body", "%d is above the %d bytes that an instance with little memory holds of all large bodies", body, b.BodyBytes)
	}
	if limits.IdleTimeoutMs > 0 && limits.HeaderTimeoutMs > limits.IdleTimeoutMs {
		l.add(Warning, "limits.headertime", "%d ms is longer than the idle time-out of %d ms", limits.HeaderTimeoutMs, limits.IdleTimeoutMs)
	}
}
