package trace

import (
	"time"

	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/schedule"
	"jasminelane.example/lane/state"
)

// Options changes the product's replay. The zero value replays the product
// unchanged.
type Options struct {
	// Policy replaces the placement policy that the trace's weight determines.
	Policy *placement.Policy

	// NewDecide replaces the product's scheduler. It is called for each new
	// incarnation of the instances.
	NewDecide func(s *state.State, p placement.Policy) Decide
}

// Run replays the trace file through the product and through the naive
// baseline. The result is complete if the error is nil or *ExpectError, which
// lists all failed expectations. Other errors include *FileError and
// *ReplayError.
func Run(path string, o Options) (Result, error) {
	t, err := ReadFile(path)
	if err != nil {
		return Result{}, err
	}
	return Replay(t, o)
}

// Replay is like Run for a trace in memory.
func Replay(t *Trace, o Options) (Result, error) {
	began := time.Now()
	r, err := runProduct(t, o)
	if err != nil {
		return Result{Trace: t.Head.Name, User: t.Head.User}, err
	}
	p, n := r.recorder.measures(), runNaive(t).measures()
	res := Result{
		Trace: t.Head.Name, User: t.Head.User, Values: r.values(p, n), Product: p, Naive: n,
		Late: r.waits.late, Refused: map[string]int{}, Shed: r.requests.notDone,
	}
	for reason, k := range r.log.refused {
		res.Refused[string(reason)] = k
	}
	res.Took = time.Since(began).Milliseconds()
	if failures := t.failedExpectations(res.Values, r.recorder); len(failures) > 0 {
		return res, &ExpectError{t.Head.Name, failures}
	}
	return res, nil
}

// Policy returns the placement policy of the trace's user. A Weight of 0 favors
// short completion times, 1 favors low fragmentation, and 0.5 weighs both
// equally.
func (h Head) Policy() placement.Policy {
	// Neither weight may become 0, because 0 means the default in a policy.
	const least = 0.01
	return placement.Policy{CompletionWeight: max(least, 2-2*h.Weight), FragmentationWeight: max(least, 2*h.Weight)}
}

// decider returns the function that creates the scheduler of an incarnation.
func (o Options) decider(t *Trace) func(*state.State) Decide {
	policy := t.Head.Policy()
	if o.Policy != nil {
		policy = *o.Policy
	}
	return func(s *state.State) Decide {
		if o.NewDecide != nil {
			return o.NewDecide(s, policy)
		}
		c := &schedule.Scheduler{Index: placement.NewIndex(s), Policy: policy}
		return c.Decide
	}
}
