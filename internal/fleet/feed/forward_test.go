package feed

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/latency"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// leadingFeed returns a feed that leads a term whose appends are made by the function.
func leadingFeed(appendBatch func(context.Context, Batch) (uint64, error)) (f *Feed, end context.CancelFunc) {
	f = &Feed{Instance: "e1", Incarnation: "1", Append: appendBatch}
	f.init()
	ctx, cancel := context.WithCancel(context.Background())
	f.state.Epoch = ledger.EpochStep
	f.term = &term{epoch: ledger.EpochStep, cancel: cancel, wake: make(chan struct{}, 1)}
	go f.commitLoop(ctx, f.term)
	return f, cancel
}

func encoded(t *testing.T, r ledger.Record) []byte {
	data, err := ledger.Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a forwarded record whose outcome is told wrong: as refused although it
// may be stored, or as stored although it is not.
func TestAppendForwarded(t *testing.T) {
	var refused *RefusedError
	var uncertain *UncertainError
	submit := ledger.Record{Submit: &ledger.Job{ID: "00000000000000aa", Steps: []ledger.Step{{Count: 1}}}}
	hang := func(ctx context.Context, _ Batch) (uint64, error) {
		<-ctx.Done()
		return 0, &UncertainError{ctx.Err()}
	}
	tests := []struct {
		name   string
		record ledger.Record
		append func(context.Context, Batch) (uint64, error)
		during func(f *Feed, end context.CancelFunc) // called while the record is forwarded
		want   any                                   // nil, or the type of the error
	}{
		{"stored", submit, func(context.Context, Batch) (uint64, error) { return 0, nil }, nil, nil},
		{"record of the leader", ledger.Record{Resign: &ledger.LeaderNotice{Epoch: ledger.EpochStep}}, hang, nil, &refused},
		{"submission with a claim", ledger.Record{Submit: submit.Submit, Claim: &ledger.Claim{Epoch: 2 * ledger.EpochStep}}, hang, nil, &refused},
		{"during a handover", submit, hang, nil, &refused},
		{"append without an answer", submit, hang, nil, &uncertain},
		{"the leader is fenced", submit, func(context.Context, Batch) (uint64, error) { return 0, &FencedError{} }, nil, &uncertain},
		{"the leader ends during the append", submit, hang, func(_ *Feed, end context.CancelFunc) { end() }, &uncertain},
		{"not the leader", submit, hang, func(f *Feed, _ context.CancelFunc) { f.stepDown("test") }, &uncertain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, end := leadingFeed(tt.append)
				defer end()
				if tt.name == "during a handover" {
					f.term.handover = &ledger.Claim{}
				}
				if tt.during != nil {
					time.AfterFunc(100*time.Millisecond, func() { tt.during(f, end) })
				}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				err := f.AppendForwarded(ctx, encoded(t, tt.record))
				if tt.want == nil {
					is.NoErr(err)
				} else {
					is.True(errors.As(err, tt.want))
				}
				end()
				synctest.Wait()
			})
		})
	}
}

// Guards against a record that is stored after its caller was told that it is not, and
// against records that wait for ever at an instance that does not lead any more.
func TestForwardedRecordsThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var stored int
		f, end := leadingFeed(func(ctx context.Context, b Batch) (uint64, error) {
			time.Sleep(100 * time.Millisecond) // less than an answer that is overdue
			stored += len(b.Records)
			return 0, nil
		})
		defer end()
		record := func(id string) []byte {
			return encoded(t, ledger.Record{Cancel: &ledger.Cancel{ID: id}})
		}
		results := make(chan error, 3)
		forward := func(timeout time.Duration, id string) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			results <- f.AppendForwarded(ctx, record(id))
		}
		go forward(5*time.Second, "a")
		time.Sleep(10 * time.Millisecond)
		go forward(20*time.Millisecond, "b") // gives up while the append of a is in progress
		go forward(5*time.Second, "c")
		var refused *RefusedError
		is.True(errors.As(<-results, &refused))
		is.NoErr(<-results)
		is.NoErr(<-results)
		is.Equal(stored, 2)
		is.Equal(f.term.forwardedBytes, 0)

		end()
		synctest.Wait()
		is.True(errors.As(f.AppendForwarded(t.Context(), record("d")), &refused))
		f.stepDown("test")
		is.True(errors.As(f.AppendForwarded(t.Context(), record("e")), &refused))
		is.True(errors.As(f.AppendForwarded(t.Context(), []byte("odd")), &refused))
	})
}

// Guards against records that a crowd of instances forwards and that fill the leader's
// memory.
func TestForwardedBytesAreBounded(t *testing.T) {
	is := is.New(t)
	f := &Feed{Instance: "e1"}
	f.init()
	f.term = &term{epoch: 1, cancel: func() {}, wake: make(chan struct{}, 1)}
	data := make([]byte, 64<<10)
	n := 0
	for ; n < 1000; n++ {
		if _, err := f.enqueueForwarded(data); err != nil {
			break
		}
	}
	is.Equal(n, maxForwardedBytes/len(data))
}

// Guards against a record that is larger than the log accepts: the append with it would
// be repeated for as long as the leader leads, and no other record be stored.
func TestRecordTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var stored []string
		f, end := leadingFeed(func(_ context.Context, b Batch) (uint64, error) {
			for _, data := range b.Records {
				r, err := ledger.Decode(data)
				is.NoErr(err)
				if len(data) > 1000 {
					return 0, &RefusedError{errors.New("record too large")}
				}
				stored = append(stored, r.Submit.ID)
			}
			return 0, nil
		})
		defer end()
		f.MaxRecordBytes = 1000
		large := ledger.Record{Submit: &ledger.Job{ID: "large", Spec: strings.Repeat("x", 1000)}}
		small := ledger.Record{Submit: &ledger.Job{ID: "small"}}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()

		var size *RecordSizeError
		is.True(errors.As(f.Write(ctx, large), &size))
		is.Equal(size.Limit, 1000)
		var refused *RefusedError
		is.True(errors.As(f.AppendForwarded(ctx, encoded(t, large)), &refused))
		f.Propose(f.term.epoch, large, small)
		synctest.Wait()
		is.Equal(stored, []string{"small"})
	})
}

// Guards against records of instances that are not stored while the log is slow, because
// the leader takes only those of callers.
func TestOnlyCallersRecordsAreForwarded(t *testing.T) {
	is := is.New(t)
	appended, sent := 0, 0
	f := &Feed{Instance: "e1", Latency: &latency.Tracker{}}
	f.Append = func(context.Context, Batch) (uint64, error) { appended++; return 0, nil }
	f.Forward = func(context.Context, string, []byte) error { sent++; return nil }
	f.init()
	f.state.NoLeader, f.state.Leader.Instance, f.state.Peers["e2"] = false, "e2", "e2"
	f.Latency.Learn(400 * time.Millisecond)
	is.NoErr(f.Write(t.Context(), ledger.Record{Cancel: &ledger.Cancel{ID: "a"}}))
	is.Equal([]int{appended, sent}, []int{0, 1})
	is.NoErr(f.Write(t.Context(), ledger.Record{Join: &ledger.Join{Instance: "e1"}}))
	is.Equal([]int{appended, sent}, []int{1, 1})
}
