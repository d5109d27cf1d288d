package worker

import (
	"slices"
	"time"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// Quarantine decides from the state which workers are set aside because they
// fail tasks, and when they are probed again. Several jobs of several accounts
// must have failed on a worker that do better elsewhere, so one bad job, or
// the jobs of one account, cannot take workers out of service.
type Quarantine struct {
	Jobs     int           // failed jobs, default 3
	Accounts int           // of this many accounts, default 2
	Window   time.Duration // within this time, default 30 min
	Ratio    float64       // of failures on the worker, default 0.5
	Fleet    float64       // the ratio of all others must be below this, default 0.25
	Probe    time.Duration // until the first probe, default 1 min; doubles each time
	MaxProbe time.Duration // between two probes at most, default 1 h
	Most     int           // one worker in so many may be set aside at once, default 20
}

func (q *Quarantine) defaults() {
	if q.Jobs == 0 {
		q.Jobs = 3
	}
	if q.Accounts == 0 {
		q.Accounts = 2
	}
	if q.Window == 0 {
		q.Window = 30 * time.Minute
	}
	if q.Ratio == 0 {
		q.Ratio = 0.5
	}
	if q.Fleet == 0 {
		q.Fleet = 0.25
	}
	if q.Probe == 0 {
		q.Probe = time.Minute
	}
	if q.MaxProbe == 0 {
		q.MaxProbe = time.Hour
	}
	if q.Most == 0 {
		q.Most = 20
	}
}

// Suspect reports whether the worker is to be set aside. Keepers that decide
// at the same time may exceed the limit of workers aside.
func (q *Quarantine) Suspect(s *state.State, w *state.Worker) bool {
	q.defaults()
	return len(w.Failures) > 0 && q.faulty(s, w) && q.room(s)
}

// room reports whether one more worker may be set aside.
func (q *Quarantine) room(s *state.State) bool {
	workers, aside := 0, 0
	for _, w := range s.Workers {
		if w.Gone {
			continue
		}
		workers++
		if w.Condition == record.ConditionAside {
			aside++
		}
	}
	return (aside+1)*q.Most <= max(q.Most, workers)
}

// faulty reports whether the worker rather than its jobs is at fault.
func (q *Quarantine) faulty(s *state.State, w *state.Worker) bool {
	var jobs, accounts []string
	better := true // all of the jobs succeeded elsewhere
	for _, f := range w.Failures {
		if f.At < w.Since || s.Now-f.At > q.Window.Milliseconds() {
			continue
		}
		j := s.Jobs[f.Job]
		if w.Strikes > 0 && j != nil && onlyHere(j, w) {
			return true // on probation, one failure that is not the job's own is enough
		}
		if !slices.Contains(jobs, f.Job) {
			jobs = append(jobs, f.Job)
		}
		if !slices.Contains(accounts, f.Account) {
			accounts = append(accounts, f.Account)
		}
		better = better && j != nil && j.Phase == state.JobDone
	}
	if len(jobs) < q.Jobs || len(accounts) < q.Accounts {
		return false
	}
	if better {
		return true
	}
	if float64(w.Failed) <= q.Ratio*float64(w.Failed+w.Done) {
		return false
	}
	return q.healthy(s, w)
}

// onlyHere reports whether the job has failed on no other worker.
func onlyHere(j *state.Job, w *state.Worker) bool {
	return !slices.ContainsFunc(j.FailedOn, func(i uint32) bool { return i != w.Index })
}

// healthy reports whether the other workers fail few of their tasks. Workers
// that are set aside are left out, because they would hide that the rest does
// well.
func (q *Quarantine) healthy(s *state.State, except *state.Worker) bool {
	var done, failed float64
	for _, w := range s.Workers {
		if w != except && w.Condition != record.ConditionAside {
			done += float64(w.Done)
			failed += float64(w.Failed)
		}
	}
	return done > 0 && failed < q.Fleet*(done+failed)
}

// Due reports whether a worker that was set aside for failures is to be
// tried again.
func (q *Quarantine) Due(s *state.State, w *state.Worker) bool {
	q.defaults()
	if w.Cause != state.CauseFailures {
		return false // set aside by an operator
	}
	delay := q.MaxProbe
	if n := max(1, w.Strikes) - 1; n < 20 {
		delay = min(delay, q.Probe<<n)
	}
	return s.Now-w.Since >= delay.Milliseconds()
}
