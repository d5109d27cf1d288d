package worker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/schedule"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/worker"
)

// TestLeaseOutlivesKeeper guards against tasks that stop because the instance
// that renews the lease of their worker failed.
func TestLeaseOutlivesKeeper(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2)
	stop := c.run(c.keeper(0).Run)
	c.run(c.keeper(1).Run)
	c.run(c.starter(0).Run)
	c.place(record.Submit{Job: "j1", ExpectedMs: 2000, Once: true}, 0, 2)
	c.waitPhase("j1", state.JobRunning)
	stop()
	c.waitPhase("j1", state.JobDone) // after three leases
	is.Equal(standin.Violations(c.workers.Audit()), nil)
}

// TestWorkerLost guards against a job that is placed again while a lost worker
// may still run it, and against a worker that stays lost after it can be
// reached again.
func TestWorkerLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2)
	k := c.keeper(0)
	c.run(k.Run)
	c.run(c.starter(0).Run)
	c.place(record.Submit{Job: "j1", ExpectedMs: 60_000}, 0, 2)
	token := c.job("j1").Token
	c.wait("j1 runs", func(*state.State) bool { return len(ran(c.workers.Audit(), token)) == 2 })
	c.workers.Fault(standin.WorkerFault{Worker: "w1", LoseAnswers: true}) // worst case: the worker accepts syncs and renews its lease, but its answers are lost
	c.wait("w1 is lost", func(s *state.State) bool { return s.Workers[1].Condition == record.ConditionLost })
	c.workers.Fault(standin.WorkerFault{Worker: "w1", Unreachable: true})
	c.waitPhase("j1", state.JobWaiting)
	released := time.Now()
	stopped := 0
	for _, e := range c.workers.Audit() {
		if e.Token == token && (e.Kind == "stopped" || e.Kind == "lapsed") {
			stopped++
			is.True(e.At.Before(released)) // no member runs any more
		}
	}
	is.Equal(stopped, 2)
	c.workers.Fault(standin.WorkerFault{Worker: "w1"})
	c.wait("w1 is back", func(s *state.State) bool { return s.Workers[1].Ready() })
}

// TestUnknownLearned guards against a non-repeatable job that stays unknown
// although its worker can be reached again and reports the result.
func TestUnknownLearned(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 1)
	c.run(c.keeper(0).Run)
	c.run(c.starter(0).Run)
	c.place(record.Submit{Job: "j1", ExpectedMs: 300, Once: true}, 0, 1)
	c.wait("j1 runs", func(s *state.State) bool { return len(ran(c.workers.Audit(), s.Jobs["j1"].Token)) == 1 })
	c.workers.Fault(standin.WorkerFault{Worker: "w0", Unreachable: true}) // the job ends within the lease
	c.waitPhase("j1", state.JobUnknown)
	c.workers.Fault(standin.WorkerFault{Worker: "w0"})
	c.waitPhase("j1", state.JobDone)
	is.Equal(c.job("j1").Starts, 1)
	is.Equal(standin.Violations(c.workers.Audit()), nil)
}

// TestUnreachableStop guards against a start on accelerators that a preempted
// job may still use on an unreachable worker.
func TestUnreachableStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 1)
	c.publishBlock("binu", 0)
	stop := c.run(c.keeper(0).Run)
	c.run(c.starter(0).Run)
	c.place(record.Submit{Job: "low", ExpectedMs: 60_000}, 0, 1)
	c.wait("low runs", func(s *state.State) bool { return len(ran(c.workers.Audit(), s.Jobs["low"].Token)) == 1 })
	stop()
	c.workers.Fault(standin.WorkerFault{Worker: "w0", Unreachable: true})
	st := c.starter(0)
	st.HoldTimeout = 100 * time.Millisecond
	c.run(st.Run)
	c.placeOver(record.Submit{Job: "high", Account: "binu"}, 0, "low", 0)
	c.waitPhase("high", state.JobWaiting) // aborted
	is.Equal(c.job("low").Phase, state.JobStopping)
}

