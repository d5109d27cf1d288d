package leader

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/policy"
)

// startTest is a leader with one worker, on which a run is to be started.
type startTest struct {
	leader *Leader
	worker *worker
	run    *run
	cancel context.CancelFunc
}

// newStartTest returns a leader that has contacted incarnation 1 of its worker. No
// stop request is answered unless the client has a function for them.
func newStartTest(t *testing.T, client WorkerClient) *startTest {
	if client.Stop == nil {
		client.Stop = func(context.Context, Target, StopRequest) error { return errRefusedConn }
	}
	l := &Leader{Epoch: 2 * ledger.EpochStep, Feed: &feed.Feed{}, Policy: &policy.Current{}, Logger: zap.NewNop(), Bounds: Bounds{Lease: 6 * time.Second}, Client: client}
	ctx, cancel := context.WithCancel(t.Context())
	l.Init(ctx, ledger.NewState(), nil)
	w := newWorker("w0", time.Now())
	w.entry.Addr, w.contacted, w.incarnation = "w0", true, 1
	n := &run{key: runKey{TaskID{Job: "a"}, 1}, unit: ledger.UnitID{Job: "a"}, incarnation: 1, startedAt: time.Now()}
	l.mu.Lock()
	l.addRun(w, n)
	l.mu.Unlock()
	return &startTest{l, w, n, cancel}
}

// deliver delivers the start request and waits until it is settled.
func (s *startTest) deliver() {
	s.leader.deliverStart(s.worker, s.run, StartRequest{})
	s.cancel()
	synctest.Wait()
}

// stop stops the run.
func (s *startTest) stop() {
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	s.leader.stopRun(s.worker, s.run, "cancelled")
}

// ended reports whether the end of the run was proposed.
func (s *startTest) ended() bool {
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	return s.run.endProposed
}

var errRefusedConn = &NoAnswerError{errors.New("connection refused")}

// Guards against start requests in an endless loop to a worker that refuses connections.
func TestStartToRefusingWorker(t *testing.T) {
	tests := []struct {
		name    string
		reports bool // the worker answers syncs
	}{
		{"refuses starts", true},
		{"refuses all", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				starts, reports := 0, 0
				s := newStartTest(t, WorkerClient{
					Start: func(context.Context, Target, StartRequest) error {
						starts++
						time.Sleep(time.Millisecond) // on the network
						return errRefusedConn
					},
					Sync: func(context.Context, Target, SyncRequest) (Report, error) {
						reports++
						time.Sleep(time.Millisecond) // on the network
						if !tt.reports {
							return Report{}, errRefusedConn
						}
						return Report{Incarnation: 1}, nil
					},
				})
				s.deliver()
				is.True(starts+reports > 2)
				is.Equal(starts > 1, tt.reports)
				is.True(starts <= int(startDeadline/startRetryInterval)+2)
				is.True(reports <= int(startDeadline/startRetryInterval)+2)
			})
		})
	}
}

// Guards against one start request that is carried out by two incarnations of a worker.
func TestStartOnNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		incarnation := int64(1)
		var startedOn []int64
		s := newStartTest(t, WorkerClient{
			Start: func(context.Context, Target, StartRequest) error {
				startedOn = append(startedOn, incarnation)
				incarnation++ // the task crashes the worker
				return &NoAnswerError{io.EOF}
			},
			Sync: func(context.Context, Target, SyncRequest) (Report, error) {
				return Report{Incarnation: incarnation}, nil
			},
		})
		s.deliver()
		is.Equal(startedOn, []int64{1})
	})
}

