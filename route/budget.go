package route

import "sync"

// Budget limits retries to a share of the recent requests, so that a fault of
// many servers does not multiply the load on the others. It is safe for
// concurrent use.
type Budget struct {
	Ratio   float64 // retries for each request; default 0.1
	Reserve int     // retries in the window beyond the ratio, so that a quiet instance can retry; default 3

	mu      sync.Mutex
	buckets [budgetBuckets]budgetBucket
}

// The window is 10 buckets of one second.
const (
	budgetBuckets = 10
	budgetBucketM = 1000 // milliseconds in a bucket
)

type budgetBucket struct {
	second   int64
	requests int
	retries  int
}

// Request counts a first attempt.
func (b *Budget) Request(now int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
}

// Retry reports whether one more retry is within the budget, and counts it.
func (b *Budget) Retry(now int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	cur := b.bucket(now)
	requests, retries := 0, 0
	for _, k := range b.buckets {
		if cur.second-k.second < budgetBuckets {
			requests += k.requests
			retries += k.retries
		}
	}
	ratio, reserve := b.Ratio, b.Reserve
	if ratio == 0 {
		ratio = 0.1
	}
	if reserve == 0 {
		reserve = 3
	}
	if float64(retries) >= ratio*float64(requests)+float64(reserve) {
		return false
	}
	cur.retries++
	return true
}

func (b *Budget) bucket(now int64) *budgetBucket {
	second := now / budgetBucketM
	k := &b.buckets[second%budgetBuckets]
	if k.second != second {
		*k = budgetBucket{second: second}
	}
	return k
}

// Jitter returns a delay in milliseconds before the attempt (1 is the first
// retry): uniform between 0 and an exponentially growing bound, so that
// retries of many callers spread out. random returns a value in [0, 1).
func Jitter(attempt int, base, limit int64, random func() float64) int64 {
	bound := limit
	if attempt < 30 {
		bound = min(limit, base<<max(attempt-1, 0))
	}
	return int64(random() * float64(bound))
}
