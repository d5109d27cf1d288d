package caller

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/standin"
)

// Instances that share servers must use slots that the others leave idle, and
// must not refuse work below the capacity of all slots.
func TestSharedSlots(t *testing.T) {
	for _, c := range []struct {
		callers int     // of each of 3 instances
		least   float64 // share of the capacity of 32 slots that is used
	}{
		{8, 0.5},
		{12, 0.6}, // more callers than the 28 slots for normal requests: the rest waits
	} {
		k := newBench(t, 4, &standin.Backends{Service: 10 * time.Millisecond})
		stop := after(time.Second)
		var wg sync.WaitGroup
		for i := range 3 {
			r, _ := k.router(fmt.Sprintf("i%d", i))
			wg.Go(func() {
				y := load(t, r, c.callers, stop, func() *Request { return request(onceID(), true, time.Second) })
				if lost := y.fates[record.FateNotRun] + y.fates[record.FateUnknown]; lost > y.fates[record.FateDone]/50 {
					t.Errorf("%d callers: instance %d: %v %v", c.callers, i, y.fates, y.reasons)
				}
			})
		}
		wg.Wait()
		if used := float64(len(k.backends.Trail())) / 3200; used < c.least {
			t.Errorf("%d callers: %.2f of the capacity used, want %.2f", c.callers, used, c.least)
		}
	}
}
