package plan

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// newWorkers returns n idle workers with 8 GPUs each, four to a rack.
func newWorkers(n int) []*Worker {
	var out []*Worker
	for i := range n {
		total := Resources{CPU: 128000, Memory: 256000, GPU: 8}
		rack := fmt.Sprintf("r%d", i/4)
		out = append(out, &Worker{ID: fmt.Sprintf("w%d", i), Service: "press", Rack: rack, Labels: []string{"a", rack}, Total: total, Free: total})
	}
	return out
}

// unit returns a waiting unit whose tasks need one core and gpu GPUs each.
func unit(job string, priority, width int, gpu int64) *WaitingUnit {
	return &WaitingUnit{ID: ledger.UnitID{Job: job}, Run: 1, Service: "press", Priority: priority, Width: width, Need: Resources{CPU: 1000, GPU: gpu}, EstimateMs: 5000}
}

// runOn returns a unit that runs one task on each of the workers with the given
// indexes, and subtracts the tasks' needs from their free resources.
func runOn(ws []*Worker, job string, priority int, gpu int64, unsavedMs int64, indexes ...int) *RunningUnit {
	r := &RunningUnit{ID: ledger.UnitID{Job: job}, Priority: priority, Need: Resources{CPU: 1000, GPU: gpu}, UnsavedMs: unsavedMs}
	for _, i := range indexes {
		ws[i].Free = ws[i].Free.Sub(r.Need)
		r.Workers = append(r.Workers, ws[i].ID)
	}
	return r
}

// Guards against placements that exceed a worker's resources or ignore its
// service, its labels, the rack or the limits of the step, and against units
// that wait although enough resources are free.
func TestPlacement(t *testing.T) {
	tests := []struct {
		name    string
		workers int
		change  func(u *WaitingUnit, ws []*Worker)
		want    []string // nil: waits
	}{
		{"gang on one worker", 8, func(u *WaitingUnit, _ []*Worker) { u.Width, u.Need.GPU = 2, 4 }, []string{"w0", "w0"}},
		{"best fit keeps whole workers free", 2, func(u *WaitingUnit, ws []*Worker) { ws[1].Free.GPU = 3 }, []string{"w1"}},
		{"gang too large for the free room waits", 2, func(u *WaitingUnit, ws []*Worker) { u.Width, u.Need.GPU, ws[1].Free.GPU = 2, 8, 7 }, nil},
		{"one rack", 8, func(u *WaitingUnit, ws []*Worker) {
			u.Width, u.Need.GPU, u.SameRack = 3, 8, true
			ws[0].Free.GPU, ws[1].Free.GPU = 0, 0
		}, []string{"w4", "w5", "w6"}},
		{"one rack waits rather than spread", 8, func(u *WaitingUnit, ws []*Worker) {
			u.Width, u.Need.GPU, u.SameRack = 3, 8, true
			ws[0].Free.GPU, ws[1].Free.GPU, ws[4].Free.GPU, ws[5].Free.GPU = 0, 0, 0, 0
		}, nil},
		{"spread when no rack could hold it", 8, func(u *WaitingUnit, ws []*Worker) { u.Width, u.Need.GPU, u.SameRack = 5, 8, true }, []string{"w0", "w1", "w2", "w3", "w4"}},
		{"near its data", 8, func(u *WaitingUnit, _ []*Worker) { u.Rack = "r1" }, []string{"w4"}},
		{"far from its data after a long wait", 8, func(u *WaitingUnit, ws []*Worker) {
			u.Rack, u.ReadySince = "r1", -10001
			for _, w := range ws[4:] {
				w.Free.GPU = 0
			}
		}, []string{"w0"}},
		{"waits for the rack of its data", 8, func(u *WaitingUnit, ws []*Worker) {
			u.Rack, u.ReadySince = "r1", -9999
			for _, w := range ws[4:] {
				w.Free.GPU = 0
			}
		}, nil},
		{"label", 4, func(u *WaitingUnit, ws []*Worker) { u.Label, ws[2].Labels = "b", []string{"b", "r0"} }, []string{"w2"}},
		{"other service", 2, func(u *WaitingUnit, ws []*Worker) { ws[0].Service = "other" }, []string{"w1"}},
		{"apart", 3, func(u *WaitingUnit, _ []*Worker) {
			u.Width, u.MaxPerWorker, u.RunningTasks = 2, 1, map[string]int{"w0": 1}
		}, []string{"w1", "w2"}},
		{"not where it failed", 2, func(u *WaitingUnit, _ []*Worker) { u.AvoidWorkers = []string{"w0"} }, []string{"w1"}},
		{"where it failed if nowhere else", 2, func(u *WaitingUnit, _ []*Worker) { u.Width, u.Need.GPU, u.AvoidWorkers = 2, 8, []string{"w0"} }, []string{"w0", "w1"}},
		{"suspect worker last", 2, func(u *WaitingUnit, ws []*Worker) { ws[0].Suspect = true }, []string{"w1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ws := newWorkers(tt.workers)
			u := unit("a", 1, 1, 1)
			tt.change(u, ws)
			out := Decide(Input{Workers: ws, Waiting: []*WaitingUnit{u}})
			if tt.want == nil {
				is.Equal(len(out.Placements), 0)
				return
			}
			is.Equal(len(out.Placements), 1)
			is.Equal(out.Placements[0].Workers, tt.want)
		})
	}
}

