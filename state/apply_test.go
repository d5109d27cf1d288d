package state

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// advanceClock advances the state's clock by ms in steps of MaxClockStepMs.
func (c *fixture) advanceClock(ms int64) {
	c.t.Helper()
	for end := c.s.Now + ms; c.s.Now < end; {
		b := c.batch("clock", newRecord(c.t, record.KindFence, record.Fence{}))
		b.At = min(end, c.s.Now+MaxClockStepMs)
		c.apply(b)
	}
}

// TestClock guards against a state's clock that a single fast writer moves far
// ahead, and against one that lags after an outage or after a first entry that is
// not a batch.
func TestClock(t *testing.T) {
	is := is.New(t)
	s := &State{}
	is.NoErr(s.Skip(0))
	seq := map[string]uint64{}
	at := func(writer string, at int64) int64 {
		seq[writer]++
		_, err := s.Apply(s.Offset, &record.Batch{Writer: writer, Seq: seq[writer], At: at})
		is.NoErr(err)
		return s.Now
	}
	const hour = 3_600_000
	is.Equal(at("a", testNow), int64(testNow))
	is.Equal(at("fast", testNow+100*hour), int64(testNow+MaxClockStepMs))
	is.Equal(at("fast", testNow+100*hour), int64(testNow+2*MaxClockStepMs)) // one writer does not confirm its own time
	is.Equal(at("a", testNow+25_000), int64(testNow+25_000))
	is.Equal(at("a", testNow), int64(testNow+25_000))        // never backward
	is.Equal(at("a", testNow+2*hour), int64(testNow+2*hour)) // two writers agree: the earlier time counts
	*s, seq = State{}, map[string]uint64{}
	is.Equal(at("a", testNow), int64(testNow))
	is.Equal(at("b", testNow+hour), int64(testNow+MaxClockStepMs))
	is.Equal(at("a", testNow+2*hour), int64(testNow+hour)) // also if the earlier time came first
}

// TestSameEntry guards against two changes in one entry that get the same version
// or token, so that a later proposal could not tell them apart.
func TestSameEntry(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	next := c.s.Offset + 1 // the token of the next entry
	out := c.apply(c.batch("a",
		newRecord(t, record.KindPublish, publish("policy/x", 0, map[string]int{})),
		newRecord(t, record.KindPublish, publish("policy/x", next, map[string]int{})),
		newRecord(t, record.KindHealth, record.Health{Worker: 2, Condition: record.ConditionLost}),
		newRecord(t, record.KindHealth, record.Health{Worker: 2, Revision: next}),
	))
	is.Equal(out[1].Reason, ReasonConflict)
	is.Equal(out[3].Reason, ReasonStale)
	j := c.submit("j", "chitra", 1, false)
	next = c.s.Offset + 1
	p := record.Place{Job: "j", Revision: j.Revision, Slots: slots(3)}
	q := p
	q.Revision = next
	out = c.apply(c.batch("a", newRecord(t, record.KindPlace, p), newRecord(t, record.KindAbort, record.Abort{Job: "j", Token: next}), newRecord(t, record.KindPlace, q)))
	is.Equal(out[2].Reason, ReasonStale)
}

// TestEviction guards against wrong counts after an eviction (quota, lost run
// time, progress), and against a victim that waits again before all of its
// workers have stopped it.
func TestEviction(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	k := c.run("k", "binu", false, 0, 1)
	c.advanceClock(5000)
	j := c.submit("j", "asha", 2, false)
	v := record.Victim{Job: "k", Token: k.Token}
	c.mustApply("a", record.KindPlace, record.Place{Job: "j", Revision: j.Revision, Slots: slots(0, 1), Evict: []record.Victim{v, v}, GraceMs: 500})
	is.Equal(k.Phase, JobStopping)
	is.Equal(k.LostMs, int64(5000)) // counted once, although the victim is named twice
	is.Equal(c.s.Accounts["binu"].Used, 0)
	is.Equal(c.s.Accounts["asha"].Used, 8)
	is.True(j.Guaranteed)
	old := &Job{ID: "k", Token: k.Token}
	report := func(worker uint32, progress float64) {
		c.mustApply("a", record.KindReport, record.Report{Worker: worker, Results: []record.Result{{Job: "k", Token: old.Token, Outcome: record.RunStopped, Progress: progress, RanMs: 5000}}})
	}
	report(0, 0.5)
	is.Equal(k.Phase, JobStopping) // the other worker has not stopped it yet
	report(1, 0.75)
	is.Equal(k.Phase, JobWaiting)
	is.Equal(k.Progress, 0.5) // the lowest of the members
	is.Equal(k.LostMs, int64(0))
	is.Equal(c.report(old, 0, record.RunDone).Reason, ReasonToken) // the result of an old placement is refused
}

