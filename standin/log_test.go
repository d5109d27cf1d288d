package standin

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/stream"
)

// startLog serves a log and returns a function that sets a fault over HTTP.
func startLog(t *testing.T, l *Log) (*stream.Log, func(string) int) {
	t.Helper()
	srv := httptest.NewServer(l)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return &stream.Log{URL: srv.URL}, func(fault string) int { return postText(t, srv.URL+"/fault", fault) }
}

func postText(t *testing.T, url, body string) int {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestLogFaults guards against faults that are set but not injected. Tests that
// rely on them would then check nothing.
func TestLogFaults(t *testing.T) {
	tests := []struct {
		name, fault string
		wantErr     error
		entries     int // after one append
	}{
		{"none", `{}`, nil, 1},
		{"down", `{"down":true}`, &stream.UnavailableError{}, 0},
		{"appends down", `{"noappends":true}`, &stream.UnavailableError{}, 0},
		{"answer lost", `{"lose":1}`, &stream.LostResponseError{}, 1},
		{"append lost", `{"drop":1}`, &stream.LostResponseError{}, 0},
		{"twice", `{"twice":1}`, nil, 2},
		{"frozen", `{"freeze":true}`, &stream.LostResponseError{}, 0},
		{"slow", `{"slow":10000}`, &stream.LostResponseError{}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			store := &Log{}
			l, fault := startLog(t, store)
			is.Equal(fault(tt.fault), http.StatusNoContent)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := l.Append(ctx, []byte("x"))
			switch want := tt.wantErr.(type) {
			case nil:
				is.NoErr(err)
			case *stream.UnavailableError:
				is.True(errors.As(err, &want))
			case *stream.LostResponseError:
				is.True(errors.As(err, &want))
			}
			_, entries := store.Entries()
			is.Equal(len(entries), tt.entries)
		})
	}
}

// TestLateAppend guards against a dropped append that is never stored, or stored
// before its delay has passed.
func TestLateAppend(t *testing.T) {
	is := is.New(t)
	l, fault := startLog(t, &Log{})
	is.Equal(fault(`{"drop":1,"late":50}`), http.StatusNoContent)
	start := time.Now()
	_, err := l.Append(context.Background(), []byte("x"))
	is.True(err != nil)
	page, err := l.Read(context.Background(), 0, 1, 10*time.Second)
	is.NoErr(err)
	is.Equal(len(page.Entries), 1)
	is.True(time.Since(start) >= 50*time.Millisecond)
}

// TestExpiry guards against reads that skip expired entries without an error,
// and against offsets that start at 0 again after all entries expired.
func TestExpiry(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &Log{}
	l, fault := startLog(t, store)
	for range 5 {
		store.Append([]byte("x"))
	}
	is.Equal(fault(`{"expire":3}`), http.StatusNoContent)
	_, err := l.Read(ctx, 2, 10, 0)
	var expired *stream.ExpiredError
	is.True(errors.As(err, &expired))
	is.Equal(expired.First, uint64(3))
	is.Equal(fault(`{"expire":99}`), http.StatusNoContent)
	first, end, err := l.Bounds(ctx)
	is.NoErr(err)
	is.Equal(first, uint64(5))
	is.Equal(end, uint64(5))
	offset, err := l.Append(ctx, []byte("y"))
	is.NoErr(err)
	is.Equal(offset, uint64(5))

	old := &Log{Retention: time.Millisecond}
	old.Append([]byte("x"))
	l, _ = startLog(t, old)
	for err == nil {
		_, err = l.Read(ctx, 0, 1, 0)
	}
	is.True(errors.As(err, &expired))
}

// TestLongPoll guards against reads that return before there is an entry, miss
// an append, or hang when the log becomes unavailable.
func TestLongPoll(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &Log{}
	l, fault := startLog(t, store)
	start := time.Now()
	page, err := l.Read(ctx, 0, 1, 30*time.Millisecond)
	is.NoErr(err)
	is.Equal(len(page.Entries), 0)
	is.True(time.Since(start) >= 30*time.Millisecond)

	type answer struct {
		page stream.Page
		err  error
	}
	answers := make(chan answer)
	read := func() {
		p, err := l.Read(ctx, 0, 1, 10*time.Second)
		answers <- answer{p, err}
	}
	go read()
	store.Append([]byte("x"))
	got := <-answers
	is.NoErr(got.err)
	is.Equal(string(got.page.Entries[0].Data), "x")

	is.Equal(fault(`{"expire":1}`), http.StatusNoContent)
	go func() {
		p, err := l.Read(ctx, 1, 1, 10*time.Second)
		answers <- answer{p, err}
	}()
	is.Equal(fault(`{"down":true}`), http.StatusNoContent)
	got = <-answers
	var down *stream.UnavailableError
	is.True(errors.As(got.err, &down))
}

// TestRate guards against a stand-in that accepts more appends in a second than
// the platform's log.
func TestRate(t *testing.T) {
	is := is.New(t)
	l, _ := startLog(t, &Log{MaxAppendsPerSecond: 2})
	var full *stream.RejectedError
	start := time.Now()
	n := 0
	for {
		_, err := l.Append(context.Background(), nil)
		if errors.As(err, &full) {
			break
		}
		is.NoErr(err)
		n++
	}
	is.True(n >= 2 && n <= 2*(int(time.Since(start).Seconds())+2))
}

// TestBadRequests guards against a misspelt fault or a malformed read that is
// accepted with default values.
func TestBadRequests(t *testing.T) {
	is := is.New(t)
	l, fault := startLog(t, &Log{})
	is.Equal(fault(`{"slwo":1}`), http.StatusBadRequest)
	is.Equal(fault(`{"slow":"x"}`), http.StatusBadRequest)
	resp, err := http.Get(l.URL + "/log?from=x")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusBadRequest)
}

// TestDirectoryFaults guards against faults of the list, such as lag, freeze and
// outage, that are set but not injected.
func TestDirectoryFaults(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &Directory{}
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	d := &stream.Directory{URL: srv.URL}
	names := func() string {
		list, err := d.List(ctx)
		is.NoErr(err)
		out := ""
		for _, in := range list {
			out += in.Name
		}
		return out
	}
	is.Equal(names(), "")
	store.Set([]stream.Instance{{Name: "a"}})
	is.Equal(names(), "a")
	is.Equal(postText(t, srv.URL+"/fault", `{"freeze":true}`), http.StatusNoContent)
	store.Set([]stream.Instance{{Name: "b"}})
	is.Equal(names(), "a")
	is.Equal(postText(t, srv.URL+"/fault", `{"freeze":false}`), http.StatusNoContent)
	is.Equal(names(), "b")
	is.Equal(postText(t, srv.URL+"/fault", `{"lag":60000}`), http.StatusNoContent)
	is.Equal(names(), "")
	is.Equal(postText(t, srv.URL+"/fault", `{"lag":0,"down":true}`), http.StatusNoContent)
	_, err := d.List(ctx)
	var down *stream.UnavailableError
	is.True(errors.As(err, &down))
}
