package placement

import (
	"math/bits"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// fitTable counts how many members of one size fit in each rack and failure
// domain, on accelerators of one tier. It also sorts the racks of each domain
// into buckets by that count.
type fitTable struct {
	tier     int
	gpus     int   // accelerators of one member
	racks    []int // members that fit, by rack number
	domains  []int // members that fit, by domain number
	byDomain []rackBuckets
}

// rackBuckets groups the racks of one domain by how many members fit. Counts
// above shape.MaxMembers share the last bucket.
type rackBuckets struct {
	occupied [shape.MaxMembers/64 + 1]uint64 // bit set of the counts whose bucket is not empty
	buckets  [shape.MaxMembers + 1]bitset    // racks by position in the domain
}

// bitset is a set of small non-negative integers.
type bitset []uint64

func (b *bitset) set(i int) {
	for len(*b) <= i/64 {
		*b = append(*b, 0)
	}
	(*b)[i/64] |= 1 << (i % 64)
}

// clear removes i and reports whether the set is now empty.
func (b bitset) clear(i int) bool {
	b[i/64] &^= 1 << (i % 64)
	for _, w := range b {
		if w != 0 {
			return false
		}
	}
	return true
}

// fitTable returns the table for the tier and the size of a member. It builds
// the table on first use.
func (x *Index) fitTable(tier, gpus int) *fitTable {
	if t := x.tables[tier][gpus]; t != nil {
		return t
	}
	t := &fitTable{tier: tier, gpus: gpus}
	x.tables[tier][gpus] = t
	x.active = append(x.active, t)
	for _, w := range x.state.Workers {
		if int(w.Index) < len(x.workers) {
			t.update(x, w, 0, x.workers[w.Index].masks[tier].Count())
		}
	}
	return t
}

// update applies a change of the worker's number of accelerators in the tier.
func (t *fitTable) update(x *Index, w *state.Worker, from, to int) {
	d := to/t.gpus - from/t.gpus
	if d == 0 {
		return
	}
	for len(t.racks) < len(x.racks) {
		t.racks = append(t.racks, 0)
	}
	for len(t.domains) < len(x.domains) {
		t.domains = append(t.domains, 0)
		t.byDomain = append(t.byDomain, rackBuckets{})
	}
	r, dom := w.Rack.Index, w.Rack.Domain.Index
	t.byDomain[dom].update(x.rackPosition[r], t.racks[r], t.racks[r]+d)
	t.racks[r] += d
	t.domains[dom] += d
}

// update moves the rack from one bucket to another.
func (s *rackBuckets) update(rack, from, to int) {
	from, to = min(from, shape.MaxMembers), min(to, shape.MaxMembers)
	if from == to {
		return
	}
	if from > 0 && s.buckets[from].clear(rack) {
		s.occupied[from/64] &^= 1 << (from % 64)
	}
	if to > 0 {
		s.buckets[to].set(rack)
		s.occupied[to/64] |= 1 << (to % 64)
	}
}

// next returns the smallest count of at least n whose bucket has a rack, or
// -1.
func (s *rackBuckets) next(n int) int {
	if n > shape.MaxMembers {
		return -1
	}
	i := n / 64
	w := s.occupied[i] >> (n % 64) << (n % 64)
	for w == 0 {
		if i++; i == len(s.occupied) {
			return -1
		}
		w = s.occupied[i]
	}
	return i*64 + bits.TrailingZeros64(w)
}

// eachRack calls f for the racks of the domain in bucket n until f returns
// false. It reports whether f returned true for all of them.
func (s *rackBuckets) eachRack(d *state.Domain, n int, f func(*state.Rack) bool) bool {
	for i, w := range s.buckets[n] {
		for ; w != 0; w &= w - 1 {
			if !f(d.Racks[i*64+bits.TrailingZeros64(w)]) {
				return false
			}
		}
	}
	return true
}
