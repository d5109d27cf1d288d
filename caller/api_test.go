package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
)

// serve starts the API of a new instance on the loopback interface and returns
// its URL. edit may change the API first.
func (k *testEnv) serve(edit func(*API)) (*API, string) {
	k.t.Helper()
	r, _ := k.router("i1")
	a := &API{
		Router: r, Tokens: map[string]string{"ta": "asha", "tb": "binu"},
		Jobs: &Jobs{View: r.View, Propose: r.Propose, Changed: r.Changed, NotAppended: r.NotAppended},
	}
	if edit != nil {
		edit(a)
	}
	s := a.Server()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		k.t.Fatal(err)
	}
	go s.Serve(l)
	k.t.Cleanup(func() { s.Close() })
	return a, "http://" + l.Addr().String()
}

// do sends a request with headers of the form "Name: value".
func do(t testing.TB, method, url, token, body string, headers ...string) (int, Reply, http.Header) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	var v Reply
	if err := json.Unmarshal(data, &v); err != nil {
		t.Fatalf("%s %s: status %d, body %q: %v", method, url, resp.StatusCode, data, err)
	}
	if resp.Close { // net/http removes the header
		resp.Header.Set("Connection", "close")
	}
	return resp.StatusCode, v, resp.Header
}

// TestRequestAPI guards against refusals without a reason, and against invalid
// requests that are sent to a server.
func TestRequestAPI(t *testing.T) {
	k := newTestEnv(t, 2, &standin.Backends{})
	_, url := k.serve(func(a *API) { a.MaxBodyBytes = 1000 })
	for _, c := range []struct {
		name, token, service, body string
		headers                    []string
		status                     int
		outcome                    record.RequestOutcome
		reason, detail             string
	}{
		{"repeatable", "ta", "badges", "x", []string{"Repeatable: true", "Priority: urgent"}, 200, record.RequestDone, "", ""},
		{"once", "ta", "badges", "x", []string{"Request-Id: " + onceID()}, 200, record.RequestDone, "", ""},
		{"token", "no", "badges", "x", nil, 401, record.RequestNotRun, "auth", ""},
		{"service", "ta", "none", "x", []string{"Repeatable: true"}, 404, record.RequestNotRun, "service", ""},
		{"no id", "ta", "badges", "x", nil, 400, record.RequestNotRun, "field", "Request-Id"},
		{"id without time", "ta", "badges", "x", []string{"Request-Id: abc"}, 400, record.RequestNotRun, "field", "Request-Id"},
		{"id with space", "ta", "badges", "x", []string{"Request-Id: a b", "Repeatable: true"}, 400, record.RequestNotRun, "field", "Request-Id"},
		{"old id", "ta", "badges", "x", []string{"Request-Id: 1000-a"}, 409, record.RequestUnknown, "expired", "1000-a"},
		{"priority", "ta", "badges", "x", []string{"Repeatable: true", "Priority: high"}, 400, record.RequestNotRun, "field", "Priority"},
		{"repeatable value", "ta", "badges", "x", []string{"Repeatable: maybe"}, 400, record.RequestNotRun, "field", "Repeatable"},
		{"deadline value", "ta", "badges", "x", []string{"Repeatable: true", "Deadline-Ms: -1"}, 400, record.RequestNotRun, "field", "Deadline-Ms"},
		{"past deadline", "ta", "badges", "x", []string{"Repeatable: true", "Deadline-Ms: 0"}, 504, record.RequestNotRun, "deadline", ""},
		{"body", "ta", "badges", strings.Repeat("x", 1001), []string{"Repeatable: true"}, 413, record.RequestNotRun, "size", "body"},
	} {
		before := len(k.backends.Audit())
		status, v, h := do(t, "POST", url+"/v1/requests/"+c.service, c.token, c.body, c.headers...)
		if status != c.status || v.Outcome != c.outcome || v.Reason != c.reason || v.Detail != c.detail || h.Get("Fate") != string(c.outcome) {
			t.Errorf("%s: %d %+v", c.name, status, v)
		}
		if c.outcome == record.RequestDone && string(v.Body) != v.Request+" x" {
			t.Errorf("%s: body %q", c.name, v.Body)
		}
		if sent := len(k.backends.Audit()) - before; sent != 0 && c.outcome == record.RequestNotRun {
			t.Errorf("%s: outcome notrun, but %d ran", c.name, sent)
		}
	}
}

