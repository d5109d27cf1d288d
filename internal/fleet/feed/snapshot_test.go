package feed_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/fleettest"
)

// Guards against a snapshot that expires while the log is quiet, and against
// snapshots that are written more often than that needs.
func TestSnapshotsOfQuietLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := fleettest.NewLog(rand.New(rand.NewPCG(1, 2)))
		f, start := newFeed(t, log, "lead")
		f.Retention = 5 * time.Minute
		f.SaveSnapshot = func(ctx context.Context, data []byte) error { return log.SaveSnapshot(ctx, "lead", data) }
		start()
		time.Sleep(30 * time.Second)
		is.Equal(log.Snapshots(), 1) // this leader does not know of an earlier one
		for range 20 {
			before := log.Snapshots()
			time.Sleep(f.Retention / 2)
			is.True(log.Snapshots() > before)
		}
		is.True(log.Snapshots() <= 1+30)
	})
}
