package snapshot

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
)

// testLog appends batches to a stand-in log and applies them to a state at once.
type testLog struct {
	t   testing.TB
	log *standin.Log
	st  *state.State
	seq uint64
}

func newTestLog(t testing.TB) (*testLog, *stream.Log) {
	f := &testLog{t: t, log: &standin.Log{}, st: &state.State{}}
	srv := httptest.NewServer(f.log)
	t.Cleanup(srv.Close)
	return f, &stream.Log{URL: srv.URL}
}

func (f *testLog) append(snap uint64, recs ...record.Record) uint64 {
	f.t.Helper()
	f.seq++
	b := &record.Batch{Writer: "w", Seq: f.seq, At: 1_796_361_383_123, SnapshotEnd: snap, Records: recs}
	data, err := record.Encode(b)
	if err != nil {
		f.t.Fatal(err)
	}
	offset := f.log.Append(data)
	if _, err := f.st.Apply(offset, b); err != nil {
		f.t.Fatal(err)
	}
	return offset
}

func (f *testLog) publish(name string) {
	f.t.Helper()
	body := fmt.Sprintf(`{"weight":1,"later":{"field":%q}}`, name)
	rec, err := record.New(record.KindPublish, name, record.Publish{Name: "account/" + name, Body: []byte(body)})
	if err != nil {
		f.t.Fatal(err)
	}
	f.append(0, rec)
}

// split splits the state into chunks of at most size bytes, smaller than usual.
func (f *testLog) split(id string, size int) []record.Chunk {
	f.t.Helper()
	whole, err := Split(f.st, id)
	if err != nil || len(whole) != 1 {
		f.t.Fatal(len(whole), err)
	}
	data := whole[0].Data
	n := (len(data) + size - 1) / size
	out := make([]record.Chunk, n)
	for i := range out {
		out[i] = whole[0]
		out[i].Index, out[i].Count, out[i].Data = i, n, data[i*size:min((i+1)*size, len(data))]
	}
	return out
}

func (f *testLog) appendChunks(snap uint64, chunks ...record.Chunk) (end uint64) {
	f.t.Helper()
	for _, c := range chunks {
		rec, err := record.New(record.KindChunk, "", c)
		if err != nil {
			f.t.Fatal(err)
		}
		end = f.append(snap, rec) + 1
	}
	return end
}

// TestRoundTrip guards against a snapshot that loses part of the state, such as
// fields of configuration bodies that this version does not know.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	f, _ := newTestLog(t)
	f.publish("asha")
	f.publish("biju")
	var a Assembler
	var got *state.State
	for _, c := range f.split("s", 100) {
		is.True(got == nil)
		s, err := a.Add(10, c)
		is.NoErr(err)
		got = s
	}
	is.Equal(got.Sum(), f.st.Sum())
	is.Equal(string(got.Configs["account/asha"].Body), string(f.st.Configs["account/asha"].Body))
}

// TestAssembleAnyOrder guards against a snapshot that is assembled from chunks of
// different snapshots, and against a complete one that is missed. Several writers
// interleave and repeat chunks, and one of them stops before its last chunk.
func TestAssembleAnyOrder(t *testing.T) {
	f, _ := newTestLog(t)
	f.publish("asha")
	old := f.split("old", 60)
	f.publish("biju")
	first, second := f.split("same", 60), f.split("other", 70)
	second[0].Snapshot = "same" // two writers chose the same id
	for i := range second {
		second[i].Snapshot = "same"
	}
	rapid.Check(t, func(t *rapid.T) {
		chunks := append(append(append([]record.Chunk(nil), old...), first...), second...)
		skip := rapid.IntRange(0, len(first)-1).Draw(t, "skip")
		chunks = append(chunks, chunks[rapid.IntRange(0, len(chunks)-1).Draw(t, "again")])
		chunks = rapid.Permutation(chunks).Draw(t, "order")
		var a Assembler
		var newest uint64
		for _, c := range chunks {
			if c.Count == len(first) && c.Index == skip && c.Offset == first[0].Offset {
				continue // this writer crashed
			}
			s, err := a.Add(100, c)
			if err != nil {
				t.Fatal(err)
			}
			if s == nil {
				continue
			}
			if s.Offset <= newest {
				t.Fatalf("snapshot at %d after %d", s.Offset, newest)
			}
			newest = s.Offset
		}
		if newest != second[0].Offset {
			t.Fatalf("newest snapshot at %d, not %d", newest, second[0].Offset)
		}
	})
}

