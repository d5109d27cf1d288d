package state

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"jasminelane.example/lane/record"
)

// updateChain adds the entry and the decisions on its records to the chain
// digest.
func (s *State) updateChain(offset uint64, b *record.Batch, out []Decision) {
	if s.hash == nil {
		s.hash = xxhash.New()
	}
	h := s.hash
	h.Reset()
	var buf [8]byte
	writeUint64 := func(v uint64) {
		binary.LittleEndian.PutUint64(buf[:], v)
		_, _ = h.Write(buf[:])
	}
	writeUint64(s.Chain)
	writeUint64(offset)
	_, _ = h.WriteString(b.Writer)
	writeUint64(b.Seq)
	writeUint64(uint64(s.Now))
	for i, o := range out {
		_, _ = h.WriteString(string(o.Kind))
		_, _ = h.WriteString(o.ID)
		_, _ = h.WriteString(string(o.Reason))
		_, _ = h.Write(b.Records[i].Body)
	}
	s.Chain = h.Sum64()
}

// Sum returns the digest of the encoded Image, or 0 if it cannot be encoded. It
// encodes the whole state.
func (s *State) Sum() uint64 {
	data, err := record.Marshal(s.Image())
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
