package plan

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// fleet returns n workers of 8 GPUs, four to a rack.
func fleet(n int) []*Worker {
	var out []*Worker
	for i := range n {
		room := Room{CPU: 128000, Memory: 256000, GPU: 8}
		rack := fmt.Sprintf("r%d", i/4)
		out = append(out, &Worker{ID: fmt.Sprintf("w%d", i), Service: "press", Rack: rack, Labels: []string{"a", rack}, Total: room, Free: room})
	}
	return out
}

func unit(job string, priority, width int, gpu int64) *Waiting {
	return &Waiting{ID: ledger.UnitID{Job: job}, Run: 1, Service: "press", Priority: priority, Width: width, Need: Room{CPU: 1000, GPU: gpu}, Estimate: 5000}
}

// fill makes a unit run on workers and takes its room.
func fill(ws []*Worker, job string, priority int, gpu int64, unsaved int64, on ...int) *Running {
	r := &Running{ID: ledger.UnitID{Job: job}, Priority: priority, Need: Room{CPU: 1000, GPU: gpu}, Unsaved: unsaved}
	for _, i := range on {
		ws[i].Free = ws[i].Free.Sub(r.Need)
		r.Workers = append(r.Workers, ws[i].ID)
	}
	return r
}

// Guards against placements that a worker, a rack or a step's limits forbid,
// and against waits where there is room.
func TestPlacement(t *testing.T) {
	tests := []struct {
		name    string
		workers int
		change  func(u *Waiting, ws []*Worker)
		want    []string // nil: waits
	}{
		{"gang on one worker", 8, func(u *Waiting, _ []*Worker) { u.Width, u.Need.GPU = 2, 4 }, []string{"w0", "w0"}},
		{"best fit keeps whole workers free", 2, func(u *Waiting, ws []*Worker) { ws[1].Free.GPU = 3 }, []string{"w1"}},
		{"gang too large for the free room waits", 2, func(u *Waiting, ws []*Worker) { u.Width, u.Need.GPU, ws[1].Free.GPU = 2, 8, 7 }, nil},
		{"one rack", 8, func(u *Waiting, ws []*Worker) {
			u.Width, u.Need.GPU, u.SameRack = 3, 8, true
			ws[0].Free.GPU, ws[1].Free.GPU = 0, 0
		}, []string{"w4", "w5", "w6"}},
		{"one rack waits rather than spread", 8, func(u *Waiting, ws []*Worker) {
			u.Width, u.Need.GPU, u.SameRack = 3, 8, true
			ws[0].Free.GPU, ws[1].Free.GPU, ws[4].Free.GPU, ws[5].Free.GPU = 0, 0, 0, 0
		}, nil},
		{"spread when no rack could hold it", 8, func(u *Waiting, ws []*Worker) { u.Width, u.Need.GPU, u.SameRack = 5, 8, true }, []string{"w0", "w1", "w2", "w3", "w4"}},
		{"near its data", 8, func(u *Waiting, _ []*Worker) { u.Rack = "r1" }, []string{"w4"}},
		{"far from its data after a long wait", 8, func(u *Waiting, ws []*Worker) {
			u.Rack, u.Since = "r1", -10001
			for _, w := range ws[4:] {
				w.Free.GPU = 0
			}
		}, []string{"w0"}},
		{"waits for the rack of its data", 8, func(u *Waiting, ws []*Worker) {
			u.Rack, u.Since = "r1", -9999
			for _, w := range ws[4:] {
				w.Free.GPU = 0
			}
		}, nil},
		{"label", 4, func(u *Waiting, ws []*Worker) { u.Label, ws[2].Labels = "b", []string{"b", "r0"} }, []string{"w2"}},
		{"other service", 2, func(u *Waiting, ws []*Worker) { ws[0].Service = "other" }, []string{"w1"}},
		{"apart", 3, func(u *Waiting, _ []*Worker) {
			u.Width, u.Apart, u.Beside = 2, 1, map[string]int{"w0": 1}
		}, []string{"w1", "w2"}},
		{"not where it failed", 2, func(u *Waiting, _ []*Worker) { u.Avoid = []string{"w0"} }, []string{"w1"}},
		{"where it failed if nowhere else", 2, func(u *Waiting, _ []*Worker) { u.Width, u.Need.GPU, u.Avoid = 2, 8, []string{"w0"} }, []string{"w0", "w1"}},
		{"suspect worker last", 2, func(u *Waiting, ws []*Worker) { ws[0].Suspect = true }, []string{"w1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ws := fleet(tt.workers)
			u := unit("a", 1, 1, 1)
			tt.change(u, ws)
			out := Decide(Input{Workers: ws, Waiting: []*Waiting{u}})
			if tt.want == nil {
				is.Equal(len(out.Starts), 0)
				return
			}
			is.Equal(len(out.Starts), 1)
			is.Equal(out.Starts[0].Workers, tt.want)
		})
	}
}

// Guards against urgent work that waits behind longer work, and against stops
// that throw away more than they must.
func TestEviction(t *testing.T) {
	is := is.New(t)
	ws := fleet(4)
	running := []*Running{
		fill(ws, "gang", 1, 8, 9000, 0, 1),
		fill(ws, "long", 2, 8, 8000, 2),
		fill(ws, "short", 2, 8, 500, 3),
	}
	in := Input{Workers: ws, Waiting: []*Waiting{unit("urgent", 0, 1, 4)}, Running: running}
	out := Decide(in)
	is.Equal(len(out.Starts), 0)
	is.Equal(len(out.Stops), 1)
	is.Equal(out.Stops[0].ID.Job, "short")
	is.Equal(out.Holds[0].Workers, []string{"w3"})

	// Work that is as urgent is not stopped.
	ws = fleet(1)
	out = Decide(Input{Workers: ws, Waiting: []*Waiting{unit("urgent", 0, 1, 4)}, Running: []*Running{fill(ws, "other", 0, 8, 0, 0)}})
	is.Equal(len(out.Stops), 0)
}

