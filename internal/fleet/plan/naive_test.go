package plan

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// naivePlan is a plain version of planOn for preemptions: it computes the cost of
// each worker anew for each task.
func naivePlan(r *round, u *WaitingUnit, workers []*Worker, running []*RunningUnit) *preemptionPlan {
	free := make(map[string]Resources)
	for _, w := range workers {
		free[w.ID] = w.Free
		for _, v := range running {
			for _, id := range v.Workers {
				if id == w.ID && v.Stopping {
					free[id] = free[id].Add(v.Need)
				}
			}
		}
	}
	p := &preemptionPlan{}
	chosen := make(map[ledger.UnitID]bool)
	placed := make(map[string]int)
	for range u.Width {
		var at *Worker
		var victims []*RunningUnit
		least := 0.0
		for _, w := range workers {
			if !r.eligible(u, w) || r.limitPerWorker(u, w, 1+placed[w.ID]) < 1+placed[w.ID] {
				continue
			}
			vs, cost, ok := naiveVictims(u, w, free[w.ID], chosen, running)
			if w.Suspect {
				cost += suspectCostCoreSeconds
			}
			if ok && (at == nil || cost < least) {
				at, victims, least = w, vs, cost
			}
		}
		if at == nil {
			return nil
		}
		for _, v := range victims {
			chosen[v.ID] = true
			for _, id := range v.Workers {
				if f, ok := free[id]; ok {
					free[id] = f.Add(v.Need)
				}
			}
		}
		p.victims = append(p.victims, victims...)
		p.workers = append(p.workers, at.ID)
		p.cost += least
		placed[at.ID]++
		free[at.ID] = free[at.ID].Sub(u.Need)
	}
	return p
}

// naiveVictims is a plain version of selectVictims for preemptions.
func naiveVictims(u *WaitingUnit, w *Worker, free Resources, chosen map[ledger.UnitID]bool, running []*RunningUnit) (victims []*RunningUnit, total float64, ok bool) {
	if free.Fits(u.Need) {
		return nil, 0, true
	}
	var candidates []*RunningUnit
	for _, v := range running {
		borrowed := v.Priority == u.Priority && u.Guaranteed && !v.Guaranteed
		if !v.Stopping && !chosen[v.ID] && slices.Contains(v.Workers, w.ID) && (v.Priority > u.Priority || borrowed) {
			candidates = append(candidates, v)
		}
	}
	equal := func(v *RunningUnit) int {
		if v.Priority == u.Priority {
			return 1
		}
		return 0
	}
	slices.SortFunc(candidates, func(a, b *RunningUnit) int {
		return cmp.Or(cmp.Compare(equal(a), equal(b)), cmp.Compare(lostCoreSeconds(a), lostCoreSeconds(b)), compareUnits(a.ID, b.ID))
	})
	for _, v := range candidates {
		if free.Fits(u.Need) {
			break
		}
		victims = append(victims, v)
		if equal(v) == 1 {
			total += equalPriorityCostFactor * lostCoreSeconds(v)
		} else {
			total += lostCoreSeconds(v)
		}
		free = free.Add(v.Need)
	}
	return victims, total, free.Fits(u.Need)
}

// drawCluster draws workers and units that run on them.
func drawCluster(t *rapid.T) Input {
	in := Input{Now: 100000}
	for i := range rapid.IntRange(1, 8).Draw(t, "workers") {
		in.Workers = append(in.Workers, &Worker{
			ID: fmt.Sprint("w", i), Service: "s", Total: Resources{8000, 8000, 8}, Free: Resources{8000, 8000, 8},
			Suspect: rapid.IntRange(0, 5).Draw(t, "suspect") == 0,
		})
	}
	for i := range rapid.IntRange(0, 20).Draw(t, "running") {
		v := &RunningUnit{
			ID: ledger.UnitID{Job: fmt.Sprint("v", i)}, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			Need: Resources{1000, 500, int64(1 << rapid.IntRange(0, 2).Draw(t, "gpus"))}, UnsavedMs: int64(rapid.IntRange(0, 3).Draw(t, "unsaved") * 1000),
			Guaranteed: rapid.Bool().Draw(t, "guaranteed"), Stopping: rapid.IntRange(0, 5).Draw(t, "stopping") == 0,
		}
		for range rapid.IntRange(1, 4).Draw(t, "members") {
			w := in.Workers[rapid.IntRange(0, len(in.Workers)-1).Draw(t, "on")]
			if w.Free.Fits(v.Need) {
				w.Free = w.Free.Sub(v.Need)
				v.Workers = append(v.Workers, w.ID)
			}
		}
		if len(v.Workers) > 0 {
			in.Running = append(in.Running, v)
		}
	}
	return in
}

// Guards against a planner that chooses other victims or workers than a plain
// version of it.
func TestPreemptionLikeNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawCluster(t)
		u := &WaitingUnit{
			ID: ledger.UnitID{Job: "u"}, Service: "s", Priority: rapid.IntRange(0, 1).Draw(t, "priority"), Width: rapid.IntRange(1, 10).Draw(t, "width"),
			Need: Resources{1000, 500, int64(1 << rapid.IntRange(0, 3).Draw(t, "gpus"))}, Guaranteed: rapid.Bool().Draw(t, "guaranteed"),
			MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "limit"),
		}
		r := newRound(in)
		r.indexRunning()
		got := r.planOn(u, in.Workers, -1, endingUnits{r.preemptible, preemptionCost})
		want := naivePlan(r, u, in.Workers, in.Running)
		if (got == nil) != (want == nil) {
			t.Fatalf("plan %+v, naive %+v", got, want)
		}
		if got == nil {
			return
		}
		if !slices.Equal(got.workers, want.workers) || !slices.Equal(got.victims, want.victims) {
			t.Fatalf("workers %v, victims %v, cost %v; naive %v, %v, %v", got.workers, got.victims, got.cost, want.workers, want.victims, want.cost)
		}
	})
}
