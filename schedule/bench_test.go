package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// busyCluster returns a cluster with nine tenths of its accelerators in use by
// small jobs, the given number of waiting jobs, and twice as many finished jobs
// that the state still keeps.
func busyCluster(b *testing.B, workers, accounts, waiting int) *cluster {
	b.Helper()
	rng := rand.New(rand.NewPCG(3, 4))
	c := newCluster(b, min(32, 1+workers/400), max(1, workers/8/min(32, 1+workers/400)), 8, 8)
	for a := range accounts {
		c.account(fmt.Sprintf("a%d", a), state.AccountBody{Guarantees: []state.GuaranteeBody{{Shape: "4x8@rack", Count: max(1, workers/3/accounts/4)}}})
	}
	n := 0
	place := func(w *state.Worker, m shape.Mask) {
		n++
		j := c.submit(fmt.Sprintf("f%d", n), fmt.Sprintf("a%d", rng.IntN(accounts)), fmt.Sprintf("1x%d@worker", m.Count()), 3_600_000, func(s *record.Submit) {
			s.Kind, s.Checkpoint = "fill", rng.IntN(2) == 0
		})
		c.at += int64(rng.IntN(50))
		c.must(record.KindPlace, record.Place{Job: j.ID, Revision: j.Revision, Slots: []shape.Slot{{Worker: w.Index, Mask: m}}})
		c.must(record.KindStart, record.Start{Job: j.ID, Token: j.Token})
	}
	for _, w := range c.state.Workers {
		for left := w.All(); left != 0; {
			m := left.LowestN(min(1<<rng.IntN(4), left.Count()))
			left &^= m
			place(w, m)
		}
	}
	done := func() {
		w := c.state.Workers[rng.IntN(len(c.state.Workers))]
		if len(w.Tasks) > 0 {
			t := w.Tasks[rng.IntN(len(w.Tasks))]
			c.must(record.KindReport, record.Report{Worker: w.Index, Results: []record.Result{{Job: t.Job.ID, Token: t.Token, Outcome: record.RunDone}}})
		}
	}
	for range 2 * waiting {
		done()
		w := c.state.Workers[rng.IntN(len(c.state.Workers))]
		if m := w.Free(); m != 0 {
			place(w, m)
		}
	}
	for c.scheduler.Index.ClusterCounts().Free*10 < c.scheduler.Index.ClusterCounts().Total {
		done()
	}
	shapes := []string{"1x1@worker", "1x8@worker", "4x8@rack", "8x8@rack", "16x4@domain", "64x8@domain", "8x2@rack", "512x1@domain"}
	for range waiting {
		n++
		c.at += int64(rng.IntN(1000))
		sh := shapes[rng.IntN(len(shapes))]
		if workers < 64 && len(sh) > len("8x8@rack") {
			sh = "8x8@rack" // larger shapes do not fit into so few workers
		}
		c.submit(fmt.Sprintf("w%d", n), fmt.Sprintf("a%d", rng.IntN(accounts)), sh, 3_600_000, func(s *record.Submit) {
			s.Kind = fmt.Sprint("kind", rng.IntN(4))
		})
	}
	return c
}

// BenchmarkDecide measures scheduling rounds on a busy cluster with waiting
// jobs. The proposed records are not applied, so every round does the same work.
func BenchmarkDecide(b *testing.B) { benchDecide(b, false) }

// BenchmarkDecideSaturated measures rounds after every waiting job that fits
// has been placed, so that all placement attempts fail.
func BenchmarkDecideSaturated(b *testing.B) { benchDecide(b, true) }

func benchDecide(b *testing.B, saturate bool) {
	for _, z := range []struct{ workers, accounts, waiting int }{{50, 4, 50}, {1200, 16, 500}, {12000, 94, 5000}} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", z.workers, z.waiting), func(b *testing.B) {
			c := busyCluster(b, z.workers, z.accounts, z.waiting)
			c.t = b
			for more := saturate; more; c.at += 1000 {
				recs := c.scheduler.Decide(c.state, c.at)
				c.applyRecords(recs...)
				more = len(recs) > 0
			}
			b.ReportAllocs()
			n := 0
			rng := rand.New(rand.NewPCG(5, 6))
			for b.Loop() {
				c.at += 100
				for range z.workers / 100 { // simulates changes of tasks on these workers
					c.state.OnWorkerChange(c.state.Workers[rng.IntN(len(c.state.Workers))])
				}
				n = len(c.scheduler.Decide(c.state, c.at))
			}
			b.ReportMetric(float64(n), "records")
		})
	}
}
