package stream

import "fmt"

// UnavailableError reports that the platform could not be reached, refused the
// request or returned no usable response. An append certainly had no effect; a
// read or list returned nothing.
type UnavailableError struct {
	Op  string // append, read or list
	Err error
}

// Error describes the operation and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: platform unavailable: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// LostResponseError reports an append without a valid response. The append may
// have taken effect or may still do so.
type LostResponseError struct {
	Err error
}

// Error describes the cause.
func (e *LostResponseError) Error() string {
	return fmt.Sprintf("append: no valid response, the outcome is unknown: %v", e.Err)
}

// Unwrap returns the cause.
func (e *LostResponseError) Unwrap() error { return e.Err }

// RejectedError reports an append that had no effect because the log rejected it:
// the entry is too large, or the log is above its rate limit.
type RejectedError struct {
	Status int // HTTP status: 413 or 429
}

// Error describes the rejection.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("append: rejected by the log with HTTP status %d", e.Status)
}

// ExpiredError reports a read from an offset whose entry the log no longer
// retains.
type ExpiredError struct {
	First uint64 // offset of the oldest retained entry
}

// Error describes the oldest retained entry.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("read: entry has expired; the oldest retained entry is %d", e.First)
}

// StatusError reports an unexpected HTTP status.
type StatusError struct {
	Status int
}

// Error describes the status.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }

// ResponseError reports a malformed or inconsistent response.
type ResponseError struct {
	Detail string
	Err    error // error of the decoder, or nil
}

// Error describes what is wrong with the response.
func (e *ResponseError) Error() string {
	if e.Err == nil {
		return "invalid response: " + e.Detail
	}
	return fmt.Sprintf("invalid response: %s: %v", e.Detail, e.Err)
}

// Unwrap returns the error of the decoder.
func (e *ResponseError) Unwrap() error { return e.Err }
