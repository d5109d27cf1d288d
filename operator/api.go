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

// InForceTimeout is how long a publish waits for the instances to reach the
// new version; the target is 4 s.
const InForceTimeout = 4 * time.Second

// API serves operators. All function fields must be set before use.
type API struct {
	Operators []settings.Token
	Logger    *zap.Logger // nil logs nothing
	Metrics   *metric.Set
	MaxBody   int64         // bytes; 0 means 1 MiB
	Timeout   time.Duration // of a call, after which its fate is told; 0 means 15 s, less than the tool waits

	View    func(func(*state.State))
	Propose func(context.Context, ...record.Record) ([]state.Decision, error)
	Status  func() replica.Status
	Healthy func() error                                               // nil when the process works
	Ready   func() error                                               // nil when work may be sent here
	Offset  func(context.Context, *state.Member) (uint64, error)       // a member's applied offset
	Plan    func(*state.State, string, []byte) ([]record.Block, error) // blocks for an account's guarantees
	Explain func(*state.State, string) Explanation                     // why a job waits
	Drain   func()                                                     // starts a graceful shutdown
	NewID   func() string                                              // unique record ids
	Now     func() time.Time                                           // nil means time.Now
}

// Explanation says why a job stands where it stands.
type Explanation struct {
	Reason string `json:"reason"`
	Change string `json:"change"` // what would have to change for it to run
}

// Refusal is the JSON answer to a request that was not carried out.
type Refusal struct {
	Fate   record.RequestOutcome `json:"fate"`
	Reason string                `json:"reason"`
	Detail string                `json:"detail,omitempty"`
}

// Error describes the refusal.
func (e *Refusal) Error() string { return string(e.Fate) + ": " + e.Reason + ": " + e.Detail }

// Handler returns the API's HTTP handler.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", a.check(a.Healthy))
	mux.HandleFunc("GET /readyz", a.check(a.Ready))
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
		mux.HandleFunc(r.pattern, a.authorized(r.serve))
	}
	return mux
}

func (a *API) check(f func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := f(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	}
}

// authorized calls serve for a known operator and writes its answer as JSON.
func (a *API) authorized(serve func(*http.Request, string) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		who, ok := a.who(r)
		if !ok {
			a.Metrics.CountRefusal("operator", "token")
			write(w, http.StatusUnauthorized, &Refusal{record.RequestNotRun, "token", "no such operator"})
			return
		}
		limit := a.MaxBody
		if limit == 0 {
			limit = 1 << 20
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		timeout := a.Timeout
		if timeout == 0 {
			timeout = 15 * time.Second
		}
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		v, err := serve(r.WithContext(ctx), who)
		if err == nil {
			write(w, http.StatusOK, v)
			return
		}
		var refusal *Refusal
		if !errors.As(err, &refusal) {
			refusal = &Refusal{record.RequestNotRun, "request", err.Error()}
		}
		a.Metrics.CountRefusal("operator", refusal.Reason)
		a.log().Info("refused", zap.String("operator", who), zap.String("path", r.URL.Path),
			zap.String("fate", string(refusal.Fate)), zap.String("reason", refusal.Reason), zap.String("detail", refusal.Detail))
		write(w, refusal.code(), refusal)
	}
}

func (e *Refusal) code() int {
	if e.Fate == record.RequestUnknown {
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

func write(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

// who returns the operator that the request's bearer token stands for. Digests
// are compared, so the time does not tell how much of a token was right.
func (a *API) who(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	name := ""
	for _, o := range a.Operators {
		want := sha256.Sum256([]byte(o.Secret))
		if subtle.ConstantTimeCompare(sum[:], want[:]) == 1 {
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

// Reasons of this API that the fold does not know.
const (
	reasonLogDown = "logdown"
	reasonSize    = "size" // body beyond its limit
)

// propose appends one record and returns its outcome; it fails with *Refusal.
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

func (a *API) drain(_ *http.Request, who string) (any, error) {
	a.log().Info("drain", zap.String("operator", who))
	a.Drain()
	return map[string]string{"drain": "started"}, nil
}
