package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// Config is a configuration record as operators see it.
type Config struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Schema  uint16          `json:"schema"`
	Reader  uint16          `json:"reader"`
	By      string          `json:"by"`
	Gone    bool            `json:"gone,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// Published is the answer to a publish: the new version, and where it is in
// force.
type Published struct {
	Name    string    `json:"name"`
	Version uint64    `json:"version"`
	Force   []InForce `json:"force"`
	Millis  int64     `json:"millis"` // until the last instance had it, or the timeout
}

// InForce says whether one instance has applied a version.
type InForce struct {
	Instance string `json:"instance"`
	OK       bool   `json:"ok"`
	Offset   uint64 `json:"offset,omitempty"`
	Error    string `json:"error,omitempty"`
}

func view(c *state.Config) Config {
	v := Config{Name: c.Name, Version: c.Version, Schema: c.Schema, Reader: c.MinVersion, By: c.By, Gone: c.Deleted}
	if len(c.Body) > 0 {
		v.Body = json.RawMessage(slices.Clone(c.Body))
	}
	return v
}

func (a *API) configs(_ *http.Request, _ string) (any, error) {
	out := []Config{}
	a.View(func(s *state.State) {
		for _, c := range s.Configs {
			out = append(out, view(c))
		}
	})
	slices.SortFunc(out, func(x, y Config) int { return strings.Compare(x.Name, y.Name) })
	return out, nil
}

func configName(r *http.Request) string { return r.PathValue("family") + "/" + r.PathValue("name") }

func (a *API) config(r *http.Request, _ string) (any, error) {
	var out *Config
	a.View(func(s *state.State) {
		if c := s.Configs[configName(r)]; c != nil {
			v := view(c)
			out = &v
		}
	})
	if out == nil {
		return nil, &Refusal{record.RequestNotRun, string(state.ReasonUnknown), configName(r)}
	}
	return out, nil
}

// publish replaces a record if its version is still the one in the query's
// base, and reports on which instances the new version is in force.
func (a *API) publish(r *http.Request, who string) (any, error) {
	p := record.Publish{Name: configName(r), By: who, Schema: 1, MinVersion: 1}
	body, err := io.ReadAll(r.Body)
	var size *http.MaxBytesError
	switch {
	case errors.As(err, &size):
		return nil, &Refusal{record.RequestNotRun, reasonSize, "body: " + err.Error()}
	case err != nil:
		return nil, &Refusal{record.RequestNotRun, string(state.ReasonField), "body: " + err.Error()}
	}
	if r.Method == http.MethodPut {
		if len(body) == 0 {
			return nil, &Refusal{record.RequestNotRun, string(state.ReasonField), "body: empty; use DELETE to remove a record"}
		}
		p.Body = body
	}
	for _, q := range []struct {
		key string
		set func(uint64)
		max uint64
	}{
		{"base", func(v uint64) { p.Base = v }, 1 << 62},
		{"schema", func(v uint64) { p.Schema = uint16(v) }, 1 << 15},
		{"reader", func(v uint64) { p.MinVersion = uint16(v) }, 1 << 15},
	} {
		text := r.URL.Query().Get(q.key)
		if text == "" {
			continue
		}
		v, err := strconv.ParseUint(text, 10, 64)
		if err != nil || v > q.max {
			return nil, &Refusal{record.RequestNotRun, string(state.ReasonField), q.key + ": not a number in range"}
		}
		q.set(v)
	}
	if err := state.CheckConfig(p.Name, p.Body); err != nil {
		return nil, &Refusal{record.RequestNotRun, string(state.ReasonField), err.Error()}
	}
	if r.URL.Query().Get("check") == "true" {
		return a.checkOnly(p, r.URL.Query().Has("base"))
	}
	begin := a.now()
	o, err := a.publishPlanned(r.Context(), p)
	if err != nil {
		return nil, err
	}
	a.log().Info("published", zap.String("operator", who), zap.String("name", p.Name), zap.Uint64("offset", o.Offset))
	out := Published{Name: p.Name, Version: o.Offset + 1}
	out.Force = a.inForce(r.Context(), o.Offset+1)
	out.Millis = a.now().Sub(begin).Milliseconds()
	return out, nil
}

// plan fills in the blocks for an account's guarantees.
func (a *API) plan(p *record.Publish) error {
	family, name, _ := strings.Cut(p.Name, "/")
	if family != "account" || len(p.Body) == 0 {
		return nil
	}
	var err error
	a.View(func(s *state.State) { p.Blocks, err = a.Plan(s, name, p.Body) })
	if err != nil {
		return &Refusal{record.RequestNotRun, string(state.ReasonInfeasible), err.Error()}
	}
	return nil
}

// checkOnly refuses what a publish of p would be refused for now; the version
// is compared only when the request names one.
func (a *API) checkOnly(p record.Publish, base bool) (any, error) {
	var refusal *Refusal
	a.View(func(s *state.State) {
		var version uint64
		if c := s.Configs[p.Name]; c != nil {
			version = c.Version
		}
		if base && version != p.Base {
			refusal = &Refusal{record.RequestNotRun, string(state.ReasonConflict), strconv.FormatUint(version, 10)}
			return
		}
		for _, m := range s.Members {
			if p.MinVersion > m.Version {
				refusal = &Refusal{record.RequestNotRun, string(state.ReasonUpgrade), m.Name}
				return
			}
		}
	})
	if refusal != nil {
		return nil, refusal
	}
	if err := a.plan(&p); err != nil {
		return nil, err
	}
	return map[string]string{"check": "ok"}, nil
}

// publishPlanned proposes the record, and plans again when the blocks were
// taken between planning and the append.
func (a *API) publishPlanned(ctx context.Context, p record.Publish) (state.Decision, error) {
	const attempts = 5
	for i := 1; ; i++ {
		if err := a.plan(&p); err != nil {
			return state.Decision{}, err
		}
		o, err := propose(ctx, a, record.KindPublish, p)
		var refusal *Refusal
		if len(p.Blocks) > 0 && i < attempts && errors.As(err, &refusal) {
			switch state.Reason(refusal.Reason) {
			case state.ReasonInfeasible, state.ReasonWorker, state.ReasonBusy:
				a.Metrics.CountRetry("publish", refusal.Reason)
				continue
			}
		}
		return o, err
	}
}

// inForce asks all members for their applied offset until each has reached it
// or InForceTimeout has passed.
func (a *API) inForce(ctx context.Context, offset uint64) []InForce {
	var members []*state.Member
	a.View(func(s *state.State) {
		for _, m := range s.Members {
			c := *m
			members = append(members, &c)
		}
	})
	ctx, cancel := context.WithTimeout(ctx, InForceTimeout)
	defer cancel()
	out := make([]InForce, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() { out[i] = a.waitOffset(ctx, m, offset) })
	}
	wg.Wait()
	return out
}

func (a *API) waitOffset(ctx context.Context, m *state.Member, offset uint64) InForce {
	v := InForce{Instance: m.Name}
	for {
		at, err := a.Offset(ctx, m)
		if err == nil && at >= offset {
			return InForce{Instance: m.Name, OK: true, Offset: at}
		}
		v.Offset = at
		if err != nil {
			v.Error = err.Error()
		}
		select {
		case <-ctx.Done():
			return v
		case <-time.After(20 * time.Millisecond):
		}
	}
}
