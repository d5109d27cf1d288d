package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSite guards against a path that is served by the wrong stand-in, and
// against serving a stand-in that is not enabled.
func TestSite(t *testing.T) {
	is := is.New(t)
	s := &Mux{Enabled: []string{"log", "list", "workers", "servers"}}
	t.Cleanup(s.Backends.Close)
	servers, err := s.StartBackends("127.0.0.1:0", 2)
	is.NoErr(err)
	is.Equal(len(servers), 2)
	for _, c := range []struct {
		method, path, body string
		serve              string // default: all
		want               int
	}{
		{"POST", "/log", "entry", "", http.StatusOK},
		{"POST", "/log", "entry", "list", http.StatusNotFound},
		{"GET", "/instances", "", "", http.StatusOK},
		{"GET", "/instances", "", "log", http.StatusNotFound},
		{"GET", "/audit", "", "", http.StatusOK},
		{"POST", "/sync", `{"worker":"w","offset":1,"lease":1000}`, "", http.StatusOK},
		{"POST", "/list/fault", `{"down":false}`, "", http.StatusNoContent},
		{"POST", "/workers/fault", `{"worker":"w","fail":true}`, "", http.StatusOK},
		{"POST", "/servers/fault", `{"server":"server-1","fault":"stall"}`, "", http.StatusNoContent},
		{"POST", "/servers/fault", `{"other":1}`, "", http.StatusBadRequest},
		{"GET", "/servers/audit", "", "", http.StatusOK},
		{"GET", "/servers/audit", "", "log", http.StatusNotFound},
		{"POST", "/log/fault", `{"down":true}`, "", http.StatusNoContent},
		{"POST", "/log", "entry", "", http.StatusServiceUnavailable},
		{"GET", "/other", "", "", http.StatusNotFound},
	} {
		one := s
		if c.serve != "" {
			one = &Mux{Enabled: []string{c.serve}}
		}
		w := httptest.NewRecorder()
		one.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		if w.Code != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, w.Code, c.want)
		}
	}
	is.Equal(servers[0].currentFault(), BackendStall) // the fault reached the named server
	is.Equal(servers[1].currentFault(), BackendHealthy)
	_, err = ParseNames("log,none", s.Enabled)
	is.True(err != nil)
}
