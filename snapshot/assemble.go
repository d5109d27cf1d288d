package snapshot

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// maxPartials is the limit of incomplete snapshots in memory. A writer that
// crashes during a snapshot leaves an incomplete one in the log.
const maxPartials = 4

// Assembler assembles snapshots from their chunks, which are added in log
// order. The zero value is ready for use. It is not safe for concurrent use.
type Assembler struct {
	partials  map[partialKey]*partial
	newest    uint64 // offset of the newest complete snapshot
	hasNewest bool   // whether there is one
}

// partialKey identifies a snapshot, even if two writers chose the same id.
type partialKey struct {
	id     string
	offset uint64
	count  int
	sum    uint64
}

type partial struct {
	chunks   [][]byte
	received int
}

// ChunkError reports an invalid chunk or an invalid assembled snapshot.
type ChunkError struct {
	Snapshot string
	Reason   string
	Err      error // or nil
}

// Error returns the snapshot's id, the reason and the cause.
func (e *ChunkError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("snapshot %s: %s", e.Snapshot, e.Reason)
	}
	return fmt.Sprintf("snapshot %s: %s: %v", e.Snapshot, e.Reason, e.Err)
}

// Unwrap returns the decoding error, or nil.
func (e *ChunkError) Unwrap() error { return e.Err }

// Add adds a chunk from the log entry at offset. If the chunk completes a valid
// snapshot that is newer than all complete ones before, Add returns its state,
// else nil. It fails with *ChunkError; other snapshots can still be completed
// after that.
func (a *Assembler) Add(offset uint64, c record.Chunk) (*state.State, error) {
	data, err := a.addChunk(offset, c)
	if data == nil || err != nil {
		return nil, err
	}
	s, err := Decode(data)
	if err != nil {
		return nil, &ChunkError{c.Snapshot, "decoding failed", err}
	}
	if s.Offset != c.Offset {
		return nil, &ChunkError{c.Snapshot, fmt.Sprintf("encoded state is at offset %d, but the chunks say %d", s.Offset, c.Offset), nil}
	}
	a.markComplete(c.Offset)
	return s, nil
}

// Verify is like Add, but verifies the checksum without decoding the snapshot.
// It reports whether the chunk completed a snapshot.
func (a *Assembler) Verify(offset uint64, c record.Chunk) (bool, error) {
	data, err := a.addChunk(offset, c)
	if data == nil || err != nil {
		return false, err
	}
	a.markComplete(c.Offset)
	return true, nil
}

// Newest returns the offset of the newest complete snapshot and whether there is
// one.
func (a *Assembler) Newest() (uint64, bool) { return a.newest, a.hasNewest }

// addChunk stores the chunk. It returns the compressed snapshot once all chunks
// are present and the checksum matches, else nil.
func (a *Assembler) addChunk(offset uint64, c record.Chunk) ([]byte, error) {
	switch {
	case c.Format == 0 || c.Format > Format:
		return nil, &ChunkError{c.Snapshot, fmt.Sprintf("format %d is not supported; the highest supported is %d", c.Format, Format), nil}
	case c.Count < 1 || c.Count > MaxChunks || c.Index < 0 || c.Index >= c.Count:
		return nil, &ChunkError{c.Snapshot, fmt.Sprintf("invalid chunk index %d or chunk count %d", c.Index, c.Count), nil}
	case len(c.Data) == 0 || len(c.Data) > MaxChunkBytes:
		return nil, &ChunkError{c.Snapshot, fmt.Sprintf("invalid chunk size of %d bytes", len(c.Data)), nil}
	case c.Offset > offset:
		return nil, &ChunkError{c.Snapshot, fmt.Sprintf("chunk at log offset %d is before the snapshot's offset %d", offset, c.Offset), nil}
	case a.hasNewest && c.Offset <= a.newest:
		return nil, nil
	}
	key := partialKey{c.Snapshot, c.Offset, c.Count, c.Sum}
	p := a.partials[key]
	if p == nil {
		if a.partials == nil {
			a.partials = map[partialKey]*partial{}
		}
		if len(a.partials) >= maxPartials {
			a.dropOldestPartial()
		}
		p = &partial{chunks: make([][]byte, c.Count)}
		a.partials[key] = p
	}
	if p.chunks[c.Index] == nil {
		p.received++
	}
	p.chunks[c.Index] = c.Data
	if p.received < c.Count {
		return nil, nil
	}
	delete(a.partials, key)
	var data []byte
	for _, d := range p.chunks {
		data = append(data, d...)
	}
	if sum := xxhash.Sum64(data); sum != c.Sum {
		return nil, &ChunkError{c.Snapshot, fmt.Sprintf("checksum is %x, expected %x", sum, c.Sum), nil}
	}
	return data, nil
}

// markComplete records the newest complete snapshot and drops the incomplete
// ones that are not newer.
func (a *Assembler) markComplete(offset uint64) {
	a.newest, a.hasNewest = offset, true
	for k := range a.partials {
		if k.offset <= offset {
			delete(a.partials, k)
		}
	}
}

func (a *Assembler) dropOldestPartial() {
	var oldest partialKey
	first := true
	for k := range a.partials {
		if first || k.offset < oldest.offset || k.offset == oldest.offset && k.id < oldest.id {
			oldest, first = k, false
		}
	}
	delete(a.partials, oldest)
}
