package snapshot

import (
	"context"
	"errors"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
)

const (
	pageEntries = 500
	// One entry at the end can be corrupt or a late duplicate with an old
	// hint, so several are looked at.
	hintEntries = 32
)

// Latest returns the state of the newest valid snapshot in the log, or nil if
// there is none. It follows the hints of the last batches and reads the whole
// log only if they lead nowhere. It fails with *stream.DownError.
func Latest(ctx context.Context, l *stream.Log) (*state.State, error) {
	first, end, err := l.Bounds(ctx)
	if err != nil {
		return nil, err
	}
	start, err := hint(ctx, l, first, end)
	if err != nil {
		return nil, err
	}
	if start > first {
		s, err := scan(ctx, l, start, end)
		if s != nil || err != nil {
			return s, err
		}
	}
	return scan(ctx, l, first, end)
}

// hint returns the offset from which the newest snapshot known to the last
// batches can be read, or first.
func hint(ctx context.Context, l *stream.Log, first, end uint64) (uint64, error) {
	from := first
	if end > first+hintEntries {
		from = end - hintEntries
	}
	var snap uint64
	err := each(ctx, l, from, end, func(_ uint64, b *record.Batch) {
		if b.SnapshotEnd <= end {
			snap = max(snap, b.SnapshotEnd)
		}
	})
	if err != nil || snap <= first {
		return first, err
	}
	start := first
	err = each(ctx, l, snap-1, snap, func(_ uint64, b *record.Batch) {
		for _, c := range chunks(b) {
			start = max(start, c.Offset)
		}
	})
	if start >= snap {
		return first, err
	}
	return start, err
}

// scan returns the newest valid snapshot whose chunks are all within the
// offsets, or nil.
func scan(ctx context.Context, l *stream.Log, from, end uint64) (*state.State, error) {
	var a Assembler
	var newest *state.State
	err := each(ctx, l, from, end, func(offset uint64, b *record.Batch) {
		for _, c := range chunks(b) {
			// An unusable chunk leaves its snapshot incomplete.
			if s, err := a.Add(offset, c); err == nil && s != nil {
				newest = s
			}
		}
	})
	return newest, err
}

// each calls f for the valid batches within the offsets; entries that expire
// meanwhile are passed over.
func each(ctx context.Context, l *stream.Log, from, end uint64, f func(uint64, *record.Batch)) error {
	for from < end {
		p, err := l.Read(ctx, from, int(min(end-from, pageEntries)), 0)
		var expired *stream.ExpiredError
		if errors.As(err, &expired) && expired.First > from {
			from = expired.First
			continue
		}
		if err != nil {
			return err
		}
		if len(p.Entries) == 0 {
			return nil // the log is shorter than it was: nothing more to find
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

// chunks returns the decodable chunks of a batch.
func chunks(b *record.Batch) []record.Chunk {
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