// TestPausedKeeper guards against an instance that was paused, or whose view was
// not fresh, for longer than a lease, and then reports workers lost although it
// sent them no syncs in that time.
func TestPausedKeeper(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 1)
	var paused atomic.Bool
	k := c.keeper(0)
	k.Fresh = func() bool { return !paused.Load() }
	resumed := make(chan struct{}, 1)
	k.Count = func(event string) {
		if event == "resumed" {
			resumed <- struct{}{}
		}
	}
	c.run(k.Run)
	c.run(c.keeper(1).Run) // renews the lease meanwhile
	c.run(c.starter(0).Run)
	c.place(record.Submit{Job: "j1", ExpectedMs: 1500}, 0, 1)
	c.waitPhase("j1", state.JobRunning)
	paused.Store(true)
	time.Sleep(900 * time.Millisecond) // the pause, one and a half leases
	paused.Store(false)
	<-resumed
	c.waitPhase("j1", state.JobDone)
	is.Equal(c.job("j1").Starts, 1)
	c.view(func(s *state.State) { is.Equal(s.Workers[0].Revision, uint64(0)) }) // never reported lost
}

// TestSilentSide guards against an instance that cannot reach a worker and
// reports it lost again and again at short intervals while others reach it.
func TestSilentSide(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 1)
	k := c.keeper(0)
	k.Sync = func(context.Context, string, worker.SyncRequest) (worker.SyncAnswer, error) {
		return worker.SyncAnswer{}, &worker.UnreachableError{Worker: "w0", Err: context.DeadlineExceeded}
	}
	losses := 0
	k.Count = func(event string) {
		if event == "lost" {
			losses++
		}
	}
	stop := c.run(k.Run)
	stopOther := c.run(c.keeper(1).Run)
	for range 2 {
		c.wait("w0 is lost", func(s *state.State) bool { return s.Workers[0].Condition == record.ConditionLost })
		c.wait("w0 is back", func(s *state.State) bool { return s.Workers[0].Ready() })
	}
	began := time.Now()
	c.wait("w0 is lost", func(s *state.State) bool { return s.Workers[0].Condition == record.ConditionLost })
	stop()
	stopOther()
	is.Equal(losses, 3)
	is.True(time.Since(began) > k.Lease) // it waited longer than before
}

// TestStaleInstance guards against an instance with an old view that renews a
// lease or changes tasks after the worker has seen a newer log offset.
func TestStaleInstance(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	cl := &worker.Client{}
	_, err := cl.Sync(t.Context(), c.addr, worker.SyncRequest{Worker: "w0", Offset: 9, LeaseMs: 60_000})
	is.NoErr(err)
	_, err = cl.Sync(t.Context(), c.addr, worker.SyncRequest{Worker: "w0", Offset: 8, LeaseMs: 60_000})
	var stale *worker.StaleError
	is.True(isAs(err, &stale))
	is.Equal(stale.Offset, uint64(9))
	_, err = (&worker.Client{}).Sync(t.Context(), "127.0.0.1:1", worker.SyncRequest{Worker: "w0"})
	var lost *worker.UnreachableError
	is.True(isAs(err, &lost))
	k := c.keeper(0)
	k.Fresh = func() bool { return false }
	k.Sync = func(context.Context, string, worker.SyncRequest) (worker.SyncAnswer, error) {
		t.Error("synced on a view that is not fresh")
		return worker.SyncAnswer{}, nil
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	is.NoErr(k.Run(ctx))
}

// TestBadNumbers guards against a job that never ends because its worker reports
// a run time or progress that the state rejects.
func TestBadNumbers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.place(record.Submit{Job: "j1"}, 0, 1)
	c.must(record.KindStart, record.Start{Job: "j1", Token: c.job("j1").Token})
	c.view(func(s *state.State) {
		a := worker.SyncAnswer{Tasks: []worker.Status{{Job: "j1", Token: s.Jobs["j1"].Token, Phase: worker.StatusDone, RanMs: -5, Progress: 1.5}}}
		res := worker.Results(s, s.Workers[0], worker.SyncRequest{Offset: s.Offset}, a)
		is.Equal(len(res), 1)
		is.Equal(res[0].RanMs, int64(0))
		is.Equal(res[0].Progress, 1.0)
	})
}

