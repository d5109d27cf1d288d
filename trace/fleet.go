package trace

import "jasminelane.example/lane/shape"

// fleet is the topology of a trace. A worker has the same index here and in
// state.State, because racks are published in the order of the trace.
type fleet struct {
	workers []workerSite
	racks   []string
	domains []string
	byName  map[string]int
}

// workerSite is a worker's name, its location as indexes of rack and domain, and
// its number of accelerators.
type workerSite struct {
	name         string
	rack, domain int
	gpus         int
}

func newFleet(t *Trace) *fleet {
	f := &fleet{byName: map[string]int{}}
	domains := map[string]int{}
	for i, r := range t.Racks {
		d, ok := domains[r.Domain]
		if !ok {
			d = len(f.domains)
			domains[r.Domain] = d
			f.domains = append(f.domains, r.Domain)
		}
		f.racks = append(f.racks, r.Name)
		for k := range r.Workers {
			f.byName[r.worker(k)] = len(f.workers)
			f.workers = append(f.workers, workerSite{r.worker(k), i, d, r.GPUs})
		}
	}
	return f
}

// unit returns the index of the worker's topology unit (worker, rack or domain)
// at the level.
func (f *fleet) unit(l shape.Level, worker int) int {
	switch l {
	case shape.LevelWorker:
		return worker
	case shape.LevelRack:
		return f.workers[worker].rack
	default:
		return f.workers[worker].domain
	}
}

// units returns the number of topology units at the level.
func (f *fleet) units(l shape.Level) int {
	switch l {
	case shape.LevelWorker:
		return len(f.workers)
	case shape.LevelRack:
		return len(f.racks)
	default:
		return len(f.domains)
	}
}

// affectedWorkers returns the indexes of the workers that a fault affects.
func (f *fleet) affectedWorkers(ft Fault) []int {
	var out []int
	for i, w := range f.workers {
		switch {
		case (ft.Type == FaultWorker || ft.Type == FaultFailing) && w.name == ft.Target,
			ft.Type == FaultRack && f.racks[w.rack] == ft.Target,
			ft.Type == FaultDomain && f.domains[w.domain] == ft.Target:
			out = append(out, i)
		}
	}
	return out
}

// fragmentation returns the fraction of free accelerators that belong to no
// free block of the shape, or 0 when no accelerator is free. free holds the
// number of free accelerators of each worker. Accelerators of one worker are
// interchangeable, so if a worker has enough for one member, each of its free
// accelerators belongs to some block.
func (f *fleet) fragmentation(free []int, sh shape.Shape) float64 {
	members := make([]int, f.units(sh.Level))
	total := 0
	for i, n := range free {
		total += n
		members[f.unit(sh.Level, i)] += n / sh.GPUs
	}
	if total == 0 {
		return 0
	}
	outside := 0
	for i, n := range free {
		if n < sh.GPUs || members[f.unit(sh.Level, i)] < sh.Members {
			outside += n
		}
	}
	return float64(outside) / float64(total)
}

// firstFit places the shape in the first topology unit with enough free
// accelerators, on its first workers that have them. It returns the number of
// accelerators by worker, or nil if the shape fits nowhere.
func (f *fleet) firstFit(free []int, sh shape.Shape) map[int]int {
	members := make([]int, f.units(sh.Level))
	for i, n := range free {
		members[f.unit(sh.Level, i)] += n / sh.GPUs
	}
	for u, m := range members {
		if m < sh.Members {
			continue
		}
		out := map[int]int{}
		need := sh.Members
		for i, n := range free {
			if f.unit(sh.Level, i) != u || need == 0 {
				continue
			}
			if k := min(need, n/sh.GPUs); k > 0 {
				out[i] = k * sh.GPUs
				need -= k
			}
		}
		return out
	}
	return nil
}
