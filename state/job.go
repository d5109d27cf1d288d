package state

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// Limits of jobs.
const (
	MaxJobs            = 100_000
	MaxFailedWorkers   = 3  // a job that failed on this many different workers ends as failed
	MaxFailedStarts    = 10 // a job with this many failures on any workers ends as failed
	MaxGraceMs         = 30_000
	MaxNameBytes       = 128    // of an id or name
	MaxInputBytes      = 4096   // of a job's input
	maxPerAccelerator  = 1e9    // largest number of cores or GB per accelerator
	maxCauseBytes      = 256    // longer causes are truncated
	maxInternedStrings = 4096   // the table of interned strings is cleared when full
	StartWindowMs      = 30_000 // how long after its start StartingJobs lists a job
)

// submit applies record.Submit: it adds a waiting job.
func (s *State) submit(v record.Submit) (Reason, string) {
	if field := invalidField(v); field != "" {
		return ReasonField, field
	}
	if old := s.Jobs[v.Job]; old != nil {
		if old.Spec == v {
			return "", "" // the same submission again
		}
		return ReasonExists, v.Job
	}
	a := s.Accounts[v.Account]
	if a == nil {
		return ReasonUnknown, v.Account
	}
	if a.Quota > 0 && v.Shape.TotalGPUs() > a.Quota {
		return ReasonQuota, fmt.Sprintf("shape has %d accelerators, quota is %d", v.Shape.TotalGPUs(), a.Quota)
	}
	if reason, detail := s.checkFeasible(v); reason != "" {
		return reason, detail
	}
	if len(s.Jobs) >= MaxJobs {
		return ReasonFull, "jobs"
	}
	// Equal strings share memory, because there are few accounts and kinds.
	v.Account, v.Kind = a.Name, s.intern(v.Kind)
	j := &Job{ID: v.Job, Spec: v, Revision: s.entryToken(), SubmittedAt: s.Now, PhaseChangedAt: s.Now, Cause: "submitted"}
	s.Jobs[v.Job] = j
	s.notifyJob(j)
	return "", ""
}

// invalidField returns the name of the first invalid field, or "".
func invalidField(v record.Submit) string {
	switch {
	case v.Job == "" || len(v.Job) > MaxNameBytes:
		return "job"
	case len(v.Kind) > MaxNameBytes:
		return "kind"
	case len(v.Input) > MaxInputBytes:
		return "input"
	case v.Shape.Members < 1 || v.Shape.Members > shape.MaxMembers || v.Shape.GPUs < 1 || v.Shape.GPUs > shape.MaxGPUs || v.Shape.Level > shape.LevelDomain:
		return "shape"
	case v.ExpectedMs < 0:
		return "expect"
	case !(v.Cores >= 0 && v.Cores <= maxPerAccelerator): // negated, so that NaN is refused too
		return "cores"
	case !(v.Memory >= 0 && v.Memory <= maxPerAccelerator):
		return "memory"
	}
	return ""
}

// checkFeasible returns why no worker, rack or failure domain could run the job
// even if it were empty, or an empty reason.
func (s *State) checkFeasible(v record.Submit) (Reason, string) {
	tooSmallShare := false
	units := 0
	if v.Shape.Level == shape.LevelRack {
		units = len(s.Racks)
	} else if v.Shape.Level == shape.LevelDomain {
		units = len(s.Domains)
	}
	members := make([]int, units)
	for _, w := range s.Workers {
		if w.Removed || w.GPUs < v.Shape.GPUs {
			continue
		}
		n := float64(w.GPUs)
		if v.Cores > w.Cores/n || v.Memory > w.Memory/n {
			tooSmallShare = true
			continue
		}
		m := w.GPUs / v.Shape.GPUs
		switch v.Shape.Level {
		case shape.LevelRack:
			members[w.Rack.Index] += m
			m = members[w.Rack.Index]
		case shape.LevelDomain:
			members[w.Rack.Domain.Index] += m
			m = members[w.Rack.Domain.Index]
		}
		if m >= v.Shape.Members {
			return "", ""
		}
	}
	if tooSmallShare {
		return ReasonShare, "no worker's share of cores and memory for each accelerator is large enough"
	}
	return ReasonImpossible, fmt.Sprintf("no %s can hold %s", v.Shape.Level, v.Shape)
}