// schedule places waiting jobs on free workers, from the worker after the one
// used last, until the context ends.
func (c *cluster) schedule(ctx context.Context) error {
	next := 0
	for {
		changed := c.watch()
		var recs []record.Record
		c.view(func(s *state.State) {
			taken := map[uint32]bool{}
			for _, j := range s.Jobs {
				if j.Phase != state.JobWaiting {
					continue
				}
				var slots []shape.Slot
				for i := range s.Workers {
					w := s.Workers[(next+i)%len(s.Workers)]
					if w.Ready() && w.Used() == 0 && !taken[w.Index] && len(slots) < j.Spec.Shape.Members {
						slots = append(slots, shape.Slot{Worker: w.Index, Mask: 0xf})
					}
				}
				if len(slots) < j.Spec.Shape.Members {
					continue
				}
				for _, sl := range slots {
					taken[sl.Worker] = true
				}
				next = int(slots[len(slots)-1].Worker) + 1
				sortSlots(slots)
				r, _ := record.New(record.KindPlace, "", record.Place{Job: j.ID, Revision: j.Revision, Slots: slots})
				recs = append(recs, r)
			}
		})
		if len(recs) > 0 {
			_, _ = c.propose(ctx, recs...)
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// TestPoison guards against workers that are quarantined because of one bad job
// or the jobs of one account.
func TestPoison(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 6)
	c.workers.TaskFails = func(_ string, g worker.Grant) bool { return g.Kind == "bad" }
	c.run(c.keeper(0).Run)
	c.run(c.starter(0).Run)
	c.run(c.schedule)
	for i := range 6 {
		c.must(record.KindSubmit, record.Submit{Job: fmt.Sprintf("bad%d", i), Kind: "bad", Account: "asha", Shape: shape.Shape{Members: 1, GPUs: 4, Level: shape.LevelRack}})
		c.must(record.KindSubmit, record.Submit{Job: fmt.Sprintf("good%d", i), Account: "binu", Shape: shape.Shape{Members: 1, GPUs: 4, Level: shape.LevelRack}})
	}
	c.wait("all jobs have ended", func(s *state.State) bool {
		for _, j := range s.Jobs {
			if !j.Phase.Terminal() {
				return false
			}
		}
		return true
	})
	for i := range 6 {
		is.Equal(c.job(fmt.Sprintf("bad%d", i)).Phase, state.JobFailed)
		is.Equal(c.job(fmt.Sprintf("good%d", i)).Phase, state.JobDone)
	}
	c.view(func(s *state.State) {
		for _, w := range s.Workers {
			is.True(w.Ready())
		}
	})
}

// TestQuarantine guards against a worker that fails every task and stays in
// service, and against one that stays quarantined after it is repaired.
func TestQuarantine(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 4)
	c.workers.Fault(standin.WorkerFault{Worker: "w1", FailTasks: true})
	probe := 300 * time.Millisecond
	c.run(c.keeper(0).Run)
	c.run(c.starter(0).Run)
	c.run(c.quarantine(schedule.Quarantine{ProbeDelayMs: probe.Milliseconds()}))
	c.run(c.schedule)
	n := 0
	feed := func(until string, cond func(s *state.State) bool) {
		c.wait(until, func(s *state.State) bool { return cond(s) || openJobs(s) == 0 })
		for stop := false; !stop; {
			for range 8 {
				n++
				c.must(record.KindSubmit, record.Submit{Job: fmt.Sprintf("j%d", n), Account: []string{"asha", "binu"}[n%2], Shape: shape.Shape{Members: 1, GPUs: 4, Level: shape.LevelRack}})
			}
			c.wait(until, func(s *state.State) bool { stop = cond(s); return stop || openJobs(s) == 0 })
		}
	}
	quarantined := func(count uint32) func(*state.State) bool {
		return func(s *state.State) bool {
			return s.Workers[1].Condition == record.ConditionAside && s.Workers[1].QuarantineCount == count
		}
	}
	feed("w1 is quarantined", quarantined(1))
	feed("w1 was probed and is quarantined again", quarantined(2))
	var began, back int64 // the state's clock at the two changes, in milliseconds
	c.view(func(s *state.State) { began = s.Workers[1].ConditionSince })
	c.workers.Fault(standin.WorkerFault{Worker: "w1"})
	feed("w1 succeeds again", func(s *state.State) bool {
		back = s.Workers[1].ConditionSince
		return s.Workers[1].Ready() && s.Workers[1].QuarantineCount == 0
	})
	is.True(back-began >= 2*probe.Milliseconds()) // the second probe delay is twice the first
	c.view(func(s *state.State) {
		for _, j := range s.Jobs {
			is.True(j.Phase != state.JobFailed) // no job failed because of the worker
		}
	})
}

// quarantine returns an actor that quarantines workers and readmits them by the
// rules of package schedule.
func (c *cluster) quarantine(q schedule.Quarantine) func(context.Context) error {
	return func(ctx context.Context) error {
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
			}
			for _, h := range c.conditions(q, time.Now().UnixMilli()+c.ahead) {
				r, err := record.New(record.KindHealth, "", h)
				if err != nil {
					return err
				}
				if _, err := c.propose(ctx, r); err != nil {
					return err
				}
			}
		}
	}
}