// Guards against urgent units that make room on a worker on which runs fail or
// are slow, because less is lost there.
func TestEvictionAvoidsSuspects(t *testing.T) {
	is := is.New(t)
	ws := fleet(2)
	running := []*Running{fill(ws, "short", 2, 8, 100, 0), fill(ws, "long", 2, 8, 9000, 1)}
	ws[0].Suspect = true
	out := Decide(Input{Workers: ws, Waiting: []*Waiting{unit("urgent", 0, 1, 4)}, Running: running})
	is.Equal(len(out.Stops), 1)
	is.Equal(out.Stops[0].ID.Job, "long")
}

// Guards against work within its account's guarantee that waits for urgent work
// of accounts that use more than theirs, which no less urgent work can make
// room for.
func TestEvictionOfBorrowers(t *testing.T) {
	tests := []struct {
		name       string
		sure       bool // the waiting unit
		victimSure bool
		other      bool // less urgent work could give way too
		want       string
	}{
		{"borrower gives way", true, false, false, "borrower"},
		{"less urgent work goes first", true, false, true, "low"},
		{"guaranteed work stays", true, true, false, ""},
		{"borrowers do not stop each other", false, false, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ws := fleet(2)
			running := []*Running{fill(ws, "borrower", 0, 8, 100, 0), fill(ws, "guaranteed", 0, 8, 100, 1)}
			running[0].Sure, running[1].Sure = tt.victimSure, true
			if tt.other {
				ws = append(ws, fleet(3)[2])
				running = append(running, fill(ws, "low", 2, 8, 900, 2))
			}
			u := unit("urgent", 0, 1, 4)
			u.Sure = tt.sure
			out := Decide(Input{Workers: ws, Waiting: []*Waiting{u}, Running: running})
			got := ""
			for _, v := range out.Stops {
				got += v.ID.Job
			}
			is.Equal(got, tt.want)
		})
	}
}

// Guards against room that was freed for one unit and is taken by another.
func TestHeldRoom(t *testing.T) {
	is := is.New(t)
	ws := fleet(1)
	ws[0].Free.GPU = 4
	urgent, other := unit("urgent", 0, 1, 4), unit("other", 0, 1, 4)
	other.Accepted = -1 // comes first in the queue
	h := Hold{Unit: urgent.ID, Need: urgent.Need, Workers: []string{"w0"}}
	out := Decide(Input{Workers: ws, Waiting: []*Waiting{urgent, other}, Holds: []Hold{h}})
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Unit.ID.Job, "urgent")
}

// Guards against a start in kept room that the step's limits forbid by now.
func TestHeldRoomApart(t *testing.T) {
	is := is.New(t)
	u := unit("a", 0, 1, 4)
	u.Apart, u.Beside = 1, map[string]int{"w0": 1}
	out := Decide(Input{Workers: fleet(1), Waiting: []*Waiting{u}, Holds: []Hold{{Unit: u.ID, Need: u.Need, Workers: []string{"w0"}}}})
	is.Equal(len(out.Starts), 0)
}

// Guards against large gangs that wait for ever while small units take each
// gap, and against room kept for them that more urgent units may not take.
func TestDrain(t *testing.T) {
	is := is.New(t)
	ws := fleet(2)
	running := []*Running{fill(ws, "a", 1, 6, 0, 0), fill(ws, "b", 1, 6, 0, 1)}
	running[0].Left, running[1].Left = 9000, 1000
	gang, small, urgent := unit("gang", 1, 1, 8), unit("small", 2, 1, 1), unit("urgent", 0, 1, 2)
	gang.Since = -2000
	out := Decide(Input{Workers: ws, Waiting: []*Waiting{gang, small}, Running: running})
	is.Equal(len(out.Stops), 0)
	is.Equal(len(out.Holds), 1)
	is.Equal(out.Holds[0].Workers, []string{"w1"}) // becomes free first
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Workers, []string{"w0"}) // not in the kept room

	ws = fleet(2)
	running = []*Running{fill(ws, "a", 1, 8, 0, 0), fill(ws, "b", 1, 6, 0, 1)}
	out = Decide(Input{Workers: ws, Waiting: []*Waiting{gang, small, urgent}, Running: running, Holds: out.Holds})
	is.Equal(len(out.Starts), 1)
	is.Equal(out.Starts[0].Unit.ID.Job, "urgent")
}

// Guards against an order of the queue that serves hopeless or less urgent
// work first.
func TestOrder(t *testing.T) {
	is := is.New(t)
	late, sure, first, second, low := unit("late", 0, 1, 1), unit("sure", 0, 1, 1), unit("first", 0, 1, 1), unit("second", 0, 1, 1), unit("low", 1, 1, 1)
	late.Late, sure.Sure = true, true
	second.Accepted = 5
	ws := []*Waiting{low, late, second, first, sure}
	order(ws)
	var got []string
	for _, u := range ws {
		got = append(got, u.ID.Job)
	}
	is.Equal(got, []string{"sure", "first", "second", "late", "low"})
}

// Guards against a round that takes longer than the time between two rounds.
// The numbers of workers are today's, the grown deployments' and the target's.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{48, 350, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				ws := fleet(n)
				var running []*Running
				for i := range ws {
					running = append(running, fill(ws, fmt.Sprint("r", i), 2, 7, int64(i), i))
				}
				var waiting []*Waiting
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
