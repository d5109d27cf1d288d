package caller

import (
	"time"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
)

// Request is one request of a caller to a service.
type Request struct {
	ID         string // unique within the account; for a non-repeatable request in the format of state.RequestTime
	Service    string
	Account    string
	Class      route.Class
	Repeatable bool
	Deadline   time.Time // no attempt starts after it
	Body       []byte
}

// Result is what became of a request. The outcome RequestNotRun means that
// this call of Do did not run the request. Sending the same id again is always
// safe.
type Result struct {
	Outcome    record.RequestOutcome
	Reason     route.Reason // empty when done
	Detail     string
	Status     int    // HTTP status of the backend server's response, when done
	Body       []byte // body of the backend server's response, when done
	RetryAfter int64  // milliseconds; 0 if sending the request again cannot help
}

func notRun(reason route.Reason, detail string, retryAfterMs int64) Result {
	return Result{Outcome: record.RequestNotRun, Reason: reason, Detail: detail, RetryAfter: retryAfterMs}
}

func unknown(reason route.Reason, detail string) Result {
	return Result{Outcome: record.RequestUnknown, Reason: reason, Detail: detail}
}
