package record

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/shape"
)

// sampleRecords returns one record of each kind.
func sampleRecords(tb testing.TB) []Record {
	slots := []shape.Slot{{Worker: 3, Mask: 0xf0}}
	var out []Record
	for kind, body := range map[Kind]any{
		KindJoin:    Join{Name: "kochi-1", Addr: "127.0.0.1:7000", Domain: "kochi", Version: 1},
		KindLeave:   Leave{},
		KindEvict:   Evict{Writer: "kochi-2/1", Cause: "unreachable"},
		KindPublish: Publish{Name: "account/asha", Base: 7, Schema: 2, MinVersion: 1, Body: []byte(`{"weight":2}`), Blocks: []Block{{Slots: slots}}},
		KindSubmit:  Submit{Job: "j1", Account: "asha", Kind: "sheet", Shape: shape.Shape{Members: 4, GPUs: 2, Level: shape.LevelRack}, Cores: 1.5},
		KindCancel:  Cancel{Job: "j1", By: "asha"},
		KindPlace:   Place{Job: "j1", Revision: 9, Slots: slots, Evict: []Victim{{Job: "j0", Token: 4}}, GraceMs: 500},
		KindStart:   Start{Job: "j1", Token: 10, Incarnations: []uint64{1}},
		KindAbort:   Abort{Job: "j1", Token: 10, Cause: "late", MissingWorkers: []uint32{3}},
		KindPreempt: Preempt{Job: "j1", Token: 10, GraceMs: 5000},
		KindReport:  Report{Worker: 3, Results: []Result{{Job: "j1", Token: 10, Outcome: RunDone, RanMs: 12, Progress: 1}}},
		KindHealth:  Health{Worker: 3, Revision: 2, Condition: ConditionLost},
		KindReserve: Reserve{Account: "asha", Revision: 3, Block: Block{Slots: slots}},
		KindClaim:   Claim{Request: "1796361383123-9f2c", Account: "asha", Service: "print"},
		KindSettle:  Settle{Request: "1796361383123-9f2c", Outcome: RequestDone},
		KindChunk:   Chunk{Snapshot: "s", Offset: 9, Count: 1, Data: []byte{1}},
		KindFence:   Fence{},
	} {
		r, err := New(kind, "id", body)
		if err != nil {
			tb.Fatal(err)
		}
		out = append(out, r)
	}
	return out
}

// TestRoundTrip guards against fields that the codec does not preserve and kinds
// that JSON cannot decode.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	b := &Batch{Writer: "a", Seq: 1, At: 2, SnapshotEnd: 3, MinVersion: 1, Records: sampleRecords(t)}
	data, err := Encode(b)
	is.NoErr(err)
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(got, b)
	is.Equal(len(b.Records), len(bodyDecoders))
	for _, r := range got.Records {
		body, err := DecodeBody(r)
		is.NoErr(err)
		is.True(body != nil) // each kind has a body decoder
	}
	text, err := JSON(got)
	is.NoErr(err)
	for _, want := range []string{`"weight": 2`, `"job": "j1"`, `"kind": "fence"`} {
		is.True(bytes.Contains(text, []byte(want)))
	}
}

// TestLimits guards against batches that exceed the size limits of the log or the
// replicated state, and against invalid batches and bytes after a batch.
func TestLimits(t *testing.T) {
	is := is.New(t)
	var size *SizeError
	var bad *CodecError
	_, err := Encode(&Batch{Records: make([]Record, MaxBatchRecords+1)})
	is.True(errors.As(err, &size))
	_, err = Decode(make([]byte, MaxBatchBytes+1))
	is.True(errors.As(err, &size))
	many, err := Marshal(&Batch{Records: make([]Record, MaxBatchRecords+1)})
	is.NoErr(err)
	_, err = Decode(many)
	is.True(errors.As(err, &size))
	for _, data := range [][]byte{nil, {0xff}, append(must(Marshal(&Batch{})), 0)} {
		_, err = Decode(data)
		is.True(errors.As(err, &bad))
	}
}

// must panics on an error and otherwise returns data.
func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against a batch that is accepted and cannot be written again, because a body has a tag that its content does not fit.
func TestDecodeBodyWithOddTag(t *testing.T) {
	is := is.New(t)
	odd := []byte("\xa4at\x00cseq\x01fwriteraagrecords\x81\xa3bidbiddbody\xa5cjobbj1crev\teevict\x81\xa2cjobbj0etoken\x04egrace\x19\x01\xf4es\xc3\xc3\xc3\xc3\xc3\xc3lots\x81\xa2am\x18\xf0aw\x03dkindeplace")
	_, err := Decode(odd)
	var bad *CodecError
	is.True(errors.As(err, &bad))
	_, err = Decode(bytes.Replace(odd, []byte("\xc3\xc3\xc3\xc3\xc3\xc3"), nil, 1)) // the same without the tags
	is.NoErr(err)
}

// FuzzDecode guards against panics in the codecs and against batches that change
// when they are decoded and encoded again.
func FuzzDecode(f *testing.F) {
	for _, r := range sampleRecords(f) {
		f.Add(must(Encode(&Batch{Writer: "a", Seq: 1, Records: []Record{r}})))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Decode(data)
		if err != nil {
			return
		}
		_, _ = JSON(b)
		again, err := Encode(b)
		var size *SizeError
		if errors.As(err, &size) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		c, err := Decode(again)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(must(Encode(c)), again) {
			t.Fatal("encoding is not stable")
		}
	})
}

// FuzzBody guards against panics in the decoding of each body and against bodies
// that change when they are decoded and encoded again.
func FuzzBody(f *testing.F) {
	for _, r := range sampleRecords(f) {
		f.Add(string(r.Kind), []byte(r.Body))
	}
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		body, err := DecodeBody(Record{Kind: Kind(kind), Body: data})
		if err != nil || body == nil {
			return
		}
		r, err := New(Kind(kind), "", body)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeBody(r)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(must(Marshal(again)), r.Body) || reflect.TypeOf(again) != reflect.TypeOf(body) {
			t.Fatal("encoding is not stable")
		}
	})
}
