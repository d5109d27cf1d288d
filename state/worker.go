package state

import (
	"cmp"
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// CauseFailures is the cause of setting aside a worker that fails tasks; such
// a worker is probed again.
const CauseFailures = "failures"

const (
	// LostRetention is how long a stopping task stays on a lost worker at
	// most, milliseconds: two leases and the largest step of the fold's clock.
	LostTaskRetentionMs = 45_000
	maxFailures         = 8 // remembered failures of a worker
)

// Failure is a failure of a job on a worker.
type Failure struct {
	Job     string `cbor:"job"`
	Account string `cbor:"account"`
	At      int64  `cbor:"at"` // fold's clock
}

// Ready reports whether new work may be placed on the worker.
func (w *Worker) Ready() bool { return !w.Removed && w.Condition == record.ConditionReady }

// inUse reports whether the worker holds a task or part of a block that is not
// broken. A broken block does not keep a worker in the configuration: when no
// other place is free, its lost rack could otherwise never be removed.
func (w *Worker) inUse() bool {
	return len(w.Tasks) > 0 || slices.ContainsFunc(w.Blocks, func(b *Block) bool { return !b.Broken })
}

// All returns the mask of all of the worker's accelerators.
func (w *Worker) All() shape.Mask { return shape.FirstN(w.GPUs) }

// Used returns the accelerators held by any task.
func (w *Worker) Used() shape.Mask { return w.used }

// Reserved returns the accelerators in blocks that are not broken.
func (w *Worker) Reserved() shape.Mask { return w.reserved }

// Free returns the accelerators that hold no task; 0 if the worker is not
// ready.
func (w *Worker) Free() shape.Mask {
	if !w.Ready() {
		return 0
	}
	return w.All() &^ w.used
}

// recount derives the masks from the tasks and blocks.
func (s *State) recount(w *Worker) {
	w.used, w.reserved = 0, 0
	for _, t := range w.Tasks {
		w.used |= t.Mask
	}
	for _, b := range w.Blocks {
		if b.Broken {
			continue
		}
		w.reserved |= maskOn(b.Slots, w)
	}
	s.touched(w)
}

// maskOn returns the accelerators of the slots, which are in ascending order
// of workers, on the worker.
func maskOn(slots []shape.Slot, w *Worker) shape.Mask {
	i, ok := slices.BinarySearchFunc(slots, w.Index, func(sl shape.Slot, index uint32) int { return cmp.Compare(sl.Worker, index) })
	if !ok {
		return 0
	}
	return slots[i].Mask
}

// Edition changes whenever a task of the worker, or its phase, changes. It is
// local to this copy of the state.
func (w *Worker) LocalRevision() uint64 { return w.edition }

func (s *State) touched(w *Worker) {
	w.edition++
	if s.OnWorkerChange != nil {
		s.OnWorkerChange(w)
	}
}

func (s *State) worker(index uint32) *Worker {
	if int(index) >= len(s.Workers) {
		return nil
	}
	return s.Workers[index]
}

func (s *State) health(h record.Health) (Reason, string) {
	w := s.worker(h.Worker)
	if w == nil || w.Removed {
		return ReasonUnknown, fmt.Sprint(h.Worker)
	}
	if h.Revision != w.Revision {
		return ReasonStale, w.Name
	}
	switch h.Condition {
	case record.ConditionReady, record.ConditionLost, record.ConditionAside:
	default:
		return ReasonField, "cond"
	}
	// An operator may take over a worker that was set aside for failures, which
	// would otherwise be probed and returned.
	takeover := h.Condition == record.ConditionAside && w.Cause == CauseFailures && h.Cause != CauseFailures
	if h.Condition == w.Condition && !takeover {
		return ReasonPhase, w.Name
	}
	if h.Revision == s.token() {
		return ReasonStale, w.Name // a proposal cannot be based on a change in its own entry
	}
	if h.Condition == record.ConditionAside && h.Cause == CauseFailures && w.Condition == record.ConditionReady {
		w.QuarantineCount++
	}
	w.Condition, w.Cause = h.Condition, clip(h.Cause)
	w.Revision = s.token()
	w.ConditionSince = s.Now
	s.touched(w)
	for _, b := range slices.Clone(w.Blocks) {
		s.refreshBlock(b)
	}
	if h.Condition == record.ConditionLost {
		s.loseTasks(w)
	}
	return "", ""
}

// loseTasks releases the gangs that have members on a lost worker. Members
// that ran there stay as stopping until the worker, or a keeper one further
// lease later, reports that they have ended, because the worker may still
// run them under its lease.
func (s *State) loseTasks(w *Worker) {
	for _, t := range slices.Clone(w.Tasks) {
		j := t.Job
		if t.Phase == TaskDone || t.Phase == TaskStopping || t.Token != j.Token {
			continue
		}
		switch {
		case j.Phase == JobHolding:
			// It is never told to run, so its accelerators need no wait.
			s.dropTask(w, t)
			j.PendingWorkers--
			s.stopJob(j, 0, "worker "+w.Name+" lost while holding")
		case j.Spec.Once:
			s.endJob(j, JobUnknown, "worker "+w.Name+" lost while running")
		default:
			s.stopJob(j, 0, "worker "+w.Name+" lost while running")
		}
	}
}

// sweepLost ends the stopping tasks of workers that have been lost for so long
// that their leases have certainly expired, should no keeper have done so.
func (s *State) sweepLost() {
	for _, w := range s.Workers {
		if w.Condition != record.ConditionLost || s.Now-w.ConditionSince < LostTaskRetentionMs {
			continue
		}
		for _, t := range slices.Clone(w.Tasks) {
			if t.Phase == TaskStopping {
				s.finishStop(w, t)
			}
		}
	}
}

// failed notes that a job failed on the worker.
func (w *Worker) failed(j *Job, now int64) {
	w.Failures = append(w.Failures, Failure{Job: j.ID, Account: j.Spec.Account, At: now})
	if len(w.Failures) > maxFailures {
		w.Failures = slices.Delete(w.Failures, 0, 1)
	}
	w.RecentFailed++
	w.age()
}

// faulty reports whether the worker fails more than it does, for more than one
// account.
func (w *Worker) faulty() bool {
	return w.RecentFailed > w.RecentDone && slices.ContainsFunc(w.Failures, func(f Failure) bool { return f.Account != w.Failures[0].Account })
}

// succeeded notes that members of a job were done on the worker. It is then no
// longer on probation, unless it has been set aside meanwhile: what still ran
// there says nothing of the next probe.
func (w *Worker) succeeded() {
	w.RecentDone++
	if w.Condition != record.ConditionAside {
		w.QuarantineCount = 0
	}
	w.age()
}

// age halves the counts, so that they follow the recent past.
func (w *Worker) age() {
	if w.RecentDone+w.RecentFailed >= 64 {
		w.RecentDone, w.RecentFailed = w.RecentDone/2, w.RecentFailed/2
	}
}

// addTask puts a task on its worker.
func (s *State) addTask(w *Worker, t *Task) {
	w.Tasks = append(w.Tasks, t)
	w.used |= t.Mask
	s.touched(w)
}

// dropTask removes a task from its worker.
func (s *State) dropTask(w *Worker, t *Task) {
	w.Tasks = slices.DeleteFunc(w.Tasks, func(x *Task) bool { return x == t })
	s.recount(w)
}

func (w *Worker) task(job string, token uint64) *Task {
	for _, t := range w.Tasks {
		if t.Job.ID == job && t.Token == token {
			return t
		}
	}
	return nil
}
