package placement

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// feasible searches exhaustively whether the account's guarantees fit next to
// the blocks of all other accounts, where its own blocks may move.
func feasible(s *state.State, account string, guarantees []state.Guarantee) bool {
	free := make([]int, len(s.Workers))
	for i, w := range s.Workers {
		free[i] = availableForBlocks(w, account, func(b *state.Block) bool { return b.Account == account }).Count()
	}
	var shapes []shape.Shape
	for _, p := range guarantees {
		for range p.Count {
			shapes = append(shapes, p.Shape)
		}
	}
	e := &exhaustiveSearch{state: s}
	return e.fits(free, shapes)
}

// Guards against a plan that accepts guarantees that cannot be met. It counts
// how often the bounded search refuses guarantees that could be met.
func TestPlanBlocksAgainstExhaustive(t *testing.T) {
	plans, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t, 12)
		var guarantees []state.Guarantee
		var bodies []state.GuaranteeBody
		for i := range rapid.IntRange(1, 3).Draw(t, "promises") {
			p := state.Guarantee{Shape: drawShape(t, fmt.Sprint("plan", i)), Count: rapid.IntRange(1, 2).Draw(t, "copies")}
			guarantees = append(guarantees, p)
			bodies = append(bodies, state.GuaranteeBody{Shape: p.Shape.String(), Count: p.Count})
		}
		want := feasible(h.state, "carol", guarantees)
		blocks, err := PlanBlocks(h.state, "carol", guarantees)
		var no *InfeasibleError
		switch {
		case err != nil && !errors.As(err, &no):
			t.Fatal(err)
		case err == nil && !want:
			t.Fatalf("accepted %v, which exhaustive search finds infeasible", guarantees)
		case want:
			plans++
			if err != nil {
				refused++
				return
			}
		}
		if err != nil {
			return
		}
		h.must(record.KindPublish, record.Publish{
			Name: "account/carol", Body: h.json(state.AccountBody{Guarantees: bodies}), Blocks: blocks,
		})
		h.check()
	})
	t.Logf("refused %d of %d plans that exhaustive search allows", refused, plans)
}

// Guards against an InfeasibleError that does not name the field of the
// guarantee.
func TestPlanBlocksNamesGuarantee(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 2, 4)
	err := c.account("asha", state.GuaranteeBody{Shape: "1x2@worker", Count: 1}, state.GuaranteeBody{Shape: "2x4@rack", Count: 1})
	var no *InfeasibleError
	is.True(errors.As(err, &no))
	is.Equal(no.Account, "asha")
	is.True(no.Field == "guarantees[0]" || no.Field == "guarantees[1]")
}

// Guards against a block that stays on a lost worker although it fits
// elsewhere.
func TestRepairMovesBrokenBlock(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2, 2, 4)
	is.NoErr(c.account("asha", state.GuaranteeBody{Shape: "2x4@rack", Count: 1}))
	b := c.state.Accounts["asha"].Blocks[0]
	w := c.state.Workers[b.Slots[0].Worker]
	c.must(record.KindHealth, record.Health{Worker: w.Index, Revision: w.Revision, Condition: record.ConditionLost})
	is.True(b.Broken)
	recs := Repair(c.state)
	is.Equal(len(recs), 1)
	c.must(record.KindReserve, recs[0])
	is.True(!b.Broken)
	c.check()
	is.Equal(len(Repair(c.state)), 0)
}

// Guards against the same failure as TestPlanBlocksAgainstExhaustive where
// guarantees take most of the cluster. A greedy search fails most often
// there.
func TestPlanBlocksTight(t *testing.T) {
	plans, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(1, 2).Draw(t, "domains"), rapid.IntRange(1, 2).Draw(t, "racks"),
			rapid.IntRange(1, 2).Draw(t, "workers"), rapid.IntRange(3, 6).Draw(t, "gpus"))
		total := 0
		for _, w := range c.state.Workers {
			total += w.GPUs
		}
		var guarantees []state.Guarantee
		left := total
		for i := 0; i < 7 && left > total/8; i++ {
			sh := shape.Shape{
				Members: rapid.IntRange(1, 3).Draw(t, "members"), GPUs: rapid.IntRange(1, 4).Draw(t, "gpus"),
				Level: shape.Level(rapid.IntRange(0, 2).Draw(t, "level")),
			}
			if sh.TotalGPUs() <= left {
				guarantees = append(guarantees, state.Guarantee{Shape: sh, Count: 1})
				left -= sh.TotalGPUs()
			}
		}
		want := feasible(c.state, "carol", guarantees)
		_, err := PlanBlocks(c.state, "carol", guarantees)
		if err == nil && !want {
			t.Fatalf("accepted %v, which exhaustive search finds infeasible", guarantees)
		}
		if want {
			plans++
			if err != nil {
				refused++
			}
		}
	})
	t.Logf("refused %d of %d plans that exhaustive search allows", refused, plans)
}
