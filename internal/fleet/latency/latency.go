package latency

import (
	"math"
	"sync"
	"time"
)

// SlowThreshold is the latency from which the store counts as slow. An append and the read
// of its record take two answers, so above half of this the random delay between
// the claims of instances after a resignation (up to 100 ms) no longer separates
// them.
const SlowThreshold = 100 * time.Millisecond

const (
	// minSlowRun is the number of slow answers in a row that show a slow store.
	// Single ones are late because an instance with little processor time was not
	// running.
	minSlowRun = 2

	// minOverdue is the shortest time after which an answer is overdue. The store
	// normally answers within a few milliseconds.
	minOverdue = 150 * time.Millisecond

	// maxOverdue bounds that time unless the store is slower, because answers get
	// lost on a slow store, too.
	maxOverdue = 1200 * time.Millisecond

	// maxEstimate bounds the estimate: callers wait no longer than that.
	maxEstimate = 3 * time.Second

	// overdueFactor and minOverdueFactor are the usual and the lowest ratio of
	// that time to the latency. Near the latency, most calls would be repeated.
	overdueFactor    = 4
	minOverdueFactor = 1.5
)

// doubtTime is how long the time of an answer above maxOverdue can be refuted by the answer
// to a call that was sent later. If the calls in progress only had to wait for the end of
// an outage, all of them are answered at once, the newest after a short time.
const doubtTime = minOverdue

// learnWindow is how recent an own measurement must be to count more than the
// latency that another instance has announced.
const learnWindow = 2 * time.Second

// UnknownWait is the wait of an answer whose time shows only an upper bound of the latency.
const UnknownWait = time.Duration(math.MaxInt64)

// Answer is an answer of the store to one call.
type Answer struct {
	Sent     time.Time
	Received time.Time
	Wait     time.Duration // for which the store may have waited for records
}

// bounds returns the lowest and the highest latency that the answer may show.
func (a Answer) bounds() (lowest, highest time.Duration) {
	highest = a.Received.Sub(a.Sent)
	return max(highest-a.Wait, 0), highest
}

// exact reports whether the answer shows the latency and not only an upper bound.
func (a Answer) exact() bool { return a.Wait == 0 || a.Received.Sub(a.Sent) >= a.Wait }

// Tracker estimates the latency of the store from the answers to one instance, and
// from the latency that the leader announces. It is safe for concurrent use. The
// zero value is ready for use.
type Tracker struct {
	mu       sync.Mutex
	estimate time.Duration
	answered time.Time // last answer
	measured time.Time // last answer that showed the latency exactly
	slowRun  int       // number of consecutive answers that took at least SlowThreshold
	slow     bool

	doubtful  doubt
	disrupted time.Time // calls sent before then may have taken longer for other reasons
	lastTick  time.Time // last time that WatchPauses ran; zero if it is not running
}

// doubt is an answer that took longer than maxOverdue and raised the estimate.
type doubt struct {
	sent   time.Time     // when the call was sent
	until  time.Time     // when it can no longer be refuted
	before time.Duration // estimate without it
}

// Observe adds an answer. The estimate rises to an observation at once, and falls by at
// most a half with each, because single answers are fast on a slow store. It falls at once
// if a doubtful answer is refuted. A call that was sent before a disruption shows an upper
// bound only.
func (t *Tracker) Observe(a Answer) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notePause(time.Now())
	if a.Sent.Before(t.disrupted) {
		a.Wait = UnknownWait
	}
	t.answered = a.Received
	if a.exact() {
		t.measured = a.Received
	}
	lowest, highest := a.bounds()
	d := &t.doubtful
	switch refutable := a.Received.Before(d.until); {
	case refutable && a.Sent.After(d.sent):
		t.estimate = min(t.estimate, max(d.before, highest))
	case refutable && a.Sent.Before(d.sent):
		lowest = min(lowest, t.estimate) // a newer call has already told more
	case lowest > max(maxOverdue, t.estimate):
		*d = doubt{a.Sent, a.Received.Add(doubtTime), t.estimate}
	}
	t.estimate = min(maxEstimate, max(lowest, min(t.estimate, max(t.estimate/2, highest))))
	switch {
	case lowest >= SlowThreshold:
		t.slowRun++
	case highest < SlowThreshold:
		t.slowRun = 0
	}
	t.slow = t.estimate >= SlowThreshold && (t.slow || t.slowRun >= minSlowRun)
}

// Learn adds the latency that another instance has announced. It counts only while
// this instance has not measured it lately, and only if it is longer.
func (t *Tracker) Learn(d time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.measured) > learnWindow {
		t.estimate = min(maxEstimate, max(t.estimate, d))
		t.slow = t.slow || d >= SlowThreshold
	}
}

// Estimate returns the estimate. It is 0 before the first answer.
func (t *Tracker) Estimate() time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimate
}

// SlowLatency returns the estimate while the store is slow, and 0 otherwise. The store is
// slow from the second answer in a row that took at least SlowThreshold, until
// the estimate is lower.
func (t *Tracker) SlowLatency() time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.slow {
		return 0
	}
	return t.estimate
}

// Overdue returns the time without an answer after which a call is better repeated.
// It is longer than the latency.
func (t *Tracker) Overdue() time.Duration {
	d := t.Estimate()
	return max(minOverdue, min(overdueFactor*d, maxOverdue), Longest(d))
}

// Longest returns how long an answer may take that shows no change of the latency.
func Longest(latency time.Duration) time.Duration {
	return time.Duration(minOverdueFactor * float64(latency))
}

// AnsweredSince reports whether an answer has arrived since a time.
func (t *Tracker) AnsweredSince(at time.Time) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answered.After(at)
}
