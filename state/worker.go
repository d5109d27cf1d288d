package state

import (
	"cmp"
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// CauseFailures is the cause of a worker that was set aside because tasks failed
// on it. Such a worker is quarantined: it is probed and returned later.
const CauseFailures = "failures"

const (
	// LostTaskRetentionMs is the longest time that a stopping task stays on a
	// lost worker: two leases and the largest step of the state's clock.
	LostTaskRetentionMs = 45_000
	maxRecordedFailures = 8 // length of Worker.Failures
)

// Failure is a failure of a job on a worker.
type Failure struct {
	Job     string `cbor:"job"`
	Account string `cbor:"account"`
	At      int64  `cbor:"at"` // state's clock
}

// Ready reports whether new work may be placed on the worker.
func (w *Worker) Ready() bool { return !w.Removed && w.Condition == record.ConditionReady }

// inUse reports whether the worker has a task or part of a block that is not
// broken. A broken block does not prevent the removal of a worker. Otherwise a
// lost rack could never be removed while its blocks have no other place.
func (w *Worker) inUse() bool {
	return len(w.Tasks) > 0 || slices.ContainsFunc(w.Blocks, func(b *Block) bool { return !b.Broken })
}

// All returns the mask of all of the worker's accelerators.
func (w *Worker) All() shape.Mask { return shape.FirstN(w.GPUs) }

// Used returns the accelerators of all tasks.
func (w *Worker) Used() shape.Mask { return w.used }

// Reserved returns the accelerators in blocks that are not broken.
func (w *Worker) Reserved() shape.Mask { return w.reserved }

// Free returns the accelerators without a task, or 0 if the worker is not ready.
func (w *Worker) Free() shape.Mask {
	if !w.Ready() {
		return 0
	}
	return w.All() &^ w.used
}

// updateMasks derives the used and reserved masks from the tasks and blocks.
func (s *State) updateMasks(w *Worker) {
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
	s.workerChanged(w)
}

// maskOn returns the worker's accelerators in the slots, which must be in
// ascending order of workers.
func maskOn(slots []shape.Slot, w *Worker) shape.Mask {
	i, ok := slices.BinarySearchFunc(slots, w.Index, func(sl shape.Slot, index uint32) int { return cmp.Compare(sl.Worker, index) })
	if !ok {
		return 0
	}
	return slots[i].Mask
}

// LocalRevision changes whenever a task of the worker, or a task's phase,
// changes. It is not replicated: copies of the state have different values.
func (w *Worker) LocalRevision() uint64 { return w.localRevision }

// workerChanged increments the local revision and calls OnWorkerChange.
func (s *State) workerChanged(w *Worker) {
	w.localRevision++
	if s.OnWorkerChange != nil {
		s.OnWorkerChange(w)
	}
}

// worker returns the worker with the index, or nil.
func (s *State) worker(index uint32) *Worker {
	if int(index) >= len(s.Workers) {
		return nil
	}
	return s.Workers[index]
}

// health applies record.Health: it changes a worker's condition.
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
	// An operator may set aside a worker that is already quarantined for
	// failures, so that it is not probed and returned.
	takeover := h.Condition == record.ConditionAside && w.Cause == CauseFailures && h.Cause != CauseFailures
	if h.Condition == w.Condition && !takeover {
		return ReasonPhase, w.Name
	}
	if h.Revision == s.entryToken() {
		return ReasonStale, w.Name // a proposal cannot be based on a change in its own entry
	}
	if h.Condition == record.ConditionAside && h.Cause == CauseFailures && w.Condition == record.ConditionReady {
		w.QuarantineCount++
	}
	w.Condition, w.Cause = h.Condition, truncate(h.Cause)
	w.Revision = s.entryToken()
	w.ConditionSince = s.Now
	s.workerChanged(w)
	for _, b := range slices.Clone(w.Blocks) {
		s.refreshBlock(b)
	}
	if h.Condition == record.ConditionLost {
		s.stopLostTasks(w)
	}
	return "", ""
}

// stopLostTasks stops the gangs that have members on a lost worker. The worker
// may still run them under its lease. So its running tasks stay in phase
// TaskStopping until the worker, or a keeper one more lease later, reports that
// they have ended.
func (s *State) stopLostTasks(w *Worker) {
	for _, t := range slices.Clone(w.Tasks) {
		j := t.Job
		if t.Phase == TaskDone || t.Phase == TaskStopping || t.Token != j.Token {
			continue
		}
		switch {
		case j.Phase == JobHolding:
			// The worker is never told to run the task, so its accelerators are
			// free at once.
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

// expireLostTasks ends the stopping tasks of workers that have been lost for so
// long that their leases have certainly expired, in case no keeper has reported
// their end.
func (s *State) expireLostTasks() {
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

// recordFailure records a failure of a job on the worker.
func (w *Worker) recordFailure(j *Job, now int64) {
	w.Failures = append(w.Failures, Failure{Job: j.ID, Account: j.Spec.Account, At: now})
	if len(w.Failures) > maxRecordedFailures {
		w.Failures = slices.Delete(w.Failures, 0, 1)
	}
	w.RecentFailed++
	w.halveCounts()
}

// faulty reports whether the worker has more recent failures than successes, and
// failures of more than one account.
func (w *Worker) faulty() bool {
	return w.RecentFailed > w.RecentDone && slices.ContainsFunc(w.Failures, func(f Failure) bool { return f.Account != w.Failures[0].Account })
}

// recordSuccess records that a task was done on the worker. It resets
// QuarantineCount, unless the worker has been set aside meanwhile: the success
// of a task that still ran there does not predict the result of the next probe.
func (w *Worker) recordSuccess() {
	w.RecentDone++
	if w.Condition != record.ConditionAside {
		w.QuarantineCount = 0
	}
	w.halveCounts()
}

// halveCounts halves the counts of successes and failures when their sum reaches
// 64, so that they follow the recent past.
func (w *Worker) halveCounts() {
	if w.RecentDone+w.RecentFailed >= 64 {
		w.RecentDone, w.RecentFailed = w.RecentDone/2, w.RecentFailed/2
	}
}

// addTask adds a task to its worker.
func (s *State) addTask(w *Worker, t *Task) {
	w.Tasks = append(w.Tasks, t)
	w.used |= t.Mask
	s.workerChanged(w)
}

// dropTask removes a task from its worker.
func (s *State) dropTask(w *Worker, t *Task) {
	w.Tasks = slices.DeleteFunc(w.Tasks, func(x *Task) bool { return x == t })
	s.updateMasks(w)
}

// task returns the worker's task of the job with the token, or nil.
func (w *Worker) task(job string, token uint64) *Task {
	for _, t := range w.Tasks {
		if t.Job.ID == job && t.Token == token {
			return t
		}
	}
	return nil
}
