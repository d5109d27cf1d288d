package feed_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/fleettest"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against an instance that knows no epoch and needs minutes to find one
// that the log accepts.
func TestClaimAfterUnknownEpochs(t *testing.T) {
	tests := []struct {
		name    string
		epoch   uint64 // newest one of the log, in steps
		within  time.Duration
		highest uint64 // epoch that may be claimed, in steps
	}{
		{"none", 0, 2 * time.Second, 1},
		{"few", 3, 3 * time.Second, 12},
		{"many", 5000, 6 * time.Second, 20000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := fleettest.NewLog(rand.New(rand.NewPCG(1, 2)))
				if tt.epoch > 0 {
					_, err := log.Append(t.Context(), "earlier", feed.Batch{Epoch: tt.epoch * ledger.EpochStep, Seq: 1})
					is.NoErr(err)
				}
				f, start := newFeed(t, log, "n")
				start()
				time.Sleep(tt.within)
				is.Equal(f.Leading(), true)
				is.True(f.Status().Epoch > tt.epoch*ledger.EpochStep)
				is.True(f.Status().Epoch <= tt.highest*ledger.EpochStep)
			})
		})
	}
}