// Guards against an urgent unit that waits while less urgent work occupies all
// workers, and against preemptions that lose more work than necessary.
func TestEviction(t *testing.T) {
	is := is.New(t)
	ws := newWorkers(4)
	running := []*RunningUnit{
		runOn(ws, "gang", 1, 8, 9000, 0, 1),
		runOn(ws, "long", 2, 8, 8000, 2),
		runOn(ws, "short", 2, 8, 500, 3),
	}
	in := Input{Workers: ws, Waiting: []*WaitingUnit{unit("urgent", 0, 1, 4)}, Running: running}
	out := Decide(in)
	is.Equal(len(out.Placements), 0)
	is.Equal(len(out.Preemptions), 1)
	is.Equal(out.Preemptions[0].ID.Job, "short")
	is.Equal(out.Reservations[0].Workers, []string{"w3"})

	// A unit of the same priority is not preempted.
	ws = newWorkers(1)
	out = Decide(Input{Workers: ws, Waiting: []*WaitingUnit{unit("urgent", 0, 1, 4)}, Running: []*RunningUnit{runOn(ws, "other", 0, 8, 0, 0)}})
	is.Equal(len(out.Preemptions), 0)
}

// Guards against preemption on a suspect worker, on which runs fail or are slow,
// because stopping the work there loses less.
func TestEvictionAvoidsSuspects(t *testing.T) {
	is := is.New(t)
	ws := newWorkers(2)
	running := []*RunningUnit{runOn(ws, "short", 2, 8, 100, 0), runOn(ws, "long", 2, 8, 9000, 1)}
	ws[0].Suspect = true
	out := Decide(Input{Workers: ws, Waiting: []*WaitingUnit{unit("urgent", 0, 1, 4)}, Running: running})
	is.Equal(len(out.Preemptions), 1)
	is.Equal(out.Preemptions[0].ID.Job, "long")
}

// Guards against a unit within its account's guarantee that waits for units of
// the same priority whose accounts use more than their guarantee, when stopping
// less urgent work cannot free enough resources.
func TestEvictionOfBorrowers(t *testing.T) {
	tests := []struct {
		name             string
		guaranteed       bool   // whether the waiting unit is within its account's guarantee
		victimGuaranteed bool   // whether the unit "borrower" is within its account's guarantee
		lessUrgent       bool   // whether a less urgent unit runs as well
		want             string // job that is preempted; empty if there is none
	}{
		{"borrower gives way", true, false, false, "borrower"},
		{"less urgent work goes first", true, false, true, "low"},
		{"guaranteed work stays", true, true, false, ""},
		{"borrowers do not stop each other", false, false, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ws := newWorkers(2)
			running := []*RunningUnit{runOn(ws, "borrower", 0, 8, 100, 0), runOn(ws, "guaranteed", 0, 8, 100, 1)}
			running[0].Guaranteed, running[1].Guaranteed = tt.victimGuaranteed, true
			if tt.lessUrgent {
				ws = append(ws, newWorkers(3)[2])
				running = append(running, runOn(ws, "low", 2, 8, 900, 2))
			}
			u := unit("urgent", 0, 1, 4)
			u.Guaranteed = tt.guaranteed
			out := Decide(Input{Workers: ws, Waiting: []*WaitingUnit{u}, Running: running})
			got := ""
			for _, v := range out.Preemptions {
				got += v.ID.Job
			}
			is.Equal(got, tt.want)
		})
	}
}