// TestStopRaces guards against a job that runs again because its result and a
// preemption crossed, and against an evicted job that still waits for its stop
// although the start of its successor shows that it has stopped.
func TestStopRaces(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	k := c.run("k", "chitra", false, 2)
	c.mustApply("a", record.KindPreempt, record.Preempt{Job: "k", Token: k.Token})
	c.report(k, 2, record.RunDone)
	is.Equal(k.Phase, JobDone)
	k = c.run("l", "chitra", false, 0)
	j := c.submit("j", "asha", 1, false)
	c.mustApply("a", record.KindPlace, record.Place{Job: "j", Revision: j.Revision, Slots: slots(0), Evict: []record.Victim{{Job: "l", Token: k.Token}}})
	is.Equal(k.Phase, JobStopping)
	c.mustApply("a", record.KindStart, record.Start{Job: "j", Token: j.Token}) // its hold shows that l has stopped
	is.Equal(k.Phase, JobWaiting)
	// A task that was held and never ran needs no report of its end.
	h := c.placeJob("h", "chitra", false, 2, 3)
	c.mustApply("a", record.KindAbort, record.Abort{Job: "h", Token: h.Token, MissingWorkers: []uint32{3}})
	is.Equal(h.Phase, JobWaiting)
	is.Equal(c.s.Workers[3].LastMissedStart, c.s.Now)
	is.Equal(c.s.Workers[2].Used(), shape.Mask(0))
}

// TestPoison guards against a job that is retried forever, and against one that
// ends as failed although the workers are at fault, which also fail the jobs of
// another account.
func TestPoison(t *testing.T) {
	tests := []struct {
		name    string
		workers []uint32 // on which the job fails, in order
		others  string   // account whose jobs fail on each of these workers before
		want    JobPhase
	}{
		{"same worker", []uint32{2, 2, 2}, "", JobWaiting},
		{"two workers", []uint32{2, 3, 2, 3}, "", JobWaiting},
		{"three workers", []uint32{2, 3, 4}, "", JobFailed},
		{"three workers, same account", []uint32{2, 3, 4}, "chitra", JobFailed},
		{"three faulty workers", []uint32{2, 3, 4}, "binu", JobWaiting},
		{"ten failures", []uint32{2, 2, 2, 2, 2, 2, 2, 2, 2, 2}, "", JobFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newFixture(t)
			for _, w := range tt.workers {
				if tt.others != "" {
					c.report(c.run(fmt.Sprint("other", w), tt.others, true, w), w, record.RunFailed)
				}
			}
			j := c.submit("j", "chitra", 1, false)
			for _, w := range tt.workers {
				is.Equal(j.Phase, JobWaiting)
				c.mustApply("a", record.KindPlace, record.Place{Job: "j", Revision: j.Revision, Slots: slots(w)})
				c.mustApply("a", record.KindStart, record.Start{Job: "j", Token: j.Token})
				c.report(j, w, record.RunFailed)
			}
			is.Equal(j.Phase, tt.want)
			is.Equal(j.Failures, len(tt.workers))
		})
	}
}

