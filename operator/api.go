package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/metric"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/replica"
	"jasminelane.example/lane/settings"
	"jasminelane.example/lane/state"
)

// ApplyTimeout is how long a publish waits until all instances have applied the
// new version. The target for this is 4 s.
const ApplyTimeout = 4 * time.Second

// API is the HTTP API for operators. All function fields without a default must
// be set before use.
type API struct {
	Operators    []settings.Token
	Logger       *zap.Logger // nil disables logging
	Metrics      *metric.Set
	MaxBodyBytes int64 // of a request; 0 means 1 MiB

	// CallTimeout is the timeout of a call, after which the response reports the
	// call's outcome. 0 means 15 s, which is less than the timeout of the
	// operator's tool.
	CallTimeout time.Duration

	View         func(func(*state.State))
	Propose      func(context.Context, ...record.Record) ([]state.Decision, error)
	Status       func() replica.Status
	CheckHealth  func() error                                               // returns nil if the process is healthy
	CheckReady   func() error                                               // returns nil if the instance accepts requests
	MemberOffset func(context.Context, *state.Member) (uint64, error)       // the offset that a member has applied
	PlanBlocks   func(*state.State, string, []byte) ([]record.Block, error) // plans the blocks for an account's guarantees
	Explain      func(*state.State, string) Explanation                     // returns why a job waits
	Drain        func()                                                     // starts a graceful shutdown
	NewID        func() string                                              // returns a unique record id
	Now          func() time.Time                                           // nil means time.Now
}

// Explanation says why a job waits.
type Explanation struct {
	Reason string `json:"reason"`
	Change string `json:"change"` // what would have to change so that the job can run
}

// Refusal is the JSON response to a request that was not carried out or whose
// outcome is unknown.
type Refusal struct {
	Outcome record.RequestOutcome `json:"fate"`
	Reason  string                `json:"reason"`
	Detail  string                `json:"detail,omitempty"`
}

// Error returns the outcome, the reason and the detail.
func (e *Refusal) Error() string { return string(e.Outcome) + ": " + e.Reason + ": " + e.Detail }

// Handler returns the HTTP handler of the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", a.healthHandler(a.CheckHealth))
	mux.HandleFunc("GET /readyz", a.healthHandler(a.CheckReady))
	mux.Handle("GET /debug/vars", a.Metrics)
	routes := []struct {
		pattern string
		serve   func(*http.Request, string) (any, error)
	}{
		{"GET /v1/status", a.status},
		{"GET /v1/instances", a.instances},
		{"GET /v1/config", a.configs},
		{"GET /v1/config/{family}/{name}", a.config},
		{"PUT /v1/config/{family}/{name}", a.publish},
		{"DELETE /v1/config/{family}/{name}", a.publish},
		{"GET /v1/accounts", a.accounts},
		{"GET /v1/jobs", a.jobs},
		{"GET /v1/jobs/{id}", a.job},
		{"DELETE /v1/jobs/{id}", a.cancel},
		{"GET /v1/workers", a.workers},
		{"POST /v1/workers/{name}/{condition}", a.setWorker},
		{"POST /v1/drain", a.drain},
	}
	for _, r := range routes {
		mux.HandleFunc(r.pattern, a.requireOperator(r.serve))
	}
	return mux
}

func (a *API) healthHandler(f func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := f(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	}
}

// requireOperator returns a handler that authenticates the operator, calls serve
// and writes the result or the refusal as JSON.
func (a *API) requireOperator(serve func(*http.Request, string) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, ok := a.operatorName(r)
		if !ok {
			a.Metrics.CountRefusal("operator", "token")
			writeJSON(w, http.StatusUnauthorized, &Refusal{record.RequestNotRun, "token", "no such operator"})
			return
		}
		limit := a.MaxBodyBytes
		if limit == 0 {
			limit = 1 << 20
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		timeout := a.CallTimeout
		if timeout == 0 {
			timeout = 15 * time.Second
		}
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		v, err := serve(r.WithContext(ctx), operator)
		if err == nil {
			writeJSON(w, http.StatusOK, v)
			return
		}
		var refusal *Refusal
		if !errors.As(err, &refusal) {
			refusal = &Refusal{record.RequestNotRun, "request", err.Error()}
		}
		a.Metrics.CountRefusal("operator", refusal.Reason)
		a.log().Info("refused", zap.String("operator", operator), zap.String("path", r.URL.Path),
			zap.String("fate", string(refusal.Outcome)), zap.String("reason", refusal.Reason), zap.String("detail", refusal.Detail))
		writeJSON(w, refusal.httpStatus(), refusal)
	}
}

func (e *Refusal) httpStatus() int {
	if e.Outcome == record.RequestUnknown {
		return http.StatusAccepted
	}
	switch state.Reason(e.Reason) {
	case state.ReasonUnknown:
		return http.StatusNotFound
	case state.ReasonConflict, state.ReasonStale, state.ReasonPhase, state.ReasonExists, state.ReasonBusy, state.ReasonUpgrade, state.ReasonInfeasible:
		return http.StatusConflict
	case reasonSize:
		return http.StatusRequestEntityTooLarge
	case reasonLogDown:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

// operatorName returns the name of the operator with the request's bearer token.
// It compares digests in constant time, so that the duration does not reveal how
// much of a token is correct.
func (a *API) operatorName(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	got := sha256.Sum256([]byte(token))
	name := ""
	for _, o := range a.Operators {
		want := sha256.Sum256([]byte(o.Secret))
		if subtle.ConstantTimeCompare(got[:], want[:]) == 1 {
			name = o.Name
		}
	}
	return name, name != ""
}

func (a *API) log() *zap.Logger {
	if a.Logger == nil {
		return zap.NewNop()
	}
	return a.Logger
}

func (a *API) now() time.Time {
	if a.Now == nil {
		return time.Now()
	}
	return a.Now()
}

// Reasons of refusals that are not decisions of the replicated state.
const (
	reasonLogDown = "logdown" // the log is unavailable
	reasonSize    = "size"    // the request body exceeds its limit
)

// propose proposes one record and returns the state's decision on it. It fails
// with *Refusal.
func propose[T any](ctx context.Context, a *API, kind record.Kind, body T) (state.Decision, error) {
	r, err := record.New(kind, a.NewID(), body)
	if err != nil {
		return state.Decision{}, &Refusal{record.RequestNotRun, "request", err.Error()}
	}
	out, err := a.Propose(ctx, r)
	var unknown *replica.UnknownOutcomeError
	switch {
	case errors.As(err, &unknown):
		return state.Decision{}, &Refusal{record.RequestUnknown, reasonLogDown, "the append may have happened; read the state before trying again"}
	case err != nil:
		return state.Decision{}, &Refusal{record.RequestNotRun, reasonLogDown, err.Error()}
	case !out[0].Accepted():
		return out[0], &Refusal{record.RequestNotRun, string(out[0].Reason), out[0].Detail}
	}
	return out[0], nil
}

func (a *API) drain(_ *http.Request, operator string) (any, error) {
	a.log().Info("drain requested", zap.String("operator", operator))
	a.Drain()
	return map[string]string{"drain": "started"}, nil
}
