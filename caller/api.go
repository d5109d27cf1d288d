package caller

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/backend"
	"jasminelane.example/lane/internal/fleet/admission"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
	"jasminelane.example/lane/state"
)

// API is the HTTP API for callers. Its fields must be set before Handler or
// Server is called. A limit or timeout of zero has the default stated below.
type API struct {
	Router *Router
	Jobs   *Jobs
	Tokens map[string]string          // bearer token to client account
	Logger *zap.Logger                // default: no logging
	Count  func(event, reason string) // counts refusals; default: nothing

	Bodies             *admission.Budget // of all request bodies; default: no limit
	MaxBodyBytes       int64             // bytes; default 1 MiB
	MaxHeaderBytes     int               // bytes; default 16 KiB
	MaxConns           int               // open connections in all; default 4096
	MaxAccountConns    int               // open connections of one account; default 512
	MaxAccountRequests int               // concurrent requests of one account; default 512
	DefaultDeadline    time.Duration     // of requests without a deadline; default 10 s
	MaxDeadline        time.Duration     // default 2 min
	ReadTimeout        time.Duration     // for reading the header and body of a request; default 10 s
	IdleTimeout        time.Duration     // between requests on a connection; default 60 s

	once            sync.Once
	accountByDigest map[[32]byte]string
	mu              sync.Mutex
	conns           map[net.Conn]*callerConn
	openConns       map[string]int // open connections by account
	runningRequests map[string]int // running requests by account
}

// callerConn is a caller's connection. Its account is that of its latest
// accepted request, and empty before the first.
type callerConn struct {
	account string
}

type connKey struct{}

// Reply is the JSON body of a response. Body is the body of the backend server's
// response, in base64.
type Reply struct {
	Request string                `json:"request,omitempty"`
	Outcome record.RequestOutcome `json:"fate"`
	Reason  string                `json:"reason,omitempty"`
	Detail  string                `json:"detail,omitempty"`
	Status  int                   `json:"status,omitempty"`
	Body    []byte                `json:"body,omitempty"`
	Job     *JobStatus            `json:"job,omitempty"`
}

func (a *API) init() {
	a.once.Do(func() {
		a.accountByDigest = map[[32]byte]string{}
		for token, account := range a.Tokens {
			a.accountByDigest[sha256.Sum256([]byte(token))] = account
		}
		a.conns = map[net.Conn]*callerConn{}
		a.openConns, a.runningRequests = map[string]int{}, map[string]int{}
		setDefault(&a.MaxBodyBytes, 1<<20)
		setDefault(&a.MaxHeaderBytes, 16<<10)
		setDefault(&a.MaxConns, 4096)
		setDefault(&a.MaxAccountConns, 512)
		setDefault(&a.MaxAccountRequests, 512)
		setDefault(&a.DefaultDeadline, 10*time.Second)
		setDefault(&a.MaxDeadline, 2*time.Minute)
		setDefault(&a.ReadTimeout, 10*time.Second)
		setDefault(&a.IdleTimeout, time.Minute)
	})
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Handler returns an HTTP handler for the API's routes.
func (a *API) Handler() http.Handler {
	a.init()
	m := http.NewServeMux()
	m.Handle("POST /v1/requests/{service}", a.withLimits(a.handleRequest))
	m.Handle("POST /v1/jobs", a.withLimits(a.handleSubmit))
	m.Handle("GET /v1/jobs/{id}", a.withLimits(a.handleJob))
	m.Handle("DELETE /v1/jobs/{id}", a.withLimits(a.handleCancel))
	return m
}

// Server returns an HTTP server for the API with its limits and timeouts. The
// write timeout is longer than the longest deadline of a request.
func (a *API) Server() *http.Server {
	h := a.Handler()
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: a.ReadTimeout,
		ReadTimeout:       a.ReadTimeout,
		WriteTimeout:      a.ReadTimeout + a.MaxDeadline + 10*time.Second,
		IdleTimeout:       a.IdleTimeout,
		MaxHeaderBytes:    a.MaxHeaderBytes,
		ConnState:         a.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			a.mu.Lock()
			defer a.mu.Unlock()
			// ConnContext is called before StateNew is reported.
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
			a.decrement(a.openConns, k.account)
		}
		delete(a.conns, c)
	}
}

func (a *API) decrement(m map[string]int, account string) {
	if m[account]--; m[account] <= 0 {
		delete(m, account)
	}
}