// TestLost guards against a gang that waits for a new placement while a lost
// worker may still run it, and against one that stays in phase JobStopping
// forever because of that worker.
func TestLost(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	j := c.run("j", "chitra", false, 2, 3)
	c.report(j, 2, record.RunDone)
	c.health(2, record.ConditionLost) // the member there is done, so nothing is lost
	is.Equal(j.Phase, JobRunning)
	c.health(3, record.ConditionLost)
	is.Equal(j.Phase, JobStopping)
	c.advanceClock(LostTaskRetentionMs + sweepIntervalMs)
	is.Equal(j.Phase, JobWaiting)
	k := c.run("k", "chitra", false, 4)
	c.health(4, record.ConditionLost)
	is.Equal(c.report(k, 4, record.RunAbsent).Reason, Reason("")) // a keeper reports the end earlier
	is.Equal(k.Phase, JobWaiting)
}

// TestUnknown guards against a non-repeatable job that runs again after its worker
// was lost, against a late result that is not applied, and against unknown jobs
// that are never deleted.
func TestUnknown(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	j, k, l := c.run("j", "chitra", true, 2), c.run("k", "chitra", true, 3), c.run("l", "chitra", true, 4)
	for w := uint32(2); w < 5; w++ {
		c.health(w, record.ConditionLost)
	}
	is.Equal([]JobPhase{j.Phase, k.Phase, l.Phase}, []JobPhase{JobUnknown, JobUnknown, JobUnknown})
	is.True(c.s.AcceptsResult(c.s.Workers[2], "j", j.Token, record.RunDone))
	c.report(j, 2, record.RunDone)
	c.advanceClock(LostTaskRetentionMs + sweepIntervalMs) // the task of k is removed before its result arrives
	c.report(k, 3, record.RunFailed)
	is.Equal([]JobPhase{j.Phase, k.Phase, l.Phase}, []JobPhase{JobDone, JobFailed, JobUnknown})
	is.True(!c.s.AcceptsResult(c.s.Workers[3], "k", k.Token, record.RunDone))
	c.advanceClock(JobRetentionMs + sweepIntervalMs)
	is.Equal(len(c.s.Jobs), 0)
}

// TestGuaranteeDropped guards against a job that stays guaranteed, and so cannot
// be evicted, after its account's guarantee was removed or its block broke.
func TestGuaranteeDropped(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	j := c.run("j", "asha", false, 0, 1)
	is.True(j.Guaranteed)
	c.health(0, record.ConditionAside)
	is.True(!j.Guaranteed && c.s.Accounts["asha"].Blocks[0].Broken)
	c.health(0, record.ConditionReady)
	is.True(j.Guaranteed)
	c.mustApply("a", record.KindPublish, publish("account/asha", c.s.Configs["account/asha"].Version, AccountBody{}))
	is.True(!j.Guaranteed)
	is.Equal(c.s.Workers[0].Reserved(), shape.Mask(0))
}

// TestBrokenBlock guards against a broken block that is restored although a job
// that cannot be evicted runs on it, and against one that cannot be moved.
func TestBrokenBlock(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	c.health(0, record.ConditionLost)
	b := c.s.Accounts["asha"].Blocks[0]
	is.True(b.Broken)
	j := c.run("once", "chitra", true, 1) // not reserved while the block is broken
	c.health(0, record.ConditionReady)
	is.True(b.Broken)
	move := record.Reserve{Account: "asha", Revision: c.s.Accounts["asha"].Revision, Block: record.Block{Slots: slots(2, 3)}}
	c.mustApply("a", record.KindReserve, move)
	is.True(!b.Broken)
	is.Equal(c.s.Workers[1].Reserved(), shape.Mask(0))
	c.report(j, 1, record.RunDone)
}

