package state

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// fleet is a state in the making, with the batches that led to it.
type fleet struct {
	tb      testing.TB
	s       *State
	seq     uint64
	at      int64
	batches [][]byte
	records int
}

// apply folds records in batches of at most size.
func (f *fleet) apply(size int, recs ...record.Record) {
	f.tb.Helper()
	for len(recs) > 0 {
		n := min(size, len(recs))
		f.seq++
		f.at += 10
		b := &record.Batch{Writer: "kochi-1/7f3a", Seq: f.seq, At: f.at, MinVersion: 1, Records: recs[:n]}
		data, err := record.Encode(b)
		if err != nil {
			f.tb.Fatal(err)
		}
		f.batches = append(f.batches, data)
		f.records += n
		out, err := f.s.Apply(f.s.Offset, b)
		if err != nil {
			f.tb.Fatal(err)
		}
		for _, o := range out {
			if !o.Accepted() {
				f.tb.Fatalf("%s: %s %s", o.Kind, o.Reason, o.Detail)
			}
		}
		recs = recs[n:]
	}
}

func newRecord[T any](tb testing.TB, kind record.Kind, body T) record.Record {
	r, err := record.New(kind, "", body)
	if err != nil {
		tb.Fatal(err)
	}
	return r
}

// newFleet returns a fleet of racks of 8 workers with the given accelerators,
// in 32 failure domains, and 94 accounts with one block of 4x4@rack each.
func newFleet(tb testing.TB, workers, gpus int) *fleet {
	f := &fleet{tb: tb, s: &State{}, at: 1_796_361_383_000}
	var recs []record.Record
	for r := range workers / 8 {
		body := RackBody{Domain: fmt.Sprintf("domain%d", r%32)}
		for w := range 8 {
			body.Workers = append(body.Workers, WorkerBody{
				Name: fmt.Sprintf("rack%04d-w%d", r, w), Addr: fmt.Sprintf("10.%d.%d.%d:7000", r/250, r%250, w), GPUs: gpus, Cores: 130, Memory: 250,
			})
		}
		data, _ := json.Marshal(body)
		recs = append(recs, newRecord(tb, record.KindPublish, record.Publish{Name: fmt.Sprintf("rack/rack%04d", r), Body: data, By: "asha"}))
	}
	f.apply(100, recs...)
	recs = nil
	data, _ := json.Marshal(AccountBody{Weight: 1, Guarantees: []GuaranteeBody{{"4x4@rack", 1}}})
	for a := range min(94, workers/8) {
		b := record.Block{}
		for i := range 4 {
			b.Slots = append(b.Slots, shape.Slot{Worker: uint32(8*a + i), Mask: 0xf})
		}
		recs = append(recs, newRecord(tb, record.KindPublish, record.Publish{Name: fmt.Sprintf("account/team%d", a), Body: data, Blocks: []record.Block{b}, By: "asha"}))
	}
	f.apply(100, recs...)
	return f
}

// fill submits, places and starts jobs, of which each takes accelerators on
// span workers, until the fleet runs the number of tasks.
func (f *fleet) fill(tasks, span int) {
	var jobs []*Job
	for n := 0; n < tasks; n += span {
		sh := shape.Shape{Members: span, GPUs: 1, Level: shape.LevelRack}
		id := fmt.Sprintf("1796361383123-%06d", n)
		f.apply(200, newRecord(f.tb, record.KindSubmit, record.Submit{
			Job: id, Account: fmt.Sprintf("team%d", n%len(f.s.Accounts)), Kind: "survey", Shape: sh, Checkpoint: true,
			ExpectedMs: 3_600_000, Cores: 1, Memory: 2, Input: "s3://surveys/2026/" + id,
		}))
		jobs = append(jobs, f.s.Jobs[id])
	}
	next := 0
	var places, starts []record.Record
	for _, j := range jobs {
		p := record.Place{Job: j.ID, Revision: j.Revision}
		for len(p.Slots) < span {
			w := f.s.Workers[next%len(f.s.Workers)]
			bit := shape.Mask(1) << (next / len(f.s.Workers))
			p.Slots = append(p.Slots, shape.Slot{Worker: w.Index, Mask: bit})
			next++
		}
		places = append(places, newRecord(f.tb, record.KindPlace, p))
	}
	f.apply(200, places...)
	for i, j := range jobs {
		boots := make([]uint64, span)
		for k := range boots {
			boots[k] = 1_796_361_383_000_000 + uint64(i)
		}
		starts = append(starts, newRecord(f.tb, record.KindStart, record.Start{Job: j.ID, Token: j.Token, Incarnations: boots}))
	}
	f.apply(200, starts...)
}