// cancel applies record.Cancel: it ends a job that has not ended.
func (s *State) cancel(c record.Cancel) (Reason, string) {
	j := s.Jobs[c.Job]
	if j == nil {
		return ReasonUnknown, c.Job
	}
	// A job in phase JobUnknown may have run; "cancelled" would hide that.
	if j.Phase.Terminal() || j.Phase == JobUnknown {
		return ReasonPhase, j.Phase.String()
	}
	if len(c.By) > MaxNameBytes {
		return ReasonField, "by"
	}
	s.endJob(j, JobCancelled, "cancelled by "+c.By)
	return "", ""
}

// start applies record.Start: it lets a holding job run.
func (s *State) start(v record.Start) (Reason, string) {
	j, reason, detail := s.jobInPhase(v.Job, v.Token, JobHolding)
	if reason != "" {
		return reason, detail
	}
	if len(v.Incarnations) > 0 && len(v.Incarnations) != len(j.Slots) {
		return ReasonField, "boots"
	}
	j.Phase, j.StartedAt, j.Cause = JobRunning, s.Now, "started"
	j.Starts++
	s.jobChanged(j)
	for i, sl := range j.Slots {
		w := s.Workers[sl.Worker]
		t := w.task(j.ID, j.Token)
		t.Phase = TaskRun
		if len(v.Incarnations) > 0 {
			t.Incarnation = v.Incarnations[i]
		}
		s.workerChanged(w)
		// All members hold their accelerators, so the workers have already
		// stopped the tasks that were evicted from them.
		for _, t := range slices.Clone(w.Tasks) {
			if t.Phase == TaskStopping && t.Mask&sl.Mask != 0 && t.Token < j.Token {
				s.finishStop(w, t)
			}
		}
	}
	return "", ""
}

// abort applies record.Abort: it stops a holding job whose start failed.
func (s *State) abort(v record.Abort) (Reason, string) {
	j, reason, detail := s.jobInPhase(v.Job, v.Token, JobHolding)
	if reason != "" {
		return reason, detail
	}
	for _, i := range v.MissingWorkers {
		if w := s.worker(i); w != nil {
			w.LastMissedStart = s.Now
		}
	}
	s.stopJob(j, 0, "start failed: "+truncate(v.Cause))
	return "", ""
}

// preempt applies record.Preempt: it stops a running job that can be started
// again.
func (s *State) preempt(v record.Preempt) (Reason, string) {
	j, reason, detail := s.jobInPhase(v.Job, v.Token, JobRunning)
	if reason != "" {
		return reason, detail
	}
	if j.Spec.Once {
		return ReasonGuarantee, "job is not repeatable"
	}
	if v.GraceMs < 0 || v.GraceMs > MaxGraceMs {
		return ReasonField, "grace"
	}
	s.stopJob(j, v.GraceMs, truncate(v.Cause))
	return "", ""
}

// StartingJobs returns, in no particular order, the holding jobs and those that
// started less than StartWindowMs ago, whose members may not all run yet.
func (s *State) StartingJobs() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for j := range s.startingJobs {
			if s.isStarting(j) && !yield(j) {
				return
			}
		}
	}
}

// isStarting reports whether StartingJobs includes the job.
func (s *State) isStarting(j *Job) bool {
	return j.Phase == JobHolding || j.Phase == JobRunning && s.Now-j.StartedAt < StartWindowMs
}

// jobInPhase returns the job if it has the token and phase, otherwise a reason
// for refusal.
func (s *State) jobInPhase(id string, token uint64, phase JobPhase) (*Job, Reason, string) {
	j := s.Jobs[id]
	switch {
	case j == nil:
		return nil, ReasonUnknown, id
	case j.Token != token:
		return nil, ReasonToken, id
	case j.Phase != phase:
		return nil, ReasonPhase, j.Phase.String()
	}
	return j, "", ""
}

// jobChanged sets the job's revision and time of change and notifies the
// listener.
func (s *State) jobChanged(j *Job) {
	j.Revision = s.entryToken()
	j.PhaseChangedAt = s.Now
	s.notifyJob(j)
}

// notifyJob calls OnJobChange.
func (s *State) notifyJob(j *Job) {
	if s.OnJobChange != nil {
		s.OnJobChange(j)
	}
}

// stopJob stops the job's tasks. The job waits again when all of its workers
// have reported that they have stopped it.
func (s *State) stopJob(j *Job, grace int64, cause string) {
	j.StopProgress = 0
	if j.Phase == JobRunning {
		j.StopProgress = 1
		j.LostMs += s.Now - j.StartedAt // applyStopResult subtracts what a checkpoint keeps
	}
	s.release(j, grace)
	j.Phase, j.Cause = JobStopping, cause
	s.jobChanged(j)
	s.requeueStopped(j)
}

