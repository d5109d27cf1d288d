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

// snapshotTick is how often it is checked whether a snapshot is due.
const snapshotTick = time.Second

// schedule tells when a snapshot is due and whether another instance is
// writing one.
type schedule struct {
	mu      sync.Mutex
	records int       // folded since the newest complete snapshot
	at      int64     // fold's clock at that snapshot, Unix milliseconds
	newest  uint64    // its state offset
	since   time.Time // when the next one became due; zero while it is not
	chunk   time.Time // when the last chunk of a newer one was folded
}

// snapshotSeen notes that a complete snapshot of the present state is in the
// log, or that the log starts here.
func (r *Replica) snapshotSeen(now int64) {
	c := &r.schedule
	c.mu.Lock()
	defer c.mu.Unlock()
	if now == 0 {
		now = r.Clock().UnixMilli()
	}
	c.records, c.at, c.since = 0, now, time.Time{}
}

// trackChunks counts folded records and follows the snapshots in the log.
func (t *tailer) trackChunks(offset uint64, b *record.Batch, now int64) {
	r := t.r
	c := &r.schedule
	plain := 0
	defer func() {
		c.mu.Lock()
		c.records += plain
		c.mu.Unlock()
	}()
	for _, rec := range b.Records {
		if rec.Kind != record.KindChunk {
			plain++
			continue
		}
		body, err := record.Body[record.Chunk](rec)
		if err != nil {
			continue
		}
		complete, err := t.chunks.Verify(offset, body)
		if err != nil {
			r.Logger.Warn("snapshot chunk", zap.Uint64("offset", offset), zap.Error(err))
			continue
		}
		newest, _ := t.chunks.Newest()
		c.mu.Lock()
		c.newest = newest
		if body.Offset > newest {
			c.chunk = r.Clock()
		}
		c.mu.Unlock()
		if complete {
			r.snap.Store(offset + 1)
			r.snapshotSeen(now)
		}
	}
}

// writeSnapshots writes a snapshot whenever one is due and the members that
// rank before this one have not written it.
func (r *Replica) writeSnapshots(ctx context.Context) error {
	tick := time.NewTicker(snapshotTick)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-r.changed.wait():
		case <-ctx.Done():
			return nil
		}
		if r.SnapshotRecords < 0 || !r.snapshotTurn() {
			continue
		}
		if err := r.writeSnapshot(ctx); err != nil && ctx.Err() == nil {
			r.Logger.Warn("snapshot not written", zap.Error(err))
			sleep(ctx, snapshotTick, nil)
		}
	}
}

// snapshotTurn reports whether a snapshot is due and this instance is next to
// write it.
func (r *Replica) snapshotTurn() bool {
	now := r.Clock()
	c := &r.schedule
	c.mu.Lock()
	age := time.Duration(now.UnixMilli()-c.at) * time.Millisecond
	// Age alone is enough: in an idle log the last snapshot would expire too.
	due := c.records >= r.SnapshotRecords || age >= r.Retention/4
	if !due {
		c.since = time.Time{}
		c.mu.Unlock()
		return false
	}
	if c.since.IsZero() {
		c.since = now
	}
	start := c.since
	if c.chunk.After(start) {
		start = c.chunk // another instance is writing: wait from its last chunk
	}
	subject := fmt.Sprintf("snapshot/%d", c.newest)
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
	return rank >= 0 && now.Sub(start) >= time.Duration(rank)*r.SnapshotDelay
}

// writeSnapshot appends a snapshot of the present state, and gives up when
// another instance has completed one that is as new.
func (r *Replica) writeSnapshot(ctx context.Context) error {
	var im *snapshot.Image
	var err error
	r.View(func(s *state.State) { im, err = snapshot.Encode(s) })
	if err != nil {
		return err
	}
	if im.Offset == 0 {
		return nil // nothing was ever appended
	}
	chunks, err := im.Split(fmt.Sprintf("%s/%d", r.Writer, im.Offset))
	if err != nil {
		return err
	}
	for _, c := range chunks {
		if r.snapshotNewest() >= im.Offset {
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
	r.counts.snapshots.Add(1)
	r.Logger.Info("snapshot written", zap.Uint64("offset", im.Offset), zap.Int("chunks", len(chunks)))
	return nil
}

func (r *Replica) snapshotNewest() uint64 {
	r.schedule.mu.Lock()
	defer r.schedule.mu.Unlock()
	return r.schedule.newest
}
