package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"jasminelane.example/lane/metric"
	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/replica"
	"jasminelane.example/lane/settings"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

const secret = "secret-of-the-desk"

// testAPI is an API on a state to which each proposal is applied at once.
type testAPI struct {
	*API
	t       *testing.T
	mu      sync.Mutex
	state   state.State
	seq     uint64
	fail    error // returned by proposals if not nil
	ready   error
	drained bool
	lines   *observer.ObservedLogs
}

func newTestAPI(t *testing.T) *testAPI {
	core, lines := observer.New(zap.DebugLevel)
	d := &testAPI{t: t, lines: lines}
	ids := 0
	d.API = &API{
		Operators: []settings.Token{{Name: "desk", Secret: secret}}, Logger: zap.New(core), Metrics: &metric.Set{}, MaxBodyBytes: 2048,
		View:        func(f func(*state.State)) { d.mu.Lock(); defer d.mu.Unlock(); f(&d.state) },
		Propose:     d.propose,
		Status:      func() replica.Status { return replica.Status{Offset: d.state.Offset} },
		CheckHealth: func() error { return nil }, CheckReady: func() error { return d.ready },
		MemberOffset: func(context.Context, *state.Member) (uint64, error) { return 1 << 40, nil },
		Explain:      func(*state.State, string) Explanation { return Explanation{"waits", "capacity"} },
		Drain:        func() { d.drained = true },
		NewID:        func() string { ids++; return fmt.Sprint(ids) },
		PlanBlocks: func(s *state.State, account string, body []byte) ([]record.Block, error) {
			p, err := state.ParseGuarantees(body)
			if err != nil {
				return nil, err
			}
			return placement.PlanBlocks(s, account, p)
		},
	}
	d.mustApply(record.KindJoin, record.Join{Name: "e1", Addr: "127.0.0.1:7001", Domain: "d1", Version: record.Version})
	for _, c := range []struct{ name, body string }{
		{"rack/r1", `{"domain":"d1","workers":[{"name":"w0","addr":"127.0.0.1:1","gpus":8},{"name":"w1","addr":"127.0.0.1:1","gpus":8}]}`},
		{"account/asha", `{"weight":1}`},
	} {
		if w := d.call("PUT", "/v1/config/"+c.name, c.body, secret); w.Code != http.StatusOK {
			t.Fatalf("%s: %d %s", c.name, w.Code, w.Body)
		}
	}
	d.mustApply(record.KindSubmit, record.Submit{Job: "j1", Account: "asha", Kind: "sheet", Shape: shape.Shape{Members: 1, GPUs: 2}})
	return d
}

func (d *testAPI) propose(_ context.Context, recs ...record.Record) ([]state.Decision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fail != nil {
		return nil, d.fail
	}
	d.seq++
	return d.state.Apply(d.state.Offset, &record.Batch{Writer: "w", Seq: d.seq, At: time.Now().UnixMilli(), Records: recs})
}

func (d *testAPI) mustApply(kind record.Kind, body any) {
	d.t.Helper()
	r, err := record.New(kind, "", body)
	if err != nil {
		d.t.Fatal(err)
	}
	if out, err := d.propose(d.t.Context(), r); err != nil || !out[0].Accepted() {
		d.t.Fatalf("%s: %v %v", kind, out, err)
	}
}

func (d *testAPI) call(method, path, body, token string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	d.Handler().ServeHTTP(w, r)
	return w
}

// calls has one call of every route that requires a token, in an order in which
// all of them succeed.
var calls = []struct{ method, path, body, want string }{
	{"GET", "/v1/status", "", `"jobs":1`},
	{"GET", "/v1/instances", "", `"name":"e1"`},
	{"GET", "/v1/config", "", `"name":"rack/r1"`},
	{"GET", "/v1/config/rack/r1", "", `"domain":"d1"`},
	{"PUT", "/v1/config/account/bina?base=0", `{"weight":2}`, `"ok":true`},
	{"DELETE", "/v1/config/account/bina?base=VERSION", "", `"ok":true`},
	{"GET", "/v1/accounts", "", `"name":"asha"`},
	{"GET", "/v1/jobs?phase=waiting&account=asha", "", `"change":"capacity"`},
	{"GET", "/v1/jobs/j1", "", `"phase":"waiting"`},
	{"DELETE", "/v1/jobs/j1", "", `"phase":"cancelled"`},
	{"GET", "/v1/workers", "", `"name":"w1"`},
	{"POST", "/v1/workers/w1/aside", "", `"condition":"aside"`},
	{"POST", "/v1/workers/w1/ready", "", `"condition":"ready"`},
	{"POST", "/v1/drain", "", `"drain":"started"`},
}

