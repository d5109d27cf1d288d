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
	MaxJobs          = 100_000
	MaxFailedWorkers = 3  // a job that failed on this many different workers is failed
	MaxFailedStarts  = 10 // a job that failed this often is failed, on whatever workers
	MaxGraceMs       = 30_000
	MaxNameBytes     = 128    // bytes of an id or name
	MaxInputBytes    = 4096   // bytes of a job's input
	maxAmount        = 1e9    // cores or GB for each accelerator
	maxCause         = 256    // bytes of a cause that are kept
	maxInterned      = 4096   // strings in the table; it is emptied when full
	StartWindowMs    = 30_000 // milliseconds after a start in which Starting lists the job
)

func (s *State) submit(v record.Submit) (Reason, string) {
	if field := badField(v); field != "" {
		return ReasonField, field
	}
	if old := s.Jobs[v.Job]; old != nil {
		if old.Spec == v {
			return "", "" // a repeated submission is the same job
		}
		return ReasonExists, v.Job
	}
	a := s.Accounts[v.Account]
	if a == nil {
		return ReasonUnknown, v.Account
	}
	if a.Quota > 0 && v.Shape.Total() > a.Quota {
		return ReasonQuota, fmt.Sprintf("shape has %d accelerators, quota is %d", v.Shape.Total(), a.Quota)
	}
	if reason, detail := s.possible(v); reason != "" {
		return reason, detail
	}
	if len(s.Jobs) >= MaxJobs {
		return ReasonFull, "jobs"
	}
	// Equal strings share memory; there are few accounts and kinds.
	v.Account, v.Kind = a.Name, s.intern(v.Kind)
	j := &Job{ID: v.Job, Spec: v, Revision: s.token(), SubmittedAt: s.Now, PhaseChangedAt: s.Now, Cause: "submitted"}
	s.Jobs[v.Job] = j
	s.jobMoved(j)
	return "", ""
}

// badField returns the name of the first field that is not valid, or "".
func badField(v record.Submit) string {
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
	case !(v.Cores >= 0 && v.Cores <= maxAmount): // the negated form also refuses what is not a number
		return "cores"
	case !(v.Memory >= 0 && v.Memory <= maxAmount):
		return "memory"
	}
	return ""
}

// possible reports whether some unit could run the job if it were empty.
func (s *State) possible(v record.Submit) (Reason, string) {
	share := false
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
			share = true
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
	if share {
		return ReasonShare, "no worker's share of cores and memory for each accelerator is large enough"
	}
	return ReasonImpossible, fmt.Sprintf("no %s can hold %s", v.Shape.Level, v.Shape)
}

func (s *State) cancel(c record.Cancel) (Reason, string) {
	j := s.Jobs[c.Job]
	if j == nil {
		return ReasonUnknown, c.Job
	}
	// An unknown job may have run, which a cancellation must not hide.
	if j.Phase.Terminal() || j.Phase == JobUnknown {
		return ReasonPhase, j.Phase.String()
	}
	if len(c.By) > MaxNameBytes {
		return ReasonField, "by"
	}
	s.endJob(j, JobCancelled, "cancelled by "+c.By)
	return "", ""
}

func (s *State) start(v record.Start) (Reason, string) {
	j, reason, detail := s.placed(v.Job, v.Token, JobHolding)
	if reason != "" {
		return reason, detail
	}
	if len(v.Incarnations) > 0 && len(v.Incarnations) != len(j.Slots) {
		return ReasonField, "boots"
	}
	j.Phase, j.StartedAt, j.Cause = JobRunning, s.Now, "started"
	j.Starts++
	s.touch(j)
	for i, sl := range j.Slots {
		w := s.Workers[sl.Worker]
		t := w.task(j.ID, j.Token)
		t.Phase = TaskRun
		if len(v.Incarnations) > 0 {
			t.Incarnation = v.Incarnations[i]
		}
		s.touched(w)
		// All members hold, so the workers have stopped what was evicted.
		for _, t := range slices.Clone(w.Tasks) {
			if t.Phase == TaskStopping && t.Mask&sl.Mask != 0 && t.Token < j.Token {
				s.finishStop(w, t)
			}
		}
	}
	return "", ""
}

func (s *State) abort(v record.Abort) (Reason, string) {
	j, reason, detail := s.placed(v.Job, v.Token, JobHolding)
	if reason != "" {
		return reason, detail
	}
	for _, i := range v.MissingWorkers {
		if w := s.worker(i); w != nil {
			w.LastMissedStart = s.Now
		}
	}
	s.stopJob(j, 0, "start failed: "+clip(v.Cause))
	return "", ""
}

