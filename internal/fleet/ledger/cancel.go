package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// maxEarlyCancels bounds the cancellations that wait for their jobs, because callers
// can cancel any number of jobs that never come. A log stores fewer of them within the
// seconds by which a submission can be late.
const maxEarlyCancels = 10_000

// EarlyCancel is the cancellation of a job that was not in the state when it was
// applied. The submission of the job may still follow in the log: a call of the log
// without an answer may be carried out seconds later.
type EarlyCancel struct {
	Cancel Cancel `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint,omitempty"` // of its record in the log
}

// precedes reports whether the job was submitted after the cancellation had been
// answered, so that it is another attempt to run the job. It was if the instance that
// accepted it had read the cancellation. An instance learns of a cancellation with a
// delay, within which only the clocks of the instances tell.
func (c EarlyCancel) precedes(j *Job) bool {
	return j.Seen > c.Offset || j.AcceptedAt > c.Cancel.At
}

// earlyCancels holds the newest early cancellation of each job.
type earlyCancels struct {
	byJob map[string]EarlyCancel
	order []EarlyCancel // in the order of the log; some are not in byJob any more
}

// add adds a cancellation that is newer than all others, in place of the oldest ones if
// there are too many.
func (e *earlyCancels) add(c EarlyCancel) {
	for len(e.order) >= maxEarlyCancels {
		if oldest := e.order[0]; e.byJob[oldest.Cancel.ID] == oldest {
			delete(e.byJob, oldest.Cancel.ID)
		}
		e.order = e.order[1:]
	}
	if e.byJob == nil {
		e.byJob = make(map[string]EarlyCancel)
	}
	e.byJob[c.Cancel.ID] = c
	e.order = append(e.order, c)
}

// list returns the cancellations in the order of the log.
func (e *earlyCancels) list() []EarlyCancel {
	return slices.SortedFunc(maps.Values(e.byJob), func(a, b EarlyCancel) int { return cmp.Compare(a.Offset, b.Offset) })
}

// dropBefore deletes the cancellations before the given Unix time in ms.
func (e *earlyCancels) dropBefore(before int64) {
	e.order = slices.DeleteFunc(e.order, func(c EarlyCancel) bool { return c.Cancel.At < before })
	maps.DeleteFunc(e.byJob, func(_ string, c EarlyCancel) bool { return c.Cancel.At < before })
}

// EarlyCancel returns the newest cancellation of a job that the state did not have
// then, and whether there is one.
func (s *State) EarlyCancel(job string) (EarlyCancel, bool) {
	c, ok := s.early.byJob[job]
	return c, ok
}

// applyCancel cancels a job that is not in a final phase. If the state does not have
// the job, it keeps the cancellation for a submission that is still to come.
func (s *State) applyCancel(c Cancel, offset uint64) bool {
	if early, ok := s.early.byJob[c.ID]; ok && early.Cancel == c {
		return false // a second copy of the record; the job may have been submitted again since
	}
	js := s.Jobs[c.ID]
	switch {
	case js == nil:
		s.early.add(EarlyCancel{c, offset})
		return true
	case js.Phase.Final():
		return false
	}
	js.Phase = Cancelled
	js.EndedAt = c.At
	js.forgetLost()
	return true
}

// newCancelledJob returns the state of a job that was cancelled before its submission
// was stored.
func newCancelledJob(j Job, c Cancel) *JobState {
	js := (&JobState{Job: j, Phase: Cancelled, EndedAt: max(c.At, j.AcceptedAt)}).summary()
	return &js
}
