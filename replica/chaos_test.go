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

// TestRandomFaults guards against wrong outcomes under combinations of faults
// that the other tests do not cover. Three replicas propose records with unique
// names while faults of the log start and end at random. Afterwards each reported
// outcome must be true, no record may be in more than one batch, and all states
// must be equal.
func TestRandomFaults(t *testing.T) {
	var mu sync.Mutex
	counts := map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for _, seed := range []uint64{1, 2, 3, 4} {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				outcomes := randomFaults(t, rand.New(rand.NewPCG(seed, 0)))
				mu.Lock()
				defer mu.Unlock()
				for _, outcome := range outcomes {
					counts[outcome]++
				}
			})
		}
	})
	t.Log(counts)
	if counts["accepted"] == 0 || counts["unknown"] == 0 || counts["not appended"] == 0 {
		t.Errorf("not all outcomes occurred: %v", counts)
	}
}

// randomFaults runs the replicas under random faults, checks the reported
// outcomes and returns them by the name of the record.
func randomFaults(t *testing.T, rnd *rand.Rand) map[string]string {
	f := newFleet(t)
	var replicas []*testReplica
	for _, w := range []string{"a", "b", "c"} {
		replicas = append(replicas, f.start(w, func(r *Replica) { r.SnapshotRecords = 30 }).ready())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	outcomes := map[string]string{}
	var wg sync.WaitGroup
	for i, n := range replicas {
		for k := range 3 {
			wg.Go(func() {
				for j := 0; ctx.Err() == nil; j++ {
					name := fmt.Sprintf("%d-%d-%d", i, k, j)
					pctx, done := context.WithTimeout(context.Background(), 60*time.Millisecond)
					out, err := n.Propose(pctx, policy(t, name, 0))
					done()
					var notAppended *NotAppendedError
					var unknown *UnknownOutcomeError
					outcome := ""
					switch {
					case err == nil && out[0].Accepted():
						outcome = "accepted"
					case errors.As(err, &notAppended):
						outcome = "not appended"
					case errors.As(err, &unknown):
						outcome = "unknown"
					default:
						outcome = fmt.Sprint(out, err) // no other outcome is possible for a unique name
					}
					mu.Lock()
					outcomes[name] = outcome
					mu.Unlock()
				}
			})
		}
	}
	for range 40 {
		injectFault(f, replicas[0], rnd)
		<-time.After(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
	f.log.Fault(standin.LogFault{
		DelayMs: ptr(int64(0)), Down: ptr(false), NoReads: ptr(false), NoAppends: ptr(false), Freeze: ptr(false),
		LoseResponses: ptr(0), DropAppends: ptr(0), DuplicateAppends: ptr(0),
	})
	cancel()
	wg.Wait()
	for i, n := range replicas {
		if o, err := n.publish(fmt.Sprint("last", i), 0); err != nil || !o.Accepted() {
			t.Fatal(o, err)
		}
	}
	end := uint64(0)
	for _, n := range replicas {
		end = max(end, n.Status().Offset)
	}
	for _, n := range replicas {
		n.await("end", func(s Status) bool { return s.Offset >= end })
	}
	for name, outcome := range outcomes {
		version := replicas[0].version(name)
		switch {
		case outcome == "accepted" && version == 0:
			t.Errorf("%s accepted, but not in the state", name)
		case outcome == "not appended" && version != 0:
			t.Errorf("%s not appended, but in the state", name)
		case outcome != "accepted" && outcome != "not appended" && outcome != "unknown":
			t.Errorf("%s: %s", name, outcome)
		}
		if _, batches := f.copies(name); batches > 1 {
			t.Errorf("%s in %d batches", name, batches)
		}
	}
	var sum uint64
	replicas[0].View(func(s *state.State) { sum = s.Sum() })
	for _, n := range replicas[1:] {
		n.View(func(s *state.State) {
			if s.Offset == replicas[0].Status().Offset && s.Sum() != sum {
				t.Errorf("state of %s differs from that of the first replica", n.Writer)
			}
		})
	}
	return outcomes
}

// injectFault starts or ends one fault of the log. Only entries before the
// newest snapshot expire, as they do if the log's retention time is sufficient.
func injectFault(f *fleet, n *testReplica, rnd *rand.Rand) {
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
		fault.LoseResponses = ptr(1 + rnd.IntN(3))
	case 5:
		fault.DropAppends, fault.LateMs = ptr(1+rnd.IntN(3)), ptr(int64(rnd.IntN(100)))
	case 6:
		fault.DuplicateAppends = ptr(1 + rnd.IntN(3))
	case 7:
		fault.DelayMs = ptr(int64(rnd.IntN(30)))
	case 8:
		if newest := n.newestSnapshot(); newest > 0 {
			fault.ExpireBefore = &newest
		}
	}
	f.log.Fault(fault)
}