// TestBadChunks guards against invalid chunks that make the loader fail, use much
// memory, or accept a snapshot that differs from what the writer wrote.
func TestBadChunks(t *testing.T) {
	f, _ := newTestLog(t)
	f.publish("asha")
	tests := []struct {
		name   string
		change func(*record.Chunk)
	}{
		{"flipped bit", func(c *record.Chunk) { c.Data = append([]byte(nil), c.Data...); c.Data[9] ^= 1 }},
		{"truncated", func(c *record.Chunk) { c.Data = c.Data[:len(c.Data)-1] }},
		{"empty", func(c *record.Chunk) { c.Data = nil }},
		{"index beyond count", func(c *record.Chunk) { c.Index = 1 }},
		{"negative index", func(c *record.Chunk) { c.Index = -1 }},
		{"no count", func(c *record.Chunk) { c.Count = 0 }},
		{"huge count", func(c *record.Chunk) { c.Count = 1 << 40 }},
		{"newer format", func(c *record.Chunk) { c.Format = Format + 1 }},
		{"other offset", func(c *record.Chunk) { c.Offset-- }},
		{"offset beyond the log", func(c *record.Chunk) { c.Offset = 1000 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := f.split("s", 1<<20)[0]
			good := c
			tt.change(&c)
			var a Assembler
			s, err := a.Add(10, c)
			var bad *ChunkError
			is.True(errors.As(err, &bad))
			is.True(s == nil)
			if c.Offset == good.Offset { // Verify does not decode the snapshot
				ok, err := new(Assembler).Verify(10, c)
				is.True(errors.As(err, &bad))
				is.True(!ok)
			}
			s, err = a.Add(10, good)
			is.NoErr(err)
			is.True(s != nil) // a valid chunk still completes the snapshot
		})
	}
}

// TestPartialsAreBounded guards against memory that grows with each writer that
// crashes before it completes its snapshot.
func TestPartialsAreBounded(t *testing.T) {
	is := is.New(t)
	f, _ := newTestLog(t)
	f.publish("asha")
	var a Assembler
	for i := range 100 {
		c := f.split(fmt.Sprint(i), 50)[0]
		_, err := a.Add(10, c)
		is.NoErr(err)
	}
	is.True(len(a.partials) <= maxPartials)
}

// TestLatest guards against a loader that misses the newest valid snapshot when
// hints are missing or wrong, or when entries are corrupt or expired.
func TestLatest(t *testing.T) {
	tests := []struct {
		name string
		do   func(f *testLog) (want uint64)
	}{
		{"empty log", func(*testLog) uint64 { return 0 }},
		{"no snapshot", func(f *testLog) uint64 { f.publish("x"); return 0 }},
		{"without a hint", func(f *testLog) uint64 {
			f.publish("x")
			f.appendChunks(0, f.split("s", 50)...)
			return 1
		}},
		{"with a hint, all before expired", func(f *testLog) uint64 {
			f.publish("x")
			end := f.appendChunks(0, f.split("s", 50)...)
			f.append(end)
			f.log.Fault(standin.LogFault{ExpireBefore: ptr(uint64(1))})
			return 1
		}},
		{"newer one than the hint", func(f *testLog) uint64 {
			f.publish("x")
			end := f.appendChunks(0, f.split("s", 50)...)
			offset := f.st.Offset
			f.appendChunks(end, f.split("t", 50)...)
			return offset
		}},
		{"newest half-written", func(f *testLog) uint64 {
			f.publish("x")
			end := f.appendChunks(0, f.split("s", 50)...)
			f.publish("y")
			f.appendChunks(end, f.split("t", 50)[1:]...)
			return 1
		}},
		{"hint leads to an expired one", func(f *testLog) uint64 {
			f.publish("x")
			end := f.appendChunks(0, f.split("s", 50)...)
			offset := f.st.Offset
			f.appendChunks(end, f.split("t", 50)...)
			f.append(end) // the last entry is a late duplicate with an old hint
			f.log.Fault(standin.LogFault{ExpireBefore: &offset})
			return offset
		}},
		{"hint leads nowhere", func(f *testLog) uint64 {
			f.publish("x")
			f.appendChunks(0, f.split("s", 50)...)
			f.append(1)
			f.append(1 << 60)
			return 1
		}},
		{"corrupt entries at the end", func(f *testLog) uint64 {
			f.publish("x")
			f.appendChunks(0, f.split("s", 50)...)
			f.log.Append([]byte("no batch"))
			return 1
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f, l := newTestLog(t)
			want := tt.do(f)
			s, err := Latest(context.Background(), l)
			is.NoErr(err)
			if want == 0 {
				is.True(s == nil)
				return
			}
			is.True(s != nil)
			is.Equal(s.Offset, want)
		})
	}
}

// TestLatestLogDown guards against a failed read of the log that counts as the
// absence of a snapshot.
func TestLatestLogDown(t *testing.T) {
	is := is.New(t)
	f, l := newTestLog(t)
	f.publish("x")
	f.log.Fault(standin.LogFault{Down: ptr(true)})
	_, err := Latest(context.Background(), l)
	var down *stream.UnavailableError
	is.True(errors.As(err, &down))
}

func ptr[T any](v T) *T { return &v }

// FuzzDecode guards against a snapshot that makes the loader panic.
func FuzzDecode(f *testing.F) {
	l, _ := newTestLog(f)
	l.publish("asha")
	chunks, err := Split(l.st, "s")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(chunks[0].Data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode(data)
	})
}
