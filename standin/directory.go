package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"jasminelane.example/lane/stream"
)

// Directory is a stand-in for the platform's list of instances. The zero value
// lists none. It is safe for concurrent use.
type Directory struct {
	mu       sync.Mutex
	versions []directoryVersion // by time, the newest last
	delayMs  int64
	lagMs    int64
	down     bool
	frozen   []stream.Instance // the list served while freeze is set
	freeze   bool
}

type directoryVersion struct {
	at   time.Time
	list []stream.Instance
}

// ServeHTTP serves GET /instances, PUT /instances with the whole list, and POST
// /fault.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /fault":
		serveFault(w, r, d.Fault)
	case "PUT /instances":
		var list []stream.Instance
		if err := json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		d.Set(list)
		w.WriteHeader(http.StatusNoContent)
	case "GET /instances":
		d.list(w, r)
	default:
		http.NotFound(w, r)
	}
}

// Set replaces the list. The new list is served after the injected lag.
func (d *Directory) Set(list []stream.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, directoryVersion{time.Now(), slices.Clone(list)})
	// Older versions are dropped, so an injected lag is at most an hour.
	for len(d.versions) > 1 && time.Since(d.versions[1].at) > time.Hour {
		d.versions = d.versions[1:]
	}
}

// Fault changes the injected faults.
func (d *Directory) Fault(f DirectoryFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	setIfPresent(&d.delayMs, f.DelayMs)
	setIfPresent(&d.lagMs, f.LagMs)
	setIfPresent(&d.down, f.Down)
	if f.Freeze != nil {
		if *f.Freeze && !d.freeze {
			d.frozen = d.visibleList()
		}
		d.freeze = *f.Freeze
	}
}

func (d *Directory) list(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	slow := time.Duration(d.delayMs) * time.Millisecond
	d.mu.Unlock()
	if !sleepForClient(r, slow) {
		return
	}
	d.mu.Lock()
	down, list := d.down, d.visibleList()
	if d.freeze {
		list = d.frozen
	}
	d.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// visibleList returns the newest list that is at least as old as the lag; it is never nil.
func (d *Directory) visibleList() []stream.Instance {
	limit := time.Now().Add(-time.Duration(d.lagMs) * time.Millisecond)
	for _, v := range slices.Backward(d.versions) {
		if !v.at.After(limit) {
			return v.list
		}
	}
	return []stream.Instance{}
}
