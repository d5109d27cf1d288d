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

// slowLink simulates a network link of limited capacity. It transmits start
// requests one after the other, each for as long as its size takes at the
// link's rate. A request takes this time even if its sender has given up
// waiting for the answer.
type slowLink struct {
	bytesPerSecond int64

	mu     sync.Mutex
	freeAt time.Time
	sent   map[leader.TaskID]int // number of requests sent, by task
}

// transmit waits until the link has transmitted the request.
func (l *slowLink) transmit(ctx context.Context, req leader.StartRequest) error {
	const headerBytes = 600
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(headerBytes+len(req.Spec)) * time.Second / time.Duration(l.bytesPerSecond))
	wait := time.Until(l.freeAt)
	l.sent[req.Task]++
	l.mu.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return &leader.NoAnswerError{Err: ctx.Err()}
	}
}

// Guards against a leader on a 10 Mbit/s link that sends more start requests at
// a time than the link can carry. They time out, and their retries load the
// link further, so that urgent jobs are delayed behind them. Seen on
// fresh-28da of ckbw-lane-grown.
func TestNarrowLink(t *testing.T) {
	is := is.New(t)
	link := &slowLink{bytesPerSecond: 1_250_000, sent: make(map[leader.TaskID]int)}
	settings := func(n *Instance) { n.Settings.LinkRate = link.bytesPerSecond }
	runClusterWith(t, 1, 1, 80, settings, func(c *cluster) {
		c.link = link
		time.Sleep(3 * time.Second)
		for _, id := range []string{"bulk-1", "bulk-2"} {
			j := job(id, ledger.Step{Count: 300, GPU: 1, Estimate: 3000})
			j.Spec, j.Priority = strings.Repeat("s", 4000), 2
			is.True(c.submit(c.nodes[0], j))
		}
		time.Sleep(300 * time.Millisecond)
		submitted := time.Now()
		urgent := job("urgent", ledger.Step{Count: 4, GPU: 8, Estimate: 500, Gang: true})
		is.True(c.submit(c.nodes[0], urgent))
		is.Equal(c.waitFinished([]string{"urgent"}, 10*time.Second), nil)
		const objective = 1000 * time.Millisecond   // 1.5 times the job's run time plus the route's target
		const pollInterval = 200 * time.Millisecond // between two requests for the job's phase
		is.True(time.Since(submitted) < objective+pollInterval)
		is.Equal(c.waitFinished([]string{"bulk-1", "bulk-2"}, 60*time.Second), nil)
		for _, n := range link.sent {
			is.True(n <= 2) // once, and once more if the urgent job took its resources
		}
	})
}