// Guards against resources that are reserved for one unit and taken by another
// of the same priority that comes earlier in the queue.
func TestHeldRoom(t *testing.T) {
	is := is.New(t)
	ws := newWorkers(1)
	ws[0].Free.GPU = 4
	urgent, other := unit("urgent", 0, 1, 4), unit("other", 0, 1, 4)
	other.AcceptedAt = -1 // comes first in the queue
	h := Reservation{Unit: urgent.ID, Need: urgent.Need, Workers: []string{"w0"}}
	out := Decide(Input{Workers: ws, Waiting: []*WaitingUnit{urgent, other}, Reservations: []Reservation{h}})
	is.Equal(len(out.Placements), 1)
	is.Equal(out.Placements[0].Unit.ID.Job, "urgent")
}

// Guards against a start on reserved resources that breaks the limit of tasks
// per worker, because other tasks of the step have started there since the
// reservation.
func TestHeldRoomApart(t *testing.T) {
	is := is.New(t)
	u := unit("a", 0, 1, 4)
	u.MaxPerWorker, u.RunningTasks = 1, map[string]int{"w0": 1}
	out := Decide(Input{Workers: newWorkers(1), Waiting: []*WaitingUnit{u}, Reservations: []Reservation{{Unit: u.ID, Need: u.Need, Workers: []string{"w0"}}}})
	is.Equal(len(out.Placements), 0)
}

// Guards against starvation of large gangs while small units occupy each gap,
// and against non-preemptive reservations that more urgent units may not use.
func TestDrain(t *testing.T) {
	is := is.New(t)
	ws := newWorkers(2)
	running := []*RunningUnit{runOn(ws, "a", 1, 6, 0, 0), runOn(ws, "b", 1, 6, 0, 1)}
	running[0].RemainingMs, running[1].RemainingMs = 9000, 1000
	gang, small, urgent := unit("gang", 1, 1, 8), unit("small", 2, 1, 1), unit("urgent", 0, 1, 2)
	gang.ReadySince = -2000
	out := Decide(Input{Workers: ws, Waiting: []*WaitingUnit{gang, small}, Running: running})
	is.Equal(len(out.Preemptions), 0)
	is.Equal(len(out.Reservations), 1)
	is.Equal(out.Reservations[0].Workers, []string{"w1"}) // becomes free first
	is.Equal(len(out.Placements), 1)
	is.Equal(out.Placements[0].Workers, []string{"w0"}) // not on the reserved worker

	ws = newWorkers(2)
	running = []*RunningUnit{runOn(ws, "a", 1, 8, 0, 0), runOn(ws, "b", 1, 6, 0, 1)}
	out = Decide(Input{Workers: ws, Waiting: []*WaitingUnit{gang, small, urgent}, Running: running, Reservations: out.Reservations})
	is.Equal(len(out.Placements), 1)
	is.Equal(out.Placements[0].Unit.ID.Job, "urgent")
}

