package snapshot

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

const (
	maxImageBytes = 512 << 20 // decompressed
	maxPartBytes  = 32 << 20
	windowBytes   = 1 << 20
)

// PartError reports a part of a snapshot that is not well formed.
type PartError struct {
	Bytes uint64 // the part's declared length
}

// Error describes the part.
func (e *PartError) Error() string { return fmt.Sprintf("part of %d bytes", e.Bytes) }

// encode writes the image in parts, each with its length in front, through
// zstd. One CBOR item for all would take 100 MB at the target size, beyond what
// an instance may use.
func encode(im *state.Image) ([]byte, error) {
	var out bytes.Buffer
	// One goroutine: an instance may use only a small share of a core.
	z, err := zstd.NewWriter(&out, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, err
	}
	var length [binary.MaxVarintLen64]byte
	for _, p := range parts(im) {
		data, err := record.Marshal(p)
		if err != nil {
			return nil, err
		}
		if _, err := z.Write(binary.AppendUvarint(length[:0], uint64(len(data)))); err != nil {
			return nil, err
		}
		if _, err := z.Write(data); err != nil {
			return nil, err
		}
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// parts cuts the long tables of the image; the first part has all the rest.
func parts(im *state.Image) []*state.Image {
	head := *im
	head.Configs, head.Workers, head.Jobs, head.Claims = nil, nil, nil, nil
	out := []*state.Image{&head}
	out = cut(out, im.Configs, 64, func(p *state.Image) any { return &p.Configs })
	out = cut(out, im.Workers, 512, func(p *state.Image) any { return &p.Workers })
	out = cut(out, im.Jobs, 512, func(p *state.Image) any { return &p.Jobs })
	return cut(out, im.Claims, 1024, func(p *state.Image) any { return &p.Claims })
}

func cut[T any](out []*state.Image, rows []T, size int, field func(*state.Image) any) []*state.Image {
	for len(rows) > 0 {
		n := min(size, len(rows))
		p := &state.Image{}
		*field(p).(*[]T) = rows[:n]
		out, rows = append(out, p), rows[n:]
	}
	return out
}

// Decode reads a compressed snapshot; it fails with the error of the
// decompression or the codec, *PartError or *state.ImageError.
func Decode(data []byte) (*state.State, error) {
	z, err := zstd.NewReader(bytes.NewReader(data), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxPartBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, err
	}
	defer z.Close()
	r := bufio.NewReader(io.LimitReader(z, maxImageBytes))
	var im *state.Image
	var buf []byte
	for {
		n, err := binary.ReadUvarint(r)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
		if n > maxPartBytes {
			return nil, &PartError{n}
		}
		if uint64(cap(buf)) < n {
			buf = make([]byte, n, min(2*n, maxPartBytes))
		}
		buf = buf[:n]
		if _, err := io.ReadFull(r, buf); err != nil {
			return nil, err
		}
		var p state.Image
		if err := record.Unmarshal(buf, &p); err != nil {
			return nil, err
		}
		if im == nil {
			im = &p
			continue
		}
		im.Configs = append(im.Configs, p.Configs...)
		im.Workers = append(im.Workers, p.Workers...)
		im.Jobs = append(im.Jobs, p.Jobs...)
		im.Claims = append(im.Claims, p.Claims...)
	}
	if im == nil {
		return nil, &PartError{}
	}
	return state.Load(im)
}
