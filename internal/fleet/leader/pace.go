package leader

import (
	"context"
	"math"
	"time"

	"golang.org/x/sync/semaphore"

	"jasminelane.example/lane/internal/fleet/plan"
)

const (
	// startOverheadBytes is the size of a start request on the link without its
	// spec.
	startOverheadBytes = 600

	// inFlightTime is how long the link may be busy with the start requests in
	// flight. It is well below requestTimeout: requests that time out because
	// of others on the link would be repeated and load it further.
	inFlightTime = 120 * time.Millisecond

	// backlogTime is how long the link may be busy with starts that are decided
	// and not sent yet before less urgent starts have to wait. Urgent work that
	// arrives meanwhile is delayed by up to this time.
	backlogTime = 200 * time.Millisecond

	// overdueBacklogTime is the same for starts of units that should have started
	// before, so that a burst of urgent starts does not keep them waiting.
	overdueBacklogTime = 2 * backlogTime
)

// pacer limits start requests to the rate of the instance's network link. A
// burst of a few hundred starts would fill a link of 10 Mbit/s for seconds.
type pacer struct {
	bytesPerSecond int64 // 0 means no limit
	windowBytes    int64 // largest total size of the requests in flight
	window         *semaphore.Weighted
}

// newPacer returns a pacer for a link of the rate; 0 means no limit.
func newPacer(bytesPerSecond int64) *pacer {
	window := linkBytes(bytesPerSecond, inFlightTime)
	return &pacer{bytesPerSecond, window, semaphore.NewWeighted(window)}
}

// linkBytes returns how many bytes a link carries in the duration.
func linkBytes(bytesPerSecond int64, d time.Duration) int64 {
	return int64(float64(bytesPerSecond) * d.Seconds())
}

// acquire waits until a request of the size may be sent and returns a function
// that releases its share of the link. ok is false if the context ended first.
func (p *pacer) acquire(ctx context.Context, size int64) (release func(), ok bool) {
	if p.bytesPerSecond == 0 {
		return func() {}, ctx.Err() == nil
	}
	size = min(size, p.windowBytes)
	if err := p.window.Acquire(ctx, size); err != nil {
		return nil, false
	}
	return func() { p.window.Release(size) }, true
}

// admit returns the starts that the link can carry soon: all of the highest
// priority, and others while the backlog stays below overdueBacklogTime for the
// units that are overdue at the time now, and below backlogTime for the rest.
// backlog is the total size in bytes of the starts that are decided and not sent
// yet, and size returns the bytes of one start.
func (p *pacer) admit(starts []plan.Placement, now, backlog int64, size func(plan.Placement) int64) []plan.Placement {
	if p.bytesPerSecond == 0 {
		return starts
	}
	urgency := func(st plan.Placement) int {
		switch {
		case st.Unit.Priority == 0:
			return 0
		case st.Unit.Overdue(now):
			return 1
		}
		return 2
	}
	limits := []int64{math.MaxInt64, linkBytes(p.bytesPerSecond, overdueBacklogTime), linkBytes(p.bytesPerSecond, backlogTime)}
	admitted := make([]bool, len(starts))
	for level, limit := range limits {
		for i, st := range starts {
			if urgency(st) == level && backlog < limit {
				admitted[i] = true
				backlog += size(st)
			}
		}
	}
	var out []plan.Placement
	for i, st := range starts {
		if admitted[i] {
			out = append(out, st)
		}
	}
	return out
}
