package route

import "fmt"

// Reason says why a request was refused or retried.
type Reason string

// Reasons for refusals and retries.
const (
	ReasonDraining    Reason = "draining"    // the instance shuts down
	ReasonDeadline    Reason = "deadline"    // the request's deadline has passed
	ReasonShed        Reason = "shed"        // standing queue delay of the class is above the target
	ReasonQueue       Reason = "queue"       // the account's queue or the whole queue is full
	ReasonAccount     Reason = "account"     // the account has too many connections or requests
	ReasonAuth        Reason = "auth"        // no valid bearer token
	ReasonField       Reason = "field"       // a header or field is not valid; the detail names it
	ReasonSize        Reason = "size"        // body or answer beyond its limit
	ReasonService     Reason = "service"     // no such service
	ReasonServer      Reason = "noserver"    // every server is leaving, stalled or failing
	ReasonBusy        Reason = "busy"        // every server is at its limit, or the server says so
	ReasonLeaving     Reason = "leaving"     // the server is leaving
	ReasonConnect     Reason = "connect"     // no connection to the server
	ReasonConnections Reason = "connections" // the share of the server's connections is in use
	ReasonReset       Reason = "reset"       // the connection ended before a complete answer
	ReasonTimeout     Reason = "timeout"     // no answer in time
	ReasonMismatch    Reason = "mismatch"    // the answer belongs to another request
	ReasonTruncated   Reason = "truncated"   // the answer is shorter or longer than it says
	ReasonChecksum    Reason = "checksum"    // the answer's checksum does not match
	ReasonBudget      Reason = "budget"      // the retry budget is used up
	ReasonCancelled   Reason = "cancelled"   // the caller went away
	ReasonLogDown     Reason = "logdown"     // no claim could be made in the log
	ReasonClaimed     Reason = "claimed"     // the id was claimed before
	ReasonExpired     Reason = "expired"     // the id is older than claims are kept
	ReasonExists      Reason = "exists"      // the id is in use for something else
)

// RefusedError reports a request that was refused before it was sent;
// RetryAfter is in milliseconds, 0 when a later attempt is no better.
type RefusedError struct {
	Reason     Reason
	RetryAfter int64
	Cause      Reason // what the request waited for when its deadline passed, or empty
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, retry after %d ms", e.Reason, e.RetryAfter)
}

// Class is the priority of a request; lower values go first.
type Class uint8

// Classes of requests.
const (
	Urgent Class = iota
	Normal
	Bulk
	classes
)

var classNames = [classes]string{"urgent", "normal", "bulk"}

// String returns the class's name as callers write it.
func (c Class) String() string {
	if c < classes {
		return classNames[c]
	}
	return fmt.Sprintf("class%d", uint8(c))
}

// ParseClass reads a class's name; the empty name is Normal.
func ParseClass(text string) (Class, bool) {
	if text == "" {
		return Normal, true
	}
	for i, name := range classNames {
		if name == text {
			return Class(i), true
		}
	}
	return Normal, false
}
