package caller

import (
	"context"
	"time"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
	"jasminelane.example/lane/state"
)

// Jobs submits and cancels jobs through the log and returns their status. Its
// fields must be set before use. It is safe for concurrent use.
type Jobs struct {
	View        func(func(*state.State))
	Propose     func(ctx context.Context, recs ...record.Record) ([]state.Decision, error)
	Changed     func() <-chan struct{}
	NotAppended func(error) bool // reports whether Propose certainly appended nothing; default: always false
}

// JobStatus is a job's status as callers see it. Outcome is empty until the job
// is in a terminal phase or its outcome is unknown. It is done if the job ran to
// its end, notrun if the job never started, and unknown if the job was stopped
// while it ran or was lost.
type JobStatus struct {
	Job            string                `json:"job"`
	Phase          string                `json:"phase"`
	Outcome        record.RequestOutcome `json:"fate,omitempty"`
	Cause          string                `json:"cause"`
	Kind           string                `json:"kind"`
	Shape          string                `json:"shape"`
	Progress       float64               `json:"progress"`
	Starts         int                   `json:"starts"`
	SubmittedAt    int64                 `json:"submitted"` // Unix milliseconds
	StartedAt      int64                 `json:"started,omitempty"`
	PhaseChangedAt int64                 `json:"changed"`
}

// JobResult is what became of a submission or cancellation. The outcome
// RequestDone means that its record is in the log, RequestNotRun that it will
// never take effect.
type JobResult struct {
	Outcome    record.RequestOutcome
	Reason     route.Reason
	Detail     string
	RetryAfter int64 // milliseconds
	Job        *JobStatus
}

// Submit submits the job. Submitting the same specification again has no effect.
func (j *Jobs) Submit(ctx context.Context, v record.Submit) JobResult {
	return j.decide(ctx, record.KindSubmit, v.Job, v.Account, v, func(x *state.Job) bool { return x.Spec == v })
}

// Cancel cancels a job of the account.
func (j *Jobs) Cancel(ctx context.Context, account, id string) JobResult {
	if _, ok := j.Get(account, id); !ok {
		return JobResult{Outcome: record.RequestNotRun, Reason: route.Reason(state.ReasonUnknown), Detail: id}
	}
	return j.decide(ctx, record.KindCancel, id, account, record.Cancel{Job: id, By: account},
		func(x *state.Job) bool { return x.Phase == state.JobCancelled })
}

// decide proposes the record until the replicated state has accepted or refused
// it. If the response of the log is lost, the state shows whether the record
// took effect. Records of both kinds may be proposed again without harm.
func (j *Jobs) decide(ctx context.Context, kind record.Kind, id, account string, body any, effective func(*state.Job) bool) JobResult {
	rec, err := record.New(kind, id, body)
	if err != nil {
		return JobResult{Outcome: record.RequestNotRun, Reason: route.ReasonField, Detail: err.Error()}
	}
	mayBeAppended := false // the record may be in the log
	for {
		changed := j.Changed()
		out, err := j.Propose(ctx, rec)
		if j.hasEffect(id, effective) {
			return j.doneResult(account, id)
		}
		if err == nil && len(out) == 1 {
			if out[0].Accepted() {
				return j.doneResult(account, id)
			}
			return JobResult{Outcome: record.RequestNotRun, Reason: route.Reason(out[0].Reason), Detail: out[0].Detail}
		}
		mayBeAppended = mayBeAppended || j.NotAppended == nil || !j.NotAppended(err)
		t := time.NewTimer(50 * time.Millisecond)
		select {
		case <-changed:
			t.Stop()
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
		switch {
		case j.hasEffect(id, effective):
			return j.doneResult(account, id)
		case ctx.Err() == nil:
		case mayBeAppended:
			return JobResult{Outcome: record.RequestUnknown, Reason: route.ReasonLogDown, RetryAfter: 1000}
		default:
			return JobResult{Outcome: record.RequestNotRun, Reason: route.ReasonLogDown, RetryAfter: 1000}
		}
	}
}

func (j *Jobs) hasEffect(id string, effective func(*state.Job) bool) (ok bool) {
	j.View(func(s *state.State) {
		x := s.Jobs[id]
		ok = x != nil && effective(x)
	})
	return ok
}

func (j *Jobs) doneResult(account, id string) JobResult {
	a := JobResult{Outcome: record.RequestDone}
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
			Job: x.ID, Phase: x.Phase.String(), Outcome: jobOutcome(x), Cause: x.Cause, Kind: x.Spec.Kind,
			Shape: x.Spec.Shape.String(), Progress: x.Progress, Starts: x.Starts,
			SubmittedAt: x.SubmittedAt, StartedAt: x.StartedAt, PhaseChangedAt: x.PhaseChangedAt,
		}
	})
	return st, ok
}

func jobOutcome(x *state.Job) record.RequestOutcome {
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

// Wait returns the status once the job has an outcome or ctx ends.
func (j *Jobs) Wait(ctx context.Context, account, id string) (JobStatus, bool) {
	for {
		changed := j.Changed()
		st, ok := j.Get(account, id)
		if !ok || st.Outcome != "" {
			return st, ok
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return st, ok
		}
		// Log entries arrive in bursts; the delay handles a burst with one check.
		if !pause(ctx, 20) {
			return j.Get(account, id)
		}
	}
}
