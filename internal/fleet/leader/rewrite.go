package leader

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// rewritesPerRetention is how often a live job is written in full during the
// log's retention time, so that an instance that reads only the retained
// records knows all jobs.
const rewritesPerRetention = 3

// maxRewriteBatch and maxRewriteBytes bound one append. Its last job may exceed the
// latter.
const (
	maxRewriteBatch = 20
	maxRewriteBytes = 512 << 10
)

// rewriteLoop writes live jobs again before their records expire.
func (l *Leader) rewriteLoop() {
	period := l.Bounds.Retention / rewritesPerRetention
	if period <= 0 {
		return
	}
	written := make(map[string]time.Time)
	for l.ctx.Err() == nil {
		delay.For(l.ctx, period/10)
		l.rewriteJobs(written, period)
	}
}

// rewriteJobs writes a batch of the jobs whose last rewrite, or the start of
// this leader if there was none, is at least a period ago.
func (l *Leader) rewriteJobs(written map[string]time.Time, period time.Duration) {
	var records [][]byte
	size := 0
	var nextOffset uint64
	var ids []string
	l.Feed.ViewAt(func(s *ledger.State, next uint64) {
		nextOffset = next
		for id, js := range s.Jobs {
			last, ok := written[id]
			if !ok {
				last = l.startedAt
				written[id] = last
			}
			if time.Since(last) < period || len(records) == maxRewriteBatch || size >= maxRewriteBytes {
				continue
			}
			data, err := l.Feed.Encode(ledger.Record{Rewrite: js})
			if err != nil {
				l.Logger.Info("job cannot be rewritten; only snapshots keep it", zap.String("job", id), zap.Int("units", len(js.Units)), zap.Error(err))
				written[id] = time.Now()
				continue
			}
			size += len(data)
			records = append(records, data)
			ids = append(ids, id)
		}
		for id := range written {
			if s.Jobs[id] == nil {
				delete(written, id)
			}
		}
	})
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, time.Second)
	defer cancel()
	// The log accepts the append only if nothing was written since the jobs were
	// read.
	_, err := l.Feed.Append(ctx, feed.Batch{Records: records, ExpectedEnd: &nextOffset})
	var moved *feed.EndMismatchError
	if err != nil {
		if !errors.As(err, &moved) {
			l.Logger.Info("rewriting jobs failed; trying again in the next round", zap.Int("jobs", len(records)), zap.Error(err))
		}
		return
	}
	for _, id := range ids {
		written[id] = time.Now()
	}
}

// sortByAcceptance sorts jobs by the time at which they were accepted.
func sortByAcceptance(list []*ledger.JobState) {
	slices.SortFunc(list, func(a, b *ledger.JobState) int {
		return cmp.Or(cmp.Compare(a.Job.AcceptedAt, b.Job.AcceptedAt), cmp.Compare(a.Job.ID, b.Job.ID))
	})
}