func (s *State) preempt(v record.Preempt) (Reason, string) {
	j, reason, detail := s.placed(v.Job, v.Token, JobRunning)
	if reason != "" {
		return reason, detail
	}
	if j.Spec.Once {
		return ReasonGuarantee, "job is not repeatable"
	}
	if v.GraceMs < 0 || v.GraceMs > MaxGraceMs {
		return ReasonField, "grace"
	}
	s.stopJob(j, v.GraceMs, clip(v.Cause))
	return "", ""
}

// Starting returns the jobs that hold, and those that were started so recently
// that not all of their members may run yet, in no order.
func (s *State) StartingJobs() iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for j := range s.placedJobs {
			if s.starting(j) && !yield(j) {
				return
			}
		}
	}
}

func (s *State) starting(j *Job) bool {
	return j.Phase == JobHolding || j.Phase == JobRunning && s.Now-j.StartedAt < StartWindowMs
}

// placed returns the job if it has the token and phase.
func (s *State) placed(id string, token uint64, phase JobPhase) (*Job, Reason, string) {
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

func (s *State) touch(j *Job) {
	j.Revision = s.token()
	j.PhaseChangedAt = s.Now
	s.jobMoved(j)
}

func (s *State) jobMoved(j *Job) {
	if s.OnJobChange != nil {
		s.OnJobChange(j)
	}
}

// stopJob takes the job off its accelerators; it waits again when all of its
// workers have reported that they stopped.
func (s *State) stopJob(j *Job, grace int64, cause string) {
	j.StopProgress = 0
	if j.Phase == JobRunning {
		j.StopProgress = 1
		j.LostMs += s.Now - j.StartedAt // less what a checkpoint keeps; see stopped
	}
	s.release(j, grace)
	j.Phase, j.Cause = JobStopping, cause
	s.touch(j)
	s.settleStop(j)
}

// endJob makes the job terminal and takes it off its accelerators.
func (s *State) endJob(j *Job, phase JobPhase, cause string) {
	s.release(j, 0)
	j.Phase, j.Cause = phase, cause
	s.touch(j)
}

// release turns the job's tasks to stopping and returns its quota.
func (s *State) release(j *Job, grace int64) {
	if j.Phase == JobHolding || j.Phase == JobRunning {
		if a := s.Accounts[j.Spec.Account]; a != nil {
			a.Used -= j.Spec.Shape.Total()
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
			// It was never told to run, and the worker gives up a hold for a newer
			// one, so there is no stop to wait for.
			s.dropTask(w, t)
			j.PendingWorkers--
			continue
		}
		if t.Phase == TaskDone {
			s.dropTask(w, t)
			continue
		}
		t.Phase, t.GraceMs = TaskStopping, grace
		s.touched(w)
	}
}

// finishStop removes a stopped task and lets its job wait again when it was
// the last one.
func (s *State) finishStop(w *Worker, t *Task) {
	s.dropTask(w, t)
	if t.Token != t.Job.Token {
		return
	}
	t.Job.PendingWorkers--
	t.Job.StopProgress = 0 // nothing is known of a checkpoint
	s.settleStop(t.Job)
}

func (s *State) settleStop(j *Job) {
	if j.Phase != JobStopping || j.PendingWorkers > 0 {
		return
	}
	j.PendingWorkers = 0
	j.Slots = nil
	if j.Failures >= MaxFailedStarts || s.failedOn(j) >= MaxFailedWorkers {
		s.endJob(j, JobFailed, "poison: "+j.Cause)
		return
	}
	j.Phase = JobWaiting
	s.touch(j)
}

// failedOn returns on how many different workers the job failed that do not fail
// the jobs of other accounts too: several faulty workers must not end a job
// that is sound.
func (s *State) failedOn(j *Job) int {
	n := 0
	for i, index := range j.FailedOn {
		if !slices.Contains(j.FailedOn[:i], index) && !s.Workers[index].faulty() {
			n++
		}
	}
	return n
}

// intern returns a string equal to text that is kept once.
func (s *State) intern(text string) string {
	if kept, ok := s.interned[text]; ok {
		return kept
	}
	if len(s.interned) >= maxInterned {
		clear(s.interned)
	}
	text = strings.Clone(text) // text may be a part of something large
	s.interned[text] = text
	return text
}

// clip bounds a text that the state keeps.
func clip(text string) string {
	if len(text) <= maxCause {
		return text
	}
	return strings.ToValidUTF8(text[:maxCause], "")
}

// sweep forgets what is beyond its retention.
func (s *State) sweep() {
	s.lastSweep = s.Now
	s.sweepLost()
	maps.DeleteFunc(s.placedJobs, func(j *Job, _ struct{}) bool { return !s.starting(j) })
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

func (s *State) hasTasks(j *Job) bool {
	return slices.ContainsFunc(j.Slots, func(sl shape.Slot) bool {
		return s.Workers[sl.Worker].task(j.ID, j.Token) != nil
	})
}
