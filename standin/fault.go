package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// LogFault changes the faults that a Log injects. Absent fields keep the current
// fault. Example: {"slow":200,"lose":2}.
type LogFault struct {
	DelayMs          *int64  `json:"slow,omitempty"`      // milliseconds added to each request
	Down             *bool   `json:"down,omitempty"`      // answer 503 to all requests, without effect
	NoReads          *bool   `json:"noreads,omitempty"`   // answer 503 to reads only
	NoAppends        *bool   `json:"noappends,omitempty"` // answer 503 to appends only
	Freeze           *bool   `json:"freeze,omitempty"`    // accept requests, but answer none until unset
	LoseResponses    *int    `json:"lose,omitempty"`      // the next N appends take effect but are not answered
	DropAppends      *int    `json:"drop,omitempty"`      // the next N appends have no effect and are not answered
	LateMs           *int64  `json:"late,omitempty"`      // dropped appends take effect after these milliseconds; 0: never
	DuplicateAppends *int    `json:"twice,omitempty"`     // the next N appends are stored twice
	ExpireBefore     *uint64 `json:"expire,omitempty"`    // expire all entries before this offset
}

// DirectoryFault changes the faults that a Directory injects. Absent fields keep
// the current fault.
type DirectoryFault struct {
	DelayMs *int64 `json:"slow,omitempty"`   // milliseconds added to each request
	Down    *bool  `json:"down,omitempty"`   // answer 503
	LagMs   *int64 `json:"lag,omitempty"`    // age of the list that is served, in milliseconds
	Freeze  *bool  `json:"freeze,omitempty"` // serve the current list until unset
}

// serveFault decodes a fault of type T from the request and applies it.
func serveFault[T any](w http.ResponseWriter, r *http.Request, apply func(T)) {
	var f T
	d := json.NewDecoder(io.LimitReader(r.Body, 1<<16))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	apply(f)
	w.WriteHeader(http.StatusNoContent)
}

// setIfPresent copies *src to *dst unless src is nil.
func setIfPresent[T any](dst *T, src *T) {
	if src != nil {
		*dst = *src
	}
}

// sleepForClient waits for the duration or until the client disconnects. It
// reports whether the client is still connected.
func sleepForClient(r *http.Request, d time.Duration) bool { return sleep(d, r.Context().Done()) }

// sleep waits for the duration or until done is closed. It reports whether the
// whole duration has passed.
func sleep(d time.Duration, done <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-done:
		return false
	}
}

// abortConnection closes the connection without an answer, by a panic in the handler.
func abortConnection() { panic(http.ErrAbortHandler) }
