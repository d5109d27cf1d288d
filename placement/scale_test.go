package placement

import (
	"fmt"
	"testing"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// BenchmarkMoves runs Defragment on a cluster with nine tenths of its
// accelerators in use.
func BenchmarkMoves(b *testing.B) {
	for _, z := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", z.workers), func(b *testing.B) {
			c := newLoadedCluster(b, z)
			if err := c.account("big", state.GuaranteeBody{Shape: "8x8@rack", Count: 1}); err != nil {
				b.Fatal(err)
			}
			x := NewIndex(c.state)
			n := 0
			for b.Loop() {
				n = len(Defragment(x, Policy{}, c.state.Now+migrationMinRunMs))
			}
			b.ReportMetric(float64(n), "moves")
		})
	}
}

// BenchmarkRepair searches for accelerators for one broken block.
func BenchmarkRepair(b *testing.B) {
	for _, z := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", z.workers), func(b *testing.B) {
			c := newLoadedCluster(b, z)
			w := c.state.Workers[c.state.Accounts["asha"].Blocks[0].Slots[0].Worker]
			c.must(record.KindHealth, record.Health{Worker: w.Index, Revision: w.Revision, Condition: record.ConditionLost})
			n := 0
			for b.Loop() {
				n = len(Repair(c.state))
			}
			b.ReportMetric(float64(n), "repairs")
		})
	}
}

// BenchmarkPlanBlocks plans an account with guarantees for half of the
// accelerators outside blocks.
func BenchmarkPlanBlocks(b *testing.B) {
	for _, z := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", z.workers), func(b *testing.B) {
			c := newLoadedCluster(b, z)
			free := 0
			for _, w := range c.state.Workers {
				free += (w.All() &^ w.Reserved()).Count()
			}
			guarantees := []state.Guarantee{
				{Shape: shape.Shape{Members: 4, GPUs: 4, Level: shape.LevelRack}, Count: free / 4 / 16},
				{Shape: shape.Shape{Members: 1, GPUs: 2, Level: shape.LevelWorker}, Count: free / 4 / 2},
			}
			n := 0
			for b.Loop() {
				blocks, err := PlanBlocks(c.state, "new", guarantees)
				if err != nil {
					b.Fatal(err)
				}
				n = len(blocks)
			}
			b.ReportMetric(float64(n), "blocks")
		})
	}
}
