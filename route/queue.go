package route

import "container/heap"

// Item is one waiting request; Value is the queue user's own.
type Item struct {
	Account  string
	Class    Class
	Deadline int64 // Unix milliseconds
	Value    any

	arrived int64
	index   int // in its class's heap; -1 when not queued
}

// Queue holds requests that wait for a server: urgent before normal before
// bulk, within a class the earliest deadline first. A class whose standing
// delay stays above Target for Interval sheds new arrivals until the delay is
// below Target again. It is not safe for concurrent use.
type Queue struct {
	Limit    int            // waiting requests of one account; default 256
	Total    int            // waiting requests in all; default 4096
	Target   int64          // standing delay, milliseconds; default 5
	Interval int64          // milliseconds; default 100
	Usual    [classes]int64 // usual service time, milliseconds; may change at any time

	heaps    [classes]itemHeap
	shedding [classes]shedState
	accounts map[string]int
	size     int
}

// shedState follows the queue delay of one class.
type shedState struct {
	above int64 // since when the delay has been above the target; 0 when below
	below int64 // since when, while shedding, it has been below
	on    bool
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Next returns the item that Pop returns next unless its deadline passes, or
// nil.
func (q *Queue) Next() *Item {
	for _, h := range q.heaps {
		if len(h) > 0 {
			return h[0]
		}
	}
	return nil
}

// Ahead returns how many waiting requests go before a new one of the class.
func (q *Queue) Ahead(c Class) int {
	n := 0
	for _, h := range q.heaps[:c+1] {
		n += len(h)
	}
	return n
}

// Push adds the item; it fails with *RefusedError.
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

// Admit reports whether an item of the account and class would be accepted
// now; it fails with *RefusedError.
func (q *Queue) Admit(now int64, account string, c Class) error {
	limit, total := orDefault(q.Limit, 256), orDefault(q.Total, 4096)
	if q.accounts[account] >= limit || q.size >= total {
		return &RefusedError{Reason: ReasonQueue, RetryAfter: 10 * q.interval(c)}
	}
	delay := q.delay(now, c)
	q.observe(now, c, delay)
	if q.shedding[c].on && delay > q.target(c) {
		return &RefusedError{Reason: ReasonShed, RetryAfter: max(q.interval(c), 2*delay)}
	}
	return nil
}

// Pop removes the next item to start, and all items past their deadline that
// it meets before it. The item is nil when none is left.
func (q *Queue) Pop(now int64) (it *Item, expired []*Item) {
	for c := range q.heaps {
		for len(q.heaps[c]) > 0 {
			it := q.heaps[c][0]
			q.remove(it)
			if it.Deadline <= now {
				expired = append(expired, it)
				continue
			}
			q.observe(now, it.Class, now-it.arrived)
			return it, expired
		}
		q.observe(now, Class(c), 0)
	}
	return nil, expired
}

// Expire removes the items past their deadline.
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

// Remove takes out an item whose caller went away; it reports whether the
// item was still queued.
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

// delay returns how long the item that would start next in the class has
// waited. With deadlines that follow arrival it is the oldest.
func (q *Queue) delay(now int64, c Class) int64 {
	if len(q.heaps[c]) == 0 {
		return 0
	}
	return now - q.heaps[c][0].arrived
}

func (q *Queue) observe(now int64, c Class, delay int64) {
	s := &q.shedding[c]
	if delay <= q.target(c) {
		s.above = 0
		if s.on && s.below == 0 {
			s.below = now
		}
		if s.on && now-s.below >= q.interval(c) {
			*s = shedState{}
		}
		return
	}
	s.below = 0
	if s.above == 0 {
		s.above = now
	}
	if now-s.above >= q.interval(c) {
		s.on = true
	}
}

// target and interval grow for services that take longer than Interval: with
// requests of 10 s a wait of 5 ms for a tenth of a second is no overload.
func (q *Queue) target(c Class) int64   { return max(orDefault(q.Target, 5), q.Usual[c]/20) }
func (q *Queue) interval(c Class) int64 { return max(orDefault(q.Interval, 100), q.Usual[c]) }

func orDefault[T int | int64](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}

// itemHeap orders by deadline, then by arrival.
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
