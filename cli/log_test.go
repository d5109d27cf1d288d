package cli

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/snapshot"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
)

// TestLog guards against a listing of the log that omits refusals, snapshots or
// corrupt entries, and against decisions that differ from those of the replicated
// state after the first entries have expired.
func TestLog(t *testing.T) {
	is := is.New(t)
	log := &standin.Log{}
	srv := httptest.NewServer(log)
	defer srv.Close()
	s := &state.State{}
	add := func(kind record.Kind, id string, body any) {
		t.Helper()
		r, err := record.New(kind, id, body)
		is.NoErr(err)
		b := &record.Batch{Writer: "e1", Seq: s.Offset + 1, At: 1_796_361_383_000, MinVersion: 1, Records: []record.Record{r}}
		data, err := record.Encode(b)
		is.NoErr(err)
		_, err = s.Apply(log.Append(data), b)
		is.NoErr(err)
	}
	add(record.KindPublish, "p1", record.Publish{Name: "account/asha", Body: []byte(`{"weight":1}`)})
	add(record.KindPublish, "p2", record.Publish{Name: "account/asha", Body: []byte(`{"weight":2}`)})
	chunks, err := snapshot.Split(s, "snap1")
	is.NoErr(err)
	add(record.KindChunk, "c1", chunks[0])
	add(record.KindPublish, "p3", record.Publish{Name: "account/asha", Base: 1, Body: []byte(`{"weight":3}`)})
	log.Append([]byte("not a batch"))

	show := func(want int, args ...string) string {
		t.Helper()
		code, out, errs := run(t.Context(), nil, append([]string{"log", "-platform", srv.URL}, args...)...)
		if code != want {
			t.Fatalf("exit code %d, want %d: %s", code, want, errs)
		}
		return out
	}
	out := show(ExitOK)
	for _, want := range []string{"p1", "accepted", "conflict", "snap1 part 1 of 1", "complete", "corrupt"} {
		if !strings.Contains(out, want) {
			t.Errorf("output lacks %q:\n%s", want, out)
		}
	}
	var rows []logRow
	is.NoErr(json.Unmarshal([]byte(show(ExitOK, "-o", "json", "-kind", "publish", "-from", "1", "-limit", "3")), &rows))
	is.Equal(len(rows), 2)
	is.Equal(rows[0].Reason, state.ReasonConflict)

	first := uint64(2)
	log.Fault(standin.LogFault{ExpireBefore: &first})
	rows = nil
	is.NoErr(json.Unmarshal([]byte(show(ExitOK, "-o", "json", "-from", "3")), &rows))
	is.Equal(rows[0].ID, "p3")
	is.Equal(rows[0].Reason, state.Reason(""))
	show(ExitUsage, "-limit", "0")
	srv.Close()
	show(ExitUnreachable)
}
