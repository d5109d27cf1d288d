package trace

import "container/heap"

// clock runs functions in order of simulated time. Functions scheduled for the
// same time run in the order in which they were added.
type clock struct {
	now    int64 // milliseconds since the start of the trace
	events eventHeap
	seq    int
}

// at schedules f for time t, or for the current time if t has passed.
func (c *clock) at(t int64, f func()) {
	c.seq++
	heap.Push(&c.events, event{max(t, c.now), c.seq, f})
}

// after schedules f after a delay of d milliseconds.
func (c *clock) after(d int64, f func()) { c.at(c.now+d, f) }

// step advances the clock to the next function and runs it. It returns false
// if no function is scheduled up to the limit.
func (c *clock) step(limit int64) bool {
	if len(c.events) == 0 || c.events[0].at > limit {
		return false
	}
	e := heap.Pop(&c.events).(event)
	c.now = e.at
	e.run()
	return true
}

// event is a scheduled function.
type event struct {
	at  int64
	seq int
	run func()
}

// eventHeap is a min-heap of events by time, then by order of scheduling.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
