package placement

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// Guards against a job of a guaranteed shape that waits while borrowing jobs
// use its block.
func TestPlaceReclaimsOwnBlock(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2, 2, 4)
	is.NoErr(c.account("asha", state.GuaranteeBody{Shape: "2x4@rack", Count: 2}))
	is.NoErr(c.account("ben"))
	x := NewIndex(c.state)
	for _, id := range []string{"a", "b", "c", "d"} {
		is.NoErr(c.place(x, c.submit(id, "ben", "1x4@worker", nil)))
	}
	j := c.submit("survey", "asha", "2x4@rack", nil)
	p, err := x.Place(j, Policy{})
	is.NoErr(err)
	is.Equal(len(p.Evict), 2)
	is.Equal(p.GraceMs, int64(DefaultGraceMs))
	c.must(record.KindPlace, p)
	is.True(j.Guaranteed)
	c.check()
}

// Guards against a job that cannot be stopped in a block of another account,
// which could not be reclaimed.
func TestPlaceKeepsOnceOutOfLentBlocks(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 2, 4)
	is.NoErr(c.account("asha", state.GuaranteeBody{Shape: "2x4@rack", Count: 1}))
	is.NoErr(c.account("ben"))
	x := NewIndex(c.state)
	j := c.submit("print", "ben", "1x1@worker", func(s *record.Submit) { s.Once = true })
	_, err := x.Place(j, Policy{})
	var no *NoFitError
	is.True(errors.As(err, &no))
}

// Guards against a small job that takes accelerators of the last free rack
// that fits the largest guaranteed shape, and against a small job that
// starves because that rack is kept free.
func TestPlaceSparesLastUnit(t *testing.T) {
	tests := []struct {
		name   string
		shape  string
		urgent bool
		policy Policy
		waited int64 // milliseconds
		fits   bool
	}{
		{"small", "1x1@worker", false, Policy{}, 0, false},
		{"small and urgent", "1x1@worker", true, Policy{}, 0, true},
		{"half of the guaranteed shape", "2x2@rack", false, Policy{}, 0, true},
		{"small, waited for the timeout", "1x1@worker", false, Policy{CompletionWeight: 1e6}, 5_000, true},
		{"small, fragmentation weighs more", "1x1@worker", false, Policy{FragmentationWeight: 1e6}, 5_000, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 2, 2, 4)
			is.NoErr(c.account("asha", state.GuaranteeBody{Shape: "2x4@rack", Count: 1}))
			is.NoErr(c.account("ben"))
			x := NewIndex(c.state)
			for _, id := range []string{"a", "b"} { // fill the rack that has no block
				is.NoErr(c.place(x, c.submit(id, "ben", "1x4@worker", nil)))
			}
			j := c.submit("proof", "ben", tt.shape, func(s *record.Submit) { s.Urgent = tt.urgent })
			c.nowMs += tt.waited
			c.must(record.KindFence, record.Fence{})
			_, err := x.Place(j, tt.policy)
			is.Equal(err == nil, tt.fits)
			c.check()
		})
	}
}
