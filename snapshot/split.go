package snapshot

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

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
	maxImageBytes = 512 << 20 // decompressed
)

var (
	// One goroutine each: an instance may use only a small share of a core.
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxImageBytes)))
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Image is an encoded state that no longer shares memory with the state.
type Image struct {
	Offset uint64 // state.Offset
	Data   []byte // deterministic CBOR
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
// caller's lock, while Image.Split does not.
func Encode(s *state.State) (*Image, error) {
	data, err := record.Marshal(s.Image())
	if err != nil {
		return nil, &EncodeError{err}
	}
	return &Image{s.Offset, data}, nil
}

// Split compresses the image and cuts it into chunks under the snapshot id,
// which is unique to this writing of it; it fails with *SizeError.
func (im *Image) Split(id string) ([]record.Chunk, error) {
	data := encoder.EncodeAll(im.Data, nil)
	count := (len(data) + MaxChunkBytes - 1) / MaxChunkBytes
	if count > MaxChunks {
		return nil, &SizeError{len(data)}
	}
	sum := xxhash.Sum64(data)
	chunks := make([]record.Chunk, count)
	for i := range chunks {
		end := min((i+1)*MaxChunkBytes, len(data))
		chunks[i] = record.Chunk{
			Snapshot: id, Offset: im.Offset, Index: i, Count: count,
			Format: Format, Sum: sum, Data: data[i*MaxChunkBytes : end],
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
