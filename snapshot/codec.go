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
	maxImageBytes   = 512 << 20 // of a decompressed snapshot
	maxSectionBytes = 32 << 20
	zstdWindowBytes = 1 << 20
)

// SectionError reports a section of an encoded snapshot that is too long, or a
// snapshot without sections.
type SectionError struct {
	Bytes uint64 // declared length of the section; 0 if there is no section
}

// Error returns the section's declared length.
func (e *SectionError) Error() string {
	return fmt.Sprintf("invalid section of %d bytes in the snapshot", e.Bytes)
}

// encode writes the image as a zstd stream of sections. Each section is one CBOR
// item behind its length. A single CBOR item for the whole image would take
// 100 MB at the target size, more than an instance may use.
func encode(im *state.Image) ([]byte, error) {
	var out bytes.Buffer
	// The encoder uses one goroutine, because an instance may use only a small
	// share of a core.
	z, err := zstd.NewWriter(&out, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(zstdWindowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, err
	}
	var length [binary.MaxVarintLen64]byte
	for _, p := range sections(im) {
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

// sections splits the long tables of the image into sections of limited length.
// The first section has everything else.
func sections(im *state.Image) []*state.Image {
	head := *im
	head.Configs, head.Workers, head.Jobs, head.Claims = nil, nil, nil, nil
	out := []*state.Image{&head}
	out = appendSections(out, im.Configs, 64, func(p *state.Image) any { return &p.Configs })
	out = appendSections(out, im.Workers, 512, func(p *state.Image) any { return &p.Workers })
	out = appendSections(out, im.Jobs, 512, func(p *state.Image) any { return &p.Jobs })
	return appendSections(out, im.Claims, 1024, func(p *state.Image) any { return &p.Claims })
}

// appendSections appends sections of at most size rows to out. field returns a
// pointer to the field of the section that holds the rows.
func appendSections[T any](out []*state.Image, rows []T, size int, field func(*state.Image) any) []*state.Image {
	for len(rows) > 0 {
		n := min(size, len(rows))
		p := &state.Image{}
		*field(p).(*[]T) = rows[:n]
		out, rows = append(out, p), rows[n:]
	}
	return out
}

// Decode decodes a compressed snapshot. It fails with the error of the
// decompressor or the codec, with *SectionError or with *state.ImageError.
func Decode(data []byte) (*state.State, error) {
	z, err := zstd.NewReader(bytes.NewReader(data), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxSectionBytes), zstd.WithDecoderLowmem(true))
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
		if n > maxSectionBytes {
			return nil, &SectionError{n}
		}
		if uint64(cap(buf)) < n {
			buf = make([]byte, n, min(2*n, maxSectionBytes))
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
		return nil, &SectionError{}
	}
	return state.Load(im)
}
