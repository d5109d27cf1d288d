package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// serveNoResponse starts a server that closes each connection without a response,
// and returns its URL.
func serveNoResponse(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(s.Close)
	return s.URL
}

// TestUnknown guards against an exit code that tells a script that a call was
// refused although the instance responded that it may have been carried out.
func TestUnknown(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write([]byte(`{"fate":"unknown","reason":"logdown"}`))
	}))
	defer s.Close()
	good := writeFile(t, "new.json", `{"weight":2}`)
	for _, args := range []string{
		"publish -name account/new " + good, "remove account/new", "kill j", "aside w", "return w", "drain",
		"submit j", "cancel j", "request badges x",
	} {
		code, _, errs := run(t.Context(), map[string]string{"LANE_OPERATOR": s.URL, "LANE_CALLER": s.URL}, strings.Fields(args)...)
		if code != ExitUnknown || !strings.Contains(errs, "unknown: logdown") {
			t.Errorf("%s: exit code %d: %s", args, code, errs)
		}
	}
}
