package placement

import (
	"cmp"
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// PlanBlocks returns blocks for the guarantees of a new or changed account. The
// account's present blocks stay in place if their shape is still guaranteed. In
// a second search, those without guaranteed work may move, if the guarantees fit
// in no other way. Blocks that keep their place, guarantee and copy are left
// out of the result, because they stay when the record is applied. A broken
// block that fits nowhere is left out too, so that it stays broken. PlanBlocks
// fails with *InfeasibleError, which names the guarantee. Its search is bounded
// and may refuse guarantees for which an exhaustive search would find blocks.
func PlanBlocks(s *state.State, account string, guarantees []state.Guarantee) ([]record.Block, error) {
	a := s.Accounts[account]
	var first *demand // demand that did not fit in the first search
	for _, pin := range []pinning{pinAll, pinBusy} {
		kept, demands := pinBlocks(s, a, guarantees, pin)
		if a == nil && pin != pinAll {
			break // no present blocks that could move
		}
		p := newPlanner(s, account, func(b *state.Block) bool { return b.Account == account })
		for _, b := range kept {
			p.reserve(b.Slots)
		}
		for _, order := range demandOrders {
			slices.SortStableFunc(demands, order.less)
			for _, worstFit := range []bool{false, true} {
				p.worstFit, p.budget = worstFit, extraAttempts+2*len(demands)
				if out, ok := p.solve(demands); ok {
					return changedBlocks(a, guarantees, append(kept, out...)), nil
				}
				if first == nil {
					d := *p.failed // a copy, because demands is sorted again
					first = &d
				}
			}
		}
	}
	field := fmt.Sprintf("guarantees[%d]", first.guarantee)
	return nil, &InfeasibleError{account, field, first.shape, first.copy}
}

// extraAttempts bounds the attempts of one search, in addition to two for
// each demand.
const extraAttempts = 300

// demand is one copy of a guaranteed shape that needs a block.
type demand struct {
	guarantee, copy int
	shape           shape.Shape
	optional        bool // for a broken block, which may stay broken
}

// demandOrders are the orders in which demands are tried: largest shape
// first, largest member first, and smallest unit first.
var demandOrders = []struct{ less func(a, b demand) int }{
	{func(a, b demand) int { return cmp.Or(compareOptional(a, b), compareSize(a.shape, b.shape)) }},
	{func(a, b demand) int {
		return cmp.Or(compareOptional(a, b), cmp.Compare(b.shape.GPUs, a.shape.GPUs), compareSize(a.shape, b.shape))
	}},
	{func(a, b demand) int {
		return cmp.Or(compareOptional(a, b), cmp.Compare(a.shape.Level, b.shape.Level), compareSize(a.shape, b.shape))
	}},
}

// compareOptional orders demands: optional ones come last.
func compareOptional(a, b demand) int {
	switch {
	case a.optional == b.optional:
		return 0
	case b.optional:
		return -1
	default:
		return 1
	}
}

// changedBlocks returns the blocks that are not in place already, sorted by
// guarantee and copy.
func changedBlocks(a *state.Account, guarantees []state.Guarantee, blocks []record.Block) []record.Block {
	blocks = slices.DeleteFunc(blocks, func(r record.Block) bool {
		return a != nil && slices.ContainsFunc(a.Blocks, func(b *state.Block) bool {
			return !b.Broken && b.GuaranteeIndex == r.GuaranteeIndex && b.Copy == r.Copy &&
				b.Shape == guarantees[r.GuaranteeIndex].Shape && slices.Equal(b.Slots, r.Slots)
		})
	})
	slices.SortFunc(blocks, func(a, b record.Block) int {
		return cmp.Or(cmp.Compare(a.GuaranteeIndex, b.GuaranteeIndex), cmp.Compare(a.Copy, b.Copy))
	})
	return blocks
}

// pinning says which of an account's present blocks stay in place.
type pinning int

const (
	pinAll  pinning = iota
	pinBusy         // only blocks that hold guaranteed work
)

// pinBlocks returns the blocks that stay in place, and the demands for all
// other copies.
func pinBlocks(s *state.State, a *state.Account, guarantees []state.Guarantee, pin pinning) ([]record.Block, []demand) {
	var kept []record.Block
	var demands []demand
	used := map[*state.Block]bool{}
	find := func(sh shape.Shape, same func(*state.Block) bool) *state.Block {
		if a == nil {
			return nil
		}
		for _, b := range a.Blocks {
			if !used[b] && b.Shape == sh && same(b) && (b.Broken || pin == pinAll || holdsGuaranteed(s, b)) {
				return b
			}
		}
		return nil
	}
	// First pass: a block stays with its guarantee and copy. Second pass: the
	// remaining blocks serve other copies of their shape.
	for _, exact := range []bool{true, false} {
		for i, g := range guarantees {
			for c := range g.Count {
				if slices.ContainsFunc(kept, func(k record.Block) bool { return k.GuaranteeIndex == i && k.Copy == c }) {
					continue
				}
				at := slices.IndexFunc(demands, func(d demand) bool { return d.guarantee == i && d.copy == c })
				b := find(g.Shape, func(b *state.Block) bool {
					return (b.GuaranteeIndex == i && b.Copy == c) == exact && (exact || !b.Broken)
				})
				switch {
				case b != nil && !b.Broken:
					used[b] = true
					kept = append(kept, record.Block{GuaranteeIndex: i, Copy: c, Slots: b.Slots})
					if at >= 0 {
						demands = slices.Delete(demands, at, at+1)
					}
				case at < 0:
					demands = append(demands, demand{i, c, g.Shape, b != nil})
				}
			}
		}
	}
	return kept, demands
}

// holdsGuaranteed reports whether guaranteed work runs in the block.
func holdsGuaranteed(s *state.State, b *state.Block) bool {
	for _, sl := range b.Slots {
		for _, t := range s.Workers[sl.Worker].Tasks {
			if t.Mask&sl.Mask != 0 && t.Job.Guaranteed && t.Token == t.Job.Token {
				return true
			}
		}
	}
	return false
}

// availableForBlocks returns the accelerators of the worker that a block of
// the account may take: those outside other blocks whose tasks, if any, are
// stopping or done, belong to the account or can be evicted. own reports
// blocks whose accelerators count as available.
func availableForBlocks(w *state.Worker, account string, own func(*state.Block) bool) shape.Mask {
	if !w.Ready() {
		return 0
	}
	m := w.All()
	for _, b := range w.Blocks {
		if b.Broken || own(b) {
			continue
		}
		for _, sl := range b.Slots {
			if sl.Worker == w.Index {
				m &^= sl.Mask
			}
		}
	}
	for _, t := range w.Tasks {
		if t.Phase == state.TaskStopping || t.Phase == state.TaskDone || t.Job.Spec.Account == account || t.Job.Evictable() {
			continue
		}
		m &^= t.Mask
	}
	return m
}
