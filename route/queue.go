package route

import "container/heap"

// Item is one waiting request. The queue does not use Value, which is for the
// user of the queue.
type Item struct {
	Account  string
	Class    Class
	Deadline int64 // Unix milliseconds
	Value    any

	arrived int64
	index   int // position in the heap of its class; -1 when not queued
}

// Queue holds requests that wait for a server: urgent before normal before bulk
// ones, and the earliest deadline first within a class. When the queue delay of a
// class has stayed above TargetDelayMs for IntervalMs, the queue sheds new
// requests of the class while the delay is above the target. Shedding ends when
// the delay has been at or below the target for IntervalMs. It is not safe for
// concurrent use.
type Queue struct {
	MaxPerAccount int            // limit of waiting requests of one account; default 256
	MaxItems      int            // limit of all waiting requests; default 4096
	TargetDelayMs int64          // acceptable queue delay; default 5
	IntervalMs    int64          // time above the target until shedding starts; default 100
	ServiceTimeMs [classes]int64 // mean service time of each class; may change at any time

	heaps    [classes]itemHeap
	shedding [classes]delayState
	accounts map[string]int
	size     int
}

// delayState tracks the queue delay of one class for load shedding.
type delayState struct {
	aboveSince int64 // time since which the delay has been above the target; 0 when it is not
	belowSince int64 // while shedding, time since which it has been at or below the target; else 0
	on         bool
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Peek returns the item that Pop returns next unless its deadline passes
// before. It returns nil if no item waits.
func (q *Queue) Peek() *Item {
	for _, h := range q.heaps {
		if len(h) > 0 {
			return h[0]
		}
	}
	return nil
}

// Ahead returns the number of waiting requests of the class and of the classes
// before it.
func (q *Queue) Ahead(c Class) int {
	n := 0
	for _, h := range q.heaps[:c+1] {
		n += len(h)
	}
	return n
}

// Push adds the item. Its error is a *RefusedError.
func (q *Queue) Push(now int64, it *Item) error {
	if it.Deadline <= now {
		return &RefusedError{Reason: ReasonDeadline}
	}
	if err := q.Admit(now, it.Account, it.Class); err != nil {
		return err
	}
	if q.accounts == nil {
		q.accounts = map[string]int{}
	}
	it.arrived = now
	heap.Push(&q.heaps[it.Class], it)
	q.accounts[it.Account]++
	q.size++
	return nil
}

// Admit returns nil if an item of the account and class would be accepted now,
// and a *RefusedError otherwise.
func (q *Queue) Admit(now int64, account string, c Class) error {
	limit, total := orDefault(q.MaxPerAccount, 256), orDefault(q.MaxItems, 4096)
	if q.accounts[account] >= limit || q.size >= total {
		return &RefusedError{Reason: ReasonQueue, RetryAfter: 10 * q.interval(c)}
	}
	delay := q.delay(now, c)
	q.observeDelay(now, c, delay)
	if q.shedding[c].on && delay > q.target(c) {
		return &RefusedError{Reason: ReasonShed, RetryAfter: max(q.interval(c), 2*delay)}
	}
	return nil
}

// Pop removes and returns the next item to start, and the items past their
// deadline that were queued before it. The item is nil when none is left.
func (q *Queue) Pop(now int64) (it *Item, expired []*Item) {
	for c := range q.heaps {
		for len(q.heaps[c]) > 0 {
			it := q.heaps[c][0]
			q.remove(it)
			if it.Deadline <= now {
				expired = append(expired, it)
				continue
			}
			q.observeDelay(now, it.Class, now-it.arrived)
			return it, expired
		}
		q.observeDelay(now, Class(c), 0)
	}
	return nil, expired
}

// Expire removes and returns the items past their deadline.
func (q *Queue) Expire(now int64) (expired []*Item) {
	for c := range q.heaps {
		for len(q.heaps[c]) > 0 && q.heaps[c][0].Deadline <= now {
			it := q.heaps[c][0]
			q.remove(it)
			expired = append(expired, it)
		}
	}
	return expired
}

// Remove removes an item, for example when its caller has disconnected. It
// reports whether the item was still queued.
func (q *Queue) Remove(it *Item) bool {
	if it.index < 0 || it.index >= len(q.heaps[it.Class]) || q.heaps[it.Class][it.index] != it {
		return false
	}
	q.remove(it)
	return true
}

func (q *Queue) remove(it *Item) {
	heap.Remove(&q.heaps[it.Class], it.index)
	if q.accounts[it.Account]--; q.accounts[it.Account] == 0 {
		delete(q.accounts, it.Account)
	}
	q.size--
}

// delay returns how long the first item of the class has waited. If deadlines are
// in the order of arrival, it is the oldest item.
func (q *Queue) delay(now int64, c Class) int64 {
	if len(q.heaps[c]) == 0 {
		return 0
	}
	return now - q.heaps[c][0].arrived
}

// observeDelay starts or ends load shedding of the class by its queue delay.
func (q *Queue) observeDelay(now int64, c Class, delay int64) {
	s := &q.shedding[c]
	if delay <= q.target(c) {
		s.aboveSince = 0
		if s.on && s.belowSince == 0 {
			s.belowSince = now
		}
		if s.on && now-s.belowSince >= q.interval(c) {
			*s = delayState{}
		}
		return
	}
	s.belowSince = 0
	if s.aboveSince == 0 {
		s.aboveSince = now
	}
	if now-s.aboveSince >= q.interval(c) {
		s.on = true
	}
}

// target and interval grow with the service time of a class: for requests that
// take 10 s, a delay of 5 ms for a tenth of a second is no overload.
func (q *Queue) target(c Class) int64 {
	return max(orDefault(q.TargetDelayMs, 5), q.ServiceTimeMs[c]/20)
}
func (q *Queue) interval(c Class) int64 { return max(orDefault(q.IntervalMs, 100), q.ServiceTimeMs[c]) }

func orDefault[T int | int64](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// itemHeap is a heap of items by deadline, then by time of arrival.
type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if h[i].Deadline != h[j].Deadline {
		return h[i].Deadline < h[j].Deadline
	}
	return h[i].arrived < h[j].arrived
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = -1
	return it
}
