package caller

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
)

// TestOnceJobIDs guards against a non-repeatable job that runs again because the
// record of its first run was deleted.
func TestOnceJobIDs(t *testing.T) {
	k := newTestEnv(t, 1, &standin.Backends{})
	r, _ := k.router("i0")
	api := &API{
		Router: r, Jobs: &Jobs{View: r.View, Propose: r.Propose, Changed: r.Changed}, Tokens: map[string]string{"ta": "asha"},
	}
	srv := httptest.NewServer(api.Handler())
	defer srv.Close()
	now := time.Now().UnixMilli()
	for _, tt := range []struct {
		id     string
		once   bool
		status int
		text   string
	}{
		{"plain", false, http.StatusUnprocessableEntity, "impossible"}, // reaches the replicated state, which has no workers
		{"plain", true, http.StatusBadRequest, "creation time"},
		{fmt.Sprintf("%d-a", now), true, http.StatusUnprocessableEntity, "impossible"},
		{fmt.Sprintf("%d-a", now-state.JobRetentionMs), true, http.StatusConflict, `"unknown"`},
		{fmt.Sprintf("%d-a", now+2*state.MaxBatchAgeMs), true, http.StatusBadRequest, "ahead"},
	} {
		t.Run(fmt.Sprint(tt.id, " ", tt.once), func(t *testing.T) {
			is := is.New(t)
			q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/v1/jobs",
				strings.NewReader(fmt.Sprintf(`{"job":%q,"shape":"1x1@worker","once":%v}`, tt.id, tt.once)))
			is.NoErr(err)
			q.Header.Set("Authorization", "Bearer ta")
			resp, err := http.DefaultClient.Do(q)
			is.NoErr(err)
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
			is.True(strings.Contains(string(text), tt.text))
		})
	}
}
