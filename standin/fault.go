package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// LogFault changes the failures that a Log injects; fields that are absent
// stay as they are. Sample: {"slow":200,"lose":2}.
type LogFault struct {
	Slow      *int64  `json:"slow,omitempty"`      // milliseconds added to each request
	Down      *bool   `json:"down,omitempty"`      // answer 503 without effect
	NoReads   *bool   `json:"noreads,omitempty"`   // answer 503 to reads only
	NoAppends *bool   `json:"noappends,omitempty"` // answer 503 to appends only
	Freeze    *bool   `json:"freeze,omitempty"`    // accept requests and answer none until unset
	Lose      *int    `json:"lose,omitempty"`      // of the next N appends: take effect, lose the answer
	Drop      *int    `json:"drop,omitempty"`      // of the next N appends: no effect, lose the answer
	Late      *int64  `json:"late,omitempty"`      // dropped appends take effect after these milliseconds; 0 never
	Twice     *int    `json:"twice,omitempty"`     // the next N appends take effect twice
	Expire    *uint64 `json:"expire,omitempty"`    // expire all entries before the offset
}

// DirectoryFault changes the failures that a Directory injects; fields that
// are absent stay as they are.
type DirectoryFault struct {
	Slow   *int64 `json:"slow,omitempty"`   // milliseconds added to each request
	Down   *bool  `json:"down,omitempty"`   // answer 503
	Lag    *int64 `json:"lag,omitempty"`    // milliseconds by which the list is behind
	Freeze *bool  `json:"freeze,omitempty"` // keep answering with the present list
}

// serveFault decodes a fault of type T and applies it.
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

func set[T any](dst *T, src *T) {
	if src != nil {
		*dst = *src
	}
}

// pause waits for the duration or until the client has gone; it reports
// whether the client is still there.
func pause(r *http.Request, d time.Duration) bool { return sleep(d, r.Context().Done()) }

// sleep waits for the duration or until done is closed; it reports whether the
// duration has passed.
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

// hangUp closes the connection without an answer.
func hangUp() { panic(http.ErrAbortHandler) }
