package schedule

import (
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Rules of quarantine; times are in milliseconds. They are the defaults of
// worker.Quarantine, by which the keeper of a worker proposes the same.
const (
	quarantineJobs     = 3                // different jobs that failed on the worker
	quarantineAccounts = 2                // different accounts of these jobs
	quarantineRatio    = 0.5              // of failures on the worker, with
	fleetRatio         = 0.25             // of failures on all others below this
	quarantineWindow   = int64(30 * 60e3) // in which the jobs failed
	quarantineDelay    = int64(60e3)      // until the first probe; doubles each time
	quarantineMax      = int64(60 * 60e3) // between two probes at most
	quarantineRecords  = 4                // workers a round
	maxAside           = 20               // one worker in so many may be set aside at once
)

// quarantine finds workers that fail the jobs of several accounts, to be set
// aside, and those to be probed after a delay that doubles each time. What an
// operator set aside stays. The records are proposed at the end of the round,
// because they change blocks.
func (r *round) quarantine() {
	workers, aside := 0, 0
	done, failed := 0.0, 0.0 // of all workers in service
	for _, w := range r.state.Workers {
		switch {
		case w.Gone:
			continue
		case w.Condition == record.ConditionAside:
			aside++
		default:
			done += float64(w.Done)
			failed += float64(w.Failed)
		}
		workers++
	}
	for _, w := range r.state.Workers {
		if w.Gone || len(r.health) >= quarantineRecords {
			continue
		}
		switch w.Condition {
		case record.ConditionReady:
			if len(w.Failures) == 0 || (aside+1)*maxAside > max(maxAside, workers) {
				continue
			}
			if r.faulty(w, done-float64(w.Done), failed-float64(w.Failed)) {
				aside++
				r.condition(w, record.ConditionAside, state.CauseFailures)
			}
		case record.ConditionAside:
			if w.Cause == state.CauseFailures && r.now-w.Since >= probeDelay(w) {
				r.condition(w, record.ConditionReady, "probe")
			}
		}
	}
}

// probeDelay returns how long a worker stays aside, in milliseconds.
func probeDelay(w *state.Worker) int64 {
	delay := quarantineDelay
	for n := 1; n < int(w.Strikes) && delay < quarantineMax; n++ {
		delay *= 2
	}
	return min(delay, quarantineMax)
}

// faulty reports whether the worker rather than its jobs is at fault; done and
// failed count the tasks of all other workers in service.
func (r *round) faulty(w *state.Worker, done, failed float64) bool {
	jobs, accounts := map[string]bool{}, map[string]bool{}
	better := true // all of the jobs succeeded elsewhere
	for _, f := range w.Failures {
		if f.At < w.Since || r.now-f.At > quarantineWindow {
			continue
		}
		j := r.state.Jobs[f.Job]
		if w.Strikes > 0 && j != nil && !slices.ContainsFunc(j.FailedOn, func(i uint32) bool { return i != w.Index }) {
			return true // on probation, one failure that is not the job's own is enough
		}
		jobs[f.Job], accounts[f.Account] = true, true
		better = better && j != nil && j.Phase == state.JobDone
	}
	if len(jobs) < quarantineJobs || len(accounts) < quarantineAccounts {
		return false
	}
	return better || float64(w.Failed) > quarantineRatio*float64(w.Failed+w.Done) && done > 0 && failed < fleetRatio*(done+failed)
}

// condition notes a change of the worker's condition for the end of the round.
// Until then its accelerators and the blocks on it are held, so that nothing
// else in the round depends on them.
func (r *round) condition(w *state.Worker, c record.Condition, cause string) {
	r.health = append(r.health, record.Health{Worker: w.Index, Revision: w.Revision, Condition: c, Cause: cause})
	r.hold([]shape.Slot{{Worker: w.Index, Mask: w.All()}})
	for _, b := range w.Blocks {
		r.hold(b.Slots)
	}
}

// conditions proposes the noted changes.
func (r *round) conditions() {
	for _, h := range r.health {
		w := r.state.Workers[h.Worker]
		add(r, record.KindHealth, fmt.Sprintf("health-%s-%d", w.Name, h.Revision), h)
	}
}

// changing reports whether the worker's condition is to change in this round.
func (r *round) changing(worker uint32) bool {
	return slices.ContainsFunc(r.health, func(h record.Health) bool { return h.Worker == worker })
}
