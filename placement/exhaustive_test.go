package placement

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// exhaustiveSearch tries all combinations to find out whether shapes fit at
// the same time.
type exhaustiveSearch struct {
	state      *state.State
	infeasible map[string]bool // free counts and remaining shapes that do not fit
}

// fits reports whether all shapes fit on disjoint accelerators; free has the
// number of each worker's.
func (e *exhaustiveSearch) fits(free []int, shapes []shape.Shape) bool {
	if len(shapes) == 0 {
		return true
	}
	key := fmt.Sprint(free, len(shapes))
	if e.infeasible[key] {
		return false
	}
	sh := shapes[0]
	for u := range unitCount(e.state, sh.Level) {
		if e.fitMembers(free, unitWorkers(e.state, sh.Level, u), sh, sh.Members, shapes[1:]) {
			return true
		}
	}
	if e.infeasible == nil {
		e.infeasible = map[string]bool{}
	}
	e.infeasible[key] = true
	return false
}

// fitMembers places the remaining members of one shape on the workers.
func (e *exhaustiveSearch) fitMembers(free []int, workers []*state.Worker, sh shape.Shape, left int, rest []shape.Shape) bool {
	if left == 0 {
		return e.fits(free, rest)
	}
	if len(workers) == 0 {
		return false
	}
	w := workers[0].Index
	for n := 0; n <= left && n*sh.GPUs <= free[w]; n++ {
		free[w] -= n * sh.GPUs
		ok := e.fitMembers(free, workers[1:], sh, left-n, rest)
		free[w] += n * sh.GPUs
		if ok {
			return true
		}
	}
	return false
}

// drawShape draws a small shape.
func drawShape(t *rapid.T, label string) shape.Shape {
	return shape.Shape{
		Members: rapid.IntRange(1, 4).Draw(t, label+".members"),
		GPUs:    rapid.IntRange(1, 3).Draw(t, label+".gpus"),
		Level:   shape.Level(rapid.IntRange(0, 2).Draw(t, label+".level")),
	}
}

// history applies random records to a small cluster, among them those that
// the index and the planner propose. It fails if the state refuses one of the
// proposed records.
type history struct {
	*cluster
	index *Index
	jobs  int
}

// drawHistory draws a cluster and up to the given number of steps.
func drawHistory(t *rapid.T, steps int) *history {
	c := newCluster(t, rapid.IntRange(1, 2).Draw(t, "domains"), rapid.IntRange(1, 2).Draw(t, "racks"),
		rapid.IntRange(1, 3).Draw(t, "workers"), rapid.IntRange(1, 4).Draw(t, "gpus"))
	h := &history{cluster: c, index: NewIndex(c.state)}
	for _, name := range []string{"asha", "ben"} {
		if err := c.account(name); err != nil {
			t.Fatal(err)
		}
	}
	for range rapid.IntRange(0, steps).Draw(t, "steps") {
		h.step(t)
		h.check()
	}
	return h
}

// step draws and applies the records of one action.
func (h *history) step(t *rapid.T) {
	s := h.state
	h.nowMs += 1000
	for _, j := range h.index.Waiting() {
		h.index.OwnBlockFits(j) // fills the cache, which the next record may have to invalidate
	}
	for _, a := range s.Accounts {
		h.index.Borrowed(a)
	}
	name := rapid.SampledFrom([]string{"asha", "ben"}).Draw(t, "account")
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0:
		sh := drawShape(t, "promise")
		g := state.GuaranteeBody{Shape: sh.String(), Count: rapid.IntRange(1, 2).Draw(t, "count")}
		var no *InfeasibleError
		if err := h.account(name, g); err != nil && !errors.As(err, &no) {
			t.Fatal(err)
		}
	case 1, 2, 3, 4:
		h.jobs++
		sub := record.Submit{
			Job: fmt.Sprintf("j%d", h.jobs), Account: name, Kind: "test", Shape: drawShape(t, "job"),
			Once: rapid.IntRange(0, 3).Draw(t, "once") == 0, Checkpoint: rapid.Bool().Draw(t, "checkpoint"),
		}
		if o := h.apply(record.KindSubmit, sub); o.Accepted() {
			_ = h.place(h.index, s.Jobs[sub.Job])
		}
	case 5:
		for _, r := range Repair(s) {
			h.must(record.KindReserve, r)
		}
	case 6:
		w := s.Workers[rapid.IntRange(0, len(s.Workers)-1).Draw(t, "worker")]
		next := record.ConditionLost
		if w.Condition != record.ConditionReady {
			next = record.ConditionReady
		}
		h.must(record.KindHealth, record.Health{Worker: w.Index, Revision: w.Revision, Condition: next})
	case 7:
		for _, r := range Defragment(h.index, Policy{}, s.Now+migrationMinRunMs) {
			h.must(record.KindPreempt, r)
		}
	default:
		h.stop(rapid.IntRange(0, max(0, h.jobs)).Draw(t, "job"))
	}
}

