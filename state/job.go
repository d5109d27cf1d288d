package state

import (
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// Limits of jobs.
const (
	MaxJobs     = 100_000
	MaxFailures = 3 // a job that failed on this many workers is failed
	MaxGrace    = 30_000
)

func (s *State) submit(v record.Submit) (Reason, string) {
	if v.Job == "" || len(v.Job) > 128 {
		return ReasonField, "job"
	}
	if len(v.Input) > 4096 {
		return ReasonField, "input"
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
	if v.Shape.Members < 1 || v.Shape.Members > shape.MaxMembers || v.Shape.GPUs < 1 || v.Shape.GPUs > shape.MaxGPUs || v.Shape.Level > shape.LevelDomain {
		return ReasonField, "shape"
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
	j := &Job{ID: v.Job, Spec: v, Revision: s.token(), Submitted: s.Now, Changed: s.Now, Cause: "submitted"}
	s.Jobs[v.Job] = j
	s.jobMoved(j)
	return "", ""
}

// possible reports whether some unit could run the job if it were empty.
func (s *State) possible(v record.Submit) (Reason, string) {
	share := false
	perRack := make([]int, len(s.Racks))
	perDomain := make([]int, len(s.Domains))
	for _, w := range s.Workers {
		if w.Gone || w.GPUs < v.Shape.GPUs {
			continue
		}
		n := float64(w.GPUs)
		if v.Cores > 0 && v.Cores > w.Cores/n || v.Memory > 0 && v.Memory > w.Memory/n {
			share = true
			continue
		}
		m := w.GPUs / v.Shape.GPUs
		if m >= v.Shape.Members {
			return "", ""
		}
		perRack[w.Rack.Index] += m
		perDomain[w.Rack.Domain.Index] += m
	}
	units := perDomain
	switch v.Shape.Level {
	case shape.LevelWorker:
		units = nil
	case shape.LevelRack:
		units = perRack
	}
	if slices.ContainsFunc(units, func(n int) bool { return n >= v.Shape.Members }) {
		return "", ""
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
	if j.Phase.Terminal() {
		return ReasonPhase, j.Phase.String()
	}
	s.endJob(j, JobCancelled, "cancelled by "+c.By)
	return "", ""
}

func (s *State) place(p record.Place) (Reason, string) {
	j := s.Jobs[p.Job]
	if j == nil {
		return ReasonUnknown, p.Job
	}
	if j.Phase != JobWaiting {
		return ReasonPhase, j.Phase.String()
	}
	if j.Revision != p.Revision {
		return ReasonStale, p.Job
	}
	if p.Grace < 0 || p.Grace > MaxGrace {
		return ReasonField, "grace"
	}
	if detail := s.fits(j.Spec.Shape, p.Slots); detail != "" {
		return ReasonField, detail
	}
	a := s.Accounts[j.Spec.Account]
	if a == nil {
		return ReasonUnknown, j.Spec.Account
	}
	guaranteed := s.covered(a.Name, p.Slots)
	if a.Quota > 0 && a.Used+j.Spec.Shape.Total() > a.Quota {
		return ReasonQuota, a.Name
	}
	victims, reason, detail := s.victims(p.Evict, guaranteed)
	if reason != "" {
		return reason, detail
	}
	for _, sl := range p.Slots {
		w := s.Workers[sl.Worker]
		if !w.Ready() {
			return ReasonWorker, w.Name
		}
		if j.Spec.Once && s.foreignReserve(w, a.Name)&sl.Mask != 0 {
			return ReasonGuarantee, "job cannot be evicted from a block of another account"
		}
		for _, t := range w.Tasks {
			if t.Mask&sl.Mask != 0 && t.Phase != TaskStopping && !slices.Contains(victims, t.Job) {
				return ReasonBusy, w.Name + ": job " + t.Job.ID
			}
		}
	}
	for _, v := range victims {
		if v.Phase == JobRunning {
			v.Lost += s.Now - v.Started
		}
		s.stopJob(v, p.Grace, "evicted for job "+j.ID)
	}
	j.Phase, j.Token, j.Slots = JobHolding, s.token(), p.Slots
	j.Guaranteed = guaranteed
	j.Pending = len(p.Slots)
	j.Cause = "placed"
	s.touch(j)
	a.Used += j.Spec.Shape.Total()
	for _, sl := range p.Slots {
		s.addTask(s.Workers[sl.Worker], &Task{Job: j, Token: j.Token, Mask: sl.Mask, Phase: TaskHold})
	}
	return "", ""
}

// victims resolves the placements to evict. Work outside the placed job's own
// blocks can evict nothing: only a guarantee entitles to eviction.
func (s *State) victims(list []record.Victim, guaranteed bool) ([]*Job, Reason, string) {
	if len(list) > 0 && !guaranteed {
		return nil, ReasonGuarantee, "only a guaranteed placement can evict"
	}
	var out []*Job
	for _, v := range list {
		j := s.Jobs[v.Job]
		if j == nil {
			return nil, ReasonUnknown, v.Job
		}
		if j.Token != v.Token {
			return nil, ReasonToken, v.Job
		}
		if j.Phase == JobStopping {
			continue
		}
		if j.Phase != JobHolding && j.Phase != JobRunning {
			return nil, ReasonPhase, v.Job
		}
		if !j.Evictable() {
			return nil, ReasonGuarantee, "job " + v.Job + " cannot be evicted"
		}
		out = append(out, j)
	}
	return out, "", ""
}

// foreignReserve returns the worker's accelerators in whole blocks of other
// accounts.
func (s *State) foreignReserve(w *Worker, account string) shape.Mask {
	var m shape.Mask
	for _, b := range w.Blocks {
		if b.Broken || b.Account == account {
			continue
		}
		for _, sl := range b.Slots {
			if sl.Worker == w.Index {
				m |= sl.Mask
			}
		}
	}
	return m
}

func (s *State) start(v record.Start) (Reason, string) {
	j, reason, detail := s.placed(v.Job, v.Token, JobHolding)
	if reason != "" {
		return reason, detail
	}
	j.Phase, j.Started, j.Cause = JobRunning, s.Now, "started"
	j.Starts++
	s.touch(j)
	for _, sl := range j.Slots {
		w := s.Workers[sl.Worker]
		w.task(j.ID, j.Token).Phase = TaskRun
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
	s.stopJob(j, 0, "start failed: "+v.Cause)
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
	if v.Grace < 0 || v.Grace > MaxGrace {
		return ReasonField, "grace"
	}
	j.Lost += s.Now - j.Started
	s.stopJob(j, v.Grace, v.Cause)
	return "", ""
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
	j.Changed = s.Now
	s.jobMoved(j)
}

func (s *State) jobMoved(j *Job) {
	if s.Moved != nil {
		s.Moved(j)
	}
}

// stopJob takes the job off its accelerators; it waits again when all of its
// workers have reported that they stopped.
func (s *State) stopJob(j *Job, grace int64, cause string) {
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
		if t.Phase == TaskDone {
			s.dropTask(w, t)
			continue
		}
		t.Phase, t.Grace = TaskStopping, grace
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
	t.Job.Pending--
	s.settleStop(t.Job)
}

func (s *State) settleStop(j *Job) {
	if j.Phase != JobStopping || j.Pending > 0 {
		return
	}
	j.Pending = 0
	j.Slots = nil
	if j.Failures >= MaxFailures {
		s.endJob(j, JobFailed, j.Cause)
		return
	}
	j.Phase = JobWaiting
	s.touch(j)
}

func (s *State) report(r record.Report) (Reason, string) {
	w := s.worker(r.Worker)
	if w == nil {
		return ReasonUnknown, fmt.Sprint(r.Worker)
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
	if t == nil || t.Phase == TaskDone {
		return s.lateResult(w, r)
	}
	j := t.Job
	if t.Phase == TaskStopping {
		if j.Token == t.Token && r.Progress > j.Progress && j.Spec.Checkpoint {
			j.Lost = max(0, j.Lost-int64(float64(r.Ran)*(r.Progress-j.Progress)))
			j.Progress = r.Progress
		}
		s.finishStop(w, t)
		return true
	}
	switch {
	case r.Outcome == record.OutcomeDone && j.Phase == JobRunning:
		t.Phase = TaskDone
		j.Pending--
		if j.Pending == 0 {
			s.endJob(j, JobDone, "done")
			j.Progress = 1
		}
	case j.Phase == JobHolding:
		s.dropTask(w, t)
		j.Pending--
		s.stopJob(j, 0, "worker "+w.Name+" released its hold")
	case r.Outcome == record.OutcomeFailed:
		j.Failures++
		j.FailedOn = append(j.FailedOn, w.Index)
		s.dropTask(w, t)
		j.Pending--
		if j.Spec.Once {
			s.endJob(j, JobFailed, "failed on worker "+w.Name)
		} else {
			j.Lost += r.Ran
			s.stopJob(j, 0, "failed on worker "+w.Name)
		}
	default: // stopped by lease, or the worker lost it in a restart
		s.dropTask(w, t)
		j.Pending--
		if j.Spec.Once {
			s.endJob(j, JobUnknown, "worker "+w.Name+" stopped it")
		} else {
			j.Lost += r.Ran
			s.stopJob(j, 0, "worker "+w.Name+" stopped it")
		}
	}
	return true
}

// lateResult takes the truth about a job that became unknown when its worker
// was lost.
func (s *State) lateResult(w *Worker, r record.Result) bool {
	j := s.Jobs[r.Job]
	if j == nil || j.Phase != JobUnknown || j.Token != r.Token || r.Outcome != record.OutcomeDone || len(j.Slots) != 1 {
		return false
	}
	s.endJob(j, JobDone, "done, learned from worker "+w.Name)
	return true
}

// sweep forgets what is beyond its retention.
func (s *State) sweep() {
	s.lastSweep = s.Now
	for id, w := range s.Writers {
		if s.Now-w.At > WriterRetention && s.Member(id) == nil {
			delete(s.Writers, id)
		}
	}
	for id, c := range s.Claims {
		at, _ := RequestTime(id)
		if s.Now-at > ClaimRetention && s.Now-c.At > ClaimRetention {
			delete(s.Claims, id)
		}
	}
	for id, j := range s.Jobs {
		if j.Phase.Terminal() && s.Now-j.Changed > JobRetention && !s.hasTasks(j) {
			delete(s.Jobs, id)
		}
	}
}

func (s *State) hasTasks(j *Job) bool {
	return slices.ContainsFunc(j.Slots, func(sl shape.Slot) bool {
		return s.Workers[sl.Worker].task(j.ID, j.Token) != nil
	})
}
