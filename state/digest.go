package state

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"jasminelane.example/lane/record"
)

// mix folds the entry and its outcomes into the chain digest.
func (s *State) mix(offset uint64, b *record.Batch, out []Decision) {
	if s.hash == nil {
		s.hash = xxhash.New()
	}
	h := s.hash
	h.Reset()
	var buf [8]byte
	word := func(v uint64) {
		binary.LittleEndian.PutUint64(buf[:], v)
		_, _ = h.Write(buf[:])
	}
	word(s.Chain)
	word(offset)
	_, _ = h.WriteString(b.Writer)
	word(b.Seq)
	word(uint64(s.Now))
	for i, o := range out {
		_, _ = h.WriteString(string(o.Kind))
		_, _ = h.WriteString(o.ID)
		_, _ = h.WriteString(string(o.Reason))
		_, _ = h.Write(b.Records[i].Body)
	}
	s.Chain = h.Sum64()
}

// Sum returns the digest of the whole state, as a snapshot would hold it. Its
// cost grows with the whole state.
func (s *State) Sum() uint64 {
	data, err := record.Marshal(s.Image())
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
