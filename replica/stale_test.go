package replica

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStaleLog guards against a replica that takes a response from an older copy
// of the log for the current log. The replica must neither count as fresh nor
// revert to an older state, even if the log reports that its entries have expired.
func TestStaleLog(t *testing.T) {
	is := is.New(t)
	f, old := newFleet(t), newFleet(t)
	var stale, expired atomic.Bool
	transport := redirectTransport(func(q *http.Request) *http.Response {
		if expired.Load() && strings.HasSuffix(q.URL.Path, "/log") && !strings.Contains(q.URL.RawQuery, "from=0&") {
			return &http.Response{StatusCode: http.StatusGone, Body: io.NopCloser(strings.NewReader(`{"first":1000}`)), Request: q}
		}
		if stale.Load() {
			q.URL.Host = strings.TrimPrefix(old.url, "http://")
		}
		return nil
	})
	a := f.start("a", func(r *Replica) {
		r.Log.Client = &http.Client{Transport: transport}
		r.FreshFor = 300 * time.Millisecond
		r.LongPollWait = 50 * time.Millisecond
	}).ready()
	a.publishMany("x", 3)
	version, offset := a.version("x2"), a.Status().Offset

	stale.Store(true)
	a.await("not fresh", func(s Status) bool { return !s.Fresh && !s.LogDown })
	errs := a.Status().Counts.ReadErrors
	expired.Store(true)
	a.await("failed loads", func(s Status) bool { return s.Counts.ReadErrors >= errs+5 })
	is.Equal(a.version("x2"), version)
	is.Equal(a.Status().Offset, offset)

	expired.Store(false)
	stale.Store(false)
	a.await("fresh", func(s Status) bool { return s.Fresh })
	o, err := a.publish("y", 0)
	is.NoErr(err)
	is.True(o.Accepted())
}