// TestRetention guards against tables that grow without limit, and against claims
// that are deleted while their id can still be claimed again.
func TestRetention(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	claim := record.Claim{Request: request(0), Account: "asha"}
	c.mustApply("b", record.KindClaim, claim)
	c.mustApply("b", record.KindSettle, record.Settle{Request: request(0), Outcome: record.RequestNotRun})
	c.mustApply("a", record.KindClaim, claim) // it was not sent, so another writer may claim it
	is.Equal(c.propose("b", record.KindSettle, record.Settle{Request: request(0), Outcome: record.RequestDone}).Reason, ReasonOwner)
	c.report(c.run("j", "chitra", false, 2), 2, record.RunDone)
	c.advanceClock(ClaimRetentionMs - 1000)
	is.Equal(len(c.s.Claims), 1)
	is.Equal(c.propose("a", record.KindClaim, claim).Reason, ReasonClaimed)
	c.advanceClock(sweepIntervalMs + 2000)
	is.Equal(len(c.s.Claims), 0)
	is.Equal(c.propose("a", record.KindClaim, claim).Reason, ReasonExpired)
	is.Equal(c.s.Writers["b"], (*Writer)(nil))
	is.Equal(len(c.s.Jobs), 1)
	c.advanceClock(JobRetentionMs)
	is.Equal(len(c.s.Jobs), 0)
}

// TestMembers guards against an incarnation whose records still take effect after
// it was replaced or has left.
func TestMembers(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	c.mustApply("a2", record.KindJoin, record.Join{Name: "kochi-1", Version: 1})
	is.Equal(len(c.s.Members), 1)
	is.Equal(c.propose("a", record.KindFence, record.Fence{}).Reason, ReasonFenced)
	out := c.apply(c.batch("a2", newRecord(t, record.KindLeave, record.Leave{}), newRecord(t, record.KindJoin, record.Join{Name: "kochi-1", Version: 1})))
	is.Equal(out[1].Reason, ReasonFenced)
	is.Equal(len(c.s.Members), 0)
}

// FuzzCheckConfig guards against panics on configuration bodies, and against
// errors that name no field.
func FuzzCheckConfig(f *testing.F) {
	f.Add("account/asha", []byte(`{"weight":2,"quota":16,"guarantees":[{"shape":"2x4@rack","count":2}],"later":1}`))
	f.Add("rack/kochi-r1", []byte(`{"domain":"kochi","workers":[{"name":"w0","addr":"127.0.0.1:1","gpus":8,"cores":130,"memory":250}]}`))
	f.Add("service/badges", []byte(`{"servers":[{"name":"b1","addr":"127.0.0.1:2","slots":8,"connections":60}]}`))
	f.Add("policy/weights", []byte(`{"a":1}`))
	f.Add("account/asha", []byte(`{}]`))
	f.Fuzz(func(t *testing.T, name string, body []byte) {
		err := CheckConfig(name, body)
		var bad *FieldError
		if err != nil && (!errors.As(err, &bad) || bad.Field == "" || bad.Reason == "") {
			t.Fatalf("%v", err)
		}
		// The record is accepted or refused, and all invariants hold after it.
		c := newFixture(t)
		c.propose("a", record.KindPublish, record.Publish{Name: name, Body: body})
	})
}

// FuzzApply guards against panics and violated invariants on bodies that a faulty
// or newer instance may append.
func FuzzApply(f *testing.F) {
	add := func(kind record.Kind, body any) { f.Add(string(kind), []byte(newRecord(f, kind, body).Body)) }
	add(record.KindPlace, record.Place{Job: "w", Revision: 12, Slots: slots(3)})
	add(record.KindReport, record.Report{Worker: 2, Results: []record.Result{{Job: "r", Token: 9, Outcome: record.RunDone}}})
	add(record.KindHealth, record.Health{Worker: 2, Condition: record.ConditionLost})
	add(record.KindReserve, record.Reserve{Account: "asha", Revision: 4, Block: record.Block{Slots: slots(3, 4)}})
	add(record.KindSubmit, record.Submit{Job: "n", Account: "binu", Shape: shape.Shape{Members: 1, GPUs: 1}})
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		c := newFixture(t)
		c.run("r", "chitra", false, 2)
		c.submit("w", "asha", 1, false)
		c.apply(c.batch("b", record.Record{Kind: record.Kind(kind), Body: body}))
	})
}
