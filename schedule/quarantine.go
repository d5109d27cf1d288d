package schedule

import (
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Bounds of quarantine in one round and in all.
const (
	quarantineRecords = 4  // workers a round
	maxAside          = 20 // one worker in so many may be set aside at once
)

// Quarantine decides which workers are set aside because they fail tasks, and
// when they are probed again. Several jobs of several accounts must have
// failed on a worker that do better elsewhere, so one bad job, or the jobs of
// one account, cannot take workers out of service.
type Quarantine struct {
	Jobs     int     // failed jobs, default 3
	Accounts int     // of this many accounts, default 2
	Window   int64   // within this time, milliseconds, default 30 min
	Ratio    float64 // of failures on the worker, default 0.5
	Fleet    float64 // the ratio of all others must be below this, default 0.25
	Probe    int64   // until the first probe, milliseconds, default 1 min; doubles each time
	MaxProbe int64   // between two probes at most, milliseconds, default 1 h
}

func (q Quarantine) withDefaults() Quarantine {
	q.Jobs, q.Accounts = orDefault(q.Jobs, 3), orDefault(q.Accounts, 2)
	q.Window = orDefault(q.Window, 30*60_000)
	q.Probe, q.MaxProbe = orDefault(q.Probe, 60_000), orDefault(q.MaxProbe, 60*60_000)
	if q.Ratio <= 0 {
		q.Ratio = 0.5
	}
	if q.Fleet <= 0 {
		q.Fleet = 0.25
	}
	return q
}

// quarantine finds workers that fail the jobs of several accounts, to be set
// aside, and those to be probed after a delay that doubles each time. What an
// operator set aside stays. The records are proposed at the end of the round,
// because they change blocks.
func (r *round) quarantine() {
	workers, aside := 0, 0
	done, failed := 0.0, 0.0 // of all workers in service
	for _, w := range r.state.Workers {
		switch {
		case w.Removed:
			continue
		case w.Condition == record.ConditionAside:
			aside++
		default:
			done += float64(w.RecentDone)
			failed += float64(w.RecentFailed)
		}
		workers++
	}
	for _, w := range r.state.Workers {
		if w.Removed || len(r.health) >= quarantineRecords {
			continue
		}
		switch w.Condition {
		case record.ConditionReady:
			if len(w.Failures) == 0 || (aside+1)*maxAside > max(maxAside, workers) {
				continue
			}
			if r.Quarantine.Suspect(r.state, w, done-float64(w.RecentDone), failed-float64(w.RecentFailed), r.now) {
				aside++
				r.condition(w, record.ConditionAside, state.CauseFailures)
			}
		case record.ConditionAside:
			if r.Quarantine.Due(w, r.now) {
				r.condition(w, record.ConditionReady, "probe")
			}
		}
	}
}

// Due reports whether a worker that was set aside for failures is to be tried
// again; now is in Unix milliseconds.
func (q Quarantine) Due(w *state.Worker, now int64) bool {
	q = q.withDefaults()
	if w.Cause != state.CauseFailures {
		return false // set aside by an operator
	}
	delay := q.Probe
	for n := 1; n < int(w.QuarantineCount) && delay < q.MaxProbe; n++ {
		delay *= 2
	}
	return now-w.ConditionSince >= min(delay, q.MaxProbe)
}

// Suspect reports whether the worker rather than its jobs is at fault; done and
// failed count the tasks of all other workers in service. Workers that are set
// aside are left out of those, because they would hide that the rest does well.
func (q Quarantine) Suspect(s *state.State, w *state.Worker, done, failed float64, now int64) bool {
	q = q.withDefaults()
	jobs, accounts := map[string]bool{}, map[string]bool{}
	better := true // all of the jobs succeeded elsewhere
	for _, f := range w.Failures {
		if f.At < w.ConditionSince || now-f.At > q.Window {
			continue
		}
		j := s.Jobs[f.Job]
		if w.QuarantineCount > 0 && j != nil && onlyHere(j, w) {
			return true // on probation, one failure that is not the job's own is enough
		}
		jobs[f.Job], accounts[f.Account] = true, true
		better = better && j != nil && j.Phase == state.JobDone
	}
	if len(jobs) < q.Jobs || len(accounts) < q.Accounts {
		return false
	}
	if better {
		return true
	}
	return float64(w.RecentFailed) > q.Ratio*float64(w.RecentFailed+w.RecentDone) && done > 0 && failed < q.Fleet*(done+failed)
}

// onlyHere reports whether the job has failed on no other worker.
func onlyHere(j *state.Job, w *state.Worker) bool {
	return !slices.ContainsFunc(j.FailedOn, func(i uint32) bool { return i != w.Index })
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
