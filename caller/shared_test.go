package caller

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/standin"
)

// TestSharedSlots guards against slots that stay idle although another
// instance has work for them, and against work that is refused below the
// capacity of all slots. It runs in virtual time: beside three busy processes
// the callers' own processor time alone took the used share below the bound.
func TestSharedSlots(t *testing.T) {
	for _, c := range []struct {
		callers int     // of each of 3 instances
		least   float64 // share of the capacity of 32 slots that is used
	}{
		{8, 0.5},
		{12, 0.6}, // more callers than the 28 slots for normal requests: the rest waits
	} {
		t.Run(fmt.Sprintf("%d callers", c.callers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { sharedSlots(t, c.callers, c.least) })
		})
	}
}

func sharedSlots(t *testing.T, callers int, least float64) {
	k := newBench(t, 4, &standin.Backends{Service: 10 * time.Millisecond, Network: &standin.Network{}})
	stop := after(time.Second)
	var wg sync.WaitGroup
	for i := range 3 {
		r, _ := k.router(fmt.Sprintf("i%d", i))
		wg.Go(func() {
			y := load(t, r, callers, stop, func() *Request { return request(onceID(), true, time.Second) })
			if lost := y.fates[record.RequestNotRun] + y.fates[record.RequestUnknown]; lost > y.fates[record.RequestDone]/50 {
				t.Errorf("instance %d: %v %v", i, y.fates, y.reasons)
			}
		})
	}
	wg.Wait()
	used := float64(len(k.backends.Trail())) / 3200
	t.Logf("%.2f of the capacity used", used)
	if used < least {
		t.Errorf("%.2f of the capacity used, want %.2f", used, least)
	}
}
