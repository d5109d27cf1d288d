package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/plan"
)

// TestPaceAdmit guards against bursts of less urgent starts that fill a slow
// link, and against urgent starts that are delayed.
func TestPaceAdmit(t *testing.T) {
	const link = 1_250_000 // 10 Mbit/s
	const now = 1_000_000
	maxBacklog := linkBytes(link, backlogTime)
	tests := []struct {
		name    string
		link    int64
		backlog int64
		in      []int // priorities of starts, each of half the maximum backlog; 3 and above are overdue
		want    []int
	}{
		{"idle", link, 0, []int{0, 1, 2, 2}, []int{0, 1}},
		{"behind", link, maxBacklog, []int{0, 1, 2}, []int{0}},
		{"urgent ones later in the round count first", link, 0, []int{2, 0, 0, 0}, []int{0, 0, 0}},
		{"unknown link", 0, maxBacklog, []int{2, 2, 2}, []int{2, 2, 2}},
		{"overdue while behind", link, maxBacklog, []int{1, 3, 4, 5}, []int{3, 4}},
		{"far behind", link, 2 * maxBacklog, []int{3, 0, 1}, []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var starts []plan.Placement
			for _, p := range tt.in {
				u := &plan.WaitingUnit{Priority: p}
				if p > 2 {
					u.JobIdle, u.RoomSince = true, now-plan.MaxChoiceWaitMs-1
				}
				starts = append(starts, plan.Placement{Unit: u})
			}
			var got []int
			for _, st := range newPacer(tt.link).admit(starts, now, tt.backlog, func(plan.Placement) int64 { return maxBacklog / 2 }) {
				got = append(got, st.Unit.Priority)
			}
			is.Equal(got, tt.want)
		})
	}
}

// TestPaceAcquire guards against more bytes in flight than the link carries in
// time, and against a request larger than this window that is never sent.
func TestPaceAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPacer(1_250_000)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		release, ok := p.acquire(ctx, 10*p.windowBytes)
		is.True(ok)
		began := time.Now()
		time.AfterFunc(300*time.Millisecond, release)
		release, ok = p.acquire(ctx, 1)
		is.True(ok)
		is.Equal(time.Since(began), 300*time.Millisecond)
		_, ok = p.acquire(ctx, p.windowBytes)
		is.True(!ok) // the context has ended
		release()
	})
}
