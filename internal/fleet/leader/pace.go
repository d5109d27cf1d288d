package leader

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"

	"jasminelane.example/lane/internal/fleet/plan"
)

const (
	// startBytes is what a start order takes on the link beside its spec.
	startBytes = 600

	// sendWindow is how long the link may be busy with the start orders that
	// are on their way. It is well below orderTimeout: orders that time out
	// because of others on the link would be repeated and fill it further.
	sendWindow = 120 * time.Millisecond

	// sendAhead is how long the link may be busy with starts that are decided
	// and not delivered before less urgent work waits. Urgent work that comes
	// meanwhile starts that much later.
	sendAhead = 200 * time.Millisecond
)

// pacer fits start orders to the instance's link. Bursts of some hundred
// starts fill a link of 10 Mbit/s for seconds.
type pacer struct {
	link   int64 // bytes a second; 0 is no limit
	window int64 // bytes
	free   *semaphore.Weighted
}

func newPacer(link int64) *pacer {
	window := bytesIn(link, sendWindow)
	return &pacer{link, window, semaphore.NewWeighted(window)}
}

// bytesIn returns what a link carries in the time.
func bytesIn(link int64, d time.Duration) int64 {
	return int64(float64(link) * d.Seconds())
}

// acquire waits until an order of the size may be sent and returns a function
// that gives its share of the link back; false means that the context ended.
func (p *pacer) acquire(ctx context.Context, size int64) (release func(), ok bool) {
	if p.link == 0 {
		return func() {}, ctx.Err() == nil
	}
	size = min(size, p.window)
	if err := p.free.Acquire(ctx, size); err != nil {
		return nil, false
	}
	return func() { p.free.Release(size) }, true
}

// admit returns the starts that the link can carry soon: all urgent ones, and
// others as long as no more than sendAhead is waiting. size returns the bytes
// of a start; backlog counts those that are decided and not delivered.
func (p *pacer) admit(starts []plan.Placement, backlog int64, size func(plan.Placement) int64) []plan.Placement {
	if p.link == 0 {
		return starts
	}
	most := bytesIn(p.link, sendAhead)
	for _, st := range starts {
		if st.Unit.Priority == 0 {
			backlog += size(st)
		}
	}
	var out []plan.Placement
	for _, st := range starts {
		if st.Unit.Priority > 0 {
			if backlog >= most {
				continue
			}
			backlog += size(st)
		}
		out = append(out, st)
	}
	return out
}