// stop ends the tasks of one job: those that are stopping report that they
// stopped, those that run finish.
func (h *history) stop(n int) {
	j := h.state.Jobs[fmt.Sprintf("j%d", n)]
	if j == nil {
		return
	}
	token := j.Token
	for _, sl := range append([]shape.Slot(nil), j.Slots...) {
		h.apply(record.KindReport, record.Report{Worker: sl.Worker, Results: []record.Result{
			{Job: j.ID, Token: token, Outcome: record.RunDone},
		}})
	}
}

// placeable searches exhaustively whether the job could be placed: in its
// account's blocks, if the work in them can be stopped, or on free
// accelerators that it may use.
func placeable(s *state.State, j *state.Job) bool {
	own, open := make([]int, len(s.Workers)), make([]int, len(s.Workers))
	for i, w := range s.Workers {
		for k := range w.GPUs {
			m := shape.Mask(1) << k
			mine := ownBlockMask(w, j.Spec.Account)&m != 0
			stoppable := w.Ready()
			for _, t := range w.Tasks {
				if t.Mask&m != 0 && t.Phase != state.TaskStopping && (t.Job.Spec.Once || t.Job.Guaranteed || t.Phase == state.TaskDone && t.Token != t.Job.Token) {
					stoppable = false
				}
			}
			if mine && stoppable {
				own[i]++
			}
			if w.Free()&m != 0 && (mine || !j.Spec.Once || w.Reserved()&m == 0) {
				open[i]++
			}
		}
	}
	e := &exhaustiveSearch{state: s}
	f := &exhaustiveSearch{state: s}
	return e.fits(own, []shape.Shape{j.Spec.Shape}) || f.fits(open, []shape.Shape{j.Spec.Shape})
}

// Guards against an index that finds no placement where one exists, or
// proposes one that the state refuses.
func TestPlaceAgainstExhaustive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t, 25)
		sub := record.Submit{Job: "probe", Account: "asha", Kind: "test", Shape: drawShape(t, "probe"), Once: rapid.Bool().Draw(t, "once")}
		if !h.apply(record.KindSubmit, sub).Accepted() {
			return
		}
		j := h.state.Jobs["probe"]
		want := placeable(h.state, j)
		// This late, no small job has to spare the last unit any more, so that only
		// the fit decides.
		p, err := h.index.Place(j, Policy{NowMs: 1 << 62})
		if (err == nil) != want {
			t.Fatalf("place %s: got %v, exhaustive search says %v", sub.Shape, err, want)
		}
		if err == nil {
			h.must(record.KindPlace, p)
			h.check()
		}
	})
}

// Guards against an index that differs from the state after a change, because
// a listener or a cache missed it.
func TestIndexFollowsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t, 30)
		fresh := NewIndex(h.state)
		if got, want := h.index.ClusterCounts(), fresh.ClusterCounts(); got != want {
			t.Fatalf("sum is %+v, a new index has %+v", got, want)
		}
		for i := range h.state.Workers {
			if h.index.workers[i] != fresh.workers[i] {
				t.Fatalf("worker %d is %+v, a new index has %+v", i, h.index.workers[i], fresh.workers[i])
			}
		}
		if got, want := h.index.Fragmentation(), Fragmentation(h.state); got != want {
			t.Fatalf("fragmentation is %v, a scan says %v", got, want)
		}
		if got, want := h.index.Waiting(), fresh.Waiting(); !slices.Equal(got, want) {
			t.Fatalf("%d jobs wait, a new index has %d", len(got), len(want))
		}
		for _, j := range fresh.Waiting() {
			if got, want := h.index.OwnBlockFits(j), fresh.OwnBlockFits(j); got != want {
				t.Fatalf("job %s: %d claims, a new index says %d", j.ID, got, want)
			}
		}
		for _, a := range h.state.Accounts {
			if got, want := h.index.Borrowed(a), fresh.Borrowed(a); got != want {
				t.Fatalf("account %s borrows %d, a new index says %d", a.Name, got, want)
			}
		}
		for _, old := range h.index.active {
			again := fresh.fitTable(old.tier, old.gpus)
			for r := range again.racks {
				if old.racks[r] != again.racks[r] {
					t.Fatalf("rack %d takes %d members of %d, a new index says %d", r, old.racks[r], old.gpus, again.racks[r])
				}
			}
		}
	})
}
