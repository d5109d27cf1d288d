package policy

import (
	"cmp"
	"maps"
	"slices"
)

// Evacuation is an operators' request to start no tasks in a failure domain, or
// the withdrawal of such a request.
type Evacuation struct {
	Domain  string
	Active  bool
	Version uint64 // rises with each request and withdrawal for the domain
}

// ChangeEvacuations applies requests and withdrawals and returns those that were
// newer than what was known of their failure domain.
func (p *Current) ChangeEvacuations(changes []Evacuation) []Evacuation {
	p.evacuationsMu.Lock()
	defer p.evacuationsMu.Unlock()
	known := maps.Clone(p.knownEvacuations())
	if known == nil {
		known = make(map[string]Evacuation)
	}
	var applied []Evacuation
	for _, e := range changes {
		old, ok := known[e.Domain]
		if ok && e.Version <= old.Version {
			continue
		}
		known[e.Domain] = e
		if e.Active != old.Active {
			applied = append(applied, e)
		}
	}
	p.evacuations.Store(&known)
	return applied
}

// ReplaceEvacuations applies a complete list of the requests as of a version: it
// also withdraws every older request that is not listed. It returns what changed.
func (p *Current) ReplaceEvacuations(listed []Evacuation, version uint64) []Evacuation {
	changes := slices.Clone(listed)
	for domain := range p.knownEvacuations() {
		if !slices.ContainsFunc(listed, func(e Evacuation) bool { return e.Domain == domain }) {
			changes = append(changes, Evacuation{Domain: domain, Version: version})
		}
	}
	slices.SortFunc(changes, func(a, b Evacuation) int { return cmp.Compare(a.Domain, b.Domain) })
	return p.ChangeEvacuations(changes)
}

// Evacuated reports whether no tasks may start in the failure domain.
func (p *Current) Evacuated(domain string) bool { return p.knownEvacuations()[domain].Active }

// knownEvacuations returns the newest request or withdrawal of each failure
// domain. The map must not be changed.
func (p *Current) knownEvacuations() map[string]Evacuation {
	if m := p.evacuations.Load(); m != nil {
		return *m
	}
	return nil
}
