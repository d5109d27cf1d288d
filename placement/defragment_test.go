package placement

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// newScatteredCluster builds two racks of two workers with four accelerators
// each. Each rack has one small job, and a whole rack is guaranteed.
func newScatteredCluster(t *testing.T, checkpoint bool) (*cluster, *Index) {
	is := is.New(t)
	c := newCluster(t, 1, 2, 2, 4)
	is.NoErr(c.account("ben"))
	for i, w := range []uint32{0, 2} {
		j := c.submit(fmt.Sprintf("small%d", i), "ben", "1x1@worker", func(s *record.Submit) { s.Checkpoint = checkpoint })
		c.must(record.KindPlace, record.Place{Job: j.ID, Revision: j.Revision, Slots: []shape.Slot{{Worker: w, Mask: 1}}})
		c.must(record.KindStart, record.Start{Job: j.ID, Token: j.Token})
	}
	// The block takes one of the racks; the job that runs there can be evicted.
	is.NoErr(c.account("asha", state.GuaranteeBody{Shape: "2x4@rack", Count: 1}))
	return c, NewIndex(c.state)
}

// Guards against small jobs that stay scattered over racks although moving
// one of them would leave a whole rack free.
func TestMovesFreeARack(t *testing.T) {
	is := is.New(t)
	c, x := newScatteredCluster(t, true)
	is.Equal(Fragmentation(c.state), 1.0)
	moves := Defragment(x, Policy{}, c.state.Now+migrationMinRunMs)
	is.Equal(len(moves), 1)
	c.must(record.KindPreempt, moves[0])
	j := c.state.Jobs[moves[0].Job]
	w := c.state.Workers[j.Slots[0].Worker]
	c.must(record.KindReport, record.Report{Worker: w.Index, Results: []record.Result{
		{Job: j.ID, Token: j.Token, Outcome: record.RunStopped, RanMs: migrationMinRunMs, Progress: 0.5},
	}})
	is.Equal(j.Phase, state.JobWaiting)
	is.NoErr(c.place(x, j))
	is.True(Fragmentation(c.state) < 0.5)
	c.check()
}

// Guards against moves that lose more work than they gain, and against moves
// of jobs that cannot resume from a checkpoint.
func TestMovesWeighLostWork(t *testing.T) {
	is := is.New(t)
	c, x := newScatteredCluster(t, true)
	is.Equal(len(Defragment(x, Policy{CompletionWeight: 1000}, c.state.Now+migrationMinRunMs)), 0)
	is.Equal(len(Defragment(x, Policy{}, c.state.Now)), 0) // just started
	c, x = newScatteredCluster(t, false)
	is.Equal(len(Defragment(x, Policy{}, c.state.Now+migrationMinRunMs)), 0)
}
