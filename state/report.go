package state

import (
	"fmt"

	"jasminelane.example/lane/record"
)

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
		// The negated form also refuses what is not a number.
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
		if s.result(w, res) {
			reason = "" // accepted when at least one result took effect
		} else {
			detail = res.Job
		}
	}
	if reason == "" {
		detail = ""
	}
	return reason, detail
}

func (s *State) result(w *Worker, r record.Result) bool {
	t := w.task(r.Job, r.Token)
	if t == nil {
		return s.lateResult(w, r)
	}
	if t.Phase == TaskDone {
		return false
	}
	j := t.Job
	if t.Phase == TaskStopping {
		s.stopped(w, t, r)
		return true
	}
	switch {
	case r.Outcome == record.RunDone && j.Phase == JobRunning:
		t.Phase = TaskDone
		s.touched(w)
		w.succeeded()
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
		s.failed(w, t)
	default: // stopped by lease, or the worker lost it in a restart
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

// stopped takes the result of a task that was asked to stop.
func (s *State) stopped(w *Worker, t *Task, r record.Result) {
	j := t.Job
	if t.Token != j.Token || j.Phase != JobStopping {
		s.finishStop(w, t)
		s.lateResult(w, r)
		return
	}
	if r.Outcome == record.RunDone && len(j.Slots) == 1 && j.StopProgress == 1 {
		// It was complete before the stop reached the worker.
		s.dropTask(w, t)
		w.succeeded()
		j.PendingWorkers = 0
		j.LostMs = max(0, j.LostMs-r.RanMs)
		s.endJob(j, JobDone, "done")
		j.Progress = 1
		return
	}
	// A gang resumes from the least progress that any of its members kept.
	j.StopProgress = min(j.StopProgress, r.Progress)
	if j.PendingWorkers == 1 && j.Spec.Checkpoint && j.StopProgress > j.Progress {
		j.Progress = j.StopProgress
		j.LostMs = max(0, j.LostMs-r.RanMs)
	}
	s.dropTask(w, t)
	j.PendingWorkers--
	s.settleStop(j)
}

// failed takes a failure of the job on the worker.
func (s *State) failed(w *Worker, t *Task) {
	j := t.Job
	j.Failures++
	j.FailedOn = append(j.FailedOn, w.Index)
	w.failed(j, s.Now)
	s.dropTask(w, t)
	j.PendingWorkers--
	if j.Spec.Once {
		s.endJob(j, JobFailed, "failed on worker "+w.Name)
		return
	}
	s.stopJob(j, 0, "failed on worker "+w.Name)
}

// Wants reports whether a result of the worker would change the state.
func (s *State) AcceptsResult(w *Worker, job string, token uint64, o record.RunOutcome) bool {
	if t := w.task(job, token); t != nil {
		return t.Phase != TaskDone
	}
	return s.wantsLate(w, job, token, o)
}

// lateResult takes the truth about a job that became unknown when its worker
// was lost.
func (s *State) lateResult(w *Worker, r record.Result) bool {
	if !s.wantsLate(w, r.Job, r.Token, r.Outcome) {
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

// wantsLate is limited to jobs on one worker: the end of one member says
// nothing about the rest of a gang.
func (s *State) wantsLate(w *Worker, job string, token uint64, o record.RunOutcome) bool {
	if o != record.RunDone && o != record.RunFailed {
		return false
	}
	j := s.Jobs[job]
	return j != nil && j.Phase == JobUnknown && j.Token == token && len(j.Slots) == 1 && j.Slots[0].Worker == w.Index
}
