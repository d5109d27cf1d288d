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

// TestSharedSlots guards against slots that stay idle although another instance
// has requests for them, and against requests that are refused below the capacity
// of all slots. It runs in virtual time: in real time, with three other busy
// processes on the machine, the processor time of the callers alone took the
// used share below the bound.
func TestSharedSlots(t *testing.T) {
	for _, c := range []struct {
		callers int     // on each of 3 instances
		minUsed float64 // least share of the capacity of 32 slots that must be used
	}{
		{8, 0.5},
		{12, 0.6}, // more callers than the 28 slots for normal requests, so that some wait
	} {
		t.Run(fmt.Sprintf("%d callers", c.callers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { sharedSlots(t, c.callers, c.minUsed) })
		})
	}
}

func sharedSlots(t *testing.T, callers int, minUsed float64) {
	k := newTestEnv(t, 4, &standin.Backends{ServiceTime: 10 * time.Millisecond, Network: &standin.Network{}})
	stop := closedAfter(time.Second)
	var wg sync.WaitGroup
	for i := range 3 {
		r, _ := k.router(fmt.Sprintf("i%d", i))
		wg.Go(func() {
			y := runLoad(t, r, callers, stop, func() *Request { return request(onceID(), true, time.Second) })
			if lost := y.outcomes[record.RequestNotRun] + y.outcomes[record.RequestUnknown]; lost > y.outcomes[record.RequestDone]/50 {
				t.Errorf("instance %d: %v %v", i, y.outcomes, y.reasons)
			}
		})
	}
	wg.Wait()
	used := float64(len(k.backends.Audit())) / 3200
	t.Logf("%.2f of the capacity used", used)
	if used < minUsed {
		t.Errorf("%.2f of the capacity used, want %.2f", used, minUsed)
	}
}
