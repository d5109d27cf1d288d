package plan

import "jasminelane.example/lane/internal/fleet/ledger"

// Room is an amount of a worker's resources.
type Room struct {
	CPU    int64 // thousandths of a core
	Memory int64 // MiB
	GPU    int64
}

// Fits reports whether a need of n lies within the room.
func (r Room) Fits(n Room) bool { return n.CPU <= r.CPU && n.Memory <= r.Memory && n.GPU <= r.GPU }

// Add returns the sum.
func (r Room) Add(o Room) Room { return Room{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU} }

// Sub returns the difference.
func (r Room) Sub(o Room) Room { return Room{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU} }

// Mul returns n times the room.
func (r Room) Mul(n int64) Room { return Room{n * r.CPU, n * r.Memory, n * r.GPU} }

// gpuCores weighs a GPU against processor cores in the cost of lost work.
const gpuCores = 8

// Cores returns the room's weight in cores.
func (r Room) Cores() float64 { return float64(r.CPU)/1000 + gpuCores*float64(r.GPU) }

// Times returns how many needs of n fit.
func (r Room) Times(n Room) int {
	times := int64(1 << 30)
	for _, d := range [][2]int64{{r.CPU, n.CPU}, {r.Memory, n.Memory}, {r.GPU, n.GPU}} {
		if d[1] > 0 {
			times = min(times, max(d[0], 0)/d[1])
		}
	}
	return int(times)
}

// Worker is a backend server that runs tasks.
type Worker struct {
	ID      string
	Service string
	Rack    string
	Labels  []string
	Total   Room
	Free    Room
	Suspect bool // tasks of several jobs failed here lately; used last
}

// Has reports whether the worker carries the label.
func (w *Worker) Has(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Waiting is a unit that could start now.
type Waiting struct {
	ID       ledger.UnitID
	Run      int // number of the run to start
	Service  string
	Account  string
	Priority int
	Since    int64 // Unix ms since when it could start
	Accepted int64 // Unix ms at which its job was accepted
	Late     bool  // its job can no longer meet its objective
	Width    int
	Need     Room // of one task
	Label    string
	Rack     string // rack near its data
	SameRack bool
	Apart    int            // tasks of its step on one worker; 0 is no limit
	Beside   map[string]int // tasks of its step by worker that run now
	Estimate int64          // ms
	Avoid    []string       // workers on which it failed
	Sure     bool           // within its account's guarantee
}

// Running is a unit with a run that has not ended.
type Running struct {
	ID       ledger.UnitID
	Priority int
	Need     Room     // of one task
	Workers  []string // of the members that have not ended
	Unsaved  int64    // ms of work that a stop would lose
	Left     int64    // ms until it ends, by its estimate
	Sure     bool     // within its account's guarantee
	Stopping bool
}

// Hold is room on workers that is kept for a unit until it starts.
type Hold struct {
	Unit     ledger.UnitID
	Priority int // more urgent units may take the room
	Need     Room
	Workers  []string
	Drain    bool // nothing is stopped: the room becomes free by itself
}

// Input is what one round of planning sees.
type Input struct {
	Now     int64 // Unix ms
	Workers []*Worker
	Waiting []*Waiting
	Running []*Running
	Holds   []Hold
}

// Start assigns a unit to workers, one for each task.
type Start struct {
	Unit    *Waiting
	Workers []string
}

// Output is what one round decides.
type Output struct {
	Starts []Start
	Stops  []*Running // to make room for the units of Holds
	Holds  []Hold
}
