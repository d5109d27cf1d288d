package schedule

import (
	"cmp"
	"container/heap"

	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// queue returns waiting jobs in the order of placement: jobs that claim a
// guarantee of their account, then urgent jobs, then all others by weighted fair
// share with ageing.
type queue struct {
	now        int64
	ageing     float64
	capacity   float64
	index      *placement.Index
	class      int
	accounts   [classes][]*accountQueue // heaps by rank
	claimsLeft map[claimKey]int         // further jobs of this account and shape that a guarantee covers
}

// Classes of waiting jobs, in the order of placement.
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

// accountQueue holds one account's waiting jobs of one class, the oldest first.
type accountQueue struct {
	account *state.Account
	jobs    []*state.Job
	used    int // accelerators used beyond its guarantees, including those placed in this round
	rank    float64
}

func newQueue(s *state.State, now, ageing int64, x *placement.Index) *queue {
	q := &queue{now: now, ageing: float64(ageing), index: x, claimsLeft: map[claimKey]int{}}
	q.capacity = float64(x.ClusterCounts().Total)
	queues := map[string]*[classes]*accountQueue{}
	for _, j := range x.Waiting() {
		a := s.Accounts[j.Spec.Account]
		if a == nil {
			continue
		}
		l := queues[a.Name]
		if l == nil {
			l = &[classes]*accountQueue{}
			queues[a.Name] = l
		}
		c := q.classOf(j, a)
		if l[c] == nil {
			l[c] = &accountQueue{account: a, used: x.Borrowed(a)}
			q.accounts[c] = append(q.accounts[c], l[c])
		}
		l[c].jobs = append(l[c].jobs, j)
	}
	for c := range q.accounts {
		for _, l := range q.accounts[c] {
			q.updateRank(l)
		}
		heap.Init((*accountHeap)(&q.accounts[c]))
	}
	return q
}

func (q *queue) classOf(j *state.Job, a *state.Account) int {
	if len(a.Blocks) > 0 {
		k := claimKey{a.Name, j.Spec.Shape}
		n, ok := q.claimsLeft[k]
		if !ok {
			n = q.index.OwnBlockFits(j)
		}
		q.claimsLeft[k] = max(0, n-1)
		if n > 0 {
			return classClaim
		}
	}
	if j.Spec.Urgent {
		return classUrgent
	}
	return classShare
}

// updateRank computes the rank from the account's weighted share of the capacity
// and the age of its oldest job. The queue with the smallest rank goes first.
func (q *queue) updateRank(l *accountQueue) {
	if len(l.jobs) == 0 {
		return
	}
	share := float64(l.used) / max(1, q.capacity) / l.account.Weight
	l.rank = share - float64(q.now-l.jobs[0].SubmittedAt)/q.ageing
}

// next removes and returns the next job to place, or returns nil.
func (q *queue) next() *state.Job {
	for ; q.class < classes; q.class++ {
		h := (*accountHeap)(&q.accounts[q.class])
		if len(*h) == 0 {
			continue
		}
		l := (*h)[0]
		j := l.jobs[0]
		l.jobs = l.jobs[1:]
		if len(l.jobs) == 0 {
			heap.Pop(h)
		} else {
			q.updateRank(l)
			heap.Fix(h, 0)
		}
		return j
	}
	return nil
}

// countPlaced counts the job's accelerators as used by its account, unless a
// guarantee covers them.
func (q *queue) countPlaced(j *state.Job) {
	if q.class == classClaim {
		return
	}
	for c := range q.accounts {
		for i, l := range q.accounts[c] {
			if l.account.Name == j.Spec.Account {
				l.used += j.Spec.Shape.TotalGPUs()
				q.updateRank(l)
				heap.Fix((*accountHeap)(&q.accounts[c]), i)
				break
			}
		}
	}
}

// accountHeap is a heap of account queues by rank, then by account name.
type accountHeap []*accountQueue

func (h accountHeap) Len() int { return len(h) }
func (h accountHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].rank, h[j].rank), cmp.Compare(h[i].account.Name, h[j].account.Name)) < 0
}
func (h accountHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *accountHeap) Push(x any)   { *h = append(*h, x.(*accountQueue)) }
func (h *accountHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	*h = old[:len(old)-1]
	return l
}
