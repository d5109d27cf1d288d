package state

import (
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// Ready reports whether new work may be placed on the worker.
func (w *Worker) Ready() bool { return !w.Gone && w.Condition == record.ConditionReady }

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
		for _, sl := range b.Slots {
			if sl.Worker == w.Index {
				w.reserved |= sl.Mask
			}
		}
	}
	s.touched(w)
}

// Edition changes whenever a task of the worker, or its phase, changes. It is
// local to this copy of the state.
func (w *Worker) Edition() uint64 { return w.edition }

func (s *State) touched(w *Worker) {
	w.edition++
	if s.Touched != nil {
		s.Touched(w)
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
	if w == nil || w.Gone {
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
	if h.Condition == w.Condition {
		return ReasonPhase, w.Name
	}
	w.Condition = h.Condition
	w.Revision = s.token()
	w.Since = s.Now
	s.touched(w)
	for _, b := range slices.Clone(w.Blocks) {
		s.refreshBlock(b)
	}
	if h.Condition == record.ConditionLost {
		s.loseTasks(w)
	}
	return "", ""
}

// loseTasks releases the gangs that had members on a lost worker. The tasks
// themselves end by lease; the accelerators of the lost worker are not used
// while it is lost.
func (s *State) loseTasks(w *Worker) {
	for _, t := range slices.Clone(w.Tasks) {
		j := t.Job
		if t.Token != j.Token || t.Phase == TaskDone {
			s.dropTask(w, t)
			continue
		}
		s.dropTask(w, t)
		j.Pending--
		switch j.Phase {
		case JobHolding:
			s.stopJob(j, 0, "worker "+w.Name+" lost while holding")
		case JobRunning:
			if j.Spec.Once {
				s.endJob(j, JobUnknown, "worker "+w.Name+" lost while running")
			} else {
				j.Lost += s.Now - j.Started
				s.stopJob(j, 0, "worker "+w.Name+" lost while running")
			}
		case JobStopping:
			s.settleStop(j)
		}
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
