package route

// breaker is the circuit breaker of one server. While it is open no request
// is sent; when the delay has passed one trial request at a time is.
type breaker struct {
	failures int   // consecutive failures
	faults   int   // consecutive answers with status 5xx or too late for their callers
	opens    int   // consecutive openings
	until    int64 // 0 when closed
	trial    bool  // a trial request is in flight
}

// Limits of a breaker.
const (
	breakerFailures = 3      // transport failures in a row that open it
	breakerFaults   = 10     // faults in a row; more, because callers cause them too
	breakerDelay    = 500    // first delay, milliseconds
	breakerMaxDelay = 30_000 // a server that stays away costs one trial in this time
)

// ready reports whether a request may be sent; trial says that it would be a
// trial.
func (b *breaker) ready(now int64) (ok, trial bool) {
	if b.until == 0 {
		return true, false
	}
	return now >= b.until && !b.trial, true
}

func (b *breaker) trip(now int64, random func() float64) {
	delay := int64(breakerMaxDelay)
	if b.opens < 6 {
		delay = min(breakerDelay<<b.opens, delay)
	}
	// Half fixed, half random, so that instances do not probe in step.
	b.until = now + delay/2 + int64(random()*float64(delay/2)) + 1
	b.opens++
	b.trial = false
}

func (b *breaker) success() { *b = breaker{} }

func (b *breaker) failure(now int64, random func() float64) {
	b.failures++
	switch {
	case b.until == 0 && b.failures >= breakerFailures, b.trial:
		b.trip(now, random)
	}
}

// gone opens the breaker at once: a server that takes no connection or does
// not answer a probe cannot be at fault because of a request.
func (b *breaker) gone(now int64, random func() float64) {
	b.failures++
	if b.until == 0 || b.trial {
		b.trip(now, random)
	}
}

func (b *breaker) fault(now int64, random func() float64) {
	b.faults++
	if b.until == 0 && b.faults >= breakerFaults || b.trial {
		b.trip(now, random)
	}
}
