package placement

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Repair returns records that move broken blocks to accelerators of ready
// workers outside blocks. It returns at most one for each account, because
// each changes the account's revision. Blocks that fit nowhere stay broken.
func Repair(s *state.State) []record.Reserve {
	var broken []*state.Block
	for _, a := range s.Accounts {
		for _, b := range a.Blocks {
			if b.Broken {
				broken = append(broken, b)
			}
		}
	}
	slices.SortFunc(broken, func(a, b *state.Block) int {
		return cmp.Or(compareSize(a.Shape, b.Shape), cmp.Compare(a.Account, b.Account),
			cmp.Compare(a.GuaranteeIndex, b.GuaranteeIndex), cmp.Compare(a.Copy, b.Copy))
	})
	var out []record.Reserve
	var taken []shape.Slot
	done := map[string]bool{}
	planners := map[string]*planner{}
	for _, b := range broken {
		if done[b.Account] {
			continue
		}
		p := planners[b.Account]
		if p == nil {
			p = newPlanner(s, b.Account, func(*state.Block) bool { return false })
			planners[b.Account] = p
			p.reserve(taken)
		}
		slots := p.slotsInSameUnit(b)
		if slots == nil {
			if o := p.candidateSlots(b.Shape); len(o) > 0 {
				slots = o[0]
			}
		}
		if slots == nil {
			continue
		}
		done[b.Account] = true
		taken = append(taken, slots...)
		for _, q := range planners {
			q.reserve(slots)
		}
		out = append(out, record.Reserve{
			Account: b.Account, Revision: s.Accounts[b.Account].Revision,
			Block: record.Block{GuaranteeIndex: b.GuaranteeIndex, Copy: b.Copy, Slots: slots},
		})
	}
	return out
}

// slotsInSameUnit returns slots for the block in its old unit that keep its
// remaining accelerators, where guaranteed work may still run. It returns nil
// if the block does not fit there.
func (p *planner) slotsInSameUnit(b *state.Block) []shape.Slot {
	if len(b.Slots) == 0 {
		return nil
	}
	sh := b.Shape
	unit := unitOf(sh.Level, p.state.Workers[b.Slots[0].Worker])
	offers := p.offers(sh, unit)
	old := map[uint32]shape.Mask{}
	for _, sl := range b.Slots {
		old[sl.Worker] = sl.Mask
	}
	for i, o := range offers {
		if keep := old[o.worker.Index] & o.mask; keep == old[o.worker.Index] && keep != 0 {
			offers[i].mask = keep
			offers[i].cost = -1 // ordered before all others
		}
	}
	slices.SortStableFunc(offers, compareTightness)
	slots := fillShape(sh, offers)
	for i, sl := range slots {
		if sl.Mask != old[sl.Worker] {
			slots[i].Mask = cheapestMask(p.state.Workers[sl.Worker], p.available[sl.Worker], sl.Mask.Count(), p.state.Now)
		}
	}
	return slots
}
