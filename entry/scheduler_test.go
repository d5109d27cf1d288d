package entry

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"jasminelane.example/lane/member"
	"jasminelane.example/lane/metric"
	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// schedulerTest is a SchedulerLoop on a state with one job that can be placed.
type schedulerTest struct {
	*SchedulerLoop
	state    state.State
	seq      uint64
	now      time.Time
	rank     int
	fresh    bool
	proposed int // calls of Propose
	fail     error
}

func newSchedulerTest(t *testing.T) *schedulerTest {
	t.Helper()
	r := &schedulerTest{now: time.UnixMilli(1_800_000_000_000), fresh: true}
	r.SchedulerLoop = &SchedulerLoop{
		View: func(f func(*state.State)) { f(&r.state) }, Changed: func() <-chan struct{} { return nil },
		Rank: func(string) int { return r.rank }, Fresh: func() bool { return r.fresh },
		NewID: func() string { return "id" }, Now: func() time.Time { return r.now },
		Logger: zap.NewNop(), Metrics: &metric.Set{}, IdleInterval: time.Second,
	}
	r.Propose = func(_ context.Context, recs ...record.Record) ([]state.Decision, error) {
		r.proposed++
		if r.fail != nil {
			return nil, r.fail
		}
		return r.apply(t, recs...), nil
	}
	r.mustApply(t, record.KindPublish, record.Publish{Name: "rack/r1", Body: encode(t, state.RackBody{
		Domain: "d1", Workers: []state.WorkerBody{{Name: "w0", Addr: "127.0.0.1:1", GPUs: 8}},
	})})
	r.mustApply(t, record.KindPublish, record.Publish{Name: "account/asha", Body: encode(t, state.AccountBody{Weight: 1})})
	r.Load(&r.state, placement.Policy{CompletionWeight: 1, FragmentationWeight: 1})
	r.mustApply(t, record.KindSubmit, record.Submit{Job: "j1", Account: "asha", Kind: "sheet", Shape: shape.Shape{Members: 1, GPUs: 2}})
	return r
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func (r *schedulerTest) apply(t *testing.T, recs ...record.Record) []state.Decision {
	t.Helper()
	r.seq++
	out, err := r.state.Apply(r.state.Offset, &record.Batch{Writer: "w", Seq: r.seq, At: r.now.UnixMilli(), Records: recs})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func (r *schedulerTest) mustApply(t *testing.T, kind record.Kind, body any) {
	t.Helper()
	rec, err := record.New(kind, "", body)
	if err != nil {
		t.Fatal(err)
	}
	if o := r.apply(t, rec)[0]; !o.Accepted() {
		t.Fatalf("%s: %s %s", kind, o.Reason, o.Detail)
	}
}

// TestDeciderRank guards against an instance with a rank above 0 that proposes
// before its delay, so that the same work is proposed twice. It also guards
// against one that never proposes, so that work stays undone when the instance
// with rank 0 has failed.
func TestDeciderRank(t *testing.T) {
	for rank := range 4 {
		is := is.New(t)
		r := newSchedulerTest(t)
		r.rank = rank
		delay := time.Duration(rank) * member.RankDelay
		if delay > 0 {
			is.Equal(r.step(t.Context()), delay) // waits for the delay of its rank
			r.now = r.now.Add(delay - time.Millisecond)
			is.Equal(r.step(t.Context()), time.Millisecond)
			is.Equal(r.proposed, 0)
			r.now = r.now.Add(time.Millisecond)
		}
		is.Equal(r.step(t.Context()), time.Duration(0))
		is.Equal(r.proposed, 1)
		is.Equal(r.state.Jobs["j1"].Phase, state.JobHolding)
		is.Equal(r.step(t.Context()), r.IdleInterval) // no work is due
		is.Equal(r.proposed, 1)
	}
}

// TestDeciderDelayRestarts guards against a delay that is counted from earlier
// work, which is no longer due because another instance has done it.
func TestDeciderDelayRestarts(t *testing.T) {
	is := is.New(t)
	r := newSchedulerTest(t)
	r.rank = 1
	r.step(t.Context())
	r.now = r.now.Add(member.RankDelay - time.Millisecond)
	r.mustApply(t, record.KindCancel, record.Cancel{Job: "j1"})
	is.Equal(r.step(t.Context()), r.IdleInterval)
	r.mustApply(t, record.KindSubmit, record.Submit{Job: "j2", Account: "asha", Shape: shape.Shape{Members: 1, GPUs: 1}})
	r.now = r.now.Add(time.Second)
	is.Equal(r.step(t.Context()), member.RankDelay)
	is.Equal(r.proposed, 0)
}

// TestDeciderIdle guards against proposals of an instance that is not a member,
// whose rank is too high, or whose state is not current.
func TestDeciderIdle(t *testing.T) {
	for _, c := range []struct {
		name  string
		rank  int
		fresh bool
	}{{"no member", -1, true}, {"ranks too far behind", maxSchedulerRank + 1, true}, {"not current", 0, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newSchedulerTest(t)
			r.rank, r.fresh = c.rank, c.fresh
			is.Equal(r.step(t.Context()), r.IdleInterval)
			is.Equal(r.proposed, 0)
		})
	}
}

// TestDeciderFailure guards against a failed append that is not counted, or after
// which the work is not proposed again.
func TestDeciderFailure(t *testing.T) {
	is := is.New(t)
	r := newSchedulerTest(t)
	r.fail = errors.New("down")
	r.step(t.Context())
	is.Equal(r.Metrics.Retries.Get("schedule.append").String(), "1")
	r.fail = nil
	r.step(t.Context())
	is.Equal(r.proposed, 2)
	is.Equal(r.state.Jobs["j1"].Phase, state.JobHolding)
}
