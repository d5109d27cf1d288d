package placement

import (
	"cmp"
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// PlanBlocks returns blocks for the promises of a new or changed account. The
// account's present blocks stay where they are if their shape is still
// promised, and move only if they hold no guaranteed work and nothing else
// fits. Those that keep their place, promise and copy are left out, because
// the fold carries them over. A broken block without room anywhere is left out, so that it stays
// broken. PlanBlocks fails with *InfeasibleError, which names the guarantee;
// its search is bounded and may refuse what an exhaustive one would find.
func PlanBlocks(s *state.State, account string, promises []state.Guarantee) ([]record.Block, error) {
	a := s.Accounts[account]
	var first *demand // without room in the first search
	for _, pin := range []pinning{pinAll, pinBusy} {
		kept, demands := pinBlocks(s, a, promises, pin)
		if a == nil && pin != pinAll {
			break // nothing to move
		}
		p := newPlanner(s, account, func(b *state.Block) bool { return b.Account == account })
		for _, b := range kept {
			p.take(b.Slots)
		}
		for _, order := range orders {
			slices.SortStableFunc(demands, order.less)
			for _, wide := range []bool{false, true} {
				p.wide, p.budget = wide, planBudget+2*len(demands)
				if out, ok := p.solve(demands); ok {
					return changed(a, promises, append(kept, out...)), nil
				}
				if first == nil {
					d := *p.failed // the order of demands changes
					first = &d
				}
			}
		}
	}
	field := fmt.Sprintf("guarantees[%d]", first.promise)
	return nil, &InfeasibleError{account, field, first.shape, first.copy}
}

// planBudget bounds the attempts of one search beyond one for each block.
const planBudget = 300

// demand is one copy of a promised shape that needs a block.
type demand struct {
	promise, copy int
	shape         shape.Shape
	optional      bool // a broken block, which may stay broken
}

// orders are the sequences in which demands are tried: what is largest, what
// needs most of a worker, and what needs the smallest unit.
var orders = []struct{ less func(a, b demand) int }{
	{func(a, b demand) int { return cmp.Or(compareOptional(a, b), bigger(a.shape, b.shape)) }},
	{func(a, b demand) int {
		return cmp.Or(compareOptional(a, b), cmp.Compare(b.shape.GPUs, a.shape.GPUs), bigger(a.shape, b.shape))
	}},
	{func(a, b demand) int {
		return cmp.Or(compareOptional(a, b), cmp.Compare(a.shape.Level, b.shape.Level), bigger(a.shape, b.shape))
	}},
}

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

// changed returns the blocks, sorted, that are not in place already.
func changed(a *state.Account, promises []state.Guarantee, blocks []record.Block) []record.Block {
	blocks = slices.DeleteFunc(blocks, func(r record.Block) bool {
		return a != nil && slices.ContainsFunc(a.Blocks, func(b *state.Block) bool {
			return !b.Broken && b.GuaranteeIndex == r.GuaranteeIndex && b.Copy == r.Copy &&
				b.Shape == promises[r.GuaranteeIndex].Shape && slices.Equal(b.Slots, r.Slots)
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
	pinBusy         // only those that hold guaranteed work
)

// pinBlocks returns the blocks that stay, and the demands for all others.
func pinBlocks(s *state.State, a *state.Account, promises []state.Guarantee, pin pinning) ([]record.Block, []demand) {
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
	// A block keeps its number where it can; the rest serve other copies.
	for _, exact := range []bool{true, false} {
		for i, g := range promises {
			for c := range g.Count {
				if slices.ContainsFunc(kept, func(k record.Block) bool { return k.GuaranteeIndex == i && k.Copy == c }) {
					continue
				}
				at := slices.IndexFunc(demands, func(d demand) bool { return d.promise == i && d.copy == c })
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

// blockSpace returns the accelerators of the worker that a block of the
// account may take: outside other blocks, and free of work that cannot be
// evicted. own reports blocks that do not count.
func blockSpace(w *state.Worker, account string, own func(*state.Block) bool) shape.Mask {
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
