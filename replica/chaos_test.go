package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
)

// TestRandomFaults guards against combinations of faults that the other tests
// do not have. Three replicas propose records with unique names while faults
// come and go; afterwards each fate that was reported must be true, no record
// may have taken effect twice, and all states must be the same.
func TestRandomFaults(t *testing.T) {
	var mu sync.Mutex
	counts := map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for _, seed := range []uint64{1, 2, 3, 4} {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				fates := randomFaults(t, rand.New(rand.NewPCG(seed, 0)))
				mu.Lock()
				defer mu.Unlock()
				for _, fate := range fates {
					counts[fate]++
				}
			})
		}
	})
	t.Log(counts)
	if counts["accepted"] == 0 || counts["unknown"] == 0 || counts["not appended"] == 0 {
		t.Errorf("not all fates occurred: %v", counts)
	}
}

func randomFaults(t *testing.T, rnd *rand.Rand) map[string]string {
	f := newFleet(t)
	var nodes []*node
	for _, w := range []string{"a", "b", "c"} {
		nodes = append(nodes, f.start(w, func(r *Replica) { r.SnapshotRecords = 30 }).ready())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	fates := map[string]string{}
	var wg sync.WaitGroup
	for i, n := range nodes {
		for k := range 3 {
			wg.Go(func() {
				for j := 0; ctx.Err() == nil; j++ {
					name := fmt.Sprintf("%d-%d-%d", i, k, j)
					pctx, done := context.WithTimeout(context.Background(), 60*time.Millisecond)
					out, err := n.Propose(pctx, policy(t, name, 0))
					done()
					var no *NotAppendedError
					var unknown *UnknownError
					fate := ""
					switch {
					case err == nil && out[0].Accepted():
						fate = "accepted"
					case errors.As(err, &no):
						fate = "not appended"
					case errors.As(err, &unknown):
						fate = "unknown"
					default:
						fate = fmt.Sprint(out, err) // nothing else may happen to a unique name
					}
					mu.Lock()
					fates[name] = fate
					mu.Unlock()
				}
			})
		}
	}
	for range 40 {
		injectFault(f, nodes[0], rnd)
		<-time.After(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
	f.log.Fault(standin.LogFault{
		Slow: ptr(int64(0)), Down: ptr(false), NoReads: ptr(false), NoAppends: ptr(false), Freeze: ptr(false),
		Lose: ptr(0), Drop: ptr(0), Twice: ptr(0),
	})
	cancel()
	wg.Wait()
	for i, n := range nodes {
		if o, err := n.publish(fmt.Sprint("last", i), 0); err != nil || !o.Accepted() {
			t.Fatal(o, err)
		}
	}
	end := uint64(0)
	for _, n := range nodes {
		end = max(end, n.Status().Offset)
	}
	for _, n := range nodes {
		n.await("end", func(s Status) bool { return s.Offset >= end })
	}
	for name, fate := range fates {
		version := nodes[0].version(name)
		switch {
		case fate == "accepted" && version == 0:
			t.Errorf("%s accepted, but not in the state", name)
		case fate == "not appended" && version != 0:
			t.Errorf("%s not appended, but in the state", name)
		case fate != "accepted" && fate != "not appended" && fate != "unknown":
			t.Errorf("%s: %s", name, fate)
		}
		if _, batches := f.copies(name); batches > 1 {
			t.Errorf("%s in %d batches", name, batches)
		}
	}
	var sum uint64
	nodes[0].View(func(s *state.State) { sum = s.Sum() })
	for _, n := range nodes[1:] {
		n.View(func(s *state.State) {
			if s.Offset == nodes[0].Status().Offset && s.Sum() != sum {
				t.Errorf("state of %s differs", n.Writer)
			}
		})
	}
	return fates
}

// injectFault sets or ends one fault. Entries expire only before the newest
// snapshot, as with a retention time that is long enough.
func injectFault(f *fleet, n *node, rnd *rand.Rand) {
	on := rnd.IntN(2) == 0
	var fault standin.LogFault
	switch rnd.IntN(9) {
	case 0:
		fault.Down = &on
	case 1:
		fault.NoReads = &on
	case 2:
		fault.NoAppends = &on
	case 3:
		fault.Freeze = &on
	case 4:
		fault.Lose = ptr(1 + rnd.IntN(3))
	case 5:
		fault.Drop, fault.Late = ptr(1+rnd.IntN(3)), ptr(int64(rnd.IntN(100)))
	case 6:
		fault.Twice = ptr(1 + rnd.IntN(3))
	case 7:
		fault.Slow = ptr(int64(rnd.IntN(30)))
	case 8:
		if newest := n.snapshotNewest(); newest > 0 {
			fault.Expire = &newest
		}
	}
	f.log.Fault(fault)
}
