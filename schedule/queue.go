package schedule

import (
	"cmp"
	"container/heap"

	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// queue yields waiting jobs in the order in which they are tried: claims on
// guarantees, urgent jobs, then all others by weighted fair share with ageing.
type queue struct {
	now      int64
	ageing   float64
	capacity float64
	index    *placement.Index
	class    int
	lines    [classes][]*line // heaps
	left     map[claimKey]int // such jobs that a guarantee covers now
}

// Classes of waiting jobs, first served first.
const (
	classClaim = iota
	classUrgent
	classShare
	classes
)

type claimKey struct {
	account string
	shape   shape.Shape
}

// line is one account's waiting jobs of one class, the oldest first.
type line struct {
	account *state.Account
	jobs    []*state.Job
	used    int // accelerators beyond its guarantees, with what this round placed
	rank    float64
}

func newQueue(s *state.State, now, ageing int64, x *placement.Index) *queue {
	q := &queue{now: now, ageing: float64(ageing), index: x, left: map[claimKey]int{}}
	q.capacity = float64(x.ClusterCounts().Total)
	lines := map[string]*[classes]*line{}
	for _, j := range x.Waiting() {
		a := s.Accounts[j.Spec.Account]
		if a == nil {
			continue
		}
		l := lines[a.Name]
		if l == nil {
			l = &[classes]*line{}
			lines[a.Name] = l
		}
		c := q.classOf(j, a)
		if l[c] == nil {
			l[c] = &line{account: a, used: x.Borrowed(a)}
			q.lines[c] = append(q.lines[c], l[c])
		}
		l[c].jobs = append(l[c].jobs, j)
	}
	for c := range q.lines {
		for _, l := range q.lines[c] {
			q.rank(l)
		}
		heap.Init((*lineHeap)(&q.lines[c]))
	}
	return q
}

func (q *queue) classOf(j *state.Job, a *state.Account) int {
	if len(a.Blocks) > 0 {
		k := claimKey{a.Name, j.Spec.Shape}
		n, ok := q.left[k]
		if !ok {
			n = q.index.OwnBlockFits(j)
		}
		q.left[k] = max(0, n-1)
		if n > 0 {
			return classClaim
		}
	}
	if j.Spec.Urgent {
		return classUrgent
	}
	return classShare
}

// rank derives the line's position from its account's share of the capacity
// and the age of its oldest job; the smallest goes first.
func (q *queue) rank(l *line) {
	if len(l.jobs) == 0 {
		return
	}
	share := float64(l.used) / max(1, q.capacity) / l.account.Weight
	l.rank = share - float64(q.now-l.jobs[0].SubmittedAt)/q.ageing
}

// next returns the next job to try, or nil.
func (q *queue) next() *state.Job {
	for ; q.class < classes; q.class++ {
		h := (*lineHeap)(&q.lines[q.class])
		if len(*h) == 0 {
			continue
		}
		l := (*h)[0]
		j := l.jobs[0]
		l.jobs = l.jobs[1:]
		if len(l.jobs) == 0 {
			heap.Pop(h)
		} else {
			q.rank(l)
			heap.Fix(h, 0)
		}
		return j
	}
	return nil
}

// placed counts the job's accelerators as used by its account, unless a
// guarantee covers them.
func (q *queue) placed(j *state.Job) {
	if q.class == classClaim {
		return
	}
	for c := range q.lines {
		for i, l := range q.lines[c] {
			if l.account.Name == j.Spec.Account {
				l.used += j.Spec.Shape.Total()
				q.rank(l)
				heap.Fix((*lineHeap)(&q.lines[c]), i)
				break
			}
		}
	}
}

// lineHeap orders lines by rank.
type lineHeap []*line

func (h lineHeap) Len() int { return len(h) }
func (h lineHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].rank, h[j].rank), cmp.Compare(h[i].account.Name, h[j].account.Name)) < 0
}
func (h lineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *lineHeap) Push(x any)   { *h = append(*h, x.(*line)) }
func (h *lineHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	*h = old[:len(old)-1]
	return l
}
