package state

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// cluster builds a state and keeps the batches that led to it.
type cluster struct {
	tb      testing.TB
	s       *State
	seq     uint64
	at      int64
	batches [][]byte
	records int
}

// apply applies the records in batches of at most size records.
func (f *cluster) apply(size int, recs ...record.Record) {
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

// newRecord returns a record of the kind without an id.
func newRecord[T any](tb testing.TB, kind record.Kind, body T) record.Record {
	r, err := record.New(kind, "", body)
	if err != nil {
		tb.Fatal(err)
	}
	return r
}

// newCluster returns a cluster of racks of 8 workers in 32 failure domains, with
// the given number of accelerators per worker, and up to 94 accounts with one
// block of 4x4@rack each.
func newCluster(tb testing.TB, workers, gpus int) *cluster {
	f := &cluster{tb: tb, s: &State{}, at: 1_796_361_383_000}
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

// runJobs submits, places and starts jobs, each with one accelerator on each of
// span workers, until the cluster runs the given number of tasks.
func (f *cluster) runJobs(tasks, span int) {
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

// finishJobs reports all running tasks as done, with one record per worker.
func (f *cluster) finishJobs() {
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

// BenchmarkFold measures how fast the records of jobs of two members, which are
// submitted, placed, started and done, are decoded and applied. Racks and
// accounts are applied before.
func BenchmarkFold(b *testing.B) {
	f := newCluster(b, 12_000, 8)
	setup := len(f.batches)
	f.runJobs(12_000, 2)
	f.finishJobs()
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

// replay decodes and applies the batches.
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

// fullSizeState returns a state of the size that the design must support: 190,000
// tasks on 12,000 workers, and 94 accounts.
func fullSizeState(tb testing.TB) *State {
	f := newCluster(tb, 12_000, 16)
	f.runJobs(190_000, 2)
	f.batches = nil
	return f.s
}

// BenchmarkMemory measures the heap memory of the full-size state.
func BenchmarkMemory(b *testing.B) {
	s, err := reload(fullSizeState(b)) // as in a replica that started from a snapshot
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		runtime.GC()
	}
	with := heapBytes()
	runtime.KeepAlive(s)
	s = nil
	b.ReportMetric(float64(with-heapBytes())/(1<<20), "MiB")
}

// heapBytes returns the allocated heap after garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkImage measures the encoding of the full-size state.
func BenchmarkImage(b *testing.B) {
	s := fullSizeState(b)
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

// BenchmarkLoad measures decoding an image and building the full-size state.
func BenchmarkLoad(b *testing.B) {
	data, err := record.Marshal(fullSizeState(b).Image())
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

// BenchmarkGang measures placing and aborting a gang of up to 512 members within a
// block of its account, which looks up each slot of the gang in the block.
func BenchmarkGang(b *testing.B) {
	f := newCluster(b, 12_000, 8)
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
