package cli

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// hangUp serves connections that end without an answer and returns its URL.
func hangUp(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(s.Close)
	return s.URL
}
