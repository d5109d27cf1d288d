package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// JobBody is the body of POST /v1/jobs, for example
// {"job":"1796361383123-9f2c","kind":"sheet","shape":"4x2@rack"}. Resending
// the same body with the same job is harmless.
type JobBody struct {
	Job        string  `json:"job"` // default: a new id
	Kind       string  `json:"kind"`
	Shape      string  `json:"shape"`
	Urgent     bool    `json:"urgent"`
	Once       bool    `json:"once"`
	Checkpoint bool    `json:"checkpoint"`
	Expect     int64   `json:"expect"` // milliseconds
	Cores      float64 `json:"cores"`  // for each accelerator
	Memory     float64 `json:"memory"` // for each accelerator, GB
	Input      string  `json:"input"`
}

func (a *API) submit(w http.ResponseWriter, r *http.Request, account string) {
	data, ok := a.body(w, r)
	if !ok {
		return
	}
	var b JobBody
	if err := json.Unmarshal(data, &b); err != nil {
		a.refuse(w, http.StatusBadRequest, route.ReasonField, err.Error(), 0)
		return
	}
	sh, err := shape.Parse(b.Shape)
	if err != nil {
		a.refuse(w, http.StatusBadRequest, route.ReasonField, err.Error(), 0)
		return
	}
	if b.Job == "" {
		b.Job = newID()
	}
	if !validName(b.Job, 128) {
		a.refuse(w, http.StatusBadRequest, route.ReasonField, "job", 0)
		return
	}
	if b.Once && a.refuseOnce(w, b.Job) {
		return
	}
	ctx, cancel, ok := a.jobContext(w, r)
	if !ok {
		return
	}
	defer cancel()
	ans := a.Jobs.Submit(ctx, record.Submit{
		Job: b.Job, Account: account, Kind: b.Kind, Shape: sh, Urgent: b.Urgent, Once: b.Once, Checkpoint: b.Checkpoint,
		ExpectedMs: b.Expect, Cores: b.Cores, Memory: b.Memory, Input: b.Input,
	})
	a.jobReply(w, b.Job, http.StatusAccepted, ans)
}

// onceAge is how old the id of a non-repeatable job may be: less than ended jobs
// are kept, by twice the difference that the fold allows between clocks.
const onceAge = state.JobRetentionMs - 2*state.MaxBatchAgeMs // milliseconds

// refuseOnce answers a non-repeatable job whose id does not start with its
// creation time, or is so old that an earlier run of it may be forgotten.
func (a *API) refuseOnce(w http.ResponseWriter, id string) bool {
	at, ok := state.RequestTime(id)
	if !ok {
		a.refuse(w, http.StatusBadRequest, route.ReasonField, "job: a non-repeatable job's id starts with its creation time, as in 1796361383123-9f2c", 0)
		return true
	}
	age := time.Now().UnixMilli() - at
	if age < -state.MaxBatchAgeMs {
		a.refuse(w, http.StatusBadRequest, route.ReasonField, "job: its creation time lies ahead", 0)
		return true
	}
	if age < onceAge {
		return false
	}
	a.count(route.ReasonExpired)
	reply(w, http.StatusConflict, 0, &Reply{Request: id, Fate: record.RequestUnknown, Reason: string(route.ReasonExpired), Detail: "an earlier run of the id may be forgotten"})
	return true
}

func (a *API) cancel(w http.ResponseWriter, r *http.Request, account string) {
	ctx, cancel, ok := a.jobContext(w, r)
	if !ok {
		return
	}
	defer cancel()
	id := r.PathValue("id")
	a.jobReply(w, id, http.StatusOK, a.Jobs.Cancel(ctx, account, id))
}

// job answers the status at once or, with ?wait=MS, when the job has a fate
// or the time is over.
func (a *API) job(w http.ResponseWriter, r *http.Request, account string) {
	id := r.PathValue("id")
	var wait time.Duration
	if text := r.URL.Query().Get("wait"); text != "" {
		d, ok := a.deadline(text)
		if !ok {
			a.refuse(w, http.StatusBadRequest, route.ReasonField, "wait", 0)
			return
		}
		wait = d
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	st, ok := a.Jobs.Wait(ctx, account, id)
	if !ok {
		// Not in this instance's state: it may be in the log and not yet read.
		reply(w, http.StatusNotFound, 0, &Reply{Request: id, Fate: record.RequestUnknown, Reason: string(state.ReasonUnknown), Detail: id})
		return
	}
	reply(w, http.StatusOK, 0, &Reply{Request: id, Fate: st.Fate, Job: &st})
}

// jobContext applies the caller's deadline.
func (a *API) jobContext(w http.ResponseWriter, r *http.Request) (context.Context, context.CancelFunc, bool) {
	d, ok := a.deadline(r.Header.Get("Deadline-Ms"))
	if !ok {
		a.refuse(w, http.StatusBadRequest, route.ReasonField, "Deadline-Ms", 0)
		return nil, nil, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), d)
	return ctx, cancel, true
}

func (a *API) jobReply(w http.ResponseWriter, id string, done int, ans JobAnswer) {
	status := done
	if ans.Fate != record.RequestDone {
		if ans.Fate == record.RequestNotRun {
			a.count(ans.Reason)
		}
		status = jobCode(ans)
	}
	reply(w, status, ans.RetryAfter, &Reply{Request: id, Fate: ans.Fate, Reason: string(ans.Reason), Detail: ans.Detail, Job: ans.Job})
}

func jobCode(ans JobAnswer) int {
	switch state.Reason(ans.Reason) {
	case state.ReasonExists, state.ReasonPhase:
		return http.StatusConflict
	case state.ReasonImpossible, state.ReasonShare, state.ReasonQuota:
		return http.StatusUnprocessableEntity
	}
	return code(ans.Fate, ans.Reason)
}
