package snapshot

import (
	"context"
	"errors"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
)

const (
	maxReadEntries = 500 // limit of one read from the log
	// hintEntries is how many of the last entries are searched for a hint.
	// There are several, because an entry at the end can be corrupt or a late
	// duplicate with an old hint.
	hintEntries = 32
)

// Latest returns the state of the newest valid snapshot in the log, or nil if
// there is none. The last batches have a hint where that snapshot ends
// (record.Batch.SnapshotEnd). Latest reads the whole log only if it finds no
// valid snapshot by the hint. It fails with *stream.UnavailableError.
func Latest(ctx context.Context, l *stream.Log) (*state.State, error) {
	first, end, err := l.Bounds(ctx)
	if err != nil {
		return nil, err
	}
	start, err := hintedStart(ctx, l, first, end)
	if err != nil {
		return nil, err
	}
	if start > first {
		s, err := newestInRange(ctx, l, start, end)
		if s != nil || err != nil {
			return s, err
		}
	}
	return newestInRange(ctx, l, first, end)
}

// hintedStart returns the offset from which the newest snapshot known to the
// last batches can be read, or first if they know none.
func hintedStart(ctx context.Context, l *stream.Log, first, end uint64) (uint64, error) {
	from := first
	if end > first+hintEntries {
		from = end - hintEntries
	}
	var snap uint64
	err := forEachBatch(ctx, l, from, end, func(_ uint64, b *record.Batch) {
		if b.SnapshotEnd <= end {
			snap = max(snap, b.SnapshotEnd)
		}
	})
	if err != nil || snap <= first {
		return first, err
	}
	start := first
	err = forEachBatch(ctx, l, snap-1, snap, func(_ uint64, b *record.Batch) {
		for _, c := range decodeChunks(b) {
			start = max(start, c.Offset)
		}
	})
	if start >= snap {
		return first, err
	}
	return start, err
}

// newestInRange returns the newest valid snapshot whose chunks are all between
// the offsets from (inclusive) and end (exclusive), or nil if there is none.
func newestInRange(ctx context.Context, l *stream.Log, from, end uint64) (*state.State, error) {
	var a Assembler
	var newest *state.State
	err := forEachBatch(ctx, l, from, end, func(offset uint64, b *record.Batch) {
		for _, c := range decodeChunks(b) {
			// An invalid chunk is ignored; its snapshot stays incomplete.
			if s, err := a.Add(offset, c); err == nil && s != nil {
				newest = s
			}
		}
	})
	return newest, err
}

// forEachBatch calls f for each valid batch between the offsets from (inclusive)
// and end (exclusive). It skips entries that expire in the meantime.
func forEachBatch(ctx context.Context, l *stream.Log, from, end uint64, f func(uint64, *record.Batch)) error {
	for from < end {
		p, err := l.Read(ctx, from, int(min(end-from, maxReadEntries)), 0)
		var expired *stream.ExpiredError
		if errors.As(err, &expired) && expired.First > from {
			from = expired.First
			continue
		}
		if err != nil {
			return err
		}
		if len(p.Entries) == 0 {
			return nil // the log is shorter than before; there are no more entries
		}
		for _, e := range p.Entries {
			from = e.Offset + 1
			if b, err := record.Decode(e.Data); err == nil {
				f(e.Offset, b)
			}
		}
	}
	return nil
}

// decodeChunks returns the chunks of a batch and skips those that cannot be
// decoded.
func decodeChunks(b *record.Batch) []record.Chunk {
	var out []record.Chunk
	for _, r := range b.Records {
		if r.Kind != record.KindChunk {
			continue
		}
		if c, err := record.Body[record.Chunk](r); err == nil {
			out = append(out, c)
		}
	}
	return out
}
