package state

import (
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// InvariantError reports a state that violates an invariant.
type InvariantError struct {
	Rule   string
	Detail string
}

// Error returns the invariant and the object that violates it.
func (e *InvariantError) Error() string { return e.Rule + ": " + e.Detail }

// Check verifies the invariants of the state and returns *InvariantError if one
// is violated. It walks the whole state, so it is meant for tests and audits.
func (s *State) Check() error {
	for _, w := range s.Workers {
		if err := s.checkWorker(w); err != nil {
			return err
		}
	}
	for _, a := range s.Accounts {
		for _, b := range a.Blocks {
			if err := s.checkGuaranteeBlock(a, b); err != nil {
				return err
			}
		}
	}
	if !slices.IsSortedFunc(s.Members, func(a, b *Member) int { return compare(a.Writer, b.Writer) }) {
		return &InvariantError{"members are sorted", ""}
	}
	for _, m := range s.Members {
		if w := s.Writers[m.Writer]; w == nil || w.Fenced {
			return &InvariantError{"members are writers that are not fenced", m.Writer}
		}
	}
	return s.checkJobs()
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// checkWorker verifies the tasks, blocks and derived masks of a worker.
func (s *State) checkWorker(w *Worker) error {
	var held, used, reserved shape.Mask
	for _, t := range w.Tasks {
		used |= t.Mask
		if s.Jobs[t.Job.ID] != t.Job {
			return &InvariantError{"tasks belong to known jobs", w.Name + ": " + t.Job.ID}
		}
		if t.Phase == TaskStopping {
			continue
		}
		if held&t.Mask != 0 {
			return &InvariantError{"an accelerator has at most one task", w.Name}
		}
		held |= t.Mask
		if t.Token != t.Job.Token || t.Job.Phase != JobHolding && t.Job.Phase != JobRunning {
			return &InvariantError{"only placed jobs hold accelerators", w.Name + ": " + t.Job.ID}
		}
	}
	for _, b := range w.Blocks {
		if a := s.Accounts[b.Account]; a == nil || !slices.Contains(a.Blocks, b) {
			return &InvariantError{"blocks belong to accounts", w.Name}
		}
		if b.Broken {
			continue
		}
		m := maskOn(b.Slots, w)
		if m == 0 || reserved&m != 0 {
			return &InvariantError{"blocks are disjoint", w.Name}
		}
		reserved |= m
	}
	if used != w.used {
		return &InvariantError{"used mask matches tasks", w.Name}
	}
	if reserved != w.reserved {
		return &InvariantError{"reserved mask matches blocks", w.Name}
	}
	if w.Removed && w.inUse() {
		return &InvariantError{"removed workers have no tasks or blocks", w.Name}
	}
	return nil
}

// checkGuaranteeBlock verifies that the block is linked to its workers and
// that its account can claim it.
func (s *State) checkGuaranteeBlock(a *Account, b *Block) error {
	for _, sl := range b.Slots {
		if !slices.Contains(s.Workers[sl.Worker].Blocks, b) {
			return &InvariantError{"blocks are linked to workers", a.Name}
		}
	}
	if b.Broken {
		return nil
	}
	if reason, detail := s.checkBlock(b, func(o *Block) bool { return o == b }); reason != "" {
		return &InvariantError{"guarantees stay reclaimable", a.Name + ": " + string(reason) + ": " + detail}
	}
	return nil
}

// checkJobs verifies all jobs and the accounts' counts of used accelerators.
func (s *State) checkJobs() error {
	used := map[string]int{}
	for _, j := range s.Jobs {
		if err := s.checkJob(j); err != nil {
			return err
		}
		if j.Phase == JobHolding || j.Phase == JobRunning {
			used[j.Spec.Account] += j.Spec.Shape.TotalGPUs()
		}
	}
	for _, a := range s.Accounts {
		if a.Used != used[a.Name] {
			return &InvariantError{"use matches placed jobs", a.Name}
		}
	}
	return nil
}

// checkJob verifies that the job's phase matches its tasks and slots.
func (s *State) checkJob(j *Job) error {
	live, open, stopping := 0, 0, 0
	for _, sl := range j.Slots {
		t := s.Workers[sl.Worker].task(j.ID, j.Token)
		switch {
		case t == nil:
		case t.Mask != sl.Mask:
			return &InvariantError{"tasks match slots", j.ID}
		case t.Phase == TaskStopping:
			stopping++
		case t.Phase == TaskDone:
			live++
		default:
			live++
			open++
		}
	}
	placed := j.Phase == JobHolding || j.Phase == JobRunning
	switch {
	case placed && (live != len(j.Slots) || j.PendingWorkers != open || open == 0):
		return &InvariantError{"a placed gang has a task in each slot", j.ID}
	case !placed && live != 0:
		return &InvariantError{"jobs that are not placed hold no accelerators", j.ID}
	case j.Phase == JobWaiting && (stopping != 0 || len(j.Slots) != 0):
		return &InvariantError{"waiting jobs have no slots or stopping tasks", j.ID}
	case j.Phase == JobStopping && (stopping == 0 || j.PendingWorkers != stopping):
		return &InvariantError{"stopping jobs have stopping tasks", j.ID}
	case j.Guaranteed != (placed && s.inOwnBlocks(j.Spec.Account, j.Slots)):
		return &InvariantError{"guaranteed jobs lie in blocks of their account", j.ID}
	case j.Spec.Once && j.Starts > 1:
		return &InvariantError{"non-repeatable jobs start once", j.ID}
	case j.Spec.Once && j.Starts > 0 && (j.Phase == JobWaiting || j.Phase == JobHolding || j.Phase == JobStopping):
		return &InvariantError{"non-repeatable jobs start once", j.ID}
	case !(j.Progress >= 0 && j.Progress <= 1) || j.LostMs < 0:
		return &InvariantError{"progress and losses are in range", j.ID}
	}
	if placed {
		return s.checkPlacement(j)
	}
	return nil
}

// checkPlacement verifies that a placed job's slots have its shape and that
// none of its unfinished tasks is on a lost worker.
func (s *State) checkPlacement(j *Job) error {
	if detail := s.checkSlots(j.Spec.Shape, j.Slots); detail != "" {
		return &InvariantError{"placements have the job's shape", j.ID + ": " + detail}
	}
	for _, sl := range j.Slots {
		if s.Workers[sl.Worker].Condition == record.ConditionLost && s.Workers[sl.Worker].task(j.ID, j.Token).Phase != TaskDone {
			return &InvariantError{"lost workers run no tasks", j.ID}
		}
	}
	return nil
}
