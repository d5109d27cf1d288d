package stream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
)

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.URL
}

// TestAppendErrors guards against a lost response that is reported as a certain
// failure: the caller would then repeat an append that may have taken effect.
func TestAppendErrors(t *testing.T) {
	status := func(code int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(code)
			_, _ = fmt.Fprint(w, body)
		}
	}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    string
	}{
		{"appended", status(200, `{"offset":7}`), ""},
		{"appended, first entry", status(200, `{"offset":0}`), ""},
		{"down", status(503, ""), "down"},
		{"over rate", status(429, ""), "full"},
		{"too large", status(413, ""), "full"},
		{"server error", status(500, ""), "lost"},
		{"gateway timeout", status(504, ""), "lost"},
		{"no offset", status(200, `{}`), "lost"},
		{"truncated answer", status(200, `{"offs`), "lost"},
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "lost"},
		{"no answer in time", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server detects that the client disconnected only after it has read the body
			<-r.Context().Done()
		}, "lost"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := &Log{URL: serve(t, tt.handler)}
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			_, err := l.Append(ctx, []byte("x"))
			is.Equal(errorKind(err), tt.want)
		})
	}
}

// errorKind returns a short name of the type of an error of Append or Read.
func errorKind(err error) string {
	var down *UnavailableError
	var lost *LostResponseError
	var full *RejectedError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &down):
		return "down"
	case errors.As(err, &lost):
		return "lost"
	case errors.As(err, &full):
		return "full"
	default:
		return err.Error()
	}
}

// TestAppendNotSent guards against a refused connection that is reported as an
// unknown outcome: the outcome of all appends during an outage would be unknown.
func TestAppendNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = (&Log{URL: "http://" + l.Addr().String()}).Append(context.Background(), nil)
	is.Equal(errorKind(err), "down")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = (&Log{URL: "http://" + l.Addr().String()}).Append(ctx, nil)
	is.Equal(errorKind(err), "down")
}

// TestAppendIsNotRepeated guards against an HTTP client that automatically sends
// an append again when a reused connection breaks.
func TestAppendIsNotRepeated(t *testing.T) {
	is := is.New(t)
	var posts atomic.Int32
	l := &Log{URL: serve(t, func(w http.ResponseWriter, _ *http.Request) {
		n := posts.Add(1)
		if n == 2 {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(w, `{"offset":1}`)
	})}
	_, err := l.Append(context.Background(), []byte("a"))
	is.NoErr(err)
	_, err = l.Append(context.Background(), []byte("b"))
	is.Equal(errorKind(err), "lost")
	is.Equal(posts.Load(), int32(2))
}

// TestReadPages guards against pages with gaps or with entries beyond the end of
// the log, which would be applied as if no entry were missing.
func TestReadPages(t *testing.T) {
	entry := func(offset uint64) Entry { return Entry{Offset: offset, Data: []byte("x")} }
	tests := []struct {
		name string
		page any
		ok   bool
	}{
		{"whole", Page{Entries: []Entry{entry(5), entry(6)}, End: 9}, true},
		{"empty", Page{End: 5}, true},
		{"gap at the start", Page{Entries: []Entry{entry(6)}, End: 9}, false},
		{"gap inside", Page{Entries: []Entry{entry(5), entry(7)}, End: 9}, false},
		{"beyond the end", Page{Entries: []Entry{entry(5)}, End: 5}, false},
		{"no page", "text", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			data, err := record.Marshal(tt.page)
			is.NoErr(err)
			l := &Log{URL: serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(data) })}
			_, err = l.Read(context.Background(), 5, 10, 0)
			is.Equal(err == nil, tt.ok)
			is.Equal(errorKind(err) == "down", !tt.ok)
		})
	}
}
