package placement

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/state"
)

// maxFinished bounds how many finished jobs an index remembers for a scheduler
// that does not ask for them.
const maxFinished = 4096

// jobs follows the jobs of the state, so that a round of decisions costs
// nothing for those that neither wait nor finished.
type jobs struct {
	waiting  []*state.Job // by age; some may wait no longer
	added    []*state.Job // waiting, not in the list yet
	known    map[*state.Job]bool
	finished []*state.Job
	prune    int // length of added at which jobs that wait no longer are dropped
}

// Older orders jobs by submission, then by ID.
func Older(a, b *state.Job) int {
	return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.ID, b.ID))
}

// followJobs takes over the state's jobs and registers as a listener.
func (x *Index) followJobs() {
	x.jobs.known = map[*state.Job]bool{}
	earlier := x.state.OnJobChange
	x.state.OnJobChange = func(j *state.Job) {
		if earlier != nil {
			earlier(j)
		}
		x.moved(j)
	}
	for _, j := range x.state.Jobs {
		x.moved(j)
	}
	slices.SortFunc(x.jobs.finished, func(a, b *state.Job) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.ID, b.ID))
	})
}

func (x *Index) moved(j *state.Job) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.changes++
	switch {
	case j.Phase == state.JobWaiting && !x.jobs.known[j]:
		x.jobs.known[j] = true
		x.jobs.added = append(x.jobs.added, j)
		// An instance that makes no decisions never asks for the list.
		if len(x.jobs.added) >= max(1024, x.jobs.prune) {
			x.jobs.drop()
			x.jobs.prune = 2 * len(x.jobs.added)
		}
	case j.Phase == state.JobDone:
		if n := len(x.jobs.finished); n >= maxFinished {
			x.jobs.finished = slices.Delete(x.jobs.finished, 0, n/2)
		}
		x.jobs.finished = append(x.jobs.finished, j)
	}
}

// Waiting returns the waiting jobs, the oldest first; the result is valid
// until the next call.
func (x *Index) Waiting() []*state.Job {
	x.mu.Lock()
	defer x.mu.Unlock()
	q := &x.jobs
	q.drop()
	if len(q.added) > 0 {
		slices.SortFunc(q.added, Older)
		first := q.added[0]
		// Jobs that wait again are older than some in the list.
		at, _ := slices.BinarySearchFunc(q.waiting, first, Older)
		q.waiting = append(q.waiting, q.added...)
		slices.SortFunc(q.waiting[at:], Older)
		q.added = q.added[:0]
	}
	return q.waiting
}

// drop removes the jobs that wait no longer.
func (q *jobs) drop() {
	gone := func(j *state.Job) bool {
		if j.Phase == state.JobWaiting {
			return false
		}
		delete(q.known, j)
		return true
	}
	q.waiting, q.added = slices.DeleteFunc(q.waiting, gone), slices.DeleteFunc(q.added, gone)
}

// Finished returns the jobs that finished since the last call, in the order in
// which they did; before the first call, all that the state knows.
func (x *Index) Finished() []*state.Job {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := x.jobs.finished
	x.jobs.finished = nil
	return out
}
