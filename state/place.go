package state

import (
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// place applies record.Place: it assigns accelerators to a waiting job and
// stops the jobs that are evicted for it.
func (s *State) place(p record.Place) (Reason, string) {
	j := s.Jobs[p.Job]
	if j == nil {
		return ReasonUnknown, p.Job
	}
	if j.Phase != JobWaiting {
		return ReasonPhase, j.Phase.String()
	}
	// A proposal cannot be based on a change in its own entry: both would have
	// the same token.
	if j.Revision != p.Revision || j.Token == s.entryToken() {
		return ReasonStale, p.Job
	}
	if p.GraceMs < 0 || p.GraceMs > MaxGraceMs {
		return ReasonField, "grace"
	}
	if detail := s.checkSlots(j.Spec.Shape, p.Slots); detail != "" {
		return ReasonField, detail
	}
	a := s.Accounts[j.Spec.Account]
	if a == nil {
		return ReasonUnknown, j.Spec.Account
	}
	guaranteed := s.inOwnBlocks(a.Name, p.Slots)
	victims, reason, detail := s.victims(p, guaranteed)
	if reason != "" {
		return reason, detail
	}
	used := a.Used + j.Spec.Shape.TotalGPUs()
	for _, v := range victims {
		if v.Spec.Account == a.Name {
			used -= v.Spec.Shape.TotalGPUs()
		}
	}
	if a.Quota > 0 && used > a.Quota {
		return ReasonQuota, a.Name
	}
	for _, sl := range p.Slots {
		w := s.Workers[sl.Worker]
		if !w.Ready() {
			return ReasonWorker, w.Name
		}
		if j.Spec.Once && s.reservedByOthers(w, a.Name)&sl.Mask != 0 {
			return ReasonGuarantee, "job cannot be evicted from a block of another account"
		}
		for _, t := range w.Tasks {
			if t.Mask&sl.Mask != 0 && t.Phase != TaskStopping && !slices.Contains(victims, t.Job) {
				return ReasonBusy, w.Name + ": job " + t.Job.ID
			}
		}
	}
	for _, v := range victims {
		s.stopJob(v, p.GraceMs, "evicted for job "+j.ID)
	}
	j.Phase, j.Token, j.Slots = JobHolding, s.entryToken(), p.Slots
	j.Guaranteed = guaranteed
	j.PendingWorkers = len(p.Slots)
	j.Cause = "placed"
	s.startingJobs[j] = struct{}{}
	s.jobChanged(j)
	a.Used += j.Spec.Shape.TotalGPUs()
	for _, sl := range p.Slots {
		s.addTask(s.Workers[sl.Worker], &Task{Job: j, Token: j.Token, Mask: sl.Mask, Phase: TaskHold})
	}
	return "", ""
}

// victims returns the jobs to evict for the placement. Only a placement within
// the account's own blocks may evict other jobs.
func (s *State) victims(p record.Place, guaranteed bool) ([]*Job, Reason, string) {
	if len(p.Evict) > 0 && !guaranteed {
		return nil, ReasonGuarantee, "only a guaranteed placement can evict"
	}
	var out []*Job
	for i, v := range p.Evict {
		j := s.Jobs[v.Job]
		if j == nil {
			return nil, ReasonUnknown, v.Job
		}
		if j.Token != v.Token || j.Token == s.entryToken() {
			return nil, ReasonToken, v.Job
		}
		if j.Phase == JobStopping || slices.Contains(out, j) {
			continue
		}
		if j.Phase != JobHolding && j.Phase != JobRunning {
			return nil, ReasonPhase, v.Job
		}
		if !j.Evictable() {
			return nil, ReasonGuarantee, "job " + v.Job + " cannot be evicted"
		}
		if !overlap(j.Slots, p.Slots) {
			return nil, ReasonField, fmt.Sprintf("evict[%d]: job %s is not in the way", i, v.Job)
		}
		out = append(out, j)
	}
	return out, "", ""
}

// overlap reports whether two lists of slots, both in ascending order of
// workers, share accelerators.
func overlap(a, b []shape.Slot) bool {
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0].Worker < b[0].Worker:
			a = a[1:]
		case a[0].Worker > b[0].Worker:
			b = b[1:]
		case a[0].Mask&b[0].Mask != 0:
			return true
		default:
			a, b = a[1:], b[1:]
		}
	}
	return false
}

// reservedByOthers returns the worker's accelerators in blocks of other accounts
// that are not broken.
func (s *State) reservedByOthers(w *Worker, account string) shape.Mask {
	var m shape.Mask
	for _, b := range w.Blocks {
		if b.Broken || b.Account == account {
			continue
		}
		m |= maskOn(b.Slots, w)
	}
	return m
}
