package caller

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/backend"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
	"jasminelane.example/lane/state"
)

// API is the HTTP API for callers. Fields are set before Handler or Server;
// zero limits have the stated defaults.
type API struct {
	Router *Router
	Jobs   *Jobs
	Tokens map[string]string // bearer token to client account
	Logger *zap.Logger       // default none
	Count  func(event, reason string)

	MaxBody     int64         // bytes; default 1 MiB
	MaxHeader   int           // bytes; default 16 KiB
	MaxConns    int           // connections in all; default 4096
	AccountConn int           // connections of one account; default 512
	AccountReqs int           // requests of one account at once; default 512
	Deadline    time.Duration // of requests that name none; default 10 s
	MaxDeadline time.Duration // default 2 min
	ReadTimeout time.Duration // for header and body of a request; default 10 s
	IdleTimeout time.Duration // between requests; default 60 s

	once     sync.Once
	accounts map[[32]byte]string
	mu       sync.Mutex
	conns    map[net.Conn]*callerConn
	open     map[string]int // connections by account
	running  map[string]int // requests by account
}

// callerConn is a caller's connection; Account is set by its first request.
type callerConn struct {
	account string
}

type connKey struct{}

// Reply is the JSON form of an answer. Body is the backend server's answer, in
// base64.
type Reply struct {
	Request string                `json:"request,omitempty"`
	Fate    record.RequestOutcome `json:"fate"`
	Reason  string                `json:"reason,omitempty"`
	Detail  string                `json:"detail,omitempty"`
	Status  int                   `json:"status,omitempty"`
	Body    []byte                `json:"body,omitempty"`
	Job     *JobStatus            `json:"job,omitempty"`
}

func (a *API) init() {
	a.once.Do(func() {
		a.accounts = map[[32]byte]string{}
		for token, account := range a.Tokens {
			a.accounts[sha256.Sum256([]byte(token))] = account
		}
		a.conns = map[net.Conn]*callerConn{}
		a.open, a.running = map[string]int{}, map[string]int{}
		def(&a.MaxBody, 1<<20)
		def(&a.MaxHeader, 16<<10)
		def(&a.MaxConns, 4096)
		def(&a.AccountConn, 512)
		def(&a.AccountReqs, 512)
		def(&a.Deadline, 10*time.Second)
		def(&a.MaxDeadline, 2*time.Minute)
		def(&a.ReadTimeout, 10*time.Second)
		def(&a.IdleTimeout, time.Minute)
	})
}

func def[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Handler returns the API's routes.
func (a *API) Handler() http.Handler {
	a.init()
	m := http.NewServeMux()
	m.Handle("POST /v1/requests/{service}", a.limited(a.request))
	m.Handle("POST /v1/jobs", a.limited(a.submit))
	m.Handle("GET /v1/jobs/{id}", a.limited(a.job))
	m.Handle("DELETE /v1/jobs/{id}", a.limited(a.cancel))
	return m
}

// Server returns an HTTP server for the API with its limits and timeouts. The
// write timeout covers the longest deadline.
func (a *API) Server() *http.Server {
	h := a.Handler()
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: a.ReadTimeout,
		ReadTimeout:       a.ReadTimeout,
		WriteTimeout:      a.ReadTimeout + a.MaxDeadline + 10*time.Second,
		IdleTimeout:       a.IdleTimeout,
		MaxHeaderBytes:    a.MaxHeader,
		ConnState:         a.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			a.mu.Lock()
			defer a.mu.Unlock()
			// Called before StateNew is reported.
			k := &callerConn{}
			a.conns[c] = k
			return context.WithValue(ctx, connKey{}, k)
		},
		ErrorLog: zap.NewStdLog(a.logger()),
	}
}

func (a *API) logger() *zap.Logger {
	if a.Logger == nil {
		return zap.NewNop()
	}
	return a.Logger
}

func (a *API) count(reason route.Reason) {
	if a.Count != nil {
		a.Count("refused", string(reason))
	}
}

func (a *API) connState(c net.Conn, st http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch st {
	case http.StateNew:
		if len(a.conns) > a.MaxConns {
			a.count(route.ReasonAccount)
			c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		if k := a.conns[c]; k != nil && k.account != "" {
			a.drop(a.open, k.account)
		}
		delete(a.conns, c)
	}
}

func (a *API) drop(m map[string]int, account string) {
	if m[account]--; m[account] <= 0 {
		delete(m, account)
	}
}

// limited authenticates and applies the limits of the account.
func (a *API) limited(next func(w http.ResponseWriter, r *http.Request, account string)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		// Looking up a digest takes the same time for near and far misses.
		account := a.accounts[sha256.Sum256([]byte(token))]
		if !ok || account == "" {
			a.refuse(w, http.StatusUnauthorized, route.ReasonAuth, "", 0)
			return
		}
		if !a.enter(r, account) {
			w.Header().Set("Connection", "close")
			a.refuse(w, http.StatusTooManyRequests, route.ReasonAccount, account, 1000)
			return
		}
		defer func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.drop(a.running, account)
		}()
		next(w, r, account)
	})
}

