package route

// breaker is the circuit breaker of one server. While it is open, no request is
// sent. After a delay it allows one trial request at a time (half-open).
type breaker struct {
	failures     int   // consecutive transport failures
	serverErrors int   // consecutive answers with status 5xx or after the caller's deadline
	opens        int   // consecutive openings
	openUntil    int64 // end of the delay, Unix milliseconds; 0 when closed
	trial        bool  // a trial request is in flight
}

// Limits of a breaker.
const (
	breakerMaxFailures     = 3      // consecutive transport failures that open the breaker
	breakerMaxServerErrors = 10     // consecutive server errors that open it; higher because callers can cause them too
	breakerDelayMs         = 500    // delay after the first opening, doubled for each further one
	breakerMaxDelayMs      = 30_000 // longest delay: a server that stays down gets one trial request in this time
)

// ready reports whether a request may be sent, and whether it would be a trial
// request.
func (b *breaker) ready(now int64) (ok, trial bool) {
	if b.openUntil == 0 {
		return true, false
	}
	return now >= b.openUntil && !b.trial, true
}

// trip opens the breaker for the next delay.
func (b *breaker) trip(now int64, random func() float64) {
	delay := int64(breakerMaxDelayMs)
	if b.opens < 6 {
		delay = min(breakerDelayMs<<b.opens, delay)
	}
	// Half of the delay is random, so that instances do not all probe at once.
	b.openUntil = now + delay/2 + int64(random()*float64(delay/2)) + 1
	b.opens++
	b.trial = false
}

// success closes the breaker.
func (b *breaker) success() { *b = breaker{} }

// failure counts a transport failure.
func (b *breaker) failure(now int64, random func() float64) {
	b.failures++
	switch {
	case b.openUntil == 0 && b.failures >= breakerMaxFailures, b.trial:
		b.trip(now, random)
	}
}

// unreachable opens the breaker after one failure: when a server accepts no
// connection or does not answer a probe, no request can be the cause.
func (b *breaker) unreachable(now int64, random func() float64) {
	b.failures++
	if b.openUntil == 0 || b.trial {
		b.trip(now, random)
	}
}

// serverError counts an answer with status 5xx or after the caller's deadline.
func (b *breaker) serverError(now int64, random func() float64) {
	b.serverErrors++
	if b.openUntil == 0 && b.serverErrors >= breakerMaxServerErrors || b.trial {
		b.trip(now, random)
	}
}
