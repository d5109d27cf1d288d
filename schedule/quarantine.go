package schedule

import (
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Rules of quarantine; times are in milliseconds.
const (
	quarantineJobs     = 3             // different jobs that failed on the worker
	quarantineAccounts = 2             // different accounts of these jobs
	quarantineRatio    = 0.5           // of failures on the worker, with
	fleetRatio         = 0.25          // of failures on all others at most
	maxAside           = 20            // one worker in so many may be set aside at once
	quarantineRecords  = 4             // workers a round
	quarantineDoubling = 6             // how often the delay doubles
	quarantineWindow   = int64(3600e3) // in which the jobs failed
	quarantineDelay    = int64(300e3)  // until the first probe
	quarantineEvery    = int64(5e3)    // between searches, which read all jobs
)

// suspect is what the scheduler remembers of a worker that it set aside.
type suspect struct {
	strikes int             // how often it was set aside
	jobs    map[string]bool // failures counted before, which do not count again
}

// workerRecord is one worker's results in the window.
type workerRecord struct {
	failed   []*state.Job // that failed there
	done     int          // jobs that finished there
	recovers int          // failed jobs that succeeded elsewhere
}

// quarantine finds workers that fail the jobs of several accounts, to be set
// aside, and those to be returned after a delay that doubles each time. Whether
// a worker was set aside for failures is derived from the jobs, so that any
// instance can return it; what an operator set aside stays. The records are
// proposed at the end of the round, because they change blocks.
func (r *round) quarantine() {
	if r.now < r.searched+quarantineEvery {
		return
	}
	r.searched = r.now
	records := r.results()
	workers, aside, failed, total := 0, 0, 0, 0
	for _, w := range r.state.Workers {
		if w.Gone {
			continue
		}
		workers++
		if w.Condition == record.ConditionAside {
			aside++
		}
		if v := records[w.Index]; v != nil {
			failed += len(v.failed)
			total += len(v.failed) + v.done
		}
	}
	for _, w := range r.state.Workers {
		v := records[w.Index]
		if v == nil || w.Gone || len(r.health) >= quarantineRecords {
			continue
		}
		s := r.suspects[w.Index]
		switch w.Condition {
		case record.ConditionReady:
			others := ratio(failed-len(v.failed), total-len(v.failed)-v.done)
			if !faulty(v, others) || (aside+1)*maxAside > max(maxAside, workers) {
				continue
			}
			aside++
			r.suspect(w, v)
			r.condition(w, record.ConditionAside, fmt.Sprintf("%d jobs failed on it", len(v.failed)))
		case record.ConditionAside:
			delay := quarantineDelay
			if s != nil {
				delay <<= min(quarantineDoubling, s.strikes-1)
			}
			if faulty(v, 0) && r.now-w.Since >= delay {
				r.condition(w, record.ConditionReady, "probed after quarantine")
			}
		}
	}
}

// suspect notes that the worker is set aside for the jobs that failed on it.
func (r *round) suspect(w *state.Worker, v *workerRecord) {
	if r.suspects == nil {
		r.suspects = map[uint32]*suspect{}
	}
	s := r.suspects[w.Index]
	if s == nil {
		s = &suspect{jobs: map[string]bool{}}
		r.suspects[w.Index] = s
	}
	s.strikes++
	for _, j := range v.failed {
		s.jobs[j.ID] = true
	}
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

func ratio(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// faulty reports whether the worker rather than its jobs is at fault; others is the ratio of failures on all other workers.
func faulty(v *workerRecord, others float64) bool {
	accounts := map[string]bool{}
	for _, j := range v.failed {
		accounts[j.Spec.Account] = true
	}
	if len(v.failed) < quarantineJobs || len(accounts) < quarantineAccounts {
		return false
	}
	return v.recovers >= quarantineJobs || ratio(len(v.failed), len(v.failed)+v.done) > quarantineRatio && others < fleetRatio
}

// results collects what happened on each worker in the window before it was
// set aside, or until now.
func (r *round) results() map[uint32]*workerRecord {
	out := map[uint32]*workerRecord{}
	of := func(i uint32) *workerRecord {
		if out[i] == nil {
			out[i] = &workerRecord{}
		}
		return out[i]
	}
	counts := func(j *state.Job, i uint32) bool {
		w := r.state.Workers[i]
		if w.Condition == record.ConditionAside {
			return w.Since-j.Changed <= quarantineWindow
		}
		s := r.suspects[i]
		return r.now-j.Changed <= quarantineWindow && j.Changed > w.Since && (s == nil || !s.jobs[j.ID])
	}
	for _, j := range r.state.Jobs {
		for n, i := range j.FailedOn {
			if slices.Contains(j.FailedOn[:n], i) || !counts(j, i) {
				continue
			}
			v := of(i)
			v.failed = append(v.failed, j)
			if j.Phase == state.JobDone {
				v.recovers++
			}
		}
		if j.Phase == state.JobDone {
			for _, sl := range j.Slots {
				if counts(j, sl.Worker) {
					of(sl.Worker).done++
				}
			}
		}
	}
	return out
}
