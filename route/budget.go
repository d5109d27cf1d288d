package route

import "sync"

// RetryBudget limits retries to a ratio of the recent requests, so that a failure
// of many servers does not multiply the load on the others. It is safe for
// concurrent use.
type RetryBudget struct {
	RetryRatio float64 // retries allowed per request in the window; default 0.1
	MinRetries int     // retries allowed in addition, so that an instance with few requests can retry; default 3

	mu      sync.Mutex
	buckets [budgetBuckets]budgetBucket
}

// The budget counts over a sliding window of 10 buckets of one second.
const (
	budgetBuckets  = 10
	budgetBucketMs = 1000
)

type budgetBucket struct {
	second   int64
	requests int
	retries  int
}

// CountRequest counts the first attempt of a request.
func (b *RetryBudget) CountRequest(now int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
}

// TakeRetry reports whether one more retry is within the budget, and counts it
// if so.
func (b *RetryBudget) TakeRetry(now int64) bool {
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
	ratio, reserve := b.RetryRatio, b.MinRetries
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

func (b *RetryBudget) bucket(now int64) *budgetBucket {
	second := now / budgetBucketMs
	k := &b.buckets[second%budgetBuckets]
	if k.second != second {
		*k = budgetBucket{second: second}
	}
	return k
}

// RetryDelayMs returns the delay before a retry, where attempt 1 is the first
// retry. It uses exponential backoff with full jitter, so that the retries of
// many callers spread out: the delay is uniform between 0 and a bound that starts
// at base and doubles up to limit. The function random returns a value in [0, 1).
func RetryDelayMs(attempt int, base, limit int64, random func() float64) int64 {
	bound := limit
	if attempt < 30 {
		bound = min(limit, base<<max(attempt-1, 0))
	}
	return int64(random() * float64(bound))
}
