package placement

import (
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// Place returns a record that places the waiting job. It looks for accelerators
// in the account's own blocks, where it lists borrowing jobs for eviction; then
// outside blocks; then in lent blocks, if the job itself can be evicted. It
// fails with *NoFitError.
//
// A job that fills whole blocks of its account is entitled to evict. It is
// placed outside its blocks only if the work lost by eviction weighs more than
// the fragmentation that it causes outside. A smaller job first uses blocks that
// already hold guaranteed work and takes other blocks last, so that the
// account's own small jobs do not delay its jobs of a guaranteed shape.
func (x *Index) Place(j *state.Job, p Policy) (record.Place, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.update()
	sh := j.Spec.Shape
	out := record.Place{Job: j.ID, Revision: j.Revision}
	a := x.state.Accounts[j.Spec.Account]
	if a == nil {
		return out, &NoFitError{j.ID, sh, "account does not exist"}
	}
	if a.Quota > 0 && a.Used+sh.TotalGPUs() > a.Quota {
		return out, &NoFitError{j.ID, sh, "quota of the account is in use"}
	}
	c := x.choose(j, a, p)
	if c.slots == nil && x.scratch.spareRefused {
		return out, &NoFitError{j.ID, sh, "the last free " + x.targets[0].shape.Level.String() + " that fits the largest guaranteed shape is spared for a time"}
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

// choose returns the placement of the job. Its slots are nil if there is
// none.
func (x *Index) choose(j *state.Job, a *state.Account, p Policy) candidate {
	x.scratch.spareRefused = false
	own := x.findOwnSlots(j, a, p)
	if own.slots != nil && len(own.victims) == 0 && (own.wholeBlocks || own.sharedOnly) {
		return own
	}
	unreserved := x.findSlots(j, tierUnreserved, allBlocks)
	if !x.sparesLastUnit(j, unreserved, p) {
		unreserved = candidate{}
	}
	switch {
	case own.slots != nil && own.wholeBlocks:
		_, weight := p.weights()
		if unreserved.slots == nil || own.cost <= weight*unreserved.fragmentationDelta*fragmentationHorizonMs {
			return own
		}
		return unreserved
	case unreserved.slots != nil:
		return unreserved
	}
	if !j.Spec.Once {
		if lent := x.findSlots(j, tierFree, exceptOwnBlocks); lent.slots != nil && x.sparesLastUnit(j, lent, p) {
			return lent
		}
	}
	if own.slots != nil {
		return own
	}
	// The job may still fit partly in own blocks and partly outside them.
	filter := allBlocks
	if j.Spec.Once {
		filter = exceptForeignBlocks
	}
	c := x.findSlots(j, tierFree, filter)
	if !x.sparesLastUnit(j, c, p) {
		return candidate{}
	}
	return c
}
