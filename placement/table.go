package placement

import (
	"math/bits"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// table counts how many members of one size the racks and failure domains can
// take in one tier, and sorts the racks of each domain into buckets by it.
type table struct {
	tier     int
	gpus     int   // accelerators of one member
	racks    []int // members that fit, by rack number
	domains  []int // members that fit, by domain number
	byDomain []rackBuckets
}

// rackBuckets sorts the racks of one domain by how many members fit; larger counts
// than shape.MaxMembers share the last bucket.
type rackBuckets struct {
	occupied [shape.MaxMembers/64 + 1]uint64 // counts that have a rack
	buckets  [shape.MaxMembers + 1]bitset    // racks by position in the domain
}

// bitset is a set of small numbers.
type bitset []uint64

func (b *bitset) set(i int) {
	for len(*b) <= i/64 {
		*b = append(*b, 0)
	}
	(*b)[i/64] |= 1 << (i % 64)
}

// clear removes the number and reports whether the set is now empty.
func (b bitset) clear(i int) bool {
	b[i/64] &^= 1 << (i % 64)
	for _, w := range b {
		if w != 0 {
			return false
		}
	}
	return true
}

// table returns the table for members of the size, building it on first use.
func (x *Index) table(tier, gpus int) *table {
	if t := x.tables[tier][gpus]; t != nil {
		return t
	}
	t := &table{tier: tier, gpus: gpus}
	x.tables[tier][gpus] = t
	x.active = append(x.active, t)
	for _, w := range x.state.Workers {
		if int(w.Index) < len(x.nodes) {
			t.move(x, w, 0, x.nodes[w.Index].masks[tier].Count())
		}
	}
	return t
}

// move carries a change of the worker's count of accelerators in the tier.
func (t *table) move(x *Index, w *state.Worker, from, to int) {
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
	t.byDomain[dom].move(x.ordinal[r], t.racks[r], t.racks[r]+d)
	t.racks[r] += d
	t.domains[dom] += d
}

func (s *rackBuckets) move(rack, from, to int) {
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

// next returns the smallest count from n on that some rack has, or -1.
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

// each calls f for the racks of the domain in the bucket until f returns
// false; it reports whether f never did.
func (s *rackBuckets) each(d *state.Domain, n int, f func(*state.Rack) bool) bool {
	for i, w := range s.buckets[n] {
		for ; w != 0; w &= w - 1 {
			if !f(d.Racks[i*64+bits.TrailingZeros64(w)]) {
				return false
			}
		}
	}
	return true
}