// finish reports all running members as done, one worker in each record.
func (f *fleet) finish() {
	var recs []record.Record
	for _, w := range f.s.Workers {
		r := record.Report{Worker: w.Index}
		for _, t := range w.Tasks {
			r.Results = append(r.Results, record.Result{Job: t.Job.ID, Token: t.Token, Outcome: record.RunDone, RanMs: 1000, Progress: 1})
		}
		if len(r.Results) > 0 {
			recs = append(recs, newRecord(f.tb, record.KindReport, r))
		}
	}
	f.apply(200, recs...)
}

// BenchmarkFold measures decoding and folding of a fleet's life: racks,
// accounts, jobs of two members submitted, placed, started and done.
func BenchmarkFold(b *testing.B) {
	f := newFleet(b, 12_000, 8)
	setup := len(f.batches)
	f.fill(12_000, 2)
	f.finish()
	base, records := f.batches[:setup], 0
	for _, data := range f.batches[setup:] {
		x, _ := record.Decode(data)
		records += len(x.Records)
	}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		s := &State{}
		replay(b, s, base)
		b.StartTimer()
		replay(b, s, f.batches[setup:])
	}
	b.ReportMetric(float64(records)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
}

func replay(tb testing.TB, s *State, batches [][]byte) {
	for _, data := range batches {
		x, err := record.Decode(data)
		if err != nil {
			tb.Fatal(err)
		}
		if _, err := s.Apply(s.Offset, x); err != nil {
			tb.Fatal(err)
		}
	}
}

// target is the size that the design has to hold: 190,000 tasks on 12,000
// workers, 94 accounts.
func target(tb testing.TB) *State {
	f := newFleet(tb, 12_000, 16)
	f.fill(190_000, 2)
	f.batches = nil
	return f.s
}

// BenchmarkMemory measures the memory that the full state keeps.
func BenchmarkMemory(b *testing.B) {
	s, err := reload(target(b)) // as a replica that started from a snapshot holds it
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		runtime.GC()
	}
	with := heap()
	runtime.KeepAlive(s)
	s = nil
	b.ReportMetric(float64(with-heap())/(1<<20), "MiB")
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkImage measures encoding of the full state.
func BenchmarkImage(b *testing.B) {
	s := target(b)
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		data, err := record.Marshal(s.Image())
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size)/(1<<20), "MiB")
}

// BenchmarkLoad measures decoding of the full state and building it.
func BenchmarkLoad(b *testing.B) {
	data, err := record.Marshal(target(b).Image())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var im Image
		if err := record.Unmarshal(data, &im); err != nil {
			b.Fatal(err)
		}
		if _, err := Load(&im); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkGang measures placing and releasing a gang on 512 workers within a
// block of its account; each slot has to be found in the block.
func BenchmarkGang(b *testing.B) {
	f := newFleet(b, 12_000, 8)
	sh := shape.Shape{Members: 512, GPUs: 1, Level: shape.LevelDomain}
	var slots []shape.Slot
	for _, w := range f.s.Workers {
		if w.Rack.Domain.Name == "domain31" && len(slots) < 300 {
			slots = append(slots, shape.Slot{Worker: w.Index, Mask: 0xf0})
		}
	}
	sh.Members = 4 * len(slots)
	if sh.Members > shape.MaxMembers {
		slots = slots[:shape.MaxMembers/4]
		sh.Members = shape.MaxMembers
	}
	body, _ := json.Marshal(AccountBody{Guarantees: []GuaranteeBody{{sh.String(), 1}}})
	f.apply(1, newRecord(b, record.KindPublish, record.Publish{Name: "account/big", Body: body, Blocks: []record.Block{{Slots: slots}}}))
	f.apply(1, newRecord(b, record.KindSubmit, record.Submit{Job: "gang", Account: "big", Shape: sh}))
	j := f.s.Jobs["gang"]
	for b.Loop() {
		f.apply(1, newRecord(b, record.KindPlace, record.Place{Job: "gang", Revision: j.Revision, Slots: slots}))
		f.apply(1, newRecord(b, record.KindAbort, record.Abort{Job: "gang", Token: j.Token}))
		f.batches = f.batches[:0]
	}
}
