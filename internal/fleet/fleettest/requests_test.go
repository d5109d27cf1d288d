package fleettest

import (
	"context"
	"testing"
	"time"

	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a delayed sync that writes to the report of a caller that has given up.
func TestDelayedSyncLeavesCallerAlone(t *testing.T) {
	runBench(t, ledger.Step{Count: 1, Estimate: 1000}, func(b *bench) {
		b.workers.WithLock(func() { b.workers.DelayedRate = 1 })
		for range 20 {
			go func() {
				ctx, cancel := context.WithTimeout(b.t.Context(), 400*time.Millisecond)
				defer cancel()
				if _, err := b.workers.Sync(ctx, "e0", leader.Target{ID: "w0", Token: 1}, leader.SyncRequest{}); err == nil {
					b.t.Error("answered")
				}
			}()
		}
		time.Sleep(15 * time.Second)
	})
}
