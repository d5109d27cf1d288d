package replica

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/stream"
)

// BenchmarkCatchUp measures how fast a new replica reads and applies a log of
// 50,000 records of little cost in batches of the given size, including HTTP.
func BenchmarkCatchUp(b *testing.B) {
	const records = 50_000
	for _, size := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			store := &standin.Log{}
			srv := httptest.NewServer(store)
			defer srv.Close()
			for i := range records / size {
				batch := record.Batch{Writer: "w", Seq: uint64(i + 1), At: 1_796_361_383_123}
				for k := range size {
					batch.Records = append(batch.Records, policy(b, fmt.Sprint((i*size+k)%1000), 0))
				}
				data, err := record.Encode(&batch)
				if err != nil {
					b.Fatal(err)
				}
				store.Append(data)
			}
			b.ReportAllocs()
			for b.Loop() {
				r := &Replica{Log: &stream.Log{URL: srv.URL}, Writer: "r", SnapshotRecords: -1}
				ctx, cancel := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				go func() { ended <- r.Run(ctx) }()
				err := r.Await(ctx, func(s Status) bool { return s.Offset == uint64(records/size) })
				cancel()
				if err != nil || <-ended != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(records)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// BenchmarkPropose measures proposals on an idle log from end to end, one at a
// time and many concurrently.
func BenchmarkPropose(b *testing.B) {
	store := &standin.Log{}
	srv := httptest.NewServer(store)
	defer srv.Close()
	r := &Replica{Log: &stream.Log{URL: srv.URL}, Writer: "r", SnapshotRecords: -1}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	fence := record.Record{Kind: record.KindFence, Body: []byte{0xa0}}
	if _, err := r.Propose(ctx, fence); err != nil {
		b.Fatal(err)
	}
	b.Run("one", func(b *testing.B) {
		for b.Loop() {
			if _, err := r.Propose(ctx, fence); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.SetParallelism(100)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if _, err := r.Propose(ctx, fence); err != nil {
					b.Error(err)
				}
			}
		})
	})
	cancel()
	<-ended
}
