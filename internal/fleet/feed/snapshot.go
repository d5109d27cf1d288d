package feed

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// defaultMinSnapshotLag is the size of the records up to which reading them
	// costs a starting instance less than a snapshot: one page.
	defaultMinSnapshotLag = 256 << 10

	// snapshotsPerRetention is how often a leader writes a snapshot during the
	// log's retention time even if few records were added. The records after the
	// newest snapshot are then still retained when an instance starts.
	snapshotsPerRetention = 3

	// firstSnapshotShare is the share of the retention time after which a new
	// leader writes its first snapshot, because it does not know how old the newest
	// one is. It is short enough to bridge several changes of leader, and longer
	// than a brief term.
	firstSnapshotShare = 12

	// snapshotCheckPeriod is the time between two checks of whether a snapshot is
	// due.
	snapshotCheckPeriod = 500 * time.Millisecond

	// snapshotTimeout bounds the time to store one snapshot.
	snapshotTimeout = 3 * time.Second

	// loadTimeout bounds the time to read a snapshot. All instances may read it
	// at once after a loss of power.
	loadTimeout = 4 * time.Second

	// maxLoadAttempts is how often reading the snapshot is tried before the log
	// is read from its oldest record.
	maxLoadAttempts = 3

	// reloadPeriod is the time between two reads of the snapshot by an instance
	// whose state lacks records, until it finds one that contains them.
	reloadPeriod = 2 * time.Second
)

// snapshotState is what a feed knows about the snapshots of the log.
type snapshotState struct {
	loaded       bool // the snapshot was read, or is not to be
	loadAttempts int
	triedAt      time.Time // last attempt to read the snapshot
	lag          int       // bytes of the records since the newest known snapshot
	size         int       // bytes of that snapshot
	renewAt      time.Time // when the leader writes a snapshot even if few records were added
}

// loadSnapshot continues from the newest snapshot, if one is wanted and it is
// newer than the state. It reports whether the log can be read from there on.
func (f *Feed) loadSnapshot(ctx context.Context) bool {
	if !f.beginLoad() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	data, err := f.LoadSnapshot(ctx)
	var state *ledger.State
	var next uint64
	if err == nil && len(data) > 0 {
		state, next, err = ledger.DecodeSnapshot(data)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.snapshot.loadAttempts++
		f.snapshot.loaded = f.snapshot.loaded || f.snapshot.loadAttempts >= maxLoadAttempts
		f.Logger.Warn("reading the snapshot failed", zap.Int("attempt", f.snapshot.loadAttempts), zap.Bool("without", f.snapshot.loaded), zap.Error(err))
		return f.snapshot.loaded
	}
	f.snapshot.loaded = true
	if state == nil || f.term != nil || !f.improvedBy(next) {
		return true
	}
	f.state, f.next, f.missedBefore = state, next, 0
	f.caughtUp = false
	f.seenLeaderRecords = state.LeaderRecords
	f.snapshot.lag, f.snapshot.size = 0, len(data)
	f.notifyChanged()
	f.Logger.Info("snapshot loaded", zap.Uint64("offset", next), zap.Int("bytes", len(data)), zap.Int("jobs", len(state.Jobs)))
	return true
}

// beginLoad reports whether the snapshot is to be read now: at the start, after
// records have expired before they were read, and from time to time while the
// state lacks records.
func (f *Feed) beginLoad() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.LoadSnapshot == nil || f.snapshot.loaded && (f.missedBefore == 0 || time.Since(f.snapshot.triedAt) < reloadPeriod) {
		return false
	}
	f.snapshot.triedAt = time.Now()
	return true
}

// improvedBy reports whether a snapshot at the offset is newer than the state or
// contains records that the state lacks. The caller holds the lock.
func (f *Feed) improvedBy(next uint64) bool {
	return next > f.next || f.missedBefore > 0 && next >= f.missedBefore
}

// scheduleSnapshot sets when the leader of a new term renews the snapshot. At once
// is for a leader whose state other instances need to complete theirs. The caller
// holds the lock.
func (f *Feed) scheduleSnapshot(atOnce bool) {
	first := time.Now()
	if !atOnce {
		first = first.Add(f.Retention / firstSnapshotShare)
	}
	if atOnce || f.snapshot.renewAt.Before(first) {
		f.snapshot.renewAt = first
	}
}

// snapshotLoop writes a snapshot whenever one is due, until the term ends. A
// snapshot is due when the records since the last one have more bytes than it: a
// starting instance then reads at most about twice the snapshot's size. It is also
// due when the last one is so old that the records after it might expire.
func (f *Feed) snapshotLoop(ctx context.Context) {
	for ctx.Err() == nil {
		delay.For(ctx, snapshotCheckPeriod)
		if err := f.writeDueSnapshot(ctx); err != nil && ctx.Err() == nil {
			f.Logger.Warn("writing a snapshot failed; trying again", zap.Error(err))
		}
	}
}

// writeDueSnapshot writes a snapshot if one is due.
func (f *Feed) writeDueSnapshot(ctx context.Context) error {
	f.mu.Lock()
	lag, next := f.snapshot.lag, f.next
	if !f.caughtUp || f.readsFailing || !f.snapshotDue() {
		f.mu.Unlock()
		return nil
	}
	plain, err := f.state.MarshalSnapshot(next)
	f.mu.Unlock()
	if err != nil {
		return err
	}
	data, err := ledger.CompressSnapshot(plain)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if err := f.SaveSnapshot(ctx, data); err != nil {
		return &SnapshotError{next, err}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot.lag -= lag
	f.snapshot.size = len(data)
	f.snapshot.renewAt = time.Now().Add(f.Retention / snapshotsPerRetention)
	f.Logger.Info("snapshot written", zap.Uint64("offset", next), zap.Int("bytes", len(data)), zap.Int("lag", lag))
	return nil
}

// snapshotDue reports whether the leader should write a snapshot. The caller holds
// the lock.
func (f *Feed) snapshotDue() bool {
	if f.snapshot.lag > max(f.snapshot.size, f.minSnapshotLag()) {
		return true
	}
	return f.Retention > 0 && !time.Now().Before(f.snapshot.renewAt)
}

// minSnapshotLag returns MinSnapshotLag or its default.
func (f *Feed) minSnapshotLag() int {
	if f.MinSnapshotLag > 0 {
		return f.MinSnapshotLag
	}
	return defaultMinSnapshotLag
}

// SnapshotError reports a snapshot that was not stored.
type SnapshotError struct {
	Offset uint64
	Err    error
}

// Error returns a message with the offset and the cause.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("store snapshot at offset %d: %v", e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Err }
