package worker_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/worker"
)

// TestShortSync guards against a short sync that renews grants other than those
// it refers to. That could happen after a request of another sender or after a
// restart of the worker.
func TestShortSync(t *testing.T) {
	is := is.New(t)
	workers := &standin.Workers{}
	var bodies []worker.SyncRequest
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q worker.SyncRequest
		is.NoErr(json.NewDecoder(r.Body).Decode(&q))
		bodies = append(bodies, q)
		data, err := json.Marshal(q)
		is.NoErr(err)
		clone, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "/sync", strings.NewReader(string(data)))
		is.NoErr(err)
		workers.ServeHTTP(w, clone)
	}))
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	holdGrant := func(job string, token uint64) worker.Grant {
		return worker.Grant{Job: job, Token: token, Mask: shape.Mask(1), Phase: worker.PhaseHold, Members: 1}
	}
	send := func(c *worker.Client, offset uint64, grants ...worker.Grant) worker.SyncAnswer {
		t.Helper()
		a, err := c.Sync(t.Context(), addr, worker.SyncRequest{Worker: "w0", Offset: offset, LeaseMs: 15_000, Grants: grants})
		is.NoErr(err)
		return a
	}
	tests := []struct {
		name   string
		before func()
		offset uint64
		grants []worker.Grant
		forms  []bool // whether each request on the wire is short
		phase  string
	}{
		{"first", nil, 5, []worker.Grant{holdGrant("a", 5)}, []bool{false}, worker.StatusHeld},
		{"unchanged", nil, 6, []worker.Grant{holdGrant("a", 5)}, []bool{true}, worker.StatusHeld},
		{"same grants from another sender", func() { send(&worker.Client{}, 7, holdGrant("a", 5)) }, 8, []worker.Grant{holdGrant("a", 5)}, []bool{true}, worker.StatusHeld},
		{"other grants from another sender", func() { send(&worker.Client{}, 9, holdGrant("b", 9)) }, 10, []worker.Grant{holdGrant("a", 5)}, []bool{true, false}, worker.StatusRefused},
		{"worker restarted", func() { workers.Fault(standin.WorkerFault{Worker: "w0", Restart: true}) }, 11, []worker.Grant{holdGrant("a", 5)}, []bool{true, false}, worker.StatusHeld},
	}
	client := &worker.Client{}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			if tt.before != nil {
				tt.before()
			}
			bodies = nil
			a := send(client, tt.offset, tt.grants...)
			var forms []bool
			for _, q := range bodies {
				forms = append(forms, q.Unchanged)
				is.True(q.Unchanged == (len(q.Grants) == 0))
			}
			is.Equal(forms, tt.forms)
			phases := map[string]string{}
			for _, s := range a.Tasks {
				phases[s.Job] = s.Phase
			}
			is.Equal(phases["a"], tt.phase)
		})
	}
}