// TestRetryAfter guards against temporary refusals that do not say when to retry,
// and against a draining instance that keeps its callers' connections open, so
// that they do not reconnect to another instance.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 1, &standin.Backends{})
	a, url := k.serve(nil)
	k.log.setFault(func(string, []record.Record) (error, error) { return errDown, nil })
	status, v, h := do(t, "POST", url+"/v1/requests/badges", "ta", "x", "Request-Id: "+onceID())
	is.Equal(status, 503)
	is.Equal(v.Reason, "logdown")
	is.Equal(h.Get("Retry-After"), "1")
	k.log.setFault(nil)
	is.NoErr(a.Router.Drain(context.Background()))
	status, v, h = do(t, "POST", url+"/v1/requests/badges", "ta", "x", "Repeatable: true")
	is.Equal(status, 503)
	is.Equal(v.Reason, "draining")
	is.Equal(h.Get("Retry-After"), "1")
	is.Equal(h.Get("Connection"), "close")
}

// TestLimits guards against an account that uses up the requests or connections
// of other accounts, and against an idle connection that stays open.
func TestLimits(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 1, &standin.Backends{})
	_, url := k.serve(func(a *API) {
		a.MaxAccountConns, a.MaxAccountRequests, a.MaxHeaderBytes = 3, 2, 4096
		a.ReadTimeout, a.IdleTimeout = 200*time.Millisecond, 200*time.Millisecond
	})
	k.backends.Servers()[0].SetFault(standin.BackendStall)
	for range 2 {
		go func() {
			req, _ := http.NewRequest("POST", url+"/v1/requests/badges", nil)
			req.Header = http.Header{"Authorization": {"Bearer ta"}, "Request-Id": {onceID()}, "Deadline-Ms": {"1000"}}
			if resp, err := http.DefaultClient.Do(req); err == nil {
				resp.Body.Close()
			}
		}()
	}
	claims := 0
	for claims < 2 {
		changed := k.log.change()
		k.log.view(func(s *state.State) { claims = len(s.Claims) })
		if claims < 2 {
			<-changed
		}
	}
	status, v, _ := do(t, "GET", url+"/v1/jobs/x", "ta", "")
	is.Equal(status, 429)
	is.Equal(v.Reason, "account")
	status, _, _ = do(t, "GET", url+"/v1/jobs/x", "tb", "")
	is.Equal(status, 404) // the other account is not affected

	var refused int
	var conns []net.Conn
	for range 4 {
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		is.NoErr(err)
		defer c.Close()
		conns = append(conns, c)
		fmt.Fprintf(c, "GET /v1/jobs/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer tb\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		if resp.StatusCode == 429 {
			refused++
		}
	}
	is.True(refused >= 1) // the fourth and, with the connection of http.DefaultClient, the third
	conns[0].SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := io.ReadAll(conns[0])
	is.NoErr(err) // closed by the idle timeout, not by this deadline
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	defer c.Close()
	fmt.Fprintf(c, "GET /v1/jobs/x HTTP/1.1\r\nX: %s", strings.Repeat("x", 10_000))
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	data, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(data), "HTTP/1.1 431") || strings.HasPrefix(string(data), "HTTP/1.1 408") || len(data) == 0)
}

// TestJobs guards against an account that can see or cancel jobs of others, and
// against a wrong outcome when responses of the log are lost.
func TestJobs(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 1, &standin.Backends{})
	k.log.publish(t, "rack/r1", state.RackBody{Domain: "kochi", Workers: []state.WorkerBody{{Name: "w1", GPUs: 8}}})
	_, url := k.serve(nil)
	body := `{"job":"j1","kind":"sheet","shape":"1x2@worker"}`
	var appends atomic.Int32
	k.log.setFault(func(_ string, recs []record.Record) (error, error) {
		if appends.Add(1)%2 == 1 {
			return nil, errLost
		}
		return nil, nil
	})
	for range 2 { // submitting it again has no effect
		status, v, _ := do(t, "POST", url+"/v1/jobs", "ta", body)
		is.Equal(status, 202)
		is.Equal(v.Outcome, record.RequestDone)
		is.Equal(v.Job.Phase, "waiting")
	}
	status, v, _ := do(t, "POST", url+"/v1/jobs", "ta", strings.Replace(body, "2", "4", 1))
	is.Equal(status, 409)
	is.Equal(v.Reason, "exists")
	status, v, _ = do(t, "POST", url+"/v1/jobs", "ta", `{"job":"j2","shape":"9x8@rack"}`)
	is.Equal(status, 422)
	is.Equal(v.Reason, "impossible")
	for _, bad := range []string{"", "{", `{"job":"j3","shape":"2"}`, `{"job":"j 3","shape":"1x1@worker"}`} {
		status, v, _ = do(t, "POST", url+"/v1/jobs", "ta", bad)
		is.Equal(status, 400)
		is.Equal(v.Reason, "field")
	}
	status, _, _ = do(t, "GET", url+"/v1/jobs/j1", "tb", "")
	is.Equal(status, 404)
	status, _, _ = do(t, "DELETE", url+"/v1/jobs/j1", "tb", "")
	is.Equal(status, 404)
	waited := make(chan Reply)
	go func() {
		_, v, _ := do(t, "GET", url+"/v1/jobs/j1?wait=5000", "ta", "")
		waited <- v
	}()
	status, v, _ = do(t, "DELETE", url+"/v1/jobs/j1", "ta", "")
	is.Equal(status, 200)
	is.Equal(v.Job.Phase, "cancelled")
	v = <-waited
	is.Equal(v.Outcome, record.RequestNotRun) // it never started
	k.log.setFault(func(string, []record.Record) (error, error) { return errDown, nil })
	status, v, _ = do(t, "POST", url+"/v1/jobs", "ta", `{"job":"j4","shape":"1x1@worker"}`, "Deadline-Ms: 100")
	is.Equal(status, 503)
	is.Equal(v.Outcome, record.RequestNotRun)
	is.Equal(v.Reason, "logdown")
	k.log.setFault(func(string, []record.Record) (error, error) { return errLost, nil })
	status, v, _ = do(t, "POST", url+"/v1/jobs", "ta", `{"job":"j5","shape":"1x1@worker"}`, "Deadline-Ms: 100")
	is.Equal(status, 502)
	is.Equal(v.Outcome, record.RequestUnknown)
}

