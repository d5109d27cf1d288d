package trace

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// guaranteeWaits measures how long jobs wait that are entitled to start by
// their account's guarantees. An entitled job is not larger than the account's
// largest guaranteed shape, does not exceed its quota, and fits into its
// unbroken blocks on live workers next to its guaranteed work and the entitled
// jobs before it. Time during which the log is down or all instances are
// restarting does not count, because no decision is possible then (section 2.5
// of the design page).
type guaranteeWaits struct {
	r             *replay
	entitledSince map[string]int64 // entitled job to the value of simLog.available when it became entitled
	longestByJob  map[string]int64 // job to its longest wait
	late          []string         // jobs that waited longer than maxGuaranteeWait, in order of the end of their wait
	longest       int64
}

// maxGuaranteeWait is the bound in milliseconds of the wait for guaranteed
// accelerators in section 1.5 of the design page.
const maxGuaranteeWait = 1500

func newGuaranteeWaits(r *replay) *guaranteeWaits {
	return &guaranteeWaits{r: r, entitledSince: map[string]int64{}, longestByJob: map[string]int64{}}
}

// update determines the jobs that are entitled in the current state.
func (w *guaranteeWaits) update() {
	s := w.r.state
	waiting := map[string][]*state.Job{}
	for _, j := range w.r.activeJobs {
		sj := s.Jobs[j.ID]
		if sj == nil || sj.Phase == state.JobHolding {
			continue
		}
		if a := s.Accounts[sj.Spec.Account]; sj.Phase == state.JobWaiting && a != nil && len(a.Blocks) > 0 {
			waiting[a.Name] = append(waiting[a.Name], sj)
		} else {
			delete(w.entitledSince, j.ID)
		}
	}
	for name, jobs := range waiting {
		slices.SortStableFunc(jobs, func(a, b *state.Job) int {
			if a.Spec.Urgent != b.Spec.Urgent {
				if a.Spec.Urgent {
					return -1
				}
				return 1
			}
			return cmp.Compare(a.SubmittedAt, b.SubmittedAt)
		})
		a := s.Accounts[name]
		free := w.free(a)
		quota := a.Quota - a.Used
		for _, j := range jobs {
			allocation := w.fit(free, j)
			if allocation == nil || j.Spec.Shape.TotalGPUs() > largestGuaranteeGPUs(a) || a.Quota > 0 && quota < j.Spec.Shape.TotalGPUs() {
				delete(w.entitledSince, j.ID)
				continue
			}
			for i, k := range allocation {
				free[i] -= k
			}
			quota -= j.Spec.Shape.TotalGPUs()
			if _, ok := w.entitledSince[j.ID]; !ok {
				w.entitledSince[j.ID] = w.r.log.available()
			}
		}
	}
}

// largestGuaranteeGPUs returns the number of accelerators of the account's
// largest guaranteed shape.
func largestGuaranteeGPUs(a *state.Account) int {
	n := 0
	for _, p := range a.Guarantees {
		n = max(n, p.Shape.TotalGPUs())
	}
	return n
}

// free returns the number of accelerators by worker in the account's unbroken
// blocks that its own guaranteed or non-repeatable work does not use.
func (w *guaranteeWaits) free(a *state.Account) []int {
	masks := make([]shape.Mask, len(w.r.workers))
	for _, b := range a.Blocks {
		if b.Broken {
			continue
		}
		for _, sl := range b.Slots {
			if w.r.workers[sl.Worker].alive {
				masks[sl.Worker] |= sl.Mask
			}
		}
	}
	out := make([]int, len(masks))
	for i, m := range masks {
		for _, t := range w.r.state.Workers[i].Tasks {
			if t.Phase != state.TaskStopping && (t.Job.Guaranteed || t.Job.Spec.Once) {
				m &^= t.Mask
			}
		}
		out[i] = m.Count()
	}
	return out
}

// fit returns the accelerators by worker on which the job would be placed, or
// nil if it does not fit. Workers on which the job failed are excluded.
func (w *guaranteeWaits) fit(free []int, j *state.Job) map[int]int {
	if len(j.FailedOn) > 0 {
		free = slices.Clone(free)
		for _, i := range j.FailedOn {
			free[i] = 0
		}
	}
	return w.r.fleet.firstFit(free, j.Spec.Shape)
}

// started ends the wait of a job.
func (w *guaranteeWaits) started(id string) { w.ended(id) }

// ended ends the wait of a job and records its duration.
func (w *guaranteeWaits) ended(id string) {
	since, ok := w.entitledSince[id]
	if !ok {
		return
	}
	delete(w.entitledSince, id)
	waitMs := w.r.log.available() - since
	if waitMs > w.longestByJob[id] {
		w.longestByJob[id] = waitMs
	}
	if waitMs > maxGuaranteeWait && !slices.Contains(w.late, id) {
		w.late = append(w.late, id)
	}
	w.longest = max(w.longest, waitMs)
}

// finish ends the waits of jobs that never started.
func (w *guaranteeWaits) finish() {
	for _, j := range w.r.activeJobs {
		w.ended(j.ID)
	}
}
