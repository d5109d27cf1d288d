package snapshot

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestOlderCompletesLater guards against a replica that reverts to an older
// state. Of two writers, the slower one completes its older snapshot after the
// faster one has completed a newer one.
func TestOlderCompletesLater(t *testing.T) {
	is := is.New(t)
	f, _ := newTestLog(t)
	f.publish("asha")
	older := f.split("slow", 60)
	f.publish("biju")
	newer := f.split("fast", 1<<20)[0]
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

// TestVerifyDamaged guards against a corrupt snapshot that counts as complete.
// The instances would refer new instances to it and write no other snapshot.
func TestVerifyDamaged(t *testing.T) {
	is := is.New(t)
	f, _ := newTestLog(t)
	f.publish("asha")
	c := f.split("s", 1<<20)[0]
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
