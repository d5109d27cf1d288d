package stream

import "fmt"

// DownError reports that the platform could not be reached or refused to
// serve: an append had certainly no effect, a read returned nothing.
type DownError struct {
	Op  string // append, read or list
	Err error
}

// Error describes the operation and the cause.
func (e *DownError) Error() string { return fmt.Sprintf("%s: platform down: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *DownError) Unwrap() error { return e.Err }

// LostError reports an append whose answer did not arrive: it may have taken
// effect, or may still do so.
type LostError struct {
	Err error
}

// Error describes the cause.
func (e *LostError) Error() string { return fmt.Sprintf("append: answer lost: %v", e.Err) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// FullError reports an append that the log refused, without effect, because
// it is over its rate or the entry is too large for it.
type FullError struct {
	Status int // HTTP status: 413 or 429
}

// Error describes the refusal.
func (e *FullError) Error() string { return fmt.Sprintf("append: refused with status %d", e.Status) }

// ExpiredError reports a read from an offset that is no longer retained.
type ExpiredError struct {
	First uint64 // offset of the oldest retained entry
}

// Error describes the oldest retained offset.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("read: expired; the oldest retained entry is %d", e.First)
}

// StatusError reports an HTTP status that the operation does not expect.
type StatusError struct {
	Status int
}

// Error describes the status.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }

// AnswerError reports an answer that is not well formed.
type AnswerError struct {
	What string
	Err  error // the codec's error, or nil
}

// Error describes what is wrong with the answer.
func (e *AnswerError) Error() string {
	if e.Err == nil {
		return "malformed answer: " + e.What
	}
	return fmt.Sprintf("malformed answer: %s: %v", e.What, e.Err)
}

// Unwrap returns the codec's error.
func (e *AnswerError) Unwrap() error { return e.Err }