// withLimits authenticates the caller and applies the limits of its account.
func (a *API) withLimits(next func(w http.ResponseWriter, r *http.Request, account string)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		// The lookup by digest takes the same time however much of a wrong token is
		// correct.
		account := a.accountByDigest[sha256.Sum256([]byte(token))]
		if !ok || account == "" {
			a.refuse(w, http.StatusUnauthorized, route.ReasonAuth, "", 0)
			return
		}
		if !a.startRequest(r, account) {
			w.Header().Set("Connection", "close")
			a.refuse(w, http.StatusTooManyRequests, route.ReasonAccount, account, 1000)
			return
		}
		defer func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.decrement(a.runningRequests, account)
		}()
		next(w, r, account)
	})
}

// startRequest counts the request, and its connection if this is the account's
// first request on it. It reports false if a limit of the account is reached.
func (a *API) startRequest(r *http.Request, account string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runningRequests[account] >= a.MaxAccountRequests {
		return false
	}
	k, _ := r.Context().Value(connKey{}).(*callerConn)
	if k != nil && k.account != account {
		if a.openConns[account] >= a.MaxAccountConns {
			return false
		}
		if k.account != "" {
			a.decrement(a.openConns, k.account)
		}
		k.account = account
		a.openConns[account]++
	}
	a.runningRequests[account]++
	return true
}

func (a *API) handleRequest(w http.ResponseWriter, r *http.Request, account string) {
	q, invalid := a.parseRequest(r, account)
	if invalid != "" {
		a.refuse(w, http.StatusBadRequest, route.ReasonField, invalid, 0)
		return
	}
	body, ok := a.readBody(w, r)
	if !ok {
		return
	}
	defer body.Release()
	q.Body = body.Data
	res := a.Router.Do(r.Context(), q)
	if res.Reason == route.ReasonDraining {
		w.Header().Set("Connection", "close") // the caller's next request opens a connection to another instance
	}
	writeReply(w, httpStatus(res.Outcome, res.Reason), res.RetryAfter, &Reply{
		Request: q.ID, Outcome: res.Outcome, Reason: string(res.Reason), Detail: res.Detail, Status: res.Status, Body: res.Body,
	})
}

// parseRequest returns the request that the path and headers describe. If one of
// them is not valid, it returns its name.
func (a *API) parseRequest(r *http.Request, account string) (q *Request, invalid string) {
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
	d, ok := a.parseDeadline(h.Get(backend.HeaderDeadline))
	if !ok {
		return nil, backend.HeaderDeadline
	}
	q.Deadline = time.Now().Add(d)
	return q, ""
}

// parseDeadline parses a deadline in milliseconds from now, such as "1500".
func (a *API) parseDeadline(text string) (time.Duration, bool) {
	if text == "" {
		return a.DefaultDeadline, true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > a.MaxDeadline.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// validName reports whether s can be used in a path and a header without
// escaping.
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

// readBody reads the request's body, which the caller of readBody releases. If it
// returns false, it has sent an error response.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) (*admission.Body, bool) {
	body, err := a.Bodies.ReadBody(w, r, a.MaxBodyBytes, a.ReadTimeout)
	if err == nil {
		return body, true
	}
	var large *http.MaxBytesError
	var refused *admission.RefusedError
	switch {
	case errors.As(err, &large):
		a.refuse(w, http.StatusRequestEntityTooLarge, route.ReasonSize, "body", 0)
	case errors.As(err, &refused) && refused.Reason != admission.UploadTimeout:
		a.refuse(w, http.StatusServiceUnavailable, route.ReasonBodies, string(refused.Reason), 1000)
	default:
		a.refuse(w, http.StatusBadRequest, route.ReasonField, "body", 0)
	}
	return nil, false
}

// refuse responds to a request that was not accepted.
func (a *API) refuse(w http.ResponseWriter, status int, reason route.Reason, detail string, retryAfterMs int64) {
	a.count(reason)
	writeReply(w, status, retryAfterMs, &Reply{Outcome: record.RequestNotRun, Reason: string(reason), Detail: detail})
}

// httpStatus returns the HTTP status for an outcome and its reason.
func httpStatus(outcome record.RequestOutcome, reason route.Reason) int {
	switch {
	case outcome == record.RequestDone:
		return http.StatusOK
	case outcome == record.RequestUnknown && (reason == route.ReasonClaimed || reason == route.ReasonExpired):
		return http.StatusConflict
	case outcome == record.RequestUnknown:
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

func writeReply(w http.ResponseWriter, status int, retryAfterMs int64, v *Reply) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(backend.HeaderFate, string(v.Outcome))
	if retryAfterMs > 0 {
		h.Set("Retry-After", strconv.FormatInt((retryAfterMs+999)/1000, 10))
	}
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"fate":"unknown"}`)
	}
	h.Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	w.Write(append(data, '\n'))
}
