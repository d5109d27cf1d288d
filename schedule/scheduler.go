package schedule

import (
	"cmp"
	"fmt"
	"slices"

	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// DefaultRound is how many records a round proposes at most.
const DefaultRound = 64

// Scheduler turns a state and a time into records to propose. It is not safe
// for concurrent use.
type Scheduler struct {
	Index  *placement.Index
	Policy placement.Policy
	Round  int // records a round at most; default DefaultRound
}

// Decide returns records that the fold accepts if nothing else happens in
// between; now is in Unix milliseconds.
func (c *Scheduler) Decide(s *state.State, now int64) []record.Record {
	var waiting []*state.Job
	for _, j := range s.Jobs {
		if j.Phase == state.JobWaiting {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, func(a, b *state.Job) int {
		if a.Spec.Urgent != b.Spec.Urgent {
			if a.Spec.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	limit := c.Round
	if limit <= 0 {
		limit = DefaultRound
	}
	var out []record.Record
	used := map[string]int{}
	for _, j := range waiting {
		if len(out) >= limit {
			break
		}
		a := s.Accounts[j.Spec.Account]
		if a == nil || a.Quota > 0 && a.Used+used[a.Name]+j.Spec.Shape.Total() > a.Quota {
			continue
		}
		p, err := c.Index.Place(j, c.Policy)
		if err != nil {
			continue
		}
		r, err := record.New(record.KindPlace, fmt.Sprintf("place-%s-%d", j.ID, j.Revision), p)
		if err != nil {
			continue
		}
		used[a.Name] += j.Spec.Shape.Total()
		c.Index.Hold(p.Slots)
		defer c.Index.Release(p.Slots)
		out = append(out, r)
	}
	return out
}