// Guards against a run that goes on, or starts late, because a worker that refused the stop request counts as stopped.
func TestStopRefused(t *testing.T) {
	tests := []struct {
		name   string
		reason Refusal
		runs   bool // the run is on the worker until it is stopped
	}{
		{"unhealthy", RefusedUnhealthy, true},
		{"invalid", RefusedInvalid, true},
		{"another incarnation", RefusedIncarnation, true},
		{"newer leader", RefusedStaleToken, true},
		{"unhealthy, start without an answer", RefusedUnhealthy, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var stops atomic.Int32
				var stoppable, stopped atomic.Bool
				s := newStartTest(t, WorkerClient{
					Start: func(context.Context, Target, StartRequest) error {
						if tt.runs {
							return nil
						}
						return errRefusedConn
					},
					Stop: func(context.Context, Target, StopRequest) error {
						stops.Add(1)
						if !stoppable.Load() {
							return &RefusedError{tt.reason}
						}
						stopped.Store(true)
						return nil
					},
					Sync: func(context.Context, Target, SyncRequest) (Report, error) {
						if tt.runs && !stopped.Load() {
							return Report{Incarnation: 1, Running: []RunningTask{{Task: TaskID{Job: "a"}, Run: 1}}}, nil
						}
						return Report{Incarnation: 1}, nil
					},
				})
				defer s.cancel()
				s.leader.deliverStart(s.worker, s.run, StartRequest{})
				s.stop()
				time.Sleep(20 * time.Second)
				synctest.Wait()
				is.True(!s.ended())
				is.True(stops.Load() >= 20)  // at least one a second
				is.True(stops.Load() <= 160) // not in an endless loop
				stoppable.Store(true)
				time.Sleep(2 * time.Second)
				s.leader.requestReport(s.worker)
				is.True(s.ended())
				sent := stops.Load()
				time.Sleep(20 * time.Second)
				is.Equal(stops.Load(), sent) // none after the end
			})
		})
	}
}

// Guards against a run that starts again elsewhere while a start request without an answer may still be carried out.
func TestRefusedAfterUnansweredStart(t *testing.T) {
	for _, reason := range []Refusal{RefusedUnhealthy, RefusedCapacity, RefusedLeaseEnded, RefusedInvalid, RefusedTicket, RefusedIncarnation} {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var starts, stops atomic.Int32
				var stoppable atomic.Bool
				s := newStartTest(t, WorkerClient{
					Start: func(context.Context, Target, StartRequest) error {
						if starts.Add(1) == 1 {
							return errRefusedConn
						}
						return &RefusedError{reason}
					},
					Stop: func(context.Context, Target, StopRequest) error {
						stops.Add(1)
						if !stoppable.Load() {
							return &RefusedError{RefusedUnhealthy}
						}
						return nil
					},
					Sync: func(context.Context, Target, SyncRequest) (Report, error) { return Report{Incarnation: 1}, nil },
				})
				defer s.cancel()
				sibling := &run{key: runKey{TaskID{Job: "a", Index: 1}, 1}, unit: s.run.unit, member: 1}
				s.leader.mu.Lock()
				s.leader.addRun(s.worker, sibling)
				s.leader.mu.Unlock()
				s.leader.deliverStart(s.worker, s.run, StartRequest{})
				is.True(sibling.stopping) // its gang cannot be complete
				time.Sleep(5 * time.Second)
				synctest.Wait()
				is.Equal(starts.Load(), int32(2))
				is.True(stops.Load() > 0)
				is.True(!s.ended())
				stoppable.Store(true)
				time.Sleep(2 * time.Second)
				is.True(s.ended())
			})
		})
	}
}

// Guards against a unit that waits for a worker that is gone, because a start request that was never sent counts as one that may still be carried out.
func TestStartNotSent(t *testing.T) {
	tests := []struct {
		name      string
		err       error // of each start request
		wantEnded bool
	}{
		{"no connection", &NotSentError{io.EOF}, true},
		{"no answer", &NoAnswerError{io.EOF}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				starts := 0
				s := newStartTest(t, WorkerClient{
					Start: func(context.Context, Target, StartRequest) error { starts++; return tt.err },
					Sync:  func(context.Context, Target, SyncRequest) (Report, error) { return Report{}, tt.err },
				})
				defer s.cancel()
				s.leader.deliverStart(s.worker, s.run, StartRequest{})
				is.True(time.Since(s.run.startedAt) >= startDeadline) // a gang waits for members on a worker that is back soon
				is.Equal(s.ended(), tt.wantEnded)
				is.True(starts <= int(startDeadline/startRetryInterval)+2)
			})
		})
	}
}

// Guards against a start, decided just before, that renews the leases of a worker that carries out no stops.
func TestStartOnUnstoppableWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		starts := 0
		s := newStartTest(t, WorkerClient{Start: func(context.Context, Target, StartRequest) error { starts++; return nil }})
		defer s.cancel()
		s.worker.unstoppable = true
		s.leader.deliverStart(s.worker, s.run, StartRequest{})
		is.Equal(starts, 0)
		is.True(s.ended())
	})
}

