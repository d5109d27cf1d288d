package placement

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// ownBlockMask returns the accelerators of the worker in blocks of the
// account that are not broken.
func ownBlockMask(w *state.Worker, account string) shape.Mask {
	var m shape.Mask
	for _, b := range w.Blocks {
		if b.Broken || b.Account != account {
			continue
		}
		for _, sl := range b.Slots {
			if sl.Worker == w.Index {
				m |= sl.Mask
			}
		}
	}
	return m
}

// reclaimable returns the accelerators of the worker that hold no task, or
// only tasks that are stopping or can be evicted.
func reclaimable(w *state.Worker) shape.Mask {
	if !w.Ready() {
		return 0
	}
	m := w.All()
	for _, t := range w.Tasks {
		if t.Phase != state.TaskStopping && (!t.Job.Evictable() || t.Token != t.Job.Token) {
			m &^= t.Mask
		}
	}
	return m
}

// canRun reports whether the worker may run the job: the job did not fail
// there, and the worker's cores and memory for each accelerator suffice.
func canRun(w *state.Worker, j *state.Job) bool {
	for _, f := range j.FailedOn {
		if f == w.Index {
			return false
		}
	}
	n := float64(w.GPUs)
	return (j.Spec.Cores <= 0 || j.Spec.Cores <= w.Cores/n) && (j.Spec.Memory <= 0 || j.Spec.Memory <= w.Memory/n)
}

// offer is the accelerators of one worker that a job could take.
type offer struct {
	worker *state.Worker
	mask   shape.Mask
	cost   float64 // work lost by eviction from the accelerators
}

// fillShape takes the shape from the offers in their order, or returns nil if
// they do not suffice. The offers lie in one unit, and each worker has at
// most one.
func fillShape(sh shape.Shape, offers []offer) []shape.Slot {
	need := sh.Members
	out := make([]shape.Slot, 0, min(need, len(offers)))
	for _, o := range offers {
		m := min(need, o.mask.Count()/sh.GPUs)
		if m == 0 {
			continue
		}
		out = append(out, shape.Slot{Worker: o.worker.Index, Mask: o.mask.LowestN(m * sh.GPUs)})
		need -= m
		if need == 0 {
			slices.SortFunc(out, func(a, b shape.Slot) int { return cmp.Compare(a.Worker, b.Worker) })
			return out
		}
	}
	return nil
}

// compareTightness orders offers by cost, then by the number of accelerators,
// fewest first, so that whole workers stay free.
func compareTightness(a, b offer) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.mask.Count(), b.mask.Count()), cmp.Compare(a.worker.Index, b.worker.Index))
}
