package caller

import (
	"time"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
)

// Request is one request of a caller to a service.
type Request struct {
	ID         string // unique for the account; of a non-repeatable request as state.RequestTime reads it
	Service    string
	Account    string
	Class      route.Class
	Repeatable bool
	Deadline   time.Time // nothing is started after it
	Body       []byte
}

// Answer is what became of a request. FateNotRun says that this sending did
// not run; resending the same id is always safe.
type Answer struct {
	Fate       record.RequestOutcome
	Reason     route.Reason // empty when done
	Detail     string
	Status     int    // of the backend server's answer, when done
	Body       []byte // of the backend server's answer, when done
	RetryAfter int64  // milliseconds; 0 when resending is no use
}

func notRun(reason route.Reason, detail string, after int64) Answer {
	return Answer{Fate: record.RequestNotRun, Reason: reason, Detail: detail, RetryAfter: after}
}

func unknown(reason route.Reason, detail string) Answer {
	return Answer{Fate: record.RequestUnknown, Reason: reason, Detail: detail}
}
