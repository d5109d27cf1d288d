package schedule

import (
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Limits of quarantine.
const (
	maxChangesPerRound    = 4  // changes of condition proposed in one round
	workersPerQuarantined = 20 // at most one worker in this many is quarantined at a time, but always one
)

// Quarantine decides which workers are taken out of service because tasks fail
// on them, and when they are probed, that is, returned to service on probation.
// A worker is quarantined only if several jobs of several accounts failed on it
// while jobs succeed elsewhere, so that one faulty job, or the jobs of one
// account, cannot take workers out of service.
type Quarantine struct {
	MinJobs              int     // jobs that must have failed on the worker; default 3
	MinAccounts          int     // accounts that these jobs must belong to; default 2
	WindowMs             int64   // failures older than this do not count; default 30 min
	MinFailureRatio      float64 // ratio of failed tasks on the worker that must be exceeded; default 0.5
	MaxOtherFailureRatio float64 // the ratio on all other workers must be below this; default 0.25
	ProbeDelayMs         int64   // delay before the first probe, doubled for each further one; default 1 min
	MaxProbeDelayMs      int64   // limit of the delay; default 1 h
}

func (q Quarantine) withDefaults() Quarantine {
	q.MinJobs, q.MinAccounts = orDefault(q.MinJobs, 3), orDefault(q.MinAccounts, 2)
	q.WindowMs = orDefault(q.WindowMs, 30*60_000)
	q.ProbeDelayMs, q.MaxProbeDelayMs = orDefault(q.ProbeDelayMs, 60_000), orDefault(q.MaxProbeDelayMs, 60*60_000)
	if q.MinFailureRatio <= 0 {
		q.MinFailureRatio = 0.5
	}
	if q.MaxOtherFailureRatio <= 0 {
		q.MaxOtherFailureRatio = 0.25
	}
	return q
}

// quarantine selects the workers to quarantine, because jobs of several accounts
// fail on them, and the quarantined workers to probe, after a delay that doubles
// each time. Workers that an operator set aside are not changed. The records are
// proposed at the end of the round because they change blocks.
func (r *round) quarantine() {
	workers, quarantined := 0, 0
	done, failed := 0.0, 0.0 // tasks of all workers in service
	for _, w := range r.state.Workers {
		switch {
		case w.Removed:
			continue
		case w.Condition == record.ConditionAside:
			quarantined++
		default:
			done += float64(w.RecentDone)
			failed += float64(w.RecentFailed)
		}
		workers++
	}
	for _, w := range r.state.Workers {
		if w.Removed || len(r.health) >= maxChangesPerRound {
			continue
		}
		switch w.Condition {
		case record.ConditionReady:
			if len(w.Failures) == 0 || (quarantined+1)*workersPerQuarantined > max(workersPerQuarantined, workers) {
				continue
			}
			if r.Quarantine.IsFaulty(r.state, w, done-float64(w.RecentDone), failed-float64(w.RecentFailed), r.now) {
				quarantined++
				r.changeCondition(w, record.ConditionAside, state.CauseFailures)
			}
		case record.ConditionAside:
			if r.Quarantine.ProbeDue(w, r.now) {
				r.changeCondition(w, record.ConditionReady, "probe")
			}
		}
	}
}

// ProbeDue reports whether a worker that was quarantined for failures is due to
// return to service on probation. The time now is in Unix milliseconds.
func (q Quarantine) ProbeDue(w *state.Worker, now int64) bool {
	q = q.withDefaults()
	if w.Cause != state.CauseFailures {
		return false // set aside by an operator
	}
	delay := q.ProbeDelayMs
	for n := 1; n < int(w.QuarantineCount) && delay < q.MaxProbeDelayMs; n++ {
		delay *= 2
	}
	return now-w.ConditionSince >= min(delay, q.MaxProbeDelayMs)
}

// IsFaulty reports whether the worker rather than its jobs causes the failures.
// The arguments done and failed count the tasks of all other workers in service.
// They leave out quarantined workers, whose failures would hide that tasks
// succeed on the rest.
func (q Quarantine) IsFaulty(s *state.State, w *state.Worker, done, failed float64, now int64) bool {
	q = q.withDefaults()
	jobs, accounts := map[string]bool{}, map[string]bool{}
	succeeded := true // every failed job succeeded on another worker
	for _, f := range w.Failures {
		if f.At < w.ConditionSince || now-f.At > q.WindowMs {
			continue
		}
		j := s.Jobs[f.Job]
		if w.QuarantineCount > 0 && j != nil && failedOnlyOn(j, w) {
			return true // on probation, one failure of a job that failed on no other worker is enough
		}
		jobs[f.Job], accounts[f.Account] = true, true
		succeeded = succeeded && j != nil && j.Phase == state.JobDone
	}
	if len(jobs) < q.MinJobs || len(accounts) < q.MinAccounts {
		return false
	}
	if succeeded {
		return true
	}
	return float64(w.RecentFailed) > q.MinFailureRatio*float64(w.RecentFailed+w.RecentDone) && done > 0 && failed < q.MaxOtherFailureRatio*(done+failed)
}

// failedOnlyOn reports whether the job has failed on no worker other than w.
func failedOnlyOn(j *state.Job, w *state.Worker) bool {
	return !slices.ContainsFunc(j.FailedOn, func(i uint32) bool { return i != w.Index })
}

// changeCondition schedules a change of the worker's condition for the end of
// the round. Until then the worker's accelerators and its blocks are held, so
// that nothing else in the round depends on them.
func (r *round) changeCondition(w *state.Worker, c record.Condition, cause string) {
	r.health = append(r.health, record.Health{Worker: w.Index, Revision: w.Revision, Condition: c, Cause: cause})
	r.hold([]shape.Slot{{Worker: w.Index, Mask: w.All()}})
	for _, b := range w.Blocks {
		r.hold(b.Slots)
	}
}

// proposeConditions proposes the records of the scheduled changes of condition.
func (r *round) proposeConditions() {
	for _, h := range r.health {
		w := r.state.Workers[h.Worker]
		propose(r, record.KindHealth, fmt.Sprintf("health-%s-%d", w.Name, h.Revision), h)
	}
}

// conditionChanges reports whether the worker's condition changes in this round.
func (r *round) conditionChanges(worker uint32) bool {
	return slices.ContainsFunc(r.health, func(h record.Health) bool { return h.Worker == worker })
}
