package leader

import (
	"slices"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/policy"
)

// withoutUnknownServices returns the entries, with those of an unknown service
// marked as unreadable: they were not written by a worker. All services count as
// known until there is a configuration.
func (l *Leader) withoutUnknownServices(entries []WorkerEntry) []WorkerEntry {
	cfg := l.Policy.Get()
	if cfg == nil {
		return entries
	}
	known := l.knownServices(cfg)
	unknown := make(map[string]string)
	out := slices.Clone(entries)
	for i, e := range entries {
		if known[e.Service] {
			continue
		}
		out[i] = WorkerEntry{ID: e.ID, Unreadable: true}
		if e.Service == "" {
			continue // no entry of the worker was ever readable
		}
		unknown[e.ID] = e.Service
		if l.unknownServices[e.ID] != e.Service {
			l.Logger.Warn("worker's entry names an unknown service; nothing new starts on it", zap.String("worker", e.ID), zap.String("service", e.Service))
		}
	}
	l.unknownServices = unknown
	return out
}

// knownServices returns the services that the configuration or a job names. The
// jobs of a service that was taken out of the configuration still run on it.
func (l *Leader) knownServices(cfg *policy.Config) map[string]bool {
	known := make(map[string]bool)
	for name := range cfg.Services {
		known[name] = true
	}
	for _, r := range cfg.Routes {
		known[r.Service] = true
	}
	l.Feed.View(func(s *ledger.State) {
		for _, js := range s.Jobs {
			known[js.Job.Service] = true
		}
	})
	return known
}
