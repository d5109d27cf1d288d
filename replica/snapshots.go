package replica

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/member"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/snapshot"
	"jasminelane.example/lane/state"
)

// snapshotCheckInterval is the longest time between checks whether a snapshot is
// due. A failed snapshot is retried after the same time.
const snapshotCheckInterval = time.Second

// snapshotSchedule determines when a snapshot is due and whether another
// instance is writing one.
type snapshotSchedule struct {
	mu           sync.Mutex
	recordsSince int       // records applied since the newest complete snapshot, without chunks
	takenAtMs    int64     // time of the state's clock at that snapshot, in Unix milliseconds
	newestOffset uint64    // offset of the newest complete snapshot's state
	dueSince     time.Time // when the next snapshot became due; zero if none is due
	lastChunkAt  time.Time // when the last chunk of a newer snapshot was applied
}

// resetSnapshotSchedule starts the schedule anew, because the log has a complete
// snapshot of the current state or starts at it. now is the time of the state's
// clock in Unix milliseconds; if it is 0, the local clock is used.
func (r *Replica) resetSnapshotSchedule(now int64) {
	c := &r.snapshots
	c.mu.Lock()
	defer c.mu.Unlock()
	if now == 0 {
		now = r.Clock().UnixMilli()
	}
	c.recordsSince, c.takenAtMs, c.dueSince = 0, now, time.Time{}
}

// trackChunks counts the batch's records and tracks the snapshots whose chunks
// are in the log.
func (t *tailer) trackChunks(offset uint64, b *record.Batch, now int64) {
	r := t.r
	c := &r.snapshots
	otherRecords := 0
	defer func() {
		c.mu.Lock()
		c.recordsSince += otherRecords
		c.mu.Unlock()
	}()
	for _, rec := range b.Records {
		if rec.Kind != record.KindChunk {
			otherRecords++
			continue
		}
		body, err := record.Body[record.Chunk](rec)
		if err != nil {
			continue
		}
		complete, err := t.chunks.Verify(offset, body)
		if err != nil {
			r.Logger.Warn("invalid snapshot chunk ignored", zap.Uint64("offset", offset), zap.Error(err))
			continue
		}
		newest, _ := t.chunks.Newest()
		c.mu.Lock()
		c.newestOffset = newest
		if body.Offset > newest {
			c.lastChunkAt = r.Clock()
		}
		c.mu.Unlock()
		if complete {
			r.snapshotEnd.Store(offset + 1)
			r.resetSnapshotSchedule(now)
		}
	}
}

// writeSnapshots writes a snapshot whenever one is due and no member with a
// lower rank has written it.
func (r *Replica) writeSnapshots(ctx context.Context) error {
	tick := time.NewTicker(snapshotCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-r.changed.wait():
		case <-ctx.Done():
			return nil
		}
		if r.SnapshotRecords < 0 || !r.shouldWriteSnapshot() {
			continue
		}
		if err := r.writeSnapshot(ctx); err != nil && ctx.Err() == nil {
			r.Logger.Warn("writing a snapshot failed; retrying", zap.Error(err))
			sleep(ctx, snapshotCheckInterval, nil)
		}
	}
}

// shouldWriteSnapshot reports whether a snapshot is due and it is this instance's
// turn to write it. Each member waits for its rank times SnapshotRankDelay, so
// that the next member takes over if one fails.
func (r *Replica) shouldWriteSnapshot() bool {
	now := r.Clock()
	c := &r.snapshots
	c.mu.Lock()
	age := time.Duration(now.UnixMilli()-c.takenAtMs) * time.Millisecond
	// The age alone suffices, since the last snapshot also expires if nothing
	// is appended.
	due := c.recordsSince >= r.SnapshotRecords || age >= r.LogRetention/4
	if !due {
		c.dueSince = time.Time{}
		c.mu.Unlock()
		return false
	}
	if c.dueSince.IsZero() {
		c.dueSince = now
	}
	start := c.dueSince
	if c.lastChunkAt.After(start) {
		start = c.lastChunkAt // another instance is writing one: the wait starts at its last chunk
	}
	subject := fmt.Sprintf("snapshot/%d", c.newestOffset)
	c.mu.Unlock()

	if s := r.Status(); !s.Ready || !s.Fresh || s.LogDown {
		return false
	}
	rank := 0
	r.View(func(s *state.State) {
		if r.Join.Name != "" {
			rank = member.Rank(s.Members, subject, r.Writer)
		}
	})
	return rank >= 0 && now.Sub(start) >= time.Duration(rank)*r.SnapshotRankDelay
}

// writeSnapshot appends a snapshot of the current state. It stops early if
// another instance has completed a snapshot that is at least as new.
func (r *Replica) writeSnapshot(ctx context.Context) error {
	var image *snapshot.Image
	var err error
	r.View(func(s *state.State) { image, err = snapshot.Encode(s) })
	if err != nil {
		return err
	}
	if image.Offset == 0 {
		return nil // no entry has been applied yet
	}
	chunks, err := image.Split(fmt.Sprintf("%s/%d", r.Writer, image.Offset))
	if err != nil {
		return err
	}
	for _, c := range chunks {
		if r.newestSnapshot() >= image.Offset {
			return nil
		}
		rec, err := record.New(record.KindChunk, "", c)
		if err != nil {
			return err
		}
		if _, err := r.Propose(ctx, rec); err != nil {
			return err
		}
	}
	r.counters.snapshots.Add(1)
	r.Logger.Info("snapshot written", zap.Uint64("offset", image.Offset), zap.Int("chunks", len(chunks)))
	return nil
}

// newestSnapshot returns the offset of the newest complete snapshot's state.
func (r *Replica) newestSnapshot() uint64 {
	r.snapshots.mu.Lock()
	defer r.snapshots.mu.Unlock()
	return r.snapshots.newestOffset
}
