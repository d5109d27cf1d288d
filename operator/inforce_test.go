package operator

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// Guards against a publish that reports a version as in force on an instance
// that answers but has not applied it yet.
func TestInForceWaits(t *testing.T) {
	is := is.New(t)
	const version = 10
	var s state.State
	for i, name := range []string{"e1", "e2"} {
		rec, err := record.New(record.KindJoin, "", record.Join{Name: name, Version: record.Version})
		is.NoErr(err)
		out, err := s.Apply(uint64(i), &record.Batch{Writer: name, Seq: 1, At: 1e12, Records: []record.Record{rec}})
		is.NoErr(err)
		is.True(out[0].Accepted())
	}
	var asked atomic.Uint64 // how often the instance that lags was asked
	a := &API{
		View: func(f func(*state.State)) { f(&s) },
		Offset: func(_ context.Context, m *state.Member) (uint64, error) {
			if m.Name == "e2" {
				return version - 3 + asked.Add(1), nil
			}
			return version, nil
		},
	}
	is.Equal(a.inForce(t.Context(), version), []InForce{{Instance: "e1", OK: true, Offset: version}, {Instance: "e2", OK: true, Offset: version}})
	is.Equal(asked.Load(), uint64(3))

	a.Offset = func(context.Context, *state.Member) (uint64, error) { return version - 1, nil }
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // stands for the time limit
	for _, f := range a.inForce(ctx, version) {
		is.True(!f.OK)
		is.Equal(f.Offset, uint64(version-1))
	}
}