// Guards against a queue in which less urgent units, or jobs that gain less for the work they need, come first.
func TestOrder(t *testing.T) {
	job := func(name string, total, toStart, age float64) *WaitingUnit {
		u := unit(name, 1, 1, 1)
		u.Work, u.Age = Work{total, toStart}, age
		return u
	}
	whole := func(name string, age float64, late bool) *WaitingUnit {
		u := unit(name, 1, 8, 1)
		u.Whole, u.Work, u.Age, u.Late, u.AcceptedAt = true, Work{10, 10}, age, late, -int64(10*age)
		return u
	}
	lasting := job("lasting", 10, 10, 1000)
	lasting.Lasting = true
	guaranteed, second, low, high := unit("sure", 1, 1, 1), unit("second", 1, 1, 1), unit("low", 2, 1, 1), unit("high", 0, 1, 1)
	guaranteed.Guaranteed, second.AcceptedAt = true, 5
	tests := []struct {
		name  string
		units []*WaitingUnit
		want  []string
	}{
		{"priority, guarantee, acceptance", []*WaitingUnit{low, second, unit("first", 1, 1, 1), guaranteed, high}, []string{"high", "sure", "first", "second", "low"}},
		{"jobs that start as a whole and can meet their objective first", []*WaitingUnit{whole("expired", 4, true), whole("late", 1.5, true), whole("second", 0.1, false), whole("first", 0.2, false)}, []string{"first", "second", "late", "expired"}},
		{"least left first", []*WaitingUnit{job("new", 78, 78, 0), job("half", 78, 39, 0), job("last", 78, 1, 0)}, []string{"last", "half", "new"}},
		{"nearly done though late", []*WaitingUnit{job("new", 78, 78, 0), job("late", 78, 2, 2)}, []string{"late", "new"}},
		{"older first", []*WaitingUnit{job("new", 78, 78, 0), job("old", 78, 78, 0.5)}, []string{"old", "new"}},
		{"small first", []*WaitingUnit{job("large", 400, 400, 0), job("small", 8, 8, 0)}, []string{"small", "large"}},
		{"large before it expires", []*WaitingUnit{job("small", 8, 8, 0), job("mean", 78, 78, 0), job("large", 400, 400, 2.9)}, []string{"large", "small", "mean"}},
		{"expired last", []*WaitingUnit{job("expired", 78, 78, 3.1), job("late", 78, 78, 2), job("new", 78, 78, 0.9)}, []string{"late", "new", "expired"}},
		{"expired long ago", []*WaitingUnit{job("expired", 78, 78, 1000), job("new", 78, 78, 0)}, []string{"new", "expired"}},
		{"a task that lasts does not expire", []*WaitingUnit{job("expired", 78, 78, 4), whole("late", 1.5, true), lasting}, []string{"lasting", "late", "expired"}},
		{"expired but nearly done", []*WaitingUnit{job("new", 78, 78, 0), job("expired", 78, 1, 3.1)}, []string{"expired", "new"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			sortWaiting(tt.units)
			var got []string
			for _, u := range tt.units {
				got = append(got, u.ID.Job)
			}
			is.Equal(got, tt.want)
		})
	}
}

// Guards against a round that takes longer than the time between two rounds.
// The numbers of workers are those of today's deployments, of the grown
// deployments and of the target.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{48, 350, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				ws := newWorkers(n)
				var running []*RunningUnit
				for i := range ws {
					running = append(running, runOn(ws, fmt.Sprint("r", i), 2, 7, int64(i), i))
				}
				var waiting []*WaitingUnit
				for i := range 50 {
					u := unit(fmt.Sprint("u", i), i%3, 4, 4)
					u.SameRack = i%2 == 0
					waiting = append(waiting, u)
				}
				b.StartTimer()
				Decide(Input{Workers: ws, Waiting: waiting, Running: running})
			}
		})
	}
}

// Guards against work that is placed beside a unit that may crash its worker, and
// against two such units on one worker, which leaves open which of them crashed it.
func TestCrashSuspectApart(t *testing.T) {
	tests := []struct {
		name   string
		second func(u *WaitingUnit)
		change func(ws []*Worker)
		want   []string // of the second unit; nil: waits
	}{
		{"other work elsewhere", func(u *WaitingUnit) { u.Need.GPU = 6 }, func([]*Worker) {}, []string{"w2"}},
		{"other work beside it when nothing else is free", func(u *WaitingUnit) { u.Need.GPU = 6 }, func(ws []*Worker) { ws[2].Free.GPU = 0 }, []string{"w1"}},
		{"another suspect elsewhere", func(u *WaitingUnit) { u.CrashSuspect = true }, func([]*Worker) {}, []string{"w2"}},
		{"another suspect waits", func(u *WaitingUnit) { u.CrashSuspect, u.Need.GPU = true, 3 }, func(ws []*Worker) { ws[2].Free.GPU = 0 }, nil},
		{"another suspect has waited", func(u *WaitingUnit) { u.CrashSuspect, u.Need.GPU, u.ReadySince = true, 3, -crashApartMs-1 }, func(ws []*Worker) { ws[2].Free.GPU = 0 }, []string{"w1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ws := newWorkers(3)
			ws[0].Free.GPU = 2
			tt.change(ws)
			first, second := unit("a", 1, 1, 1), unit("b", 1, 1, 1)
			first.CrashSuspect = true
			tt.second(second)
			out := Decide(Input{Workers: ws, Waiting: []*WaitingUnit{first, second}})
			is.Equal(out.Placements[0].Workers, []string{"w1"})
			if tt.want == nil {
				is.Equal(len(out.Placements), 1)
				return
			}
			is.Equal(out.Placements[1].Workers, tt.want)
		})
	}
}
