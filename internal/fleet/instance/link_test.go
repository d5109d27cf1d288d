package instance

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// narrow is an instance's link: start orders take their bytes' time on it, one
// after the other, also those whose sender no longer waits for the answer.
type narrow struct {
	rate int64 // bytes a second

	mu     sync.Mutex
	free   time.Time
	passed map[leader.TaskID]int // orders sent, by task
}

// pass waits until the order has crossed the link.
func (l *narrow) pass(ctx context.Context, o leader.StartRequest) error {
	const headers = 600 // bytes
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(headers+len(o.Spec)) * time.Second / time.Duration(l.rate))
	wait := time.Until(l.free)
	l.passed[o.Task]++
	l.mu.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return &leader.NoAnswerError{Err: ctx.Err()}
	}
}

// Guards against a leader on a link of 10 Mbit/s that sends more starts at a
// time than the link carries: they time out, are repeated and fill it further,
// and urgent work waits behind them (fresh-28da of ckbw-lane-grown).
func TestNarrowLink(t *testing.T) {
	is := is.New(t)
	link := &narrow{rate: 1_250_000, passed: make(map[leader.TaskID]int)}
	settings := func(s *Settings) { s.Link = link.rate }
	playWith(t, 1, 1, 80, settings, func(c *cluster) {
		c.link = link
		time.Sleep(3 * time.Second)
		for _, id := range []string{"bulk-1", "bulk-2"} {
			j := job(id, ledger.Step{Count: 300, GPU: 1, Estimate: 3000})
			j.Spec, j.Priority = strings.Repeat("s", 4000), 2
			is.True(c.submit(c.nodes[0], j))
		}
		time.Sleep(300 * time.Millisecond)
		handed := time.Now()
		urgent := job("urgent", ledger.Step{Count: 4, GPU: 8, Estimate: 500, Gang: true})
		is.True(c.submit(c.nodes[0], urgent))
		is.Equal(c.finish([]string{"urgent"}, 10*time.Second), nil)
		const objective = 1000 * time.Millisecond // 1.5 times its run time, and the route's target
		const question = 200 * time.Millisecond   // between two looks at its phase
		is.True(time.Since(handed) < objective+question)
		is.Equal(c.finish([]string{"bulk-1", "bulk-2"}, 60*time.Second), nil)
		for _, n := range link.passed {
			is.True(n <= 2) // once, and once more after the urgent job took its room
		}
	})
}