// Guards against a unit that waits for a stop of a run that certainly has not started.
func TestRefusedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var stops atomic.Int32
		s := newStartTest(t, WorkerClient{
			Start: func(context.Context, Target, StartRequest) error { return &RefusedError{RefusedUnhealthy} },
			Stop:  func(context.Context, Target, StopRequest) error { stops.Add(1); return nil },
		})
		defer s.cancel()
		s.leader.deliverStart(s.worker, s.run, StartRequest{})
		is.True(s.ended())
		is.Equal(stops.Load(), int32(0))
	})
}

// Guards against a unit that waits for a worker that is gone, because its run was stopped while the only request to start it was under way and certainly not sent.
func TestStopDuringUnsentStart(t *testing.T) {
	tests := []struct {
		name      string
		err       error // of the start request
		wantEnded bool
	}{
		{"no connection", &NotSentError{io.EOF}, true},
		{"unhealthy", &RefusedError{RefusedUnhealthy}, true},
		{"newer leader", &RefusedError{RefusedStaleToken}, true},
		{"no answer", &NoAnswerError{io.EOF}, false},
		{"accepted", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newStartTest(t, WorkerClient{
					Start: func(context.Context, Target, StartRequest) error {
						time.Sleep(requestTimeout)
						return tt.err
					},
					Stop: func(context.Context, Target, StopRequest) error { return &NotSentError{io.EOF} },
					Sync: func(context.Context, Target, SyncRequest) (Report, error) { return Report{}, &NotSentError{io.EOF} },
				})
				defer s.cancel()
				go s.leader.deliverStart(s.worker, s.run, StartRequest{})
				time.Sleep(requestTimeout / 2)
				s.stop()
				is.True(!s.ended())
				time.Sleep(requestTimeout)
				is.Equal(s.ended(), tt.wantEnded)
				time.Sleep(5 * time.Second)
				is.Equal(s.ended(), tt.wantEnded)
			})
		})
	}
}

// Guards against a gang that waits for two long polls of a worker that will never run a member, because it refused the run as ended and has no end to report.
func TestRefusedEndedRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStartTest(t, WorkerClient{
			Start: func(context.Context, Target, StartRequest) error { return &RefusedError{RefusedStaleRun} },
			Sync: func(_ context.Context, _ Target, req SyncRequest) (Report, error) {
				time.Sleep(req.MaxWait)
				return Report{Incarnation: 1, Running: []RunningTask{{Task: TaskID{Job: "b"}, Run: 1}}}, nil
			},
		})
		other := &run{key: runKey{TaskID{Job: "b"}, 1}, unit: ledger.UnitID{Job: "b"}}
		s.leader.mu.Lock()
		s.leader.addRun(s.worker, other)
		s.worker.leasesEnd = time.Now().Add(maxLeaseTime(s.leader.Bounds.Lease))
		s.leader.mu.Unlock()
		go s.leader.runSession(s.worker)
		time.Sleep(minSyncWait / 2) // the session is in a long poll
		s.leader.deliverStart(s.worker, s.run, StartRequest{})
		time.Sleep(minSyncWait / 4)
		is.True(s.ended())
		s.cancel()
		time.Sleep(maxSyncWait) // until the sync in flight has ended
	})
}

// Guards against a gang of which a member waits for its share of the network link while the others wait for it.
func TestStartWaitsForLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		starts := 0
		s := newStartTest(t, WorkerClient{Start: func(context.Context, Target, StartRequest) error { starts++; return nil }})
		defer s.cancel()
		s.leader.pacer = newPacer(1_250_000)
		release, ok := s.leader.pacer.acquire(t.Context(), s.leader.pacer.windowBytes)
		is.True(ok)
		go s.leader.deliverStart(s.worker, s.run, StartRequest{})
		time.Sleep(startDeadline - time.Millisecond)
		is.True(!s.ended())
		time.Sleep(2 * time.Millisecond)
		is.True(s.ended())
		release()
		time.Sleep(time.Second)
		is.Equal(starts, 0)
	})
}
