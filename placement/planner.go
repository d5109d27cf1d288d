package placement

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// planner searches disjoint space for blocks, depth first with a budget.
type planner struct {
	state  *state.State
	avail  []shape.Mask // by worker number
	rooms  map[roomKey][]int
	wide   bool // prefers the units with most room
	budget int  // attempts left
	failed *demand
}

// roomKey names a count of members by unit.
type roomKey struct {
	level shape.Level
	gpus  int
}

// newPlanner returns a planner for blocks of the account; own reports present
// blocks that do not count as taken.
func newPlanner(s *state.State, account string, own func(*state.Block) bool) *planner {
	p := &planner{state: s, avail: make([]shape.Mask, len(s.Workers)), rooms: map[roomKey][]int{}}
	for i, w := range s.Workers {
		p.avail[i] = blockSpace(w, account, own)
	}
	return p
}

// solve returns blocks for all demands that are not optional; p.failed is the
// first demand without room otherwise.
func (p *planner) solve(demands []demand) ([]record.Block, bool) {
	p.failed = nil
	var out []record.Block
	var next func(i int) bool
	next = func(i int) bool {
		if i == len(demands) {
			return true
		}
		d := &demands[i]
		for _, slots := range p.options(d.shape) {
			if p.budget--; p.budget < 0 {
				return false
			}
			p.take(slots)
			out = append(out, record.Block{GuaranteeIndex: d.promise, Copy: d.copy, Slots: slots})
			if next(i + 1) {
				return true
			}
			out = out[:len(out)-1]
			p.give(slots)
		}
		if d.optional {
			return next(i + 1)
		}
		if p.failed == nil {
			p.failed = d
		}
		return false
	}
	ok := next(0)
	if !ok && p.failed == nil && len(demands) > 0 {
		p.failed = &demands[0]
	}
	return out, ok
}

// maxUnits is how many units one demand is tried in.
const maxUnits = 3

// options returns places for the shape to try, the most promising first.
func (p *planner) options(sh shape.Shape) [][]shape.Slot {
	room := p.room(sh)
	var units []int
	for u, n := range room {
		if n < sh.Members {
			continue
		}
		k, _ := slices.BinarySearchFunc(units, u, func(v, u int) int {
			if p.wide {
				return cmp.Or(cmp.Compare(room[u], room[v]), cmp.Compare(v, u))
			}
			return cmp.Or(cmp.Compare(room[v], room[u]), cmp.Compare(v, u))
		})
		if k < maxUnits {
			units = slices.Insert(units, k, u)
			units = units[:min(len(units), maxUnits)]
		}
	}
	var out [][]shape.Slot
	for _, u := range units {
		offers := p.offers(sh, u)
		// Workers with least room first, then those that the members fill
		// without a remainder.
		slices.SortStableFunc(offers, tight)
		first := fill(sh, offers)
		out = append(out, p.free(first))
		slices.SortStableFunc(offers, func(a, b offer) int {
			return cmp.Compare(a.mask.Count()%sh.GPUs, b.mask.Count()%sh.GPUs)
		})
		if second := fill(sh, offers); !slices.Equal(first, second) {
			out = append(out, p.free(second))
		}
	}
	return out
}

// free replaces the masks by those that hold the least work.
func (p *planner) free(slots []shape.Slot) []shape.Slot {
	out := slices.Clone(slots)
	for i, sl := range out {
		out[i].Mask = cheapest(p.state.Workers[sl.Worker], p.avail[sl.Worker], sl.Mask.Count(), p.state.Now)
	}
	return out
}

// offers lists the workers of the unit that take at least one member.
func (p *planner) offers(sh shape.Shape, unit int) []offer {
	var out []offer
	add := func(w *state.Worker) {
		if m := p.avail[w.Index]; m.Count() >= sh.GPUs {
			out = append(out, offer{worker: w, mask: m})
		}
	}
	switch sh.Level {
	case shape.LevelWorker:
		add(p.state.Workers[unit])
	case shape.LevelRack:
		for _, w := range p.state.Racks[unit].Workers {
			add(w)
		}
	default:
		for _, r := range p.state.Domains[unit].Racks {
			for _, w := range r.Workers {
				add(w)
			}
		}
	}
	return out
}

// room returns how many members of the shape fit in each unit of its level.
func (p *planner) room(sh shape.Shape) []int {
	k := roomKey{sh.Level, sh.GPUs}
	if r := p.rooms[k]; r != nil {
		return r
	}
	n := len(p.state.Workers)
	switch sh.Level {
	case shape.LevelRack:
		n = len(p.state.Racks)
	case shape.LevelDomain:
		n = len(p.state.Domains)
	}
	r := make([]int, n)
	for i, w := range p.state.Workers {
		r[unitOf(sh.Level, w)] += p.avail[i].Count() / sh.GPUs
	}
	p.rooms[k] = r
	return r
}

func (p *planner) take(slots []shape.Slot) {
	for _, sl := range slots {
		p.set(sl.Worker, p.avail[sl.Worker]&^sl.Mask)
	}
}

func (p *planner) give(slots []shape.Slot) {
	for _, sl := range slots {
		p.set(sl.Worker, p.avail[sl.Worker]|sl.Mask)
	}
}

func (p *planner) set(worker uint32, m shape.Mask) {
	w := p.state.Workers[worker]
	for k, r := range p.rooms {
		r[unitOf(k.level, w)] += m.Count()/k.gpus - p.avail[worker].Count()/k.gpus
	}
	p.avail[worker] = m
}
