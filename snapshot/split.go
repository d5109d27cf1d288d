package snapshot

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// Format is the version of the encoding that this program writes, and the
// highest that it reads.
const Format = 1

// Limits of a snapshot.
const (
	MaxChunkBytes = 128 << 10
	MaxChunks     = 512
)

// Image is an encoded state that no longer shares memory with the state.
type Image struct {
	Offset uint64 // state.Offset
	Data   []byte // compressed
}

// SizeError reports a state whose snapshot would exceed MaxChunks.
type SizeError struct {
	Bytes int // compressed
}

// Error describes the size and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("snapshot of %d bytes; at most %d", e.Bytes, MaxChunks*MaxChunkBytes)
}

// EncodeError reports a state that cannot be encoded.
type EncodeError struct {
	Err error
}

// Error describes the cause.
func (e *EncodeError) Error() string { return fmt.Sprintf("encode snapshot: %v", e.Err) }

// Unwrap returns the codec's error.
func (e *EncodeError) Unwrap() error { return e.Err }

// Encode copies the state into an image. It reads the state, so it needs the
// caller's lock, while Image.Split does not. It fails with *EncodeError.
func Encode(s *state.State) (*Image, error) {
	data, err := encode(s.Image())
	if err != nil {
		return nil, &EncodeError{err}
	}
	return &Image{s.Offset, data}, nil
}

// Split cuts the image into chunks under the snapshot id, which is unique to
// this writing of it; it fails with *SizeError.
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

// Split encodes the state and cuts it into chunks; it fails with *EncodeError
// or *SizeError.
func Split(s *state.State, id string) ([]record.Chunk, error) {
	im, err := Encode(s)
	if err != nil {
		return nil, err
	}
	return im.Split(id)
}
