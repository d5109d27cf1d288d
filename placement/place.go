package placement

import (
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// Place returns a record that places the waiting job: in its account's own
// blocks, with an eviction list if borrowed work holds them, in space outside
// blocks, or in lent blocks if the job can be evicted. It fails with
// *NoFitError.
//
// A job that fills whole blocks of its account is entitled to evict; it goes
// outside instead only where the work lost by eviction weighs more than the
// fragmentation there. A smaller job first uses blocks that already hold
// guaranteed work and takes whole ones last, so that the account's own small
// jobs do not keep its guaranteed shapes waiting.
func (x *Index) Place(j *state.Job, p Policy) (record.Place, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.flush()
	sh := j.Spec.Shape
	out := record.Place{Job: j.ID, Revision: j.Revision}
	a := x.state.Accounts[j.Spec.Account]
	if a == nil {
		return out, &NoFitError{j.ID, sh, "account does not exist"}
	}
	if a.Quota > 0 && a.Used+sh.Total() > a.Quota {
		return out, &NoFitError{j.ID, sh, "quota of the account is in use"}
	}
	c := x.choose(j, a, p)
	if c.slots == nil && x.scratch.kept {
		return out, &NoFitError{j.ID, sh, "the last free " + x.goals[0].shape.Level.String() + " that fits the largest guaranteed shape is spared for a time"}
	}
	if c.slots == nil {
		return out, &NoFitError{j.ID, sh, "no " + sh.Level.String() + " has enough adjacent free accelerators"}
	}
	out.Slots = c.slots
	for _, v := range c.victims {
		out.Evict = append(out.Evict, record.Victim{Job: v.ID, Token: v.Token})
		out.GraceMs = p.grace(j.Spec.Urgent)
	}
	return out, nil
}

// choose returns the placement of the job, with nil slots if there is none.
func (x *Index) choose(j *state.Job, a *state.Account, p Policy) choice {
	x.scratch.kept = false
	own := x.searchOwn(j, a, p)
	if own.slots != nil && len(own.victims) == 0 && (own.whole || own.shared) {
		return own
	}
	open := x.search(j, tierOpen, spaceAll)
	if !x.spared(j, open, p) {
		open = choice{}
	}
	switch {
	case own.slots != nil && own.whole:
		_, weight := p.weights()
		if open.slots == nil || own.cost <= weight*open.damage*fragmentHorizon {
			return own
		}
		return open
	case open.slots != nil:
		return open
	}
	if !j.Spec.Once {
		if lent := x.search(j, tierFree, spaceLent); lent.slots != nil && x.spared(j, lent, p) {
			return lent
		}
	}
	if own.slots != nil {
		return own
	}
	// What remains is space partly in own blocks and partly outside them.
	rest := spaceAll
	if j.Spec.Once {
		rest = spaceOwn
	}
	c := x.search(j, tierFree, rest)
	if !x.spared(j, c, p) {
		return choice{}
	}
	return c
}
