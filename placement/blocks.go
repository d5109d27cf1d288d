package placement

import (
	"cmp"
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// blockSpace returns the accelerators of the worker that a block of the
// account may take: outside other blocks, and free of work that cannot be
// evicted. keep reports blocks that do not count.
func blockSpace(w *state.Worker, account string, keep func(*state.Block) bool) shape.Mask {
	if !w.Ready() {
		return 0
	}
	m := w.All()
	for _, b := range w.Blocks {
		if b.Broken || keep(b) {
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

// PlanBlocks returns blocks for the promises of a new or changed account; it
// fails with *InfeasibleError, which names the guarantee.
func PlanBlocks(s *state.State, account string, promises []state.Promise) ([]record.Block, error) {
	avail := make([]shape.Mask, len(s.Workers))
	for i, w := range s.Workers {
		avail[i] = blockSpace(w, account, func(b *state.Block) bool { return b.Account == account })
	}
	var out []record.Block
	for i, g := range promises {
		for c := range g.Count {
			slots := tightest(s, g.Shape, avail)
			if slots == nil {
				return nil, &InfeasibleError{account, fmt.Sprintf("guarantees[%d]", i), g.Shape, c}
			}
			for _, sl := range slots {
				avail[sl.Worker] &^= sl.Mask
			}
			out = append(out, record.Block{Promise: i, Copy: c, Slots: slots})
		}
	}
	return out, nil
}

// tightest returns slots for the shape in the unit with the least room.
func tightest(s *state.State, sh shape.Shape, avail []shape.Mask) []shape.Slot {
	units := map[int][]offer{}
	members := map[int]int{}
	for i, w := range s.Workers {
		if avail[i].Count() < sh.GPUs {
			continue
		}
		u := unitOf(sh.Level, w)
		units[u] = append(units[u], offer{w, avail[i]})
		members[u] += avail[i].Count() / sh.GPUs
	}
	best := -1
	for u, n := range members {
		if n >= sh.Members && (best < 0 || n < members[best] || n == members[best] && u < best) {
			best = u
		}
	}
	if best < 0 {
		return nil
	}
	slices.SortStableFunc(units[best], func(a, b offer) int { return cmp.Compare(a.mask.Count(), b.mask.Count()) })
	return fill(sh, units[best])
}
