package feed

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/latency"
	"jasminelane.example/lane/internal/fleet/ledger"
)

var errNotSent = &RefusedError{errors.New("no connection")}

// callScript is what happens to one call of an append: it gets the answer after a
// time, or none if the time is 0.
type callScript struct {
	after time.Duration
	err   error
}

// scriptedAppend returns an append function whose calls follow the scripts, and the
// times of the calls.
func scriptedAppend(scripts []callScript) (func(context.Context, Batch) (uint64, error), *[]time.Duration) {
	began := time.Now()
	var mu sync.Mutex
	var calls []time.Duration
	return func(ctx context.Context, _ Batch) (uint64, error) {
		mu.Lock()
		s := scripts[min(len(calls), len(scripts)-1)]
		calls = append(calls, time.Since(began))
		mu.Unlock()
		if s.after == 0 {
			<-ctx.Done()
			if s.err != nil {
				return 0, s.err
			}
			return 0, &UncertainError{ctx.Err()}
		}
		select {
		case <-time.After(s.after):
			return 0, s.err
		case <-ctx.Done():
			return 0, &UncertainError{ctx.Err()}
		}
	}, &calls
}

// Guards against appends that end with an unknown outcome although the log answers
// late, against outcomes that are wrong, and against many calls.
func TestHedgedAppend(t *testing.T) {
	const ms, deadline = time.Millisecond, 2950 * time.Millisecond
	reset := &UncertainError{errors.New("reset")}
	tests := []struct {
		name    string
		latency time.Duration // known before
		calls   []callScript
		want    error // nil, a RefusedError or an UncertainError
		took    time.Duration
		made    []time.Duration
	}{
		{"fast", 4 * ms, []callScript{{4 * ms, nil}}, nil, 4 * ms, []time.Duration{0}},
		{"slow and not known", 4 * ms, []callScript{{400 * ms, nil}}, nil, 400 * ms, []time.Duration{0, 150 * ms}},
		{"slow and known", 400 * ms, []callScript{{400 * ms, nil}}, nil, 400 * ms, []time.Duration{0}},
		{"2 s and not known", 4 * ms, []callScript{{2000 * ms, nil}}, nil, 2000 * ms, []time.Duration{0, 150 * ms, 900 * ms}},
		{"2 s and known", 2000 * ms, []callScript{{2000 * ms, nil}}, nil, 2000 * ms, []time.Duration{0}},
		{"first answer lost", 4 * ms, []callScript{{}, {4 * ms, nil}}, nil, 154 * ms, []time.Duration{0, 150 * ms}},
		{"first answer lost while slow", 400 * ms, []callScript{{}, {400 * ms, nil}}, nil, 1600 * ms, []time.Duration{0, 1200 * ms}},
		{"two answers lost", 4 * ms, []callScript{{}, {}, {4 * ms, nil}}, nil, 904 * ms, []time.Duration{0, 150 * ms, 900 * ms}},
		{"silent", 4 * ms, []callScript{{}}, reset, deadline, []time.Duration{0, 150 * ms, 900 * ms}},
		{"refused", 4 * ms, []callScript{{4 * ms, errNotSent}}, errNotSent, 4 * ms, []time.Duration{0}},
		{"reset", 4 * ms, []callScript{{4 * ms, reset}}, reset, 4 * ms, []time.Duration{0}},
		{"no answer, then refused", 4 * ms, []callScript{{}, {4 * ms, errNotSent}}, reset, deadline, []time.Duration{0, 150 * ms, 900 * ms}},
		{"late answer after a refusal", 4 * ms, []callScript{{400 * ms, nil}, {4 * ms, errNotSent}}, nil, 400 * ms, []time.Duration{0, 150 * ms}},
		{"never connected", 4 * ms, []callScript{{0, errNotSent}}, errNotSent, deadline, []time.Duration{0, 150 * ms, 900 * ms}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &Feed{}
				f.init()
				f.Latency.Observe(latency.Answer{Sent: time.Now().Add(-tt.latency), Received: time.Now()})
				appendCall, calls := scriptedAppend(tt.calls)
				f.Append = appendCall
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				began := time.Now()
				err := f.Write(ctx, ledger.Record{Join: &ledger.Join{}})
				is.Equal(time.Since(began), tt.took)
				var uncertain, wantUncertain *UncertainError
				is.Equal(err == nil, tt.want == nil)
				is.Equal(errors.As(err, &uncertain), errors.As(tt.want, &wantUncertain))
				time.Sleep(5 * time.Second)
				synctest.Wait() // until the other calls have ended
				is.Equal(*calls, tt.made)
				is.Equal(f.AppendCounts().Hedged, uint64(len(tt.made)-1))
			})
		})
	}
}

