package snapshot

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// Format is the version of the snapshot encoding that this program writes, and
// the highest that it reads.
const Format = 1

// Limits of a snapshot and its chunks.
const (
	MaxChunkBytes = 128 << 10
	MaxChunks     = 512
)

// Image is an encoded state. It shares no memory with the state.
type Image struct {
	Offset uint64 // state.State.Offset of the encoded state
	Data   []byte // compressed
}

// SizeError reports a snapshot that needs more than MaxChunks chunks.
type SizeError struct {
	Bytes int // compressed size
}

// Error returns the size and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("snapshot has %d bytes, at most %d are allowed", e.Bytes, MaxChunks*MaxChunkBytes)
}

// EncodeError reports a state that cannot be encoded.
type EncodeError struct {
	Err error
}

// Error returns the cause.
func (e *EncodeError) Error() string { return fmt.Sprintf("encode snapshot: %v", e.Err) }

// Unwrap returns the encoder's error.
func (e *EncodeError) Unwrap() error { return e.Err }

// Encode encodes the state as an Image. It reads the state, so the caller must
// hold the state's lock; Image.Split needs no lock. It fails with *EncodeError.
func Encode(s *state.State) (*Image, error) {
	data, err := encode(s.Image())
	if err != nil {
		return nil, &EncodeError{err}
	}
	return &Image{s.Offset, data}, nil
}

// Split splits the image into chunks with the given snapshot id, which must be
// unique to this write of the snapshot. It fails with *SizeError.
func (im *Image) Split(id string) ([]record.Chunk, error) {
	count := (len(im.Data) + MaxChunkBytes - 1) / MaxChunkBytes
	if count > MaxChunks {
		return nil, &SizeError{len(im.Data)}
	}
	sum := xxhash.Sum64(im.Data)
	chunks := make([]record.Chunk, count)
	for i := range chunks {
		end := min((i+1)*MaxChunkBytes, len(im.Data))
		chunks[i] = record.Chunk{
			Snapshot: id, Offset: im.Offset, Index: i, Count: count,
			Format: Format, Sum: sum, Data: im.Data[i*MaxChunkBytes : end],
		}
	}
	return chunks, nil
}

// Split encodes the state and splits it into chunks with the given snapshot id.
// It fails with *EncodeError or *SizeError.
func Split(s *state.State, id string) ([]record.Chunk, error) {
	im, err := Encode(s)
	if err != nil {
		return nil, err
	}
	return im.Split(id)
}
