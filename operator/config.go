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

// Config is a configuration record in responses of the API.
type Config struct {
	Name       string          `json:"name"`
	Version    uint64          `json:"version"`
	Schema     uint16          `json:"schema"`
	MinVersion uint16          `json:"reader"`
	By         string          `json:"by"`
	Deleted    bool            `json:"gone,omitempty"`
	Body       json.RawMessage `json:"body,omitempty"`
}

// PublishResult is the response to a publish: the new version, and which
// instances have applied it.
type PublishResult struct {
	Name      string           `json:"name"`
	Version   uint64           `json:"version"`
	Instances []AppliedVersion `json:"force"`
	ElapsedMs int64            `json:"millis"` // until the last instance applied it, or until the timeout
}

// AppliedVersion says whether one instance has applied a version.
type AppliedVersion struct {
	Instance string `json:"instance"`
	Applied  bool   `json:"ok"`
	Offset   uint64 `json:"offset,omitempty"`
	Error    string `json:"error,omitempty"`
}

func configView(c *state.Config) Config {
	v := Config{Name: c.Name, Version: c.Version, Schema: c.Schema, MinVersion: c.MinVersion, By: c.By, Deleted: c.Deleted}
	if len(c.Body) > 0 {
		v.Body = json.RawMessage(slices.Clone(c.Body))
	}
	return v
}

func (a *API) configs(_ *http.Request, _ string) (any, error) {
	out := []Config{}
	a.View(func(s *state.State) {
		for _, c := range s.Configs {
			out = append(out, configView(c))
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
			v := configView(c)
			out = &v
		}
	})
	if out == nil {
		return nil, &Refusal{record.RequestNotRun, string(state.ReasonUnknown), configName(r)}
	}
	return out, nil
}

// publish replaces or deletes a configuration record if its version equals the
// query parameter base. It waits until the instances have applied the new version
// and reports which ones have.
func (a *API) publish(r *http.Request, operator string) (any, error) {
	p := record.Publish{Name: configName(r), By: operator, Schema: 1, MinVersion: 1}
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
		return a.checkPublish(p, r.URL.Query().Has("base"))
	}
	begin := a.now()
	o, err := a.publishWithBlocks(r.Context(), p)
	if err != nil {
		return nil, err
	}
	a.log().Info("published", zap.String("operator", operator), zap.String("name", p.Name), zap.Uint64("offset", o.Offset))
	out := PublishResult{Name: p.Name, Version: o.Offset + 1}
	out.Instances = a.waitApplied(r.Context(), o.Offset+1)
	out.ElapsedMs = a.now().Sub(begin).Milliseconds()
	return out, nil
}

// addBlocks sets the blocks of an account's record, which reserve accelerators for
// the account's guarantees. It fails with *Refusal.
func (a *API) addBlocks(p *record.Publish) error {
	family, name, _ := strings.Cut(p.Name, "/")
	if family != "account" || len(p.Body) == 0 {
		return nil
	}
	var err error
	a.View(func(s *state.State) { p.Blocks, err = a.PlanBlocks(s, name, p.Body) })
	if err != nil {
		return &Refusal{record.RequestNotRun, string(state.ReasonInfeasible), err.Error()}
	}
	return nil
}

// checkPublish checks whether a publish of p would be accepted now, without
// publishing it, and fails with the *Refusal of that publish. It compares the
// version only if hasBase is set: the request names a base version.
func (a *API) checkPublish(p record.Publish, hasBase bool) (any, error) {
	var refusal *Refusal
	a.View(func(s *state.State) {
		var version uint64
		if c := s.Configs[p.Name]; c != nil {
			version = c.Version
		}
		if hasBase && version != p.Base {
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
	if err := a.addBlocks(&p); err != nil {
		return nil, err
	}
	return map[string]string{"check": "ok"}, nil
}

// publishWithBlocks plans the record's blocks and proposes the record. It plans
// and proposes again if the blocks are no longer available when the record is
// applied.
func (a *API) publishWithBlocks(ctx context.Context, p record.Publish) (state.Decision, error) {
	const attempts = 5
	for i := 1; ; i++ {
		if err := a.addBlocks(&p); err != nil {
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

// waitApplied polls the applied offset of all members until each has reached the
// given offset or ApplyTimeout has passed.
func (a *API) waitApplied(ctx context.Context, offset uint64) []AppliedVersion {
	var members []*state.Member
	a.View(func(s *state.State) {
		for _, m := range s.Members {
			c := *m
			members = append(members, &c)
		}
	})
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	out := make([]AppliedVersion, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() { out[i] = a.waitMember(ctx, m, offset) })
	}
	wg.Wait()
	return out
}

func (a *API) waitMember(ctx context.Context, m *state.Member, offset uint64) AppliedVersion {
	v := AppliedVersion{Instance: m.Name}
	for {
		at, err := a.MemberOffset(ctx, m)
		if err == nil && at >= offset {
			return AppliedVersion{Instance: m.Name, Applied: true, Offset: at}
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
