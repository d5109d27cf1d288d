package placement

import (
	"sync"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Tiers of accelerators that an Index keeps in tables.
const (
	tierOpen  = iota // free and outside blocks
	tierFree         // free, in lent blocks or outside
	tierSpare        // outside blocks, free or held by work that can be stopped
	tiers
)

// Index holds what placement needs of a state, kept current through
// state.State.Touched: the free, reserved and evictable accelerators of each
// worker, rack and failure domain, and racks in buckets by how many members of
// a size they can take; and the waiting jobs by age. It is safe for concurrent use as long as the state does
// not change during a call.
type Index struct {
	mu      sync.Mutex
	state   *state.State
	nodes   []node // by worker number
	dirty   []uint32
	ordinal []int // by rack number: position in its domain
	racks   []Sum
	domains []Sum
	total   Sum
	tables  [tiers][shape.MaxGPUs + 1]*table // by members' accelerators; nil until needed
	active  []*table
	goals   []*goal
	scratch scratch
	jobs    jobs
	claims  map[string]*claimCache // by account

	heldWorkers int    // workers with accelerators on hold
	changes     uint64 // of workers and jobs
}

// Sum counts accelerators of ready workers.
type Sum struct {
	Total     int
	Free      int // hold no task
	Reserved  int // in blocks that are not broken
	Evictable int // hold only work that can be stopped
}

func (a *Sum) add(b Sum, sign int) {
	a.Total += sign * b.Total
	a.Free += sign * b.Free
	a.Reserved += sign * b.Reserved
	a.Evictable += sign * b.Evictable
}

// node is what the index knows of one worker.
type node struct {
	masks     [tiers]shape.Mask
	held      shape.Mask // promised by Hold
	stoppable shape.Mask // see reclaimable
	sum       Sum
	dirty     bool
}

// NewIndex returns an index of the state and registers it as a listener of
// the state's changes, after any earlier listener.
func NewIndex(s *state.State) *Index {
	x := &Index{state: s, claims: map[string]*claimCache{}}
	earlier := s.OnWorkerChange
	s.OnWorkerChange = func(w *state.Worker) {
		if earlier != nil {
			earlier(w)
		}
		x.touched(w)
	}
	for _, w := range s.Workers {
		x.touched(w)
	}
	x.followJobs()
	return x
}

// touched notes that the worker changed; the tables follow at the next query,
// so that a batch of changes to one worker costs one update.
func (x *Index) touched(w *state.Worker) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for len(x.nodes) <= int(w.Index) {
		x.nodes = append(x.nodes, node{})
	}
	x.changes++
	for _, b := range w.Blocks {
		delete(x.claims, b.Account)
	}
	if n := &x.nodes[w.Index]; !n.dirty {
		n.dirty = true
		x.dirty = append(x.dirty, w.Index)
	}
}

// flush brings the tables up to date; the caller holds the lock.
func (x *Index) flush() {
	if len(x.dirty) == 0 {
		return
	}
	x.grow()
	for _, i := range x.dirty {
		x.nodes[i].dirty = false
		x.refresh(x.state.Workers[i])
	}
	x.dirty = x.dirty[:0]
	x.setGoals()
}

// grow makes room for racks and domains that were added since the last call.
func (x *Index) grow() {
	for len(x.domains) < len(x.state.Domains) {
		x.domains = append(x.domains, Sum{})
	}
	if len(x.racks) == len(x.state.Racks) {
		return
	}
	x.racks = append(x.racks, make([]Sum, len(x.state.Racks)-len(x.racks))...)
	x.ordinal = make([]int, len(x.racks))
	for _, d := range x.state.Domains {
		for i, r := range d.Racks {
			x.ordinal[r.Index] = i
		}
	}
}

// refresh derives the worker's masks and carries the difference to all sums.
func (x *Index) refresh(w *state.Worker) {
	n := &x.nodes[w.Index]
	old := n.masks
	var sum Sum
	n.stoppable = reclaimable(w)
	free := w.Free() &^ n.held
	n.masks = [tiers]shape.Mask{free &^ w.Reserved(), free, n.stoppable &^ n.held &^ w.Reserved()}
	if w.Ready() {
		sum = Sum{w.GPUs, free.Count(), w.Reserved().Count(), (n.stoppable &^ w.Free()).Count()}
	}
	if sum != n.sum {
		for _, s := range []*Sum{&x.racks[w.Rack.Index], &x.domains[w.Rack.Domain.Index], &x.total} {
			s.add(n.sum, -1)
			s.add(sum, 1)
		}
		n.sum = sum
	}
	for _, t := range x.active {
		t.move(x, w, old[t.tier].Count(), n.masks[t.tier].Count())
	}
	for _, g := range x.goals {
		g.move(w, old[tierFree].Count(), n.masks[tierFree].Count())
	}
}

// Hold treats the accelerators as occupied until Release; a scheduler holds
// what it has proposed in one round.
func (x *Index) Hold(slots []shape.Slot) { x.hold(slots, true) }

// Release ends the hold of the accelerators.
func (x *Index) Release(slots []shape.Slot) { x.hold(slots, false) }

func (x *Index) hold(slots []shape.Slot, on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.flush()
	x.setHeld(slots, on)
}

func (x *Index) setHeld(slots []shape.Slot, on bool) {
	for _, sl := range slots {
		n := &x.nodes[sl.Worker]
		before := n.held
		if on {
			n.held |= sl.Mask
		} else {
			n.held &^= sl.Mask
		}
		switch {
		case before == n.held:
			continue
		case before == 0:
			x.heldWorkers++
		case n.held == 0:
			x.heldWorkers--
		}
		x.refresh(x.state.Workers[sl.Worker])
	}
}

// Changes returns a number that grows with each change of a worker or job.
func (x *Index) Changes() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.changes
}

// Sum returns the counts of all ready workers.
func (x *Index) Sum() Sum {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.flush()
	return x.total
}

// Rack returns the counts of one rack's ready workers.
func (x *Index) Rack(r *state.Rack) Sum {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.flush()
	if r.Index >= len(x.racks) {
		return Sum{}
	}
	return x.racks[r.Index]
}

// Domain returns the counts of one failure domain's ready workers.
func (x *Index) Domain(d *state.Domain) Sum {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.flush()
	if d.Index >= len(x.domains) {
		return Sum{}
	}
	return x.domains[d.Index]
}
