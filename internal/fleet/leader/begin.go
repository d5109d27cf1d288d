package leader

import "jasminelane.example/lane/internal/fleet/ledger"

// noteBegun notes that a task of the job has begun: its worker has accepted or reported it.
// It returns the record that stores this, once per job. The caller holds l.mu.
func (l *Leader) noteBegun(job string) []ledger.Record {
	if l.begun[job] {
		return nil
	}
	l.begun[job] = true
	return []ledger.Record{{Begin: &ledger.Begin{Epoch: l.Epoch, Job: job}}}
}

// inheritBegun notes a job that has begun under an earlier leader. The caller holds l.mu.
func (l *Leader) inheritBegun(js *ledger.JobState) {
	if js.Phase == ledger.Running {
		l.begun[js.Job.ID] = true
	}
}

// forgetBegun forgets the jobs that have ended. The caller holds the feed's lock and l.mu.
func (l *Leader) forgetBegun(s *ledger.State) {
	for job := range l.begun {
		if js := s.Jobs[job]; js == nil || js.Phase.Final() {
			delete(l.begun, job)
		}
	}
}
