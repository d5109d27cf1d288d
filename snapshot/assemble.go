package snapshot

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// maxPartial bounds how many incomplete snapshots are kept in memory; writers
// that crashed leave some behind.
const maxPartial = 4

// Assembler collects chunks in log order until a snapshot is complete. The
// zero value is ready for use. It is not safe for concurrent use.
type Assembler struct {
	parts  map[partKey]*part
	newest uint64 // offset of the newest complete snapshot
	found  bool   // whether there is one
}

// partKey tells snapshots apart even if two writers chose the same id.
type partKey struct {
	id     string
	offset uint64
	count  int
	sum    uint64
}

type part struct {
	chunks [][]byte
	have   int
}

// ChunkError reports a chunk, or a whole snapshot, that cannot be used.
type ChunkError struct {
	Snapshot string
	Reason   string
	Err      error // or nil
}

// Error describes the snapshot and what is wrong.
func (e *ChunkError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("snapshot %s: %s", e.Snapshot, e.Reason)
	}
	return fmt.Sprintf("snapshot %s: %s: %v", e.Snapshot, e.Reason, e.Err)
}

// Unwrap returns the codec's error.
func (e *ChunkError) Unwrap() error { return e.Err }

// Add takes the chunk found in the log entry at the offset and returns the
// state when that completes a valid snapshot that is newer than all returned
// before, else nil. It fails with *ChunkError, after which other snapshots can
// still be completed.
func (a *Assembler) Add(offset uint64, c record.Chunk) (*state.State, error) {
	data, err := a.collect(offset, c)
	if data == nil || err != nil {
		return nil, err
	}
	s, err := Decode(data)
	if err != nil {
		return nil, &ChunkError{c.Snapshot, "decode", err}
	}
	if s.Offset != c.Offset {
		return nil, &ChunkError{c.Snapshot, fmt.Sprintf("holds offset %d, not %d", s.Offset, c.Offset), nil}
	}
	a.complete(c.Offset)
	return s, nil
}

// Verify is like Add but checks only the checksum; it reports whether the
// chunk completed a snapshot.
func (a *Assembler) Verify(offset uint64, c record.Chunk) (bool, error) {
	data, err := a.collect(offset, c)
	if data == nil || err != nil {
		return false, err
	}
	a.complete(c.Offset)
	return true, nil
}

// Newest returns the offset of the newest complete snapshot, if there is one.
func (a *Assembler) Newest() (uint64, bool) { return a.newest, a.found }

// collect stores the chunk and returns the compressed snapshot when all chunks
// are present and the checksum matches.
func (a *Assembler) collect(offset uint64, c record.Chunk) ([]byte, error) {
	switch {
	case c.Format == 0 || c.Format > Format:
		return nil, &ChunkError{c.Snapshot, fmt.Sprintf("format %d; this program reads up to %d", c.Format, Format), nil}
	case c.Count < 1 || c.Count > MaxChunks || c.Index < 0 || c.Index >= c.Count:
		return nil, &ChunkError{c.Snapshot, fmt.Sprintf("chunk %d of %d", c.Index, c.Count), nil}
	case len(c.Data) == 0 || len(c.Data) > MaxChunkBytes:
		return nil, &ChunkError{c.Snapshot, fmt.Sprintf("chunk of %d bytes", len(c.Data)), nil}
	case c.Offset > offset:
		return nil, &ChunkError{c.Snapshot, fmt.Sprintf("at offset %d, before its own %d", offset, c.Offset), nil}
	case a.found && c.Offset <= a.newest:
		return nil, nil
	}
	key := partKey{c.Snapshot, c.Offset, c.Count, c.Sum}
	p := a.parts[key]
	if p == nil {
		if a.parts == nil {
			a.parts = map[partKey]*part{}
		}
		if len(a.parts) >= maxPartial {
			a.dropOldest()
		}
		p = &part{chunks: make([][]byte, c.Count)}
		a.parts[key] = p
	}
	if p.chunks[c.Index] == nil {
		p.have++
	}
	p.chunks[c.Index] = c.Data
	if p.have < c.Count {
		return nil, nil
	}
	delete(a.parts, key)
	var data []byte
	for _, d := range p.chunks {
		data = append(data, d...)
	}
	if sum := xxhash.Sum64(data); sum != c.Sum {
		return nil, &ChunkError{c.Snapshot, fmt.Sprintf("checksum %x, not %x", sum, c.Sum), nil}
	}
	return data, nil
}

// complete notes the snapshot and drops incomplete ones that are no newer.
func (a *Assembler) complete(offset uint64) {
	a.newest, a.found = offset, true
	for k := range a.parts {
		if k.offset <= offset {
			delete(a.parts, k)
		}
	}
}

func (a *Assembler) dropOldest() {
	var oldest partKey
	first := true
	for k := range a.parts {
		if first || k.offset < oldest.offset || k.offset == oldest.offset && k.id < oldest.id {
			oldest, first = k, false
		}
	}
	delete(a.parts, oldest)
}
