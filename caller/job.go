package caller

import (
	"context"
	"time"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
	"jasminelane.example/lane/state"
)

// Jobs submits, shows and cancels jobs through the log. Fields are set before
// use; it is safe for concurrent use.
type Jobs struct {
	View        func(func(*state.State))
	Propose     func(ctx context.Context, recs ...record.Record) ([]state.Decision, error)
	Changed     func() <-chan struct{}
	NotAppended func(error) bool // reports that Propose certainly appended nothing; default never
}

// JobStatus is what callers see of a job. Fate is empty until the job is
// terminal or its fate is unknown: done when it ran to an end, notrun when it
// never started, unknown when it was stopped on the way or lost.
type JobStatus struct {
	Job       string                `json:"job"`
	Phase     string                `json:"phase"`
	Fate      record.RequestOutcome `json:"fate,omitempty"`
	Cause     string                `json:"cause"`
	Kind      string                `json:"kind"`
	Shape     string                `json:"shape"`
	Progress  float64               `json:"progress"`
	Starts    int                   `json:"starts"`
	Submitted int64                 `json:"submitted"` // Unix milliseconds
	Started   int64                 `json:"started,omitempty"`
	Changed   int64                 `json:"changed"`
}

// JobAnswer is what became of a submission or cancellation. FateDone says
// that the log has it, FateNotRun that it never will.
type JobAnswer struct {
	Fate       record.RequestOutcome
	Reason     route.Reason
	Detail     string
	RetryAfter int64 // milliseconds
	Job        *JobStatus
}

// Submit enters the job.
func (j *Jobs) Submit(ctx context.Context, v record.Submit) JobAnswer {
	return j.decide(ctx, record.KindSubmit, v.Job, v.Account, v, func(x *state.Job) bool { return x.Spec == v })
}

// Cancel ends a job of the account.
func (j *Jobs) Cancel(ctx context.Context, account, id string) JobAnswer {
	if _, ok := j.Get(account, id); !ok {
		return JobAnswer{Fate: record.RequestNotRun, Reason: route.Reason(state.ReasonUnknown), Detail: id}
	}
	return j.decide(ctx, record.KindCancel, id, account, record.Cancel{Job: id, By: account},
		func(x *state.Job) bool { return x.Phase == state.JobCancelled })
}

// decide proposes the record until the fold has decided on it. When the
// answer of the log is lost, the state tells what became of the record; both
// kinds may be proposed again without harm.
func (j *Jobs) decide(ctx context.Context, kind record.Kind, id, account string, body any, effective func(*state.Job) bool) JobAnswer {
	rec, err := record.New(kind, id, body)
	if err != nil {
		return JobAnswer{Fate: record.RequestNotRun, Reason: route.ReasonField, Detail: err.Error()}
	}
	maybe := false // the record may be in the log
	for {
		changed := j.Changed()
		out, err := j.Propose(ctx, rec)
		if j.effect(id, effective) {
			return j.done(account, id)
		}
		if err == nil && len(out) == 1 {
			if out[0].Accepted() {
				return j.done(account, id)
			}
			return JobAnswer{Fate: record.RequestNotRun, Reason: route.Reason(out[0].Reason), Detail: out[0].Detail}
		}
		maybe = maybe || j.NotAppended == nil || !j.NotAppended(err)
		t := time.NewTimer(50 * time.Millisecond)
		select {
		case <-changed:
			t.Stop()
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
		switch {
		case j.effect(id, effective):
			return j.done(account, id)
		case ctx.Err() == nil:
		case maybe:
			return JobAnswer{Fate: record.RequestUnknown, Reason: route.ReasonLogDown, RetryAfter: 1000}
		default:
			return JobAnswer{Fate: record.RequestNotRun, Reason: route.ReasonLogDown, RetryAfter: 1000}
		}
	}
}

func (j *Jobs) effect(id string, effective func(*state.Job) bool) (ok bool) {
	j.View(func(s *state.State) {
		x := s.Jobs[id]
		ok = x != nil && effective(x)
	})
	return ok
}

func (j *Jobs) done(account, id string) JobAnswer {
	a := JobAnswer{Fate: record.RequestDone}
	if s, ok := j.Get(account, id); ok {
		a.Job = &s
	}
	return a
}

// Get returns the status of a job of the account.
func (j *Jobs) Get(account, id string) (st JobStatus, ok bool) {
	j.View(func(s *state.State) {
		x := s.Jobs[id]
		if x == nil || x.Spec.Account != account {
			return
		}
		ok = true
		st = JobStatus{
			Job: x.ID, Phase: x.Phase.String(), Fate: jobFate(x), Cause: x.Cause, Kind: x.Spec.Kind,
			Shape: x.Spec.Shape.String(), Progress: x.Progress, Starts: x.Starts,
			Submitted: x.SubmittedAt, Started: x.StartedAt, Changed: x.PhaseChangedAt,
		}
	})
	return st, ok
}

func jobFate(x *state.Job) record.RequestOutcome {
	switch {
	case x.Phase == state.JobDone, x.Phase == state.JobFailed:
		return record.RequestDone
	case x.Phase == state.JobCancelled && x.Starts == 0:
		return record.RequestNotRun
	case x.Phase == state.JobCancelled, x.Phase == state.JobUnknown:
		return record.RequestUnknown
	}
	return ""
}

// Wait returns the status when the job has a fate or ctx ends.
func (j *Jobs) Wait(ctx context.Context, account, id string) (JobStatus, bool) {
	for {
		changed := j.Changed()
		st, ok := j.Get(account, id)
		if !ok || st.Fate != "" {
			return st, ok
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return st, ok
		}
		// Many entries arrive at once; one look serves them all.
		if !pause(ctx, 20) {
			return j.Get(account, id)
		}
	}
}