// Guards against a leader that floods an unavailable log with calls, that needs
// long to reach it again, or that gives up calls that are answered late.
func TestCommitUnavailable(t *testing.T) {
	tests := []struct {
		name     string
		silent   time.Duration // calls before this time get no answer
		latency  time.Duration
		within   time.Duration
		maxCalls int
	}{
		{"short", time.Second, 4 * time.Millisecond, 1300 * time.Millisecond, 4},
		{"long", 10 * time.Second, 4 * time.Millisecond, 11600 * time.Millisecond, 13},
		{"slow", 0, 2 * time.Second, 2 * time.Second, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				began := time.Now()
				var calls atomic.Int32
				f := &Feed{Append: func(ctx context.Context, _ Batch) (uint64, error) {
					calls.Add(1)
					if time.Since(began) < tt.silent {
						<-ctx.Done()
						return 0, &UncertainError{ctx.Err()}
					}
					time.Sleep(tt.latency)
					return 0, nil
				}}
				f.init()
				f.Latency.Observe(latency.Answer{Sent: time.Now().Add(-4 * time.Millisecond), Received: time.Now()})
				is.True(f.commit(t.Context(), &term{epoch: 1}, 2, nil))
				is.True(time.Since(began) <= tt.within)
				is.True(int(calls.Load()) <= tt.maxCalls)
				time.Sleep(5 * time.Second) // until the other calls have ended
			})
		})
	}
}

// Guards against a leader that appends nothing for seconds after the log answers again,
// because it took an outage for the latency of the log.
func TestCommitAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const silence = 4600 * time.Millisecond
		began := time.Now()
		f := &Feed{Append: func(ctx context.Context, _ Batch) (uint64, error) {
			if time.Since(began) < silence {
				<-ctx.Done()
				return 0, &UncertainError{ctx.Err()}
			}
			time.Sleep(4 * time.Millisecond)
			return 0, nil
		}}
		f.init()
		f.Latency.Observe(latency.Answer{Sent: began.Add(-3 * time.Second), Received: began})
		stop := time.AfterFunc(silence, func() {
			for t.Context().Err() == nil && time.Since(began) < silence+5*time.Second { // reads are answered
				time.Sleep(100 * time.Millisecond)
				now := time.Now()
				f.Latency.Observe(latency.Answer{Sent: now.Add(-4 * time.Millisecond), Received: now})
			}
		})
		defer stop.Stop()
		is.True(f.commit(t.Context(), &term{epoch: 1}, 2, nil))
		is.True(time.Since(began) <= silence+minRound+maxBackoff)
		time.Sleep(10 * time.Second) // until the other calls have ended
	})
}

// Guards against a caller's append that is not repeated before its deadline, because the
// latency is known wrongly when it begins.
func TestAppendAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const ms, silence, deadline = time.Millisecond, 2 * time.Second, 2950 * time.Millisecond
		began := time.Now()
		f := &Feed{Append: func(ctx context.Context, _ Batch) (uint64, error) {
			if time.Since(began) < silence {
				<-ctx.Done()
				return 0, &UncertainError{ctx.Err()}
			}
			time.Sleep(4 * ms)
			return 0, nil
		}}
		f.init()
		f.Latency.Observe(latency.Answer{Sent: began.Add(-3 * time.Second), Received: began})
		for i := range 5 { // reads are answered after the silence
			time.AfterFunc(silence+time.Duration(i)*100*ms, func() {
				now := time.Now()
				f.Latency.Observe(latency.Answer{Sent: now.Add(-4 * ms), Received: now})
			})
		}
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		defer cancel()
		is.NoErr(f.Write(ctx, ledger.Record{Join: &ledger.Join{}}))
		is.True(time.Since(began) < deadline)
		time.Sleep(10 * time.Second) // until the other calls have ended
	})
}
