package snapshot

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestOlderCompletesLater guards against a state that goes back when the
// slower of two writers completes its older snapshot last.
func TestOlderCompletesLater(t *testing.T) {
	is := is.New(t)
	f, _ := newFolder(t)
	f.publish("asha")
	older := f.pieces("slow", 60)
	f.publish("biju")
	newer := f.pieces("fast", 1<<20)[0]
	var a Assembler
	s, err := a.Add(100, newer)
	is.NoErr(err)
	is.True(s != nil)
	for _, c := range older {
		s, err := a.Add(100, c)
		is.NoErr(err)
		is.True(s == nil)
	}
	newest, found := a.Newest()
	is.True(found)
	is.Equal(newest, newer.Offset)
}

// TestVerifyDamaged guards against a damaged snapshot that counts as written:
// the instances would point new ones at it and write no other.
func TestVerifyDamaged(t *testing.T) {
	is := is.New(t)
	f, _ := newFolder(t)
	f.publish("asha")
	c := f.pieces("s", 1<<20)[0]
	c.Data = append([]byte(nil), c.Data...)
	c.Data[9] ^= 1
	var a Assembler
	complete, err := a.Verify(100, c)
	var bad *ChunkError
	is.True(errors.As(err, &bad))
	is.True(!complete)
	_, found := a.Newest()
	is.True(!found)
}