// endJob stops the job's tasks and sets its final phase.
func (s *State) endJob(j *Job, phase JobPhase, cause string) {
	s.release(j, 0)
	j.Phase, j.Cause = phase, cause
	s.jobChanged(j)
}

// release stops or removes the job's tasks and reduces its account's count of
// used accelerators.
func (s *State) release(j *Job, grace int64) {
	if j.Phase == JobHolding || j.Phase == JobRunning {
		if a := s.Accounts[j.Spec.Account]; a != nil {
			a.Used -= j.Spec.Shape.TotalGPUs()
		}
	}
	j.Guaranteed = false
	for _, sl := range j.Slots {
		w := s.Workers[sl.Worker]
		t := w.task(j.ID, j.Token)
		if t == nil {
			continue
		}
		if t.Phase == TaskHold {
			// The worker was never told to run the task and releases the hold for a
			// newer one, so there is no need to wait until it has stopped.
			s.dropTask(w, t)
			j.PendingWorkers--
			continue
		}
		if t.Phase == TaskDone {
			s.dropTask(w, t)
			continue
		}
		t.Phase, t.GraceMs = TaskStopping, grace
		s.workerChanged(w)
	}
}

// finishStop removes a stopping task without using its result. Its job waits
// again if this was the last task.
func (s *State) finishStop(w *Worker, t *Task) {
	s.dropTask(w, t)
	if t.Token != t.Job.Token {
		return
	}
	t.Job.PendingWorkers--
	t.Job.StopProgress = 0 // it is not known whether the task saved a checkpoint
	s.requeueStopped(t.Job)
}

// requeueStopped lets a stopping job without remaining tasks wait again, or ends
// it as failed if it has failed too often.
func (s *State) requeueStopped(j *Job) {
	if j.Phase != JobStopping || j.PendingWorkers > 0 {
		return
	}
	j.PendingWorkers = 0
	j.Slots = nil
	if j.Failures >= MaxFailedStarts || s.failedWorkers(j) >= MaxFailedWorkers {
		s.endJob(j, JobFailed, "poison: "+j.Cause)
		return
	}
	j.Phase = JobWaiting
	s.jobChanged(j)
}

// failedWorkers returns the number of different workers on which the job failed.
// It does not count faulty workers, which fail jobs of other accounts too:
// several faulty workers must not end a job that is not at fault.
func (s *State) failedWorkers(j *Job) int {
	n := 0
	for i, index := range j.FailedOn {
		if !slices.Contains(j.FailedOn[:i], index) && !s.Workers[index].faulty() {
			n++
		}
	}
	return n
}

// intern returns a shared copy of the text.
func (s *State) intern(text string) string {
	if kept, ok := s.interned[text]; ok {
		return kept
	}
	if len(s.interned) >= maxInternedStrings {
		clear(s.interned)
	}
	text = strings.Clone(text) // a substring would keep the whole string in memory
	s.interned[text] = text
	return text
}

// truncate limits the text to maxCauseBytes.
func truncate(text string) string {
	if len(text) <= maxCauseBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxCauseBytes], "")
}

// sweep deletes what is older than its retention.
func (s *State) sweep() {
	s.lastSweep = s.Now
	s.expireLostTasks()
	maps.DeleteFunc(s.startingJobs, func(j *Job, _ struct{}) bool { return !s.isStarting(j) })
	for id, w := range s.Writers {
		if s.Now-w.LastBatchAt > WriterRetentionMs && s.Member(id) == nil {
			delete(s.Writers, id)
		}
	}
	for id, c := range s.Claims {
		at, _ := RequestTime(id)
		if s.Now-at > ClaimRetentionMs && s.Now-c.ClaimedAt > ClaimRetentionMs {
			delete(s.Claims, id)
		}
	}
	for id, j := range s.Jobs {
		if (j.Phase.Terminal() || j.Phase == JobUnknown) && s.Now-j.PhaseChangedAt > JobRetentionMs && !s.hasTasks(j) {
			delete(s.Jobs, id)
		}
	}
}

// hasTasks reports whether a worker still has a task of the job's last placement.
func (s *State) hasTasks(j *Job) bool {
	return slices.ContainsFunc(j.Slots, func(sl shape.Slot) bool {
		return s.Workers[sl.Worker].task(j.ID, j.Token) != nil
	})
}
