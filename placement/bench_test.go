package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// benchSize is the size of a cluster of a benchmark. Racks have eight
// workers.
type benchSize struct {
	workers, domains, gpus, accounts int
}

var benchSizes = []benchSize{{50, 1, 64, 4}, {1200, 4, 8, 16}, {12000, 32, 8, 94}}

// newLoadedCluster builds a cluster with nine tenths of its accelerators in
// use. Accounts have blocks for about a third of it, and small jobs of one to
// eight accelerators fill it. Half of the free accelerators lie in whole
// racks of the first domain, as after the end of large jobs; the others are
// scattered.
func newLoadedCluster(b *testing.B, z benchSize) *cluster {
	b.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	c := newCluster(b, 0, 0, 0, 0)
	racks := (z.workers + 7) / 8
	for r := range racks {
		body := state.RackBody{Domain: fmt.Sprintf("d%d", r*z.domains/racks)}
		for w := r * 8; w < min(z.workers, r*8+8); w++ {
			body.Workers = append(body.Workers, state.WorkerBody{Name: fmt.Sprintf("w%d", w), GPUs: z.gpus})
		}
		c.must(record.KindPublish, record.Publish{Name: fmt.Sprintf("rack/r%d", r), Body: c.json(body)})
	}
	if err := c.account("asha", state.GuaranteeBody{Shape: "512x1@domain", Count: 1}, state.GuaranteeBody{Shape: "8x1@rack", Count: 4}); err != nil {
		b.Fatal(err)
	}
	total := z.workers * z.gpus
	for a := range z.accounts {
		n := max(1, total/3/z.accounts/32)
		if err := c.account(fmt.Sprintf("a%d", a), state.GuaranteeBody{Shape: "4x8@rack", Count: n}); err != nil {
			b.Fatal(err)
		}
	}
	c.fill(rng, z, (*state.Worker).Free)
	c.endJobs(rng, total/10)
	c.fill(rng, z, func(w *state.Worker) shape.Mask { return w.Free() & ownBlockMask(w, "asha") })
	c.check()
	return c
}

// fill places small jobs on the accelerators that within returns for each
// worker.
func (c *cluster) fill(rng *rand.Rand, z benchSize, within func(*state.Worker) shape.Mask) {
	n := c.seq
	for _, w := range c.state.Workers {
		for left := within(w); left != 0; {
			size := min(1<<rng.IntN(4), left.Count())
			m := left.LowestN(size)
			left &^= m
			n++
			id := fmt.Sprintf("f%d", n)
			c.submit(id, fmt.Sprintf("a%d", rng.IntN(z.accounts)), fmt.Sprintf("1x%d@worker", size), func(s *record.Submit) {
				s.Checkpoint = rng.IntN(2) == 0
			})
			j := c.state.Jobs[id]
			c.nowMs += int64(rng.IntN(200))
			c.must(record.KindPlace, record.Place{Job: id, Revision: j.Revision, Slots: []shape.Slot{{Worker: w.Index, Mask: m}}})
			c.must(record.KindStart, record.Start{Job: id, Token: j.Token})
		}
	}
}

// endJobs ends jobs until the given number of accelerators is free.
func (c *cluster) endJobs(rng *rand.Rand, free int) {
	end := func(w *state.Worker) {
		for len(w.Tasks) > 0 && free > 0 {
			t := w.Tasks[0]
			free -= t.Mask.Count()
			c.must(record.KindReport, record.Report{Worker: w.Index, Results: []record.Result{
				{Job: t.Job.ID, Token: t.Token, Outcome: record.RunDone},
			}})
		}
	}
	half := free / 2
	racks := c.state.Domains[0].Racks
	for i := len(racks) - 1; i >= 0 && free > half; i-- {
		for _, w := range racks[i].Workers {
			end(w)
		}
	}
	for free > 0 {
		w := c.state.Workers[rng.IntN(len(c.state.Workers))]
		if len(w.Tasks) > 0 {
			t := w.Tasks[rng.IntN(len(w.Tasks))]
			free -= t.Mask.Count()
			c.must(record.KindReport, record.Report{Worker: w.Index, Results: []record.Result{
				{Job: t.Job.ID, Token: t.Token, Outcome: record.RunDone},
			}})
		}
	}
}

// benchPlace measures one placement decision together with the update of the
// index that follows.
func benchPlace(b *testing.B, account string, gangs map[int]string, reclaim bool) {
	for _, z := range benchSizes {
		var c *cluster
		for _, gang := range []int{8, 256, 512} {
			sh, ok := gangs[gang]
			if !ok {
				continue
			}
			b.Run(fmt.Sprintf("workers=%d/gang=%d", z.workers, gang), func(b *testing.B) {
				if c == nil {
					c = newLoadedCluster(b, z)
				}
				c.t = b
				x := NewIndex(c.state)
				if reclaim { // nothing is free, so that the job has to evict
					var free []shape.Slot
					for _, w := range c.state.Workers {
						free = append(free, shape.Slot{Worker: w.Index, Mask: w.Free()})
					}
					x.Hold(free)
				}
				j := c.submit(fmt.Sprintf("probe%d-%s", c.seq, sh), account, sh, nil)
				p, err := x.Place(j, Policy{})
				if reclaim && len(p.Evict) == 0 {
					b.Fatalf("nothing to reclaim: %v", err)
				}
				fits := 0.0
				if err == nil {
					fits = 1
				}
				b.ReportAllocs()
				for b.Loop() {
					p, err := x.Place(j, Policy{})
					if err != nil {
						continue
					}
					x.Hold(p.Slots)
					x.Release(p.Slots)
				}
				b.ReportMetric(fits, "fits")
				b.ReportMetric(float64(len(p.Evict)), "victims")
			})
		}
	}
}

// BenchmarkPlace places a job of an account that has no block of its size.
// With 50 workers, a gang of 512 does not fit into the free tenth of the
// cluster; a gang of 256 does.
func BenchmarkPlace(b *testing.B) {
	benchPlace(b, "a0", map[int]string{8: "8x1@rack", 256: "256x1@domain", 512: "512x1@domain"}, false)
}

// BenchmarkReclaim places a job in its account's blocks, which are in use by
// borrowing jobs.
func BenchmarkReclaim(b *testing.B) {
	benchPlace(b, "asha", map[int]string{8: "8x1@rack", 512: "512x1@domain"}, true)
}

// BenchmarkPlaceOnce searches for accelerators for a job that cannot be
// evicted when only lent blocks are free. The search visits every rack and
// fails.
func BenchmarkPlaceOnce(b *testing.B) {
	for _, z := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", z.workers), func(b *testing.B) {
			c := newLoadedCluster(b, z)
			x := NewIndex(c.state)
			var open []shape.Slot
			for _, w := range c.state.Workers {
				open = append(open, shape.Slot{Worker: w.Index, Mask: w.Free() &^ w.Reserved()})
			}
			x.Hold(open)
			if err := c.account("none"); err != nil {
				b.Fatal(err)
			}
			j := c.submit("probe", "none", "2x1@rack", func(s *record.Submit) { s.Once = true })
			for b.Loop() {
				if _, err := x.Place(j, Policy{}); err == nil {
					b.Fatal("it fits")
				}
			}
		})
	}
}
