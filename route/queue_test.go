package route

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestQueueOrder guards against items that are popped out of the order of class
// and deadline, are popped after their deadline, or are lost.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{MaxPerAccount: 1000, TargetDelayMs: 1 << 40}
		waiting := map[*Item]bool{}
		var now int64 = 1
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				it := &Item{
					Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"),
					Class:   Class(rapid.IntRange(0, 2).Draw(t, "class")), Deadline: now + rapid.Int64Range(1, 50).Draw(t, "left"),
				}
				if err := q.Push(now, it); err != nil {
					t.Fatal(err)
				}
				waiting[it] = true
			},
			"remove": func(t *rapid.T) {
				for it := range waiting {
					if !q.Remove(it) || q.Remove(it) {
						t.Fatal("a waiting item is removed once")
					}
					delete(waiting, it)
					return
				}
			},
			"pop": func(t *rapid.T) {
				now += rapid.Int64Range(0, 20).Draw(t, "step")
				it, expired := q.Pop(now)
				for _, e := range expired {
					if e.Deadline > now || !waiting[e] {
						t.Fatal("expired item that is not past its deadline")
					}
					delete(waiting, e)
				}
				delete(waiting, it)
				for w := range waiting {
					switch {
					case it == nil:
						t.Fatal("an item waits and none was popped")
					case w.Deadline > now && (w.Class < it.Class || w.Class == it.Class && w.Deadline < it.Deadline):
						t.Fatal("a more urgent item waits")
					}
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) {
					t.Fatalf("%d queued, want %d", q.Len(), len(waiting))
				}
			},
		})
	})
}

// TestQueueBound guards against one account that fills the queue for all others.
func TestQueueBound(t *testing.T) {
	is := is.New(t)
	q := &Queue{MaxPerAccount: 2, MaxItems: 3}
	item := func(account string) *Item { return &Item{Account: account, Deadline: 100} }
	is.NoErr(q.Push(1, item("a")))
	is.NoErr(q.Push(1, item("a")))
	var e *RefusedError
	is.True(errors.As(q.Push(1, item("a")), &e))
	is.Equal(e.Reason, ReasonQueue)
	is.NoErr(q.Push(1, item("b")))
	is.True(errors.As(q.Push(1, item("c")), &e)) // total
	is.True(errors.As(q.Push(100, item("c")), &e))
	is.Equal(e.Reason, ReasonDeadline)
}

// simulate pushes requests of one class at the given load, relative to a capacity
// of one start per millisecond. It returns the ratio of shed requests and the
// longest delay after the first second.
func simulate(q *Queue, load float64, ms int64) (shed float64, longest int64) {
	var offered, refused, credit float64
	for now := int64(1); now <= ms; now++ {
		for credit += load; credit >= 1; credit-- {
			it := &Item{Account: fmt.Sprint(now % 50), Class: Normal, Deadline: now + 5000}
			offered++
			if q.Push(now, it) != nil {
				refused++
			}
		}
		if it, _ := q.Pop(now); it != nil && now > 1000 {
			longest = max(longest, now-it.arrived)
		}
	}
	return refused / offered, longest
}

// TestShedding guards against queues that shed too late under overload, so that
// every request waits until close to its deadline, and against shedding below
// capacity.
func TestShedding(t *testing.T) {
	for _, c := range []struct {
		load, least, most float64
		longest           int64
	}{
		// Requests that arrive while the delay grows to the target are admitted, so
		// the longest delay is about the target times the load.
		{0.9, 0, 0, 5},
		{1.5, 0.3, 0.4, 10},
		{3, 0.6, 0.7, 17},
	} {
		q := &Queue{}
		shed, longest := simulate(q, c.load, 5000)
		if shed < c.least || shed > c.most || longest > c.longest {
			t.Errorf("load %.1f: shed %.3f, want %.1f to %.1f; delay %d ms, want at most %d", c.load, shed, c.least, c.most, longest, c.longest)
		}
		for now := int64(5001); q.Len() > 0; now++ {
			q.Pop(now)
		}
		if shed, _ := simulate(q, 0.5, 1000); shed > 0.05 {
			t.Errorf("load %.1f: still sheds %.3f after the load dropped", c.load, shed)
		}
	}
}

// TestSheddingLongRequests guards against shedding of long requests because of
// delays that are short compared with their service time, and against no
// shedding when the delays last.
func TestSheddingLongRequests(t *testing.T) {
	is := is.New(t)
	q := &Queue{ServiceTimeMs: [classes]int64{10_000}} // target 500 ms, interval 10 s
	push := func(now int64) error { return q.Push(now, &Item{Deadline: now + 100_000}) }
	is.NoErr(push(1))
	is.NoErr(push(1000))
	is.NoErr(push(9000))
	is.Equal(reason(push(11_100)), ReasonShed)
}

// TestBudget guards against more retries than the budget allows, whatever the
// order of requests and retries.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &RetryBudget{}
		var now int64 = 1_000_000
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.CountRequest(now)
				requests++
			} else if b.TakeRetry(now) {
				retries++
			}
			now += rapid.Int64Range(0, 10).Draw(t, "step") // all within the window
		}
		if float64(retries) > 0.1*float64(requests)+4 {
			t.Fatalf("%d retries of %d requests", retries, requests)
		}
	})
	is := is.New(t)
	b := &RetryBudget{}
	for b.TakeRetry(1000) {
	}
	is.True(b.TakeRetry(12_000)) // retries of an earlier window do not count
}

// TestJitter guards against delays outside of their exponentially growing bound.
func TestJitter(t *testing.T) {
	is := is.New(t)
	most := func() float64 { return 0.9999 }
	is.Equal(RetryDelayMs(1, 10, 200, most), int64(9))
	is.Equal(RetryDelayMs(3, 10, 200, most), int64(39))
	is.Equal(RetryDelayMs(60, 10, 200, most), int64(199))
	is.Equal(RetryDelayMs(3, 10, 200, func() float64 { return 0 }), int64(0))
}
