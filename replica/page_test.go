package replica

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/stream"
)

// TestOldSnapshotIsNoState guards against a reload that reverts the replica to an
// older state, and against a start from a snapshot whose following entries have
// expired, so that these entries would be missing from the state.
func TestOldSnapshotIsNoState(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a := f.start("a", nil).ready()
	a.publishMany("x", 3)
	chunk := a.chunks(1 << 20)[0]
	a.publishMany("y", 3)
	a.appendChunk(chunk) // as if the writer of the snapshot were slow
	s, err := a.findState(t.Context())
	is.NoErr(err)
	is.True(s == nil) // this replica's state is newer, so it is kept

	b := &Replica{Log: &stream.Log{URL: f.url}, Writer: "b"}
	b.init()
	s, err = b.findState(t.Context())
	is.NoErr(err)
	is.Equal(s.Offset, chunk.Offset) // a new replica loads the snapshot and applies the entries after it
	first := chunk.Offset + 1
	f.log.Fault(standin.LogFault{ExpireBefore: &first})
	var old *NoSnapshotError
	_, err = b.findState(context.Background())
	is.True(errors.As(err, &old))
}

// laggingLog responds to reads like a copy of the log that lags behind.
type laggingLog struct{ behind atomic.Bool }

func (l *laggingLog) RoundTrip(q *http.Request) (*http.Response, error) {
	if !l.behind.Load() || q.Method != http.MethodGet || !strings.HasSuffix(q.URL.Path, "/log") {
		return http.DefaultTransport.RoundTrip(q)
	}
	data, err := record.Marshal(stream.Page{End: 1})
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(data)), Request: q}, nil
}

// TestStalePage guards against a state that counts as fresh because a lagging
// copy of the log has no entries after it.
func TestStalePage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	l := &laggingLog{}
	a := f.start("a", func(r *Replica) { r.Log.Client = &http.Client{Transport: l} }).ready()
	a.publishMany("x", 2)
	l.behind.Store(true)
	a.await("a state that is not fresh", func(s Status) bool { return !s.Fresh })
	is.True(!a.Status().LogDown) // otherwise the state would count as fresh, as in an outage
	l.behind.Store(false)
	a.await("a fresh state", func(s Status) bool { return s.Fresh })
	is.True(a.version("x1") > 0)
}
