package plan

import (
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a unit that waits without a cause, or with that of something else.
func TestWaitCause(t *testing.T) {
	tests := []struct {
		name   string
		change func(u *WaitingUnit, ws []*Worker, in *Input)
		want   WaitCause
		fits   int
	}{
		{"label that no worker has", func(u *WaitingUnit, _ []*Worker, _ *Input) { u.Label = "b" }, WaitNoWorkers, 0},
		{"all busy", func(_ *WaitingUnit, ws []*Worker, _ *Input) { ws[4].Free.GPU, ws[5].Free.GPU = 3, 3 }, WaitNoRoom, 0},
		{"reserved", func(u *WaitingUnit, _ []*Worker, in *Input) {
			in.Reservations = []Reservation{{Unit: ledger.UnitID{Job: "b"}, Need: u.Need, Workers: []string{"w4", "w4", "w5", "w5"}}}
		}, WaitReserved, 4},
		{"reserved for it, elsewhere", func(u *WaitingUnit, _ []*Worker, in *Input) {
			u.Rack = "r0"
			in.Reservations = []Reservation{{Unit: u.ID, Need: u.Need, Workers: []string{"w0"}}}
		}, WaitRack, 4},
		{"failed there", func(u *WaitingUnit, _ []*Worker, _ *Input) { u.AvoidWorkers = []string{"w4", "w5"} }, WaitFailedOn, 4},
		{"crash suspects", func(u *WaitingUnit, ws []*Worker, _ *Input) {
			u.CrashSuspect, ws[4].Watched, ws[5].Watched = true, true, true
		}, WaitCrashApart, 4},
		{"rack of its data", func(u *WaitingUnit, _ []*Worker, _ *Input) { u.Rack = "r0" }, WaitRack, 4},
		{"no whole rack", func(u *WaitingUnit, ws []*Worker, _ *Input) {
			u.Width, u.SameRack = 3, true
			ws[0].Free.GPU, ws[5].Free.GPU = 8, 0
		}, WaitRack, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ws := newWorkers(6)
			for _, w := range ws[:4] {
				w.Free.GPU = 0
			}
			u := unit("a", 1, 1, 4)
			in := Input{Workers: ws, Waiting: []*WaitingUnit{u}}
			tt.change(u, ws, &in)
			out := Decide(in)
			is.Equal(len(out.Placements), 0)
			is.Equal(len(out.Waits), 1)
			is.Equal(out.Waits[0].Cause, tt.want)
			is.Equal(out.Waits[0].Fits, tt.fits)
		})
	}
}

// Guards against units that are not tried and missing among those that wait.
func TestUntriedUnitsWait(t *testing.T) {
	is := is.New(t)
	ws := newWorkers(1)
	var waiting []*WaitingUnit
	for range maxPlacementAttempts + 1 {
		u := unit("a", 1, 1, 9)
		u.ID.Step = len(waiting)
		waiting = append(waiting, u)
	}
	mate := unit("a", 1, 1, 9)
	mate.ID.Index = 1
	out := Decide(Input{Workers: ws, Waiting: append(waiting, mate)})
	count := make(map[WaitCause]int)
	for _, w := range out.Waits {
		count[w.Cause]++
	}
	is.Equal(count, map[WaitCause]int{WaitNoWorkers: maxPlacementAttempts, WaitStep: 1, WaitRoundLimit: 1})
}
