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

// carryShare is the part of the log's retention after which a job is written
// again in full, so that a reader of what is retained knows all jobs.
const carryShare = 3

// carryBatch bounds the jobs of one append.
const carryBatch = 20

// carryLoop writes jobs again before their records expire.
func (l *Leader) carryLoop() {
	period := l.Bounds.Retention / carryShare
	if period <= 0 {
		return
	}
	written := make(map[string]time.Time)
	for l.ctx.Err() == nil {
		delay.For(l.ctx, period/10)
		l.carry(written, period)
	}
}

// carry writes the jobs that were last written longer ago than the period, or
// before this leader began.
func (l *Leader) carry(written map[string]time.Time, period time.Duration) {
	var records [][]byte
	var at uint64
	var ids []string
	l.Feed.ViewAt(func(s *ledger.State, next uint64) {
		at = next
		for id, js := range s.Jobs {
			last, ok := written[id]
			if !ok {
				last = l.began
				written[id] = last
			}
			if time.Since(last) < period || len(records) == carryBatch {
				continue
			}
			data, err := ledger.Encode(ledger.Record{Rewrite: js})
			if err != nil {
				l.Logger.Error("job not encoded", zap.String("job", id), zap.Error(err))
				continue
			}
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
	// The append holds only if nothing was written since the jobs were read.
	_, err := l.Feed.Append(ctx, feed.Batch{Records: records, ExpectedEnd: &at})
	var moved *feed.EndMismatchError
	if err != nil {
		if !errors.As(err, &moved) {
			l.Logger.Info("jobs not carried forward", zap.Int("jobs", len(records)), zap.Error(err))
		}
		return
	}
	for _, id := range ids {
		written[id] = time.Now()
	}
}

func byAcceptance(list []*ledger.JobState) {
	slices.SortFunc(list, func(a, b *ledger.JobState) int {
		return cmp.Or(cmp.Compare(a.Job.AcceptedAt, b.Job.AcceptedAt), cmp.Compare(a.Job.ID, b.Job.ID))
	})
}
