package plan

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// fixedValue is the share of a job's value to its caller that does not depend on
	// its size, for a job of mean size. The rest grows with the job's work.
	fixedValue = 0.3

	// lateValue is the share of its value that a late job counts with if it starts as
	// a whole.
	lateValue = 0.5

	// expiredValue is the share of its value that an expired job counts with. It is
	// above 0 so that nearly finished jobs still end.
	expiredValue = 0.1
)

// Work is the work of one occurrence of a job, in core-seconds by its caller's
// estimates. The zero value is unknown.
type Work struct {
	Total   float64 // of all tasks
	ToStart float64 // of the tasks that are neither done nor running
}

// sortWaiting sorts units by priority. Within one priority, units within their
// account's guarantee come first, then those of the highest urgency; among equals,
// the job that was accepted first comes first.
func sortWaiting(units []*WaitingUnit) {
	mean := meanWork(units)
	for _, u := range units {
		u.urgency = urgency(u, mean[u.Priority])
	}
	slices.SortStableFunc(units, func(a, b *WaitingUnit) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority),
			compareBool(b.Guaranteed, a.Guaranteed),
			cmp.Compare(b.urgency, a.urgency),
			cmp.Compare(a.AcceptedAt, b.AcceptedAt),
			compareUnits(a.ID, b.ID),
		)
	})
}

// urgency compares units of one priority.
//
// A task that lasts earns while it runs, however old its job is. Of jobs that are
// one gang, and so start as a whole, those that can still meet their objective come
// first.
//
// Any other job is of use only when its last task has
// ended. If the units of all were equal, room that is scarce would be spread over all
// such jobs, and few of them would end. So their urgency is the value of the job for
// each core-second that it still has to start (weighted shortest remaining work first).
// It rises with the job's age, so that a large job overtakes small ones before it
// expires. The age counts squared: linear, the factor would be at most
// 1+ledger.MaxLateness, and the smallest jobs have more value for their work than that.
func urgency(u *WaitingUnit, meanWork float64) float64 {
	density := 1.0
	if !u.Whole && u.Work.ToStart > 0 {
		density = (fixedValue*meanWork + (1-fixedValue)*u.Work.Total) / u.Work.ToStart
	}
	switch {
	case u.Lasting:
		return 1
	case u.Age > ledger.MaxLateness:
		return expiredValue * density
	case !u.Whole:
		return density * (1 + u.Age) * (1 + u.Age)
	case u.Late:
		return lateValue
	}
	return 1
}

// meanWork returns the mean work of a job by priority.
func meanWork(units []*WaitingUnit) map[int]float64 {
	type occurrence struct {
		job string
		n   int
	}
	seen := make(map[occurrence]bool)
	count := make(map[int]float64)
	mean := make(map[int]float64)
	for _, u := range units {
		key := occurrence{u.ID.Job, u.ID.Occurrence}
		if seen[key] {
			continue
		}
		seen[key] = true
		count[u.Priority]++
		mean[u.Priority] += (u.Work.Total - mean[u.Priority]) / count[u.Priority]
	}
	return mean
}

// compareUnits orders units by their IDs.
func compareUnits(a, b ledger.UnitID) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index),
	)
}
