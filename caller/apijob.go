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
// {"job":"1796361383123-9f2c","kind":"sheet","shape":"4x2@rack"}. Sending the
// same body with the same job id again has no effect.
type JobBody struct {
	Job        string  `json:"job"` // id; default: a new one
	Kind       string  `json:"kind"`
	Shape      string  `json:"shape"`
	Urgent     bool    `json:"urgent"`
	Once       bool    `json:"once"` // non-repeatable: started at most once
	Checkpoint bool    `json:"checkpoint"`
	ExpectedMs int64   `json:"expect"` // expected run time in milliseconds
	Cores      float64 `json:"cores"`  // CPU cores for each accelerator
	Memory     float64 `json:"memory"` // GB for each accelerator
	Input      string  `json:"input"`
}

func (a *API) handleSubmit(w http.ResponseWriter, r *http.Request, account string) {
	body, ok := a.readBody(w, r)
	if !ok {
		return
	}
	defer body.Release()
	var b JobBody
	if err := json.Unmarshal(body.Data, &b); err != nil {
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
	if b.Once && a.refuseNonRepeatable(w, b.Job) {
		return
	}
	ctx, cancel, ok := a.contextWithDeadline(w, r)
	if !ok {
		return
	}
	defer cancel()
	res := a.Jobs.Submit(ctx, record.Submit{
		Job: b.Job, Account: account, Kind: b.Kind, Shape: sh, Urgent: b.Urgent, Once: b.Once, Checkpoint: b.Checkpoint,
		ExpectedMs: b.ExpectedMs, Cores: b.Cores, Memory: b.Memory, Input: b.Input,
	})
	a.writeJobReply(w, b.Job, http.StatusAccepted, res)
}

// maxNonRepeatableAgeMs limits the age of a non-repeatable job's id. It is less
// than the time for which ended jobs are kept, by twice the clock difference
// that the replicated state allows.
const maxNonRepeatableAgeMs = state.JobRetentionMs - 2*state.MaxBatchAgeMs

// refuseNonRepeatable refuses a non-repeatable job if its id does not start with
// its creation time, or is so old that the record of an earlier run may have been
// deleted. It reports whether it sent a response.
func (a *API) refuseNonRepeatable(w http.ResponseWriter, id string) bool {
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
	if age < maxNonRepeatableAgeMs {
		return false
	}
	a.count(route.ReasonExpired)
	writeReply(w, http.StatusConflict, 0, &Reply{Request: id, Outcome: record.RequestUnknown, Reason: string(route.ReasonExpired), Detail: "an earlier run of the id may be forgotten"})
	return true
}

func (a *API) handleCancel(w http.ResponseWriter, r *http.Request, account string) {
	ctx, cancel, ok := a.contextWithDeadline(w, r)
	if !ok {
		return
	}
	defer cancel()
	id := r.PathValue("id")
	a.writeJobReply(w, id, http.StatusOK, a.Jobs.Cancel(ctx, account, id))
}

// handleJob returns the job's status: at once or, with ?wait=MS, when the job has
// an outcome or the time has passed.
func (a *API) handleJob(w http.ResponseWriter, r *http.Request, account string) {
	id := r.PathValue("id")
	var wait time.Duration
	if text := r.URL.Query().Get("wait"); text != "" {
		d, ok := a.parseDeadline(text)
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
		// The job may be in the log, in a part that this instance has not read yet.
		writeReply(w, http.StatusNotFound, 0, &Reply{Request: id, Outcome: record.RequestUnknown, Reason: string(state.ReasonUnknown), Detail: id})
		return
	}
	writeReply(w, http.StatusOK, 0, &Reply{Request: id, Outcome: st.Outcome, Job: &st})
}

// contextWithDeadline returns a context with the caller's deadline. If it returns
// false, it has sent an error response.
func (a *API) contextWithDeadline(w http.ResponseWriter, r *http.Request) (context.Context, context.CancelFunc, bool) {
	d, ok := a.parseDeadline(r.Header.Get("Deadline-Ms"))
	if !ok {
		a.refuse(w, http.StatusBadRequest, route.ReasonField, "Deadline-Ms", 0)
		return nil, nil, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), d)
	return ctx, cancel, true
}

func (a *API) writeJobReply(w http.ResponseWriter, id string, doneStatus int, res JobResult) {
	status := doneStatus
	if res.Outcome != record.RequestDone {
		if res.Outcome == record.RequestNotRun {
			a.count(res.Reason)
		}
		status = jobHTTPStatus(res)
	}
	writeReply(w, status, res.RetryAfter, &Reply{Request: id, Outcome: res.Outcome, Reason: string(res.Reason), Detail: res.Detail, Job: res.Job})
}

func jobHTTPStatus(res JobResult) int {
	switch state.Reason(res.Reason) {
	case state.ReasonExists, state.ReasonPhase:
		return http.StatusConflict
	case state.ReasonImpossible, state.ReasonShare, state.ReasonQuota:
		return http.StatusUnprocessableEntity
	}
	return httpStatus(res.Outcome, res.Reason)
}