// TestRoutes guards against a route that is missing, that returns the wrong
// response, or that accepts a request without a valid token.
func TestRoutes(t *testing.T) {
	d := newTestAPI(t)
	for _, c := range calls {
		for _, token := range []string{"", "wrong", secret + "x", secret[:5]} {
			before := refused(d, "operator.token")
			w := d.call(c.method, c.path, c.body, token)
			if w.Code != http.StatusUnauthorized || !strings.Contains(w.Body.String(), `"fate":"notrun"`) {
				t.Errorf("%s %s with token %q: %d %s", c.method, c.path, token, w.Code, w.Body)
			}
			if n := refused(d, "operator.token") - before; n != 1 {
				t.Errorf("%s %s with token %q counted %d times", c.method, c.path, token, n)
			}
		}
		if d.drained {
			t.Fatal("drained without a token")
		}
		path := strings.Replace(c.path, "VERSION", fmt.Sprint(d.version("account/bina")), 1)
		if w := d.call(c.method, path, c.body, secret); w.Code != http.StatusOK || !strings.Contains(w.Body.String(), c.want) {
			t.Errorf("%s %s: %d %s, want %s", c.method, path, w.Code, w.Body, c.want)
		}
	}
	if !d.drained {
		t.Error("drain did not reach the instance")
	}
	for _, path := range []string{"/healthz", "/readyz", "/debug/vars"} {
		if w := d.call("GET", path, "", ""); w.Code != http.StatusOK {
			t.Errorf("%s: %d", path, w.Code)
		}
	}
}

func (d *testAPI) version(name string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.state.Configs[name]; c != nil {
		return c.Version
	}
	return 0
}

func refused(d *testAPI, key string) int64 {
	if v := d.Metrics.Refusals.Get(key); v != nil {
		var n int64
		_ = json.Unmarshal([]byte(v.String()), &n)
		return n
	}
	return 0
}