// FuzzRequest guards against a response without an outcome, whatever the caller
// sends, and against a refused request that has run.
func FuzzRequest(f *testing.F) {
	f.Add("badges", "1796361383123-9f2c", "true", "urgent", "1000", "Bearer ta", []byte("x"))
	f.Add("..", "", "false", "", "", "Bearer", []byte{})
	f.Add("a/b", "1-1", "2", "bulk", "99999999999999999999", "", []byte(nil))
	k := newTestEnv(f, 1, &standin.Backends{})
	r, _ := k.router("i1")
	h := (&API{Router: r, Tokens: map[string]string{"ta": "asha"}, MaxBodyBytes: 100, MaxDeadline: 2 * time.Second}).Handler()
	f.Fuzz(func(t *testing.T, service, id, repeatable, priority, deadline, auth string, body []byte) {
		req := httptest.NewRequest("POST", "/v1/requests/x", strings.NewReader(string(body)))
		req.URL.Path = "/v1/requests/" + service
		req.Header = http.Header{
			"Request-Id": {id}, "Repeatable": {repeatable}, "Priority": {priority}, "Deadline-Ms": {deadline}, "Authorization": {auth},
		}
		before := len(k.backends.Audit())
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		if w.Header().Get("Fate") == "" {
			if w.Code == 404 || w.Code == 405 || w.Code == 301 || w.Code == 307 { // no such path
				return
			}
			t.Fatalf("status %d without an outcome", w.Code)
		}
		var v Reply
		if err := json.Unmarshal(w.Body.Bytes(), &v); err != nil {
			t.Fatalf("status %d, body %q: %v", w.Code, w.Body, err)
		}
		if v.Outcome == record.RequestNotRun && len(k.backends.Audit()) != before {
			t.Fatalf("%+v, but the request ran", v)
		}
		if v.Outcome == record.RequestDone && v.Reason == "" && string(v.Body) != v.Request+" "+string(body) {
			t.Fatalf("response %q to request %s with body %q", v.Body, v.Request, body)
		}
	})
}

// TestRunsLongerThanReadTimeout guards against the read timeout ending a request
// that was read in time and runs longer.
func TestRunsLongerThanReadTimeout(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 1, &standin.Backends{ServiceTime: 300 * time.Millisecond})
	_, url := k.serve(func(a *API) { a.ReadTimeout = 100 * time.Millisecond })
	status, v, _ := do(t, "POST", url+"/v1/requests/badges", "ta", "x", "Repeatable: true")
	is.Equal(status, 200)
	is.Equal(v.Outcome, record.RequestDone)
	begin := time.Now()
	k.log.publish(t, "rack/r1", state.RackBody{Domain: "kochi", Workers: []state.WorkerBody{{Name: "w1", GPUs: 8}}})
	do(t, "POST", url+"/v1/jobs", "ta", `{"job":"j1","shape":"1x2@worker"}`)
	do(t, "GET", url+"/v1/jobs/j1?wait=300", "ta", "")
	is.True(time.Since(begin) >= 300*time.Millisecond)
}
