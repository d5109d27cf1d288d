package standin

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
)

// Site serves several stand-ins at one address: the paths of the log, the
// instance list and the workers, and the fault injection of each under its
// name, for example POST /log/fault. Fields are set before Start.
type Site struct {
	Serve []string // any of log, list, workers and servers

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

// PartError reports a name that is no stand-in.
type PartError struct {
	Name  string
	Known []string
}

// Error describes the name and lists the known ones.
func (e *PartError) Error() string {
	return fmt.Sprintf("%q: want names of %s, separated by commas", e.Name, strings.Join(e.Known, ", "))
}

// ParseParts splits a list of names separated by commas; it fails with
// *PartError at a name that is not known.
func ParseParts(text string, known []string) ([]string, error) {
	names := strings.Split(text, ",")
	for _, n := range names {
		if !slices.Contains(known, n) {
			return nil, &PartError{n, known}
		}
	}
	return names, nil
}

// Start starts count backend servers on the ports that follow that of addr, or
// on free ones when it is 0; it starts none when servers are not served.
func (s *Site) Start(addr string, count int) ([]*BackendServer, error) {
	base, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(s.Serve, "servers") {
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

// ServeHTTP passes a request on to the stand-in that serves its path.
func (s *Site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	first, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := map[string]string{"instances": "list", "sync": "workers", "audit": "workers"}[first]
	if name == "" {
		name = first
	}
	if !slices.Contains(s.Serve, name) {
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
		s.servers(w, r)
	}
}

func (s *Site) servers(w http.ResponseWriter, r *http.Request) {
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
		writeJSON(w, http.StatusOK, s.Backends.Trail())
	default:
		http.NotFound(w, r)
	}
}
