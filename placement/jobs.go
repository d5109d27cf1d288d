package placement

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/state"
)

// maxFinished bounds the finished jobs that an index keeps when nobody calls
// Finished.
const maxFinished = 4096

// jobTracker follows the changes of jobs in the state, so that a scheduling
// round does not visit jobs that neither wait nor finished.
type jobTracker struct {
	waiting  []*state.Job        // by age; some may have stopped waiting
	added    []*state.Job        // new waiting jobs that are not in the list waiting yet
	known    map[*state.Job]bool // jobs in waiting or added
	finished []*state.Job
	pruneAt  int // length of added at which jobs that stopped waiting are removed
}

// CompareAge orders jobs by time of submission, then by ID.
func CompareAge(a, b *state.Job) int {
	return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.ID, b.ID))
}

// trackJobs adds the state's jobs and registers a listener for their changes.
func (x *Index) trackJobs() {
	x.jobs.known = map[*state.Job]bool{}
	earlier := x.state.OnJobChange
	x.state.OnJobChange = func(j *state.Job) {
		if earlier != nil {
			earlier(j)
		}
		x.jobChanged(j)
	}
	for _, j := range x.state.Jobs {
		x.jobChanged(j)
	}
	slices.SortFunc(x.jobs.finished, func(a, b *state.Job) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.ID, b.ID))
	})
}

// jobChanged records a job that now waits or has finished.
func (x *Index) jobChanged(j *state.Job) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.changeCount++
	switch {
	case j.Phase == state.JobWaiting && !x.jobs.known[j]:
		x.jobs.known[j] = true
		x.jobs.added = append(x.jobs.added, j)
		// An instance that does not schedule never calls Waiting, so the
		// list is cleaned up here too.
		if len(x.jobs.added) >= max(1024, x.jobs.pruneAt) {
			x.jobs.removeNotWaiting()
			x.jobs.pruneAt = 2 * len(x.jobs.added)
		}
	case j.Phase == state.JobDone:
		if n := len(x.jobs.finished); n >= maxFinished {
			x.jobs.finished = slices.Delete(x.jobs.finished, 0, n/2)
		}
		x.jobs.finished = append(x.jobs.finished, j)
	}
}

// Waiting returns the waiting jobs, oldest first. The result is valid until
// the next call.
func (x *Index) Waiting() []*state.Job {
	x.mu.Lock()
	defer x.mu.Unlock()
	q := &x.jobs
	q.removeNotWaiting()
	if len(q.added) > 0 {
		slices.SortFunc(q.added, CompareAge)
		first := q.added[0]
		// A job that waits again may be older than others in the list.
		at, _ := slices.BinarySearchFunc(q.waiting, first, CompareAge)
		q.waiting = append(q.waiting, q.added...)
		slices.SortFunc(q.waiting[at:], CompareAge)
		q.added = q.added[:0]
	}
	return q.waiting
}

// removeNotWaiting removes the jobs that no longer wait from both lists.
func (q *jobTracker) removeNotWaiting() {
	notWaiting := func(j *state.Job) bool {
		if j.Phase == state.JobWaiting {
			return false
		}
		delete(q.known, j)
		return true
	}
	q.waiting, q.added = slices.DeleteFunc(q.waiting, notWaiting), slices.DeleteFunc(q.added, notWaiting)
}

// Finished returns the jobs that finished since the last call, in the order
// in which they finished. The first call returns all finished jobs that the
// state still has.
func (x *Index) Finished() []*state.Job {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := x.jobs.finished
	x.jobs.finished = nil
	return out
}
