package leader

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against one job that is too large for a record of the log and keeps all others
// from being rewritten.
func TestRewriteBesideLargeJob(t *testing.T) {
	is := is.New(t)
	r := newRoundTest(t, 0)
	for id, tasks := range map[string]int{"large": 1000, "a": 1, "b": 1} {
		r.write(ledger.Record{Submit: &ledger.Job{ID: id, Steps: []ledger.Step{{Count: tasks}}}})
	}
	var rewritten []string
	r.leader.Feed.MaxRecordBytes = 1000
	r.leader.Feed.Append = func(_ context.Context, b feed.Batch) (uint64, error) {
		for _, data := range b.Records {
			if len(data) > 1000 {
				return 0, &feed.RefusedError{}
			}
			rec, err := ledger.Decode(data)
			is.NoErr(err)
			rewritten = append(rewritten, rec.Rewrite.Job.ID)
		}
		return 0, nil
	}
	written := make(map[string]time.Time)
	r.leader.rewriteJobs(written, 0)
	is.Equal(len(rewritten), 2)
	is.Equal(len(written), 3)
}