// TestRefusals guards against a refused request that changes the state, that is
// not counted, whose response does not name the reason, or that writes a token or
// a body to the log.
func TestRefusals(t *testing.T) {
	long := `{"weight":1,"note":"` + strings.Repeat("x", 4096) + `"}`
	for _, c := range []struct {
		name, method, path, body string
		fail                     error
		code                     int
		fate, reason             string
	}{
		{"conflict", "PUT", "/v1/config/account/asha?base=99", `{"weight":2}`, nil, 409, "notrun", "conflict"},
		{"stale new name", "PUT", "/v1/config/account/asha", `{"weight":2}`, nil, 409, "notrun", "conflict"},
		{"remove conflict", "DELETE", "/v1/config/account/asha?base=99", "", nil, 409, "notrun", "conflict"},
		{"body too long", "PUT", "/v1/config/account/new", long, nil, 413, "notrun", "size"},
		{"empty body", "PUT", "/v1/config/account/new", "", nil, 400, "notrun", "field"},
		{"no JSON", "PUT", "/v1/config/account/new", "{", nil, 400, "notrun", "field"},
		{"bad weight", "PUT", "/v1/config/account/new", `{"weight":-1}`, nil, 400, "notrun", "field"},
		{"bad base", "PUT", "/v1/config/account/new?base=x", `{"weight":1}`, nil, 400, "notrun", "field"},
		{"bad schema", "PUT", "/v1/config/account/new?schema=99999", `{"weight":1}`, nil, 400, "notrun", "field"},
		{"bad family", "PUT", "/v1/config/nothing/new", `{"weight":1}`, nil, 400, "notrun", "field"},
		{"newer reader", "PUT", "/v1/config/account/new?reader=30000", `{"weight":1}`, nil, 409, "notrun", "upgrade"},
		{"infeasible", "PUT", "/v1/config/account/new", `{"weight":1,"guarantees":[{"shape":"9x8@rack","count":1}]}`, nil, 409, "notrun", "infeasible"},
		{"dry infeasible", "PUT", "/v1/config/account/new?check=true", `{"weight":1,"guarantees":[{"shape":"9x8@rack","count":1}]}`, nil, 409, "notrun", "infeasible"},
		{"dry conflict", "PUT", "/v1/config/account/asha?check=true&base=99", `{"weight":1}`, nil, 409, "notrun", "conflict"},
		{"dry reader", "PUT", "/v1/config/account/new?check=true&reader=30000", `{"weight":1}`, nil, 409, "notrun", "upgrade"},
		{"no such record", "GET", "/v1/config/account/none", "", nil, 404, "notrun", "unknown"},
		{"no such job", "GET", "/v1/jobs/none", "", nil, 404, "notrun", "unknown"},
		{"cancel no such job", "DELETE", "/v1/jobs/none", "", nil, 404, "notrun", "unknown"},
		{"no such phase", "GET", "/v1/jobs?phase=none", "", nil, 400, "notrun", "field"},
		{"no such worker", "POST", "/v1/workers/none/aside", "", nil, 404, "notrun", "unknown"},
		{"no such condition", "POST", "/v1/workers/w0/none", "", nil, 400, "notrun", "field"},
		{"log down", "DELETE", "/v1/jobs/j1", "", &replica.NotAppendedError{Err: errors.New("down")}, 503, "notrun", "logdown"},
		{"answer lost", "DELETE", "/v1/jobs/j1", "", &replica.UnknownOutcomeError{Err: errors.New("lost")}, 202, "unknown", "logdown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newTestAPI(t)
			before := d.state.Offset
			configs := len(d.state.Configs)
			d.fail = c.fail
			w := d.call(c.method, c.path, c.body, secret)
			var got Refusal
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &got))
			if w.Code != c.code || string(got.Outcome) != c.fate || got.Reason != c.reason {
				t.Fatalf("%d %+v, want %d %s %s", w.Code, got, c.code, c.fate, c.reason)
			}
			is.Equal(refused(d, "operator."+c.reason), int64(1)) // counted once
			is.Equal(len(d.state.Configs), configs)
			is.True(c.fail == nil || d.state.Offset == before)
			for _, l := range d.lines.All() {
				line := fmt.Sprint(l.Message, l.ContextMap())
				is.True(!strings.Contains(line, secret) && !strings.Contains(line, "xxxx")) // no token or body in the log
			}
		})
	}
}

// TestTimeout guards against a call that blocks as long as the log is
// unavailable. The operator's tool would time out first and could not report the
// outcome of the call.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	d := newTestAPI(t)
	d.CallTimeout = 10 * time.Millisecond
	d.Propose = func(ctx context.Context, _ ...record.Record) ([]state.Decision, error) {
		<-ctx.Done()
		return nil, &replica.NotAppendedError{Err: ctx.Err()}
	}
	w := d.call("DELETE", "/v1/jobs/j1", "", secret)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.True(strings.Contains(w.Body.String(), `"fate":"notrun","reason":"logdown"`))
}

// TestCheck guards against a check without publishing that does publish, or that
// refuses what a publish accepts.
func TestCheck(t *testing.T) {
	is := is.New(t)
	d := newTestAPI(t)
	before := d.state.Offset
	is.Equal(d.call("PUT", "/v1/config/account/new?check=true", `{"weight":1,"guarantees":[{"shape":"2x8@rack","count":1}]}`, secret).Code, http.StatusOK)
	is.Equal(d.call("PUT", fmt.Sprintf("/v1/config/account/asha?check=true&base=%d", d.version("account/asha")), `{"weight":5}`, secret).Code, http.StatusOK)
	is.Equal(d.state.Offset, before)
	is.Equal(d.version("account/new"), uint64(0))
}

// TestReady guards against a readiness check that does not return its reason, and
// against a health check that fails for a process that is only not ready.
func TestReady(t *testing.T) {
	is := is.New(t)
	d := newTestAPI(t)
	d.ready = errors.New("not ready: draining")
	w := d.call("GET", "/readyz", "", "")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	body, err := io.ReadAll(w.Body)
	is.NoErr(err)
	is.Equal(string(body), "not ready: draining\n")
	is.Equal(d.call("GET", "/healthz", "", "").Code, http.StatusOK)
}
