package operator

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// TestInForceWaits guards against a publish that reports a version as applied on
// an instance that responds but has not applied the version yet.
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
	var polls atomic.Uint64 // of the instance that lags behind
	a := &API{
		View: func(f func(*state.State)) { f(&s) },
		MemberOffset: func(_ context.Context, m *state.Member) (uint64, error) {
			if m.Name == "e2" {
				return version - 3 + polls.Add(1), nil
			}
			return version, nil
		},
	}
	is.Equal(a.waitApplied(t.Context(), version), []AppliedVersion{{Instance: "e1", Applied: true, Offset: version}, {Instance: "e2", Applied: true, Offset: version}})
	is.Equal(polls.Load(), uint64(3))

	a.MemberOffset = func(context.Context, *state.Member) (uint64, error) { return version - 1, nil }
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // has the effect of the timeout
	for _, f := range a.waitApplied(ctx, version) {
		is.True(!f.Applied)
		is.Equal(f.Offset, uint64(version-1))
	}
}
