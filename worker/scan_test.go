package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// BenchmarkScan measures one scan of a LeaseKeeper that syncs 210 of 12,000
// workers while no sync is due. 210 is the share of one of 170 instances when
// two backup ranks renew leases as well.
func BenchmarkScan(b *testing.B) {
	s := &state.State{}
	for r := range 1500 {
		body := state.RackBody{Domain: fmt.Sprintf("d%d", r%32)}
		for w := range 8 {
			body.Workers = append(body.Workers, state.WorkerBody{Name: fmt.Sprintf("r%d-w%d", r, w), GPUs: 8})
		}
		data, _ := json.Marshal(body)
		rec, err := record.New(record.KindPublish, "", record.Publish{Name: fmt.Sprintf("rack/r%d", r), Body: data})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := s.Apply(s.Offset, &record.Batch{Writer: "a", Seq: uint64(r + 1), At: 1_796_361_383_000, Records: []record.Record{rec}}); err != nil {
			b.Fatal(err)
		}
	}
	n := 0
	k := &LeaseKeeper{
		View:  func(f func(*state.State)) { f(s) },
		Rank:  func(string) int { n++; return n % 171 },
		Sync:  func(context.Context, string, SyncRequest) (SyncAnswer, error) { return SyncAnswer{Incarnation: 1}, nil },
		Lease: time.Hour, MaxSyncs: 1000,
	}
	k.defaults()
	k.scan(b.Context())
	k.wg.Wait()
	b.ReportAllocs()
	for b.Loop() {
		k.scan(b.Context())
	}
	b.ReportMetric(float64(len(k.entries)), "workers")
}
