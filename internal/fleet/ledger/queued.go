package ledger

// job returns the ID of the job that the record concerns, or an empty one.
func (r Record) job() string {
	switch {
	case r.Submit != nil:
		return r.Submit.ID
	case r.Cancel != nil:
		return r.Cancel.ID
	case r.Start != nil:
		return r.Start.Unit.Job
	case r.End != nil:
		return r.End.Unit.Job
	case r.Rewrite != nil:
		return r.Rewrite.Job.ID
	case r.Resume != nil:
		return r.Resume.Unit.Job
	case r.Begin != nil:
		return r.Begin.Job
	}
	return ""
}

// countQueued adds n to the number of jobs of its queue that have not begun, if the job
// has not.
func (s *State) countQueued(id string, n int) {
	js := s.Jobs[id]
	if js == nil || js.Phase != Queued {
		return
	}
	if s.queued[js.Job.Queue] += n; s.queued[js.Job.Queue] == 0 {
		delete(s.queued, js.Job.Queue)
	}
}

// Pending returns the number of accepted jobs of a queue of which no task has begun.
func (s *State) Pending(queue string) int { return s.queued[queue] }
