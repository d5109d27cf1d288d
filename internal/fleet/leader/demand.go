package leader

import (
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

// urgentDemand records the demand of the most urgent work, waiting and running, and
// returns its history by service. Work that is being stopped does not count. The
// caller holds the feed's lock and l.mu.
func (l *Leader) urgentDemand(in plan.Input, s *ledger.State) map[string]*plan.DemandHistory {
	demand := make(map[string]plan.Resources)
	for _, u := range in.Waiting {
		if u.Priority == 0 {
			demand[u.Service] = demand[u.Service].Add(u.Need.Mul(int64(u.Width)))
		}
	}
	for _, v := range in.Running {
		if v.Priority == 0 && !v.Stopping {
			service := s.Jobs[v.ID.Job].Job.Service
			demand[service] = demand[service].Add(v.Need.Mul(int64(len(v.Workers))))
		}
	}
	for service := range demand {
		if l.urgent[service] == nil {
			l.urgent[service] = &plan.DemandHistory{}
		}
	}
	for service, h := range l.urgent {
		h.Add(in.Now, demand[service])
	}
	return l.urgent
}
