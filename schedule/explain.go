package schedule

import (
	"errors"
	"fmt"
	"slices"

	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/state"
)

// Cause is the reason why a job does not run.
type Cause string

// Causes of waiting.
const (
	CauseNone    Cause = ""        // the job does not wait
	CauseUnknown Cause = "unknown" // there is no such job
	CauseAccount Cause = "account" // its account was removed
	CauseQuota   Cause = "quota"   // its account would exceed its quota
	CauseSpace   Cause = "space"   // no unit (worker, rack or domain) has enough free adjacent accelerators
	CauseOrder   Cause = "order"   // it fits; jobs ahead of it in the order are placed first
)

// Explanation describes why a job waits and what would have to change for it to
// start.
type Explanation struct {
	Job    string `json:"job"`
	Phase  string `json:"phase"`
	Cause  Cause  `json:"cause"`
	Detail string `json:"detail"`
	Change string `json:"change"` // what would have to change
	Ahead  int    `json:"ahead"`  // waiting jobs before it in the order
	Waited int64  `json:"waited"` // milliseconds since submission
	Start  int64  `json:"start"`  // expected start, Unix milliseconds; 0 if it cannot be estimated
}

// Explain returns why the job waits at the time now, in Unix milliseconds, and
// what would have to change for it to start.
func (c *Scheduler) Explain(s *state.State, job string, now int64) Explanation {
	j := s.Jobs[job]
	if j == nil {
		return Explanation{Job: job, Cause: CauseUnknown, Detail: "no such job", Change: "submit the job"}
	}
	e := Explanation{Job: job, Phase: j.Phase.String(), Detail: j.Cause}
	if j.Phase != state.JobWaiting {
		return e
	}
	e.Waited = now - j.SubmittedAt
	a := s.Accounts[j.Spec.Account]
	if a == nil {
		e.Cause, e.Detail = CauseAccount, "account "+j.Spec.Account+" does not exist"
		e.Change = "publish the account again or cancel the job"
		return e
	}
	e.Ahead = c.ahead(s, j, now)
	n := j.Spec.Shape.TotalGPUs()
	if a.Quota > 0 && a.Used+n > a.Quota {
		e.Cause = CauseQuota
		e.Detail = fmt.Sprintf("account %s uses %d of its quota of %d accelerators", a.Name, a.Used, a.Quota)
		e.Change = fmt.Sprintf("%d accelerators of the account's jobs end, or the quota rises to %d", a.Used+n-a.Quota, a.Used+n)
		return e
	}
	policy := c.Policy
	policy.NowMs = now
	p, err := c.Index.Place(j, policy)
	if err == nil {
		e.Cause, e.Start = CauseOrder, now
		e.Detail = fmt.Sprintf("it fits on %d workers now", len(p.Slots))
		e.Change = "the next round places it after the jobs ahead"
		return e
	}
	e.Cause, e.Detail = CauseSpace, err.Error()
	var noFit *placement.NoFitError
	if errors.As(err, &noFit) {
		e.Detail = noFit.Reason
	}
	return c.explainSpace(s, j, now, e)
}

// explainSpace completes the explanation of a job that does not fit with the
// unit that is expected to be free first.
func (c *Scheduler) explainSpace(s *state.State, j *state.Job, now int64, e Explanation) Explanation {
	d := c.Index.EarliestFit(j, -1, now, func(o *state.Job) int64 { return c.runTimes.estimateEnd(o, now) })
	if d.Slots == nil {
		e.Change = fmt.Sprintf("no %s has %d ready accelerators in members of %d; workers have to return or be added",
			j.Spec.Shape.Level, j.Spec.Shape.TotalGPUs(), j.Spec.Shape.GPUs)
		return e
	}
	e.Start = d.FreeAt
	busy := 0
	for _, sl := range d.Slots {
		busy += (sl.Mask &^ s.Workers[sl.Worker].Free()).Count()
	}
	first := s.Workers[d.Slots[0].Worker]
	e.Change = fmt.Sprintf("%d more accelerators become free near worker %s in rack %s", busy, first.Name, first.Rack.Name)
	if _, ok := c.reservedUnits[j.ID]; ok {
		e.Change += "; they are reserved for it"
	}
	return e
}

// ahead returns the number of waiting jobs before the job in the order.
func (c *Scheduler) ahead(s *state.State, j *state.Job, now int64) int {
	q := newQueue(s, now, orDefault(c.AgeingMs, DefaultAgeingMs), c.Index)
	order := q.remaining()
	return slices.Index(order, j)
}

// remaining removes all remaining jobs from the queue and returns them in order.
func (q *queue) remaining() []*state.Job {
	var out []*state.Job
	for j := q.next(); j != nil; j = q.next() {
		out = append(out, j)
	}
	return out
}
