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

// TestOldSnapshotIsNoState guards against a reload that takes the replica back
// to an older state, and against a start from a snapshot whose following
// entries have expired, which would leave some of them out.
func TestOldSnapshotIsNoState(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a := f.start("a", nil).ready()
	a.publishMany("x", 3)
	chunk := a.chunks(1 << 20)[0]
	a.publishMany("y", 3)
	a.append1(chunk) // the writer was slow
	s, err := a.find(t.Context())
	is.NoErr(err)
	is.True(s == nil) // this replica is past it and keeps its state

	b := &Replica{Log: &stream.Log{URL: f.url}, Writer: "b"}
	b.init()
	s, err = b.find(t.Context())
	is.NoErr(err)
	is.Equal(s.Offset, chunk.Offset) // a new one is not, and folds the rest
	first := chunk.Offset + 1
	f.log.Fault(standin.LogFault{Expire: &first})
	var old *SnapshotError
	_, err = b.find(context.Background())
	is.True(errors.As(err, &old))
}

// shortLog answers reads as a copy of the log would that is behind.
type shortLog struct{ behind atomic.Bool }

func (l *shortLog) RoundTrip(q *http.Request) (*http.Response, error) {
	if !l.behind.Load() || q.Method != http.MethodGet || !strings.HasSuffix(q.URL.Path, "/log") {
		return http.DefaultTransport.RoundTrip(q)
	}
	data, err := record.Marshal(stream.Page{End: 1})
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(data)), Request: q}, nil
}

// TestStalePage guards against a view that counts as current because a copy of
// the log that is behind has nothing after it.
func TestStalePage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	l := &shortLog{}
	a := f.start("a", func(r *Replica) { r.Log.Client = &http.Client{Transport: l} }).ready()
	a.publishMany("x", 2)
	l.behind.Store(true)
	a.await("a view that is not current", func(s Status) bool { return !s.Fresh })
	is.True(!a.Status().LogDown) // nor may it be taken for the newest, as in an outage
	l.behind.Store(false)
	a.await("a current view", func(s Status) bool { return s.Fresh })
	is.True(a.version("x1") > 0)
}
