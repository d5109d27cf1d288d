package trace

import "jasminelane.example/lane/shape"

// fleet is the topology of a trace; a worker's index is its number in
// state.State too, because racks are published in the order of the trace.
type fleet struct {
	workers []site
	racks   []string
	domains []string
	byName  map[string]int
}

// site is where one worker stands.
type site struct {
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
			f.workers = append(f.workers, site{r.worker(k), i, d, r.GPUs})
		}
	}
	return f
}

// unit returns the number of the unit that holds the worker at the level.
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

// units returns how many units the level has.
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

// targets returns the workers that a fault concerns.
func (f *fleet) targets(ft Fault) []int {
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

// fragmentation returns the share of free accelerators outside any free block
// that fits the shape, 0 when nothing is free; free counts each worker's free
// accelerators. Accelerators of one worker are interchangeable, so a worker
// with enough for one member has all its free ones in some block.
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

// firstFit returns how many accelerators each worker gives to the shape, taken
// from the first unit and the first workers that have room, or nil.
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
