package placement

import (
	"sync"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Tiers of accelerators. An Index has a mask per worker and fit tables for
// each tier.
const (
	tierUnreserved = iota // free and outside blocks
	tierFree              // free, in lent blocks or outside
	tierCount
)

// Index derives from the replicated state what placement decisions need and
// keeps it current through the listeners of the state. It holds the total,
// free, reserved and evictable accelerators of each worker, rack and failure
// domain, the racks grouped by how many members of a size fit, and the
// waiting jobs by age. It is safe for concurrent use as long as the state
// does not change during a call.
type Index struct {
	mu           sync.Mutex
	state        *state.State
	workers      []workerAccelerators // by worker number
	dirty        []uint32             // numbers of the workers that changed since update
	rackPosition []int                // by rack number: position in its domain
	racks        []Counts
	domains      []Counts
	total        Counts
	tables       [tierCount][shape.MaxGPUs + 1]*fitTable // by the accelerators of one member; nil until needed
	active       []*fitTable                             // all tables that were built
	targets      []*target
	scratch      scratch
	jobs         jobTracker
	blockFits    map[string]*ownBlocksCache // by account

	heldWorkers int    // workers with accelerators held by Hold
	changeCount uint64 // changes of workers and jobs seen
}

// Counts has the numbers of accelerators of ready workers.
type Counts struct {
	Total     int
	Free      int // hold no task
	Reserved  int // in blocks that are not broken
	Evictable int // in use, but only by work that can be stopped
}

// add adds sign times b.
func (a *Counts) add(b Counts, sign int) {
	a.Total += sign * b.Total
	a.Free += sign * b.Free
	a.Reserved += sign * b.Reserved
	a.Evictable += sign * b.Evictable
}

// workerAccelerators is what the index derives from one worker.
type workerAccelerators struct {
	masks       [tierCount]shape.Mask
	held        shape.Mask // held by Hold
	reclaimable shape.Mask // result of the function reclaimable
	counts      Counts
	dirty       bool
}

// NewIndex returns an index of the state and registers it as a listener of
// the state's changes. Listeners that were registered earlier are called
// first.
func NewIndex(s *state.State) *Index {
	x := &Index{state: s, blockFits: map[string]*ownBlocksCache{}}
	earlier := s.OnWorkerChange
	s.OnWorkerChange = func(w *state.Worker) {
		if earlier != nil {
			earlier(w)
		}
		x.workerChanged(w)
	}
	for _, w := range s.Workers {
		x.workerChanged(w)
	}
	x.trackJobs()
	return x
}

// workerChanged marks the worker as changed. The counts and tables are
// updated at the next query, so that a batch of changes to one worker costs
// one update.
func (x *Index) workerChanged(w *state.Worker) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for len(x.workers) <= int(w.Index) {
		x.workers = append(x.workers, workerAccelerators{})
	}
	x.changeCount++
	for _, b := range w.Blocks {
		delete(x.blockFits, b.Account)
	}
	if n := &x.workers[w.Index]; !n.dirty {
		n.dirty = true
		x.dirty = append(x.dirty, w.Index)
	}
}

// update brings all counts and tables up to date. The caller holds x.mu.
func (x *Index) update() {
	if len(x.dirty) == 0 {
		return
	}
	x.extend()
	for _, i := range x.dirty {
		x.workers[i].dirty = false
		x.refresh(x.state.Workers[i])
	}
	x.dirty = x.dirty[:0]
	x.updateTargets()
}

// extend adds entries for the racks and domains that were added to the state
// since the last call.
func (x *Index) extend() {
	for len(x.domains) < len(x.state.Domains) {
		x.domains = append(x.domains, Counts{})
	}
	if len(x.racks) == len(x.state.Racks) {
		return
	}
	x.racks = append(x.racks, make([]Counts, len(x.state.Racks)-len(x.racks))...)
	x.rackPosition = make([]int, len(x.racks))
	for _, d := range x.state.Domains {
		for i, r := range d.Racks {
			x.rackPosition[r.Index] = i
		}
	}
}

// refresh derives the worker's masks and counts anew and applies the
// difference to all counts, tables and targets.
func (x *Index) refresh(w *state.Worker) {
	n := &x.workers[w.Index]
	old := n.masks
	var counts Counts
	n.reclaimable = reclaimable(w)
	free := w.Free() &^ n.held
	n.masks = [tierCount]shape.Mask{free &^ w.Reserved(), free}
	if w.Ready() {
		counts = Counts{w.GPUs, free.Count(), w.Reserved().Count(), (n.reclaimable &^ w.Free()).Count()}
	}
	if counts != n.counts {
		for _, s := range []*Counts{&x.racks[w.Rack.Index], &x.domains[w.Rack.Domain.Index], &x.total} {
			s.add(n.counts, -1)
			s.add(counts, 1)
		}
		n.counts = counts
	}
	for _, t := range x.active {
		t.update(x, w, old[t.tier].Count(), n.masks[t.tier].Count())
	}
	for _, g := range x.targets {
		g.update(w, old[tierFree].Count(), n.masks[tierFree].Count())
	}
}

// Hold treats the accelerators as in use until Release. A scheduler holds
// those of the placements that it has proposed in one round.
func (x *Index) Hold(slots []shape.Slot) { x.hold(slots, true) }

// Release ends the effect of Hold on the accelerators.
func (x *Index) Release(slots []shape.Slot) { x.hold(slots, false) }

// hold brings the index up to date and calls setHeld.
func (x *Index) hold(slots []shape.Slot, on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.update()
	x.setHeld(slots, on)
}

// setHeld marks the accelerators as held or not. The caller holds x.mu, and
// the index is up to date.
func (x *Index) setHeld(slots []shape.Slot, on bool) {
	for _, sl := range slots {
		n := &x.workers[sl.Worker]
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

// ChangeCount returns a number that grows with each change of a worker or
// job.
func (x *Index) ChangeCount() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.changeCount
}

// ClusterCounts returns the counts over all ready workers.
func (x *Index) ClusterCounts() Counts {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.update()
	return x.total
}

// RackCounts returns the counts over the rack's ready workers.
func (x *Index) RackCounts(r *state.Rack) Counts {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.update()
	if r.Index >= len(x.racks) {
		return Counts{}
	}
	return x.racks[r.Index]
}

// DomainCounts returns the counts over the failure domain's ready workers.
func (x *Index) DomainCounts(d *state.Domain) Counts {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.update()
	if d.Index >= len(x.domains) {
		return Counts{}
	}
	return x.domains[d.Index]
}
