package leader

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// fencedWorker answers like a worker: an incarnation refuses all requests with a
// lower fencing token than the highest that it has seen.
type fencedWorker struct {
	mu          sync.Mutex
	incarnation int64
	token       uint64 // highest that the incarnation has seen
	silent      uint64 // requests with tokens above it have no answer and no effect, if it is not 0
}

// restart starts another incarnation, which does not answer requests with tokens above the one given.
func (f *fencedWorker) restart(silent uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnation, f.token, f.silent = f.incarnation+1, 0, silent
}

// receive applies the fencing token of a request.
func (f *fencedWorker) receive(token uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.silent != 0 && token > f.silent:
		return errRefusedConn
	case token < f.token:
		return &RefusedError{RefusedStaleToken}
	}
	f.token = token
	return nil
}

// sync reports no runs.
func (f *fencedWorker) sync(_ context.Context, t Target, _ SyncRequest) (Report, error) {
	if err := f.receive(t.Token); err != nil {
		return Report{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return Report{Incarnation: f.incarnation}, nil
}

// Guards against a request that is carried out late by another incarnation of the worker than the one it was sent to, for example the start of a task that is done.
func TestLateRequestToNextIncarnation(t *testing.T) {
	tests := []struct {
		name     string
		restarts int
		fromPast bool // the request was sent by the leader before
	}{
		{"earlier leader", 0, true},
		{"earlier leader, restarted", 1, true},
		{"restarted", 1, false},
		{"restarted twice", 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fencedWorker{incarnation: 1}
				s := newStartTest(t, WorkerClient{Sync: f.sync})
				defer s.cancel()
				late := s.leader.target(s.worker)
				if tt.fromPast {
					late.Token = fencingToken(s.leader.Epoch-ledger.EpochStep, 7)
				}
				is.True(s.leader.requestReport(s.worker))
				for range tt.restarts {
					f.restart(0)
					is.True(s.leader.requestReport(s.worker))
				}
				is.True(f.receive(late.Token) != nil)
				is.Equal(f.receive(s.leader.target(s.worker).Token), nil)
				is.True(s.worker.contacted)
			})
		})
	}
}

// Guards against a run that starts again elsewhere while a start request without an answer may still be carried out by the worker's next incarnation.
func TestRestartAfterUnansweredStart(t *testing.T) {
	tests := []struct {
		name       string
		unanswered bool // the first start request has no answer
		stopFirst  bool // the first incarnation is asked to stop the run
	}{
		{"accepted at once", false, false},
		{"accepted later", true, false},
		{"accepted later, stopped on the first incarnation", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fencedWorker{incarnation: 1}
				starts := 0
				s := newStartTest(t, WorkerClient{
					Start: func(_ context.Context, t Target, _ StartRequest) error {
						if starts++; starts == 1 && tt.unanswered {
							return errRefusedConn
						}
						return f.receive(t.Token)
					},
					Stop: func(_ context.Context, t Target, _ StopRequest) error { return f.receive(t.Token) },
					Sync: func(ctx context.Context, t Target, req SyncRequest) (Report, error) {
						rep, err := f.sync(ctx, t, req)
						if rep.Incarnation == 1 && starts > 0 {
							rep.Running = []RunningTask{{Task: TaskID{Job: "a"}, Run: 1}}
						}
						return rep, err
					},
				})
				defer s.cancel()
				s.leader.deliverStart(s.worker, s.run, StartRequest{})
				if tt.stopFirst {
					s.stop()
					time.Sleep(time.Second)
				}
				time.Sleep(time.Millisecond)
				late := s.leader.target(s.worker).Token
				f.restart(late)
				s.leader.requestReport(s.worker)
				time.Sleep(5 * time.Second)
				is.True(!s.ended())
				is.Equal(f.receive(late), nil) // the late request would start it
				f.mu.Lock()
				f.silent = 0
				f.mu.Unlock()
				s.leader.requestReport(s.worker)
				is.True(s.ended())
				is.True(f.receive(late) != nil)
			})
		})
	}
}
