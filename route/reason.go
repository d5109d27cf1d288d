package route

import "fmt"

// Reason is the reason why a request was refused or retried.
type Reason string

// Reasons for refusals and retries.
const (
	ReasonDraining    Reason = "draining"    // the instance is shutting down
	ReasonDeadline    Reason = "deadline"    // the request's deadline has passed
	ReasonShed        Reason = "shed"        // the queue delay of the class has stayed above the target
	ReasonQueue       Reason = "queue"       // the account's queue or the whole queue is full
	ReasonAccount     Reason = "account"     // the account is at its limit of connections or requests
	ReasonAuth        Reason = "auth"        // no valid bearer token
	ReasonField       Reason = "field"       // a header or field is invalid; the detail names it
	ReasonSize        Reason = "size"        // the body or the answer exceeds its size limit
	ReasonNoService   Reason = "service"     // no such service
	ReasonNoServer    Reason = "noserver"    // every server is leaving, stalled or failing
	ReasonBusy        Reason = "busy"        // every server is at its limit, or the server reported that it is
	ReasonLeaving     Reason = "leaving"     // the server is being removed from service
	ReasonConnect     Reason = "connect"     // the connection to the server failed
	ReasonConnections Reason = "connections" // all connections that this instance may open to the server are in use
	ReasonReset       Reason = "reset"       // the connection was closed before the answer was complete
	ReasonTimeout     Reason = "timeout"     // no answer before the timeout
	ReasonMismatch    Reason = "mismatch"    // the answer belongs to another request
	ReasonTruncated   Reason = "truncated"   // the answer is shorter or longer than its declared length
	ReasonChecksum    Reason = "checksum"    // the answer's checksum does not match
	ReasonBodies      Reason = "bodies"      // all bodies together have reached their limit, or the body came too slowly
	ReasonBudget      Reason = "budget"      // the retry budget is exhausted
	ReasonCancelled   Reason = "cancelled"   // the caller disconnected or cancelled the request
	ReasonLogDown     Reason = "logdown"     // the log was not available to record a claim
	ReasonClaimed     Reason = "claimed"     // the request id was claimed before
	ReasonExpired     Reason = "expired"     // the request id is older than the retention of claims
	ReasonExists      Reason = "exists"      // the request id is in use for another request
)

// RefusedError reports a request that was refused before it was sent. RetryAfter
// is in milliseconds; it is 0 when a later attempt is not likelier to succeed.
type RefusedError struct {
	Reason     Reason
	RetryAfter int64
	WaitedFor  Reason // what the request was waiting for when its deadline passed, or empty
}

// Error returns the reason and the retry delay.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, retry after %d ms", e.Reason, e.RetryAfter)
}

// Class is the priority class of a request. Lower values go first.
type Class uint8

// Priority classes of requests.
const (
	Urgent Class = iota
	Normal
	Bulk
	classes
)

var classNames = [classes]string{"urgent", "normal", "bulk"}

// String returns the name of the class as callers specify it.
func (c Class) String() string {
	if c < classes {
		return classNames[c]
	}
	return fmt.Sprintf("class%d", uint8(c))
}

// ParseClass returns the class with the given name. The empty name is Normal.
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
