package placement

import (
	"cmp"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// compareSize orders shapes by total accelerators, largest first, and then by
// how hard they are to place: the smaller unit first, then the larger member.
func compareSize(a, b shape.Shape) int {
	return cmp.Or(cmp.Compare(b.TotalGPUs(), a.TotalGPUs()), cmp.Compare(a.Level, b.Level), cmp.Compare(b.GPUs, a.GPUs))
}

// LargestGuarantee returns the largest guaranteed shape. ok is false if there
// are no guarantees.
func LargestGuarantee(s *state.State) (sh shape.Shape, ok bool) {
	for _, a := range s.Accounts {
		for _, g := range a.Guarantees {
			if !ok || compareSize(g.Shape, sh) < 0 {
				sh, ok = g.Shape, true
			}
		}
	}
	return sh, ok
}

// Fragmentation returns the share, 0 to 1, of free accelerators outside units
// where the largest guaranteed shape fits now, or on workers of such units
// with too few free ones for a member. It is 0 if no accelerator is free or
// nothing is guaranteed.
func Fragmentation(s *state.State) float64 {
	sh, ok := LargestGuarantee(s)
	if !ok {
		return 0
	}
	n := max(len(s.Racks), len(s.Domains), len(s.Workers))
	members, usable := make([]int, n), make([]int, n)
	free := 0
	for _, w := range s.Workers {
		c := w.Free().Count()
		free += c
		if c >= sh.GPUs {
			u := unitOf(sh.Level, w)
			members[u] += c / sh.GPUs
			usable[u] += c
		}
	}
	if free == 0 {
		return 0
	}
	inside := 0
	for u, m := range members {
		if m >= sh.Members {
			inside += usable[u]
		}
	}
	return 1 - float64(inside)/float64(free)
}

// unitOf returns the number of the worker's unit at the level.
func unitOf(l shape.Level, w *state.Worker) int {
	switch l {
	case shape.LevelWorker:
		return int(w.Index)
	case shape.LevelRack:
		return w.Rack.Index
	default:
		return w.Rack.Domain.Index
	}
}
