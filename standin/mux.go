package standin

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
)

// Mux serves several stand-ins at one address: the paths of the log, the
// instance list and the workers, and the fault injection of each under its name,
// for example POST /log/fault. Set the fields before StartBackends.
type Mux struct {
	Enabled []string // any of log, list, workers and servers

	Log       Log
	Directory Directory
	Workers   Workers
	Backends  Backends
}

// ServerFault is the body of POST /servers/fault.
type ServerFault struct {
	Server  string       `json:"server"`
	Fault   BackendFault `json:"fault"`
	Leaving bool         `json:"leaving"`
}

// UnknownNameError reports a name that is not the name of a stand-in.
type UnknownNameError struct {
	Name  string
	Known []string
}

// Error returns the name and the known names.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("%q: want names of %s, separated by commas", e.Name, strings.Join(e.Known, ", "))
}

// ParseNames splits a comma-separated list of names. It fails with
// *UnknownNameError if a name is not in known.
func ParseNames(text string, known []string) ([]string, error) {
	names := strings.Split(text, ",")
	for _, n := range names {
		if !slices.Contains(known, n) {
			return nil, &UnknownNameError{n, known}
		}
	}
	return names, nil
}

// StartBackends starts count backend servers on the ports after that of addr, or
// on free ports if that is 0. It starts none unless servers are enabled.
func (s *Mux) StartBackends(addr string, count int) ([]*BackendServer, error) {
	base, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(s.Enabled, "servers") {
		return nil, nil
	}
	var out []*BackendServer
	for i := range count {
		port := 0
		if base.Port() > 0 {
			port = int(base.Port()) + 1 + i
		}
		b, err := s.Backends.AddAt(fmt.Sprintf("server-%d", i+1), net.JoinHostPort(base.Addr().String(), fmt.Sprint(port)))
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

// ServeHTTP forwards a request to the stand-in that serves its path, if that is enabled.
func (s *Mux) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	first, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := map[string]string{"instances": "list", "sync": "workers", "audit": "workers"}[first]
	if name == "" {
		name = first
	}
	if !slices.Contains(s.Enabled, name) {
		http.NotFound(w, r)
		return
	}
	if rest != "" {
		r = r.Clone(r.Context())
		r.URL.Path = "/" + rest
	}
	switch name {
	case "log":
		s.Log.ServeHTTP(w, r)
	case "list":
		s.Directory.ServeHTTP(w, r)
	case "workers":
		s.Workers.ServeHTTP(w, r)
	case "servers":
		s.serveBackends(w, r)
	}
}

func (s *Mux) serveBackends(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /fault":
		serveFault(w, r, func(f ServerFault) {
			for _, b := range s.Backends.Servers() {
				if b.Name == f.Server {
					b.SetFault(f.Fault)
					b.SetLeaving(f.Leaving)
				}
			}
		})
	case "GET /audit":
		writeJSON(w, http.StatusOK, s.Backends.Audit())
	default:
		http.NotFound(w, r)
	}
}