// enter counts the request, and its connection with the connection's first
// request.
func (a *API) enter(r *http.Request, account string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[account] >= a.AccountReqs {
		return false
	}
	k, _ := r.Context().Value(connKey{}).(*callerConn)
	if k != nil && k.account != account {
		if a.open[account] >= a.AccountConn {
			return false
		}
		if k.account != "" {
			a.drop(a.open, k.account)
		}
		k.account = account
		a.open[account]++
	}
	a.running[account]++
	return true
}

func (a *API) request(w http.ResponseWriter, r *http.Request, account string) {
	q, field := a.parse(r, account)
	if field != "" {
		a.refuse(w, http.StatusBadRequest, route.ReasonField, field, 0)
		return
	}
	body, ok := a.body(w, r)
	if !ok {
		return
	}
	q.Body = body
	ans := a.Router.Do(r.Context(), q)
	if ans.Reason == route.ReasonDraining {
		w.Header().Set("Connection", "close") // the next request finds another instance
	}
	reply(w, code(ans.Fate, ans.Reason), ans.RetryAfter, &Reply{
		Request: q.ID, Fate: ans.Fate, Reason: string(ans.Reason), Detail: ans.Detail, Status: ans.Status, Body: ans.Body,
	})
}

// parse reads the headers; field names the one that is not valid.
func (a *API) parse(r *http.Request, account string) (q *Request, field string) {
	h := r.Header
	q = &Request{ID: h.Get("Request-Id"), Service: r.PathValue("service"), Account: account}
	if !validName(q.Service, 64) {
		return nil, "service"
	}
	if v := h.Get("Repeatable"); v != "" {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return nil, "Repeatable"
		}
		q.Repeatable = b
	}
	if q.ID == "" && q.Repeatable {
		q.ID = newID()
	}
	if !validName(q.ID, 128) {
		return nil, "Request-Id"
	}
	if _, ok := state.RequestTime(q.ID); !ok && !q.Repeatable {
		return nil, "Request-Id"
	}
	var ok bool
	if q.Class, ok = route.ParseClass(h.Get("Priority")); !ok {
		return nil, "Priority"
	}
	d, ok := a.deadline(h.Get(backend.HeaderDeadline))
	if !ok {
		return nil, backend.HeaderDeadline
	}
	q.Deadline = time.Now().Add(d)
	return q, ""
}

// deadline reads milliseconds from now, as in "1500".
func (a *API) deadline(text string) (time.Duration, bool) {
	if text == "" {
		return a.Deadline, true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > a.MaxDeadline.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// validName accepts what may stand in a path and a header unchanged.
func validName(s string, limit int) bool {
	if s == "" || len(s) > limit {
		return false
	}
	for _, c := range []byte(s) {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-_.:", c) >= 0 {
			continue
		}
		return false
	}
	return s != "." && s != ".."
}

func newID() string {
	return strconv.FormatInt(time.Now().UnixMilli(), 10) + "-" + strconv.FormatUint(rand.Uint64(), 36)
}

// body reads the request's body; on failure it has answered.
func (a *API) body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.MaxBody))
	if err == nil {
		return data, true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		a.refuse(w, http.StatusRequestEntityTooLarge, route.ReasonSize, "body", 0)
	} else {
		a.refuse(w, http.StatusBadRequest, route.ReasonField, "body", 0)
	}
	return nil, false
}

// refuse answers a request that was not accepted.
func (a *API) refuse(w http.ResponseWriter, status int, reason route.Reason, detail string, after int64) {
	a.count(reason)
	reply(w, status, after, &Reply{Fate: record.RequestNotRun, Reason: string(reason), Detail: detail})
}

// code returns the HTTP status for a fate and reason.
func code(fate record.RequestOutcome, reason route.Reason) int {
	switch {
	case fate == record.RequestDone:
		return http.StatusOK
	case fate == record.RequestUnknown && (reason == route.ReasonClaimed || reason == route.ReasonExpired):
		return http.StatusConflict
	case fate == record.RequestUnknown:
		return http.StatusBadGateway
	}
	switch reason {
	case route.ReasonField:
		return http.StatusBadRequest
	case route.ReasonNoService, route.Reason(state.ReasonUnknown):
		return http.StatusNotFound
	case route.ReasonExists:
		return http.StatusConflict
	case route.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

func reply(w http.ResponseWriter, status int, after int64, v *Reply) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(backend.HeaderFate, string(v.Fate))
	if after > 0 {
		h.Set("Retry-After", strconv.FormatInt((after+999)/1000, 10))
	}
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"fate":"unknown"}`)
	}
	h.Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	w.Write(append(data, '\n'))
}
