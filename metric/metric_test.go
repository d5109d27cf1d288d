package metric

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSetsAreSeparate guards against metrics of one instance that appear in
// those of another one in the same process.
func TestSetsAreSeparate(t *testing.T) {
	is := is.New(t)
	var a, b Set
	a.CountRefusal("request", "overload")
	a.CountRefusal("request", "overload")
	b.Observe("submit", 5*time.Millisecond)
	b.AddGauge("offset", func() any { return 7 })
	read := func(s *Set) map[string]any {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, nil)
		var out map[string]any
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &out))
		return out
	}
	is.Equal(read(&a)["refused"].(map[string]any)["request.overload"], 2.0)
	is.Equal(len(read(&b)["refused"].(map[string]any)), 0)
	is.Equal(read(&b)["offset"], 7.0)
	is.Equal(read(&b)["took"].(map[string]any), map[string]any{"submit.8": 1.0})
}
