package state

import (
	"fmt"

	"jasminelane.example/lane/record"
)

// report applies record.Report: it applies the results of one worker.
func (s *State) report(r record.Report) (Reason, string) {
	w := s.worker(r.Worker)
	if w == nil {
		return ReasonUnknown, fmt.Sprint(r.Worker)
	}
	for i, res := range r.Results {
		switch res.Outcome {
		case record.RunDone, record.RunFailed, record.RunStopped, record.RunAbsent:
		default:
			return ReasonField, fmt.Sprintf("results[%d].out", i)
		}
		// Negated, so that NaN is refused too.
		if !(res.Progress >= 0 && res.Progress <= 1) {
			return ReasonField, fmt.Sprintf("results[%d].progress", i)
		}
		if res.RanMs < 0 {
			return ReasonField, fmt.Sprintf("results[%d].ran", i)
		}
	}
	reason := ReasonToken
	var detail string
	for _, res := range r.Results {
		if s.applyResult(w, res) {
			reason = "" // accepted if at least one result took effect
		} else {
			detail = res.Job
		}
	}
	if reason == "" {
		detail = ""
	}
	return reason, detail
}

// applyResult applies one result and reports whether it took effect.
func (s *State) applyResult(w *Worker, r record.Result) bool {
	t := w.task(r.Job, r.Token)
	if t == nil {
		return s.applyLateResult(w, r)
	}
	if t.Phase == TaskDone {
		return false
	}
	j := t.Job
	if t.Phase == TaskStopping {
		s.applyStopResult(w, t, r)
		return true
	}
	switch {
	case r.Outcome == record.RunDone && j.Phase == JobRunning:
		t.Phase = TaskDone
		s.workerChanged(w)
		w.recordSuccess()
		j.PendingWorkers--
		if j.PendingWorkers == 0 {
			s.endJob(j, JobDone, "done")
			j.Progress = 1
		}
	case j.Phase == JobHolding:
		s.dropTask(w, t)
		j.PendingWorkers--
		s.stopJob(j, 0, "worker "+w.Name+" released its hold")
	case r.Outcome == record.RunFailed:
		s.applyFailure(w, t)
	default: // the lease expired, or the worker lost the task in a restart
		s.dropTask(w, t)
		j.PendingWorkers--
		if j.Spec.Once {
			s.endJob(j, JobUnknown, "worker "+w.Name+" stopped it")
		} else {
			s.stopJob(j, 0, "worker "+w.Name+" stopped it")
		}
	}
	return true
}

// applyStopResult applies the result of a stopping task.
func (s *State) applyStopResult(w *Worker, t *Task, r record.Result) {
	j := t.Job
	if t.Token != j.Token || j.Phase != JobStopping {
		s.finishStop(w, t)
		s.applyLateResult(w, r)
		return
	}
	if r.Outcome == record.RunDone && len(j.Slots) == 1 && j.StopProgress == 1 {
		// The job ended before the request to stop reached the worker.
		s.dropTask(w, t)
		w.recordSuccess()
		j.PendingWorkers = 0
		j.LostMs = max(0, j.LostMs-r.RanMs)
		s.endJob(j, JobDone, "done")
		j.Progress = 1
		return
	}
	// A gang resumes from the lowest progress that any of its workers saved.
	j.StopProgress = min(j.StopProgress, r.Progress)
	if j.PendingWorkers == 1 && j.Spec.Checkpoint && j.StopProgress > j.Progress {
		j.Progress = j.StopProgress
		j.LostMs = max(0, j.LostMs-r.RanMs)
	}
	s.dropTask(w, t)
	j.PendingWorkers--
	s.requeueStopped(j)
}

// applyFailure applies a failure of the job on the worker.
func (s *State) applyFailure(w *Worker, t *Task) {
	j := t.Job
	j.Failures++
	j.FailedOn = append(j.FailedOn, w.Index)
	w.recordFailure(j, s.Now)
	s.dropTask(w, t)
	j.PendingWorkers--
	if j.Spec.Once {
		s.endJob(j, JobFailed, "failed on worker "+w.Name)
		return
	}
	s.stopJob(j, 0, "failed on worker "+w.Name)
}

// AcceptsResult reports whether a result of the worker would change the state.
func (s *State) AcceptsResult(w *Worker, job string, token uint64, o record.RunOutcome) bool {
	if t := w.task(job, token); t != nil {
		return t.Phase != TaskDone
	}
	return s.acceptsLateResult(w, job, token, o)
}

// applyLateResult applies a result that arrives for a job in phase JobUnknown,
// for example after its lost worker has returned. It reports whether the result
// took effect.
func (s *State) applyLateResult(w *Worker, r record.Result) bool {
	if !s.acceptsLateResult(w, r.Job, r.Token, r.Outcome) {
		return false
	}
	j := s.Jobs[r.Job]
	if r.Outcome == record.RunFailed {
		s.endJob(j, JobFailed, "failed, learned from worker "+w.Name)
		return true
	}
	s.endJob(j, JobDone, "done, learned from worker "+w.Name)
	j.Progress = 1
	return true
}

// acceptsLateResult reports whether applyLateResult would accept the result. It
// accepts only jobs on a single worker, because the result of one worker does
// not tell how the rest of a gang ended.
func (s *State) acceptsLateResult(w *Worker, job string, token uint64, o record.RunOutcome) bool {
	if o != record.RunDone && o != record.RunFailed {
		return false
	}
	j := s.Jobs[job]
	return j != nil && j.Phase == JobUnknown && j.Token == token && len(j.Slots) == 1 && j.Slots[0].Worker == w.Index
}
