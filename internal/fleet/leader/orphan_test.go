package leader

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/policy"
)

// Guards against an orphan run that goes on because a stop request was refused or lost, and against a worker that stays unused once it has ended.
func TestOrphanIsStopped(t *testing.T) {
	tests := []struct {
		name string
		err  error // of the first stop requests
	}{
		{"at once", nil},
		{"refused", &RefusedError{RefusedUnhealthy}},
		{"not answered", errRefusedConn},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var stopped atomic.Bool
				var stops, syncs atomic.Int32
				s := newStartTest(t, WorkerClient{
					Stop: func(context.Context, Target, StopRequest) error {
						if stops.Add(1) <= 2 && tt.err != nil {
							return tt.err
						}
						stopped.Store(true)
						return nil
					},
					Sync: func(_ context.Context, _ Target, req SyncRequest) (Report, error) {
						syncs.Add(1)
						time.Sleep(req.MaxWait)
						if stopped.Load() {
							return Report{Incarnation: 1}, nil
						}
						return Report{Incarnation: 1, Running: []RunningTask{{Task: TaskID{Job: "b"}, Run: 1}}}, nil
					},
				})
				defer s.cancel()
				s.worker.listed = true
				s.leader.mu.Lock()
				s.leader.removeRun(s.run) // the worker is idle
				s.leader.mu.Unlock()
				go s.leader.runSession(s.worker)
				time.Sleep(3500 * time.Millisecond)
				synctest.Wait()
				is.True(stopped.Load())
				is.True(syncs.Load() < 10)
				s.leader.mu.Lock()
				defer s.leader.mu.Unlock()
				is.Equal(len(s.worker.orphans), 0)
				is.True(s.worker.usable(time.Now()))
			})
		})
	}
}

// Guards against a unit that starts while an orphan run of one of its tasks goes on.
func TestUnitWaitsForOrphan(t *testing.T) {
	gang := ledger.Job{ID: "a", Steps: []ledger.Step{{Count: 2, Gang: true}}}
	tasks := ledger.Job{ID: "a", Steps: []ledger.Step{{Count: 2}}}
	tests := []struct {
		name   string
		job    ledger.Job
		orphan TaskID
		want   int // units that may start
	}{
		{"gang", gang, TaskID{Job: "a", Index: 1}, 0},
		{"task", tasks, TaskID{Job: "a", Index: 1}, 1},
		{"unknown job", tasks, TaskID{Job: "b"}, 2},
		{"unknown step", tasks, TaskID{Job: "a", Step: 1}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := testLeader()
			l.Policy = &policy.Current{}
			s := ledger.NewState()
			s.Apply(ledger.Record{Submit: &tt.job})
			w := newWorker("w", time.Now())
			l.workers[w.id] = w
			w.contacted, w.incarnation = true, 1
			report := Report{Incarnation: 1, Running: []RunningTask{{Task: tt.orphan, Run: 1}}}
			l.applyReport(w, report, l.exchange(w, time.Now()))
			is.Equal(len(l.planInput(s, &policy.Config{}).Waiting), tt.want)
		})
	}
}

// Guards against a unit that waits for ever for an orphan run on a worker that is gone.
func TestOrphanOnDepartedWorker(t *testing.T) {
	is := is.New(t)
	l := testLeader()
	w := newWorker("w", time.Now())
	l.workers[w.id] = w
	w.contacted, w.incarnation = true, 1
	l.applyReport(w, Report{Incarnation: 1, Running: []RunningTask{{Task: TaskID{Job: "b"}, Run: 1}}}, l.exchange(w, time.Now()))
	is.Equal(len(w.orphans), 1)
	w.unresponsive, w.knownSince = true, time.Now().Add(-2*machineListDelay)
	for range minAbsentLists {
		l.endDeparted([]Machine{{Worker: "other"}})
	}
	is.Equal(len(w.orphans), 0)
}

// Guards against taking a run that was started again for ended while the worker reports it, because the end of its first start is not stored yet.
func TestLateOrphanOfEndingRunIsKept(t *testing.T) {
	is := is.New(t)
	l := testLeader()
	w := l.addContacted("w")
	now := time.Now()
	n := &run{key: runKey{TaskID{Job: "a"}, 1}, worker: w, unit: ledger.UnitID{Job: "a"}, incarnation: 1, endProposed: true,
		proof: proof{openStarts: 1, startSentAt: now, startToken: l.target(w).Token, settledAt: now}}
	w.runs[n.key] = n
	running := []RunningTask{{Task: n.key.task, Run: 1}}
	l.applyReport(w, Report{Incarnation: 2, Running: running}, l.exchange(w, now.Add(time.Millisecond)))
	is.True(!w.usable(time.Now())) // the new incarnation has not seen its token
	for i := range 3 {
		l.applyReport(w, Report{Incarnation: 2, Running: running}, l.exchange(w, now.Add(time.Duration(i+2)*time.Millisecond)))
		is.Equal(len(w.orphans), 1) // it stops, but has not ended
		is.True(!w.usable(time.Now()))
	}
}

// Guards against a worker and a unit that wait for two long polls for the end of an orphan run that was found beside the session.
func TestOrphanFoundBesideSession(t *testing.T) {
	const stopGrace = 200 * time.Millisecond
	tests := []struct {
		name     string
		spurious bool // the report that showed it arrived late, and it had ended before
	}{{"runs", false}, {"has ended", true}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var ended atomic.Bool
				orphan := Report{Incarnation: 1, Running: []RunningTask{{Task: TaskID{Job: "b"}, Run: 1}}}
				s := newStartTest(t, WorkerClient{
					Stop: func(context.Context, Target, StopRequest) error {
						time.Sleep(time.Millisecond) // on the network
						time.AfterFunc(stopGrace, func() { ended.Store(true) })
						return nil
					},
					Sync: func(_ context.Context, _ Target, req SyncRequest) (Report, error) {
						before := ended.Load()
						for waited := time.Duration(0); waited < req.MaxWait && ended.Load() == before; waited += time.Millisecond {
							time.Sleep(time.Millisecond) // until the run ends
						}
						if ended.Load() {
							return Report{Incarnation: 1}, nil
						}
						return orphan, nil
					},
				})
				s.leader.mu.Lock()
				s.worker.leasesEnd = time.Now().Add(maxLeaseTime(s.leader.Bounds.Lease))
				s.leader.mu.Unlock()
				ended.Store(tt.spurious)
				go s.leader.runSession(s.worker)
				time.Sleep(minSyncWait / 8) // the session is in a long poll
				s.leader.applyReport(s.worker, orphan, s.leader.exchange(s.worker, time.Now()))
				s.leader.mu.Lock()
				is.Equal(len(s.worker.orphans), 1)
				s.leader.mu.Unlock()
				time.Sleep(stopGrace + 2*minStopPause)
				s.leader.mu.Lock()
				is.Equal(len(s.worker.orphans), 0)
				s.leader.mu.Unlock()
				s.cancel()
				time.Sleep(maxSyncWait) // until the sync in flight has ended
			})
		})
	}
}