// conditions returns the health records that the rules ask for now.
func (c *cluster) conditions(q schedule.Quarantine, now int64) []record.Health {
	var out []record.Health
	c.view(func(s *state.State) {
		for _, w := range s.Workers {
			var done, failed float64
			for _, o := range s.Workers {
				if o != w && o.Condition != record.ConditionAside {
					done += float64(o.RecentDone)
					failed += float64(o.RecentFailed)
				}
			}
			h := record.Health{Worker: w.Index, Revision: w.Revision, Cause: "probe"}
			switch {
			case w.Condition == record.ConditionAside && q.ProbeDue(w, now):
				out = append(out, h)
			case w.Ready() && q.IsFaulty(s, w, done, failed, now):
				h.Condition, h.Cause = record.ConditionAside, state.CauseFailures
				out = append(out, h)
			}
		}
	})
	return out
}

// openJobs counts the jobs that have neither ended nor become unknown.
func openJobs(s *state.State) int {
	n := 0
	for _, j := range s.Jobs {
		if !j.Phase.Terminal() && j.Phase != state.JobUnknown {
			n++
		}
	}
	return n
}

// TestFaultsAtRandom guards against partial gangs, non-repeatable jobs that run
// twice and jobs that never end, under random worker faults and instance
// failures.
func TestFaultsAtRandom(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rnd := rand.New(rand.NewPCG(seed, 0))
	c := newCluster(t, 6)
	c.workers.RunTime = func(_ string, g worker.Grant) time.Duration { return time.Duration(g.ExpectedMs) * time.Millisecond }
	c.run(c.keeper(1).Run)
	c.run(c.starter(1).Run)
	c.run(c.schedule)
	for i := range 30 {
		c.must(record.KindSubmit, record.Submit{
			Job: fmt.Sprintf("j%d", i), Account: "asha", Once: i%3 == 0, ExpectedMs: 10 + rnd.Int64N(200),
			Shape: shape.Shape{Members: 1 + i%4, GPUs: 4, Level: shape.LevelRack},
		})
	}
	for range 12 {
		stopKeeper, stopStarter := c.run(c.keeper(0).Run), c.run(c.starter(0).Run)
		f := standin.WorkerFault{Worker: fmt.Sprintf("w%d", rnd.IntN(6))}
		switch rnd.IntN(5) {
		case 0:
			f.Restart = true
		case 1:
			f.Frozen = true
		case 2:
			f.Unreachable = true
		case 3:
			f.LoseAnswers = true
		case 4:
			f.DelayMs = 50
		}
		c.workers.Fault(f)
		pause(t, time.Duration(rnd.IntN(1000))*time.Millisecond)
		c.workers.Fault(standin.WorkerFault{Worker: f.Worker})
		stopKeeper()
		stopStarter()
	}
	c.wait("all jobs have ended", func(s *state.State) bool { return openJobs(s) == 0 })
	is.Equal(standin.Violations(c.workers.Audit()), nil)
	c.view(func(s *state.State) {
		for _, j := range s.Jobs {
			is.True(j.Phase == state.JobDone || j.Spec.Once && j.Phase == state.JobUnknown)
		}
	})
}
