package instance

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/fleettest"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// shortRetention is how long the log and the snapshots of runExpiringCluster are
// retained.
const shortRetention = 20 * time.Second

// expiringSnapshots loses the newest snapshot of a cluster after shortRetention, or
// at once.
type expiringSnapshots struct {
	lost bool // no snapshot can be read

	mu      sync.Mutex
	savedAt time.Time
}

// wrap lets the snapshots of an instance expire.
func (e *expiringSnapshots) wrap(n *Instance) {
	n.Settings.Bounds.Retention = shortRetention
	save, load := n.SaveSnapshot, n.LoadSnapshot
	n.SaveSnapshot = func(ctx context.Context, data []byte) error {
		err := save(ctx, data)
		if err == nil {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.savedAt = time.Now()
		}
		return err
	}
	n.LoadSnapshot = func(ctx context.Context) ([]byte, error) {
		e.mu.Lock()
		expired := e.lost || time.Since(e.savedAt) > shortRetention
		e.mu.Unlock()
		if expired {
			return nil, nil
		}
		return load(ctx)
	}
}

// runExpiringCluster is like runCluster, with records and snapshots that expire and
// with the lag at which an instance outside tests writes a snapshot.
func runExpiringCluster(t *testing.T, seed uint64, lostSnapshots bool, workers int, f func(c *cluster)) *fleettest.Checker {
	e := &expiringSnapshots{lost: lostSnapshots}
	return runClusterWith(t, seed, 3, workers, e.wrap, func(c *cluster) {
		c.minSnapshotLag = 0
		for _, n := range c.nodes {
			c.restart(n)
		}
		go func() {
			for c.ctx.Err() == nil {
				end := c.log.End()
				time.AfterFunc(shortRetention, func() { c.log.SetFaults(func(l *fleettest.LogFaults) { l.FirstOffset = end }) })
				time.Sleep(500 * time.Millisecond)
			}
		}()
		f(c)
	})
}

// Guards against a restarted instance that takes over from a sound leader whose
// claim has expired, and that starts finished tasks again.
func TestRestartAfterClaimExpired(t *testing.T) {
	for _, lostSnapshots := range []bool{false, true} {
		t.Run(fmt.Sprintf("snapshots lost %v", lostSnapshots), func(t *testing.T) {
			is := is.New(t)
			r := runExpiringCluster(t, 1, lostSnapshots, 4, func(c *cluster) {
				time.Sleep(3 * time.Second)
				submitEvery := func(from, to int) {
					for i := from; i < to; i++ {
						is.True(c.submit(c.nodes[i%3], job(fmt.Sprint("j", i), ledger.Step{Count: 2, GPU: 1, Estimate: 1500})))
						time.Sleep(2 * time.Second)
					}
				}
				submitEvery(0, 22)
				first := c.leader()
				epoch := first.instance().Feed.Status().Epoch
				restarted := c.nodes[0]
				if restarted == first {
					restarted = c.nodes[1]
				}
				c.restart(restarted)
				submitEvery(22, 27)
				is.Equal(c.leader(), first)
				is.Equal(restarted.instance().Feed.Status().Leader, first.name)
				is.Equal(first.instance().Feed.Status().Epoch, epoch)
				c.restart(first)
				submitEvery(27, 30)
				is.Equal(c.countLeaders(), 1)
				is.Equal(c.waitFinished([]string{"j24", "j25", "j26", "j27", "j28", "j29"}, 20*time.Second), nil)
			})
			is.Equal(r.Violations, nil)
		})
	}
}

// Guards against the loss of accepted jobs when all instances restart while the log
// is quiet: more jobs than are rewritten, and less records than make a snapshot due
// by their size.
func TestJobsOutlastQuietLog(t *testing.T) {
	is := is.New(t)
	runExpiringCluster(t, 1, false, 1, func(c *cluster) {
		time.Sleep(3 * time.Second)
		const jobs = 900
		due := time.Now().Add(10 * time.Minute).UnixMilli()
		for i := range jobs {
			j := job(fmt.Sprint("j", i), ledger.Step{Count: 1, GPU: 1, Estimate: 300})
			j.OccurrenceCount, j.FirstDue, j.Period = 1, due, 1000
			is.True(c.submit(c.nodes[i%3], j))
		}
		time.Sleep(shortRetention + shortRetention/2)
		for _, n := range c.nodes {
			c.kill(n)
		}
		time.Sleep(1500 * time.Millisecond)
		for _, n := range c.nodes {
			c.start(n)
		}
		time.Sleep(5 * time.Second)
		lost := 0
		for i := range jobs {
			if c.phase(c.nodes[i%3], fmt.Sprint("j", i)) == "" {
				lost++
			}
		}
		is.Equal(lost, 0)
	})
}

// Guards against combinations of faults that break a promise to callers while
// records and snapshots expire, see TestHistories.
func TestHistoriesOfExpiringLog(t *testing.T) {
	for i := range max(*histories/5, 1) {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var violations []string
			r := runExpiringCluster(t, seed, false, 8, func(c *cluster) { violations = playHistory(c, seed) })
			for _, v := range append(r.Violations, violations...) {
				t.Error(v)
			}
		})
	}
}
