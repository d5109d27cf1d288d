package snapshot

import (
	"fmt"
	"testing"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// fullState returns a state of the target size (section 1.5 of the design
// page) in its most expensive form. It has 12,032 workers with 16
// accelerators each in 32 failure domains, and 94 accounts. Its jobs are gangs of
// 16 or 20 members, each member with one accelerator on a worker of its own,
// which makes 192,512 tasks.
func fullState(b *testing.B) *state.State {
	b.Helper()
	const domains, racks, perRack, gpus, gang = 32, 1504, 8, 16, 20
	s := &state.State{}
	seq := uint64(0)
	apply := func(recs ...record.Record) {
		seq++
		out, err := s.Apply(s.Offset, &record.Batch{Writer: "w", Seq: seq, At: 1_796_361_383_123, Records: recs})
		if err != nil {
			b.Fatal(err)
		}
		for _, o := range out {
			if !o.Accepted() {
				b.Fatal(o)
			}
		}
	}
	for i := range 94 {
		apply(rec(b, record.KindPublish, record.Publish{Name: fmt.Sprintf("account/a%02d", i), Body: []byte(`{"weight":1}`)}))
	}
	byDomain := make([][]uint32, domains)
	for r := range racks {
		body := fmt.Sprintf(`{"domain":"d%02d","workers":[`, r%domains)
		for w := range perRack {
			if w > 0 {
				body += ","
			}
			body += fmt.Sprintf(`{"name":"r%04d-w%d","addr":"10.1.%d.%d:7000","gpus":%d,"cores":128,"memory":250}`, r, w, r/256, r%256, gpus)
			byDomain[r%domains] = append(byDomain[r%domains], uint32(r*perRack+w))
		}
		apply(rec(b, record.KindPublish, record.Publish{Name: fmt.Sprintf("rack/r%04d", r), Body: []byte(body + "]}")}))
	}
	jobs := 0
	for _, workers := range byDomain {
		for g := range gpus {
			for at := 0; at < len(workers); at += gang {
				members := workers[at:min(at+gang, len(workers))]
				id := fmt.Sprintf("job-%06d", jobs)
				apply(rec(b, record.KindSubmit, record.Submit{
					Job: id, Account: fmt.Sprintf("a%02d", jobs%94), Kind: "sheet", Checkpoint: true, ExpectedMs: 3_600_000,
					Shape: shape.Shape{Members: len(members), GPUs: 1, Level: shape.LevelDomain},
				}))
				jobs++
				place := record.Place{Job: id, Revision: s.Jobs[id].Revision}
				for _, w := range members {
					place.Slots = append(place.Slots, shape.Slot{Worker: w, Mask: 1 << g})
				}
				apply(rec(b, record.KindPlace, place))
				apply(rec(b, record.KindStart, record.Start{Job: id, Token: s.Jobs[id].Token}))
			}
		}
	}
	return s
}

func rec[T any](b *testing.B, kind record.Kind, body T) record.Record {
	r, err := record.New(kind, "", body)
	if err != nil {
		b.Fatal(err)
	}
	return r
}

// BenchmarkEncode measures Encode, during which the writer of a snapshot holds
// the state's read lock.
func BenchmarkEncode(b *testing.B) {
	s := fullState(b)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		im, err := Encode(s)
		if err != nil {
			b.Fatal(err)
		}
		size = len(im.Data)
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkLoad measures the assembly, verification and decoding of a snapshot
// of the target size.
func BenchmarkLoad(b *testing.B) {
	s := fullState(b)
	chunks, err := Split(s, "s")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var a Assembler
		var got *state.State
		for _, c := range chunks {
			if got, err = a.Add(s.Offset, c); err != nil {
				b.Fatal(err)
			}
		}
		if got == nil || got.Offset != s.Offset {
			b.Fatal("not loaded")
		}
	}
}
