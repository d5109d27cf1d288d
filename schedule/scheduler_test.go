package schedule

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// Guards against large jobs that starve behind a stream of small ones, and
// against small ones that starve behind a stream of large ones.
func TestNoStarvation(t *testing.T) {
	tests := []struct {
		name          string
		stream, probe string
		batch         int // jobs of the stream each 10 s
		limit         int64
	}{
		{name: "large behind small", stream: "1x1@worker", probe: "4x4@rack", batch: 6, limit: 20 * 60_000},
		{name: "small behind large", stream: "4x4@rack", probe: "1x1@worker", batch: 1, limit: 20 * 60_000},
		{name: "domain behind small", stream: "1x2@worker", probe: "8x4@domain", batch: 6, limit: 30 * 60_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 2, 4, 4)
			c.account("asha", state.AccountBody{})
			c.account("ben", state.AccountBody{})
			n := 0
			var probe *state.Job
			for step := range 600 {
				for range tt.batch {
					n++
					c.submit(fmt.Sprintf("s%05d", n), "asha", tt.stream, 60_000, nil)
				}
				if step == 30 {
					probe = c.submit("probe", "ben", tt.probe, 60_000, nil)
				}
				c.round()
				if probe != nil && probe.StartedAt > 0 {
					break
				}
				c.at += 10_000
			}
			is.True(probe.StartedAt > 0) // the probe never started
			t.Logf("started after %d s", (probe.StartedAt-probe.SubmittedAt)/1000)
			is.True(probe.StartedAt-probe.SubmittedAt <= tt.limit)
		})
	}
}

// Guards against urgent work that keeps a large job from ever starting.
func TestUrgentStreamLeavesRoom(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2, 4, 4)
	c.account("asha", state.AccountBody{})
	c.account("ben", state.AccountBody{})
	n := 0
	probe := c.submit("probe", "ben", "4x4@rack", 60_000, nil)
	for range 400 {
		for range 6 {
			n++
			c.submit(fmt.Sprintf("u%05d", n), "asha", "1x1@worker", 60_000, func(s *record.Submit) { s.Urgent = true })
		}
		if probe.Phase != state.JobWaiting {
			break
		}
		c.round()
		c.at += 10_000
	}
	is.True(probe.StartedAt > 0)
}

// Guards against a guarantee claim that waits behind others, and against
// urgent jobs that wait behind the rest.
func TestOrder(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 2, 4)
	c.account("asha", state.AccountBody{Guarantees: []state.GuaranteeBody{{Shape: "1x4@worker", Count: 1}}})
	c.account("ben", state.AccountBody{})
	c.submit("old", "ben", "1x2@worker", 60_000, nil)
	c.submit("urgent", "ben", "1x3@worker", 60_000, func(s *record.Submit) { s.Urgent = true })
	c.submit("claim", "asha", "1x4@worker", 60_000, nil)
	recs := c.round()
	is.True(len(recs) >= 2)
	is.Equal(recs[0].ID[:11], "place-claim")
	is.Equal(recs[1].ID[:12], "place-urgent")
}

// Guards against a heavy account that keeps all capacity from a light one.
func TestFairShare(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2, 4, 4)
	c.account("asha", state.AccountBody{Weight: 3})
	c.account("ben", state.AccountBody{Weight: 1})
	for i := range 64 {
		c.submit(fmt.Sprintf("a%02d", i), "asha", "1x1@worker", 60_000, nil)
		c.submit(fmt.Sprintf("b%02d", i), "ben", "1x1@worker", 60_000, nil)
	}
	c.round()
	is.Equal(c.state.Accounts["asha"].Used, 24)
	is.Equal(c.state.Accounts["ben"].Used, 8)
}

// Guards against an account that is put behind others for using what it is
// guaranteed.
func TestFairShareLeavesOutGuarantees(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2, 4, 4)
	c.account("asha", state.AccountBody{Guarantees: []state.GuaranteeBody{{Shape: "4x4@rack", Count: 1}}})
	c.account("ben", state.AccountBody{})
	c.submit("claim", "asha", "4x4@rack", 1<<40, nil)
	c.round()
	for i := range 16 {
		c.submit(fmt.Sprintf("a%02d", i), "asha", "1x1@worker", 60_000, nil)
		c.submit(fmt.Sprintf("b%02d", i), "ben", "1x1@worker", 60_000, nil)
	}
	// Small jobs spare the last unit that fits the guaranteed shape at first; a
	// policy that weighs completion this high lets them take it after 1.8 ms.
	c.scheduler.Policy.CompletionWeight = 1e6
	c.at += 1000 // without a record, so that the state's clock stands still
	c.round()
	is.Equal(c.state.Accounts["asha"].Used, 16+8)
	is.Equal(c.state.Accounts["ben"].Used, 8)
}

// Guards against rounds that do their work again while nothing changes.
func TestIdleRounds(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 1, 4)
	c.account("asha", state.AccountBody{})
	is.Equal(len(c.round()), 0)
	before := c.scheduler.idle.at
	c.at += DefaultIdle / 2
	c.round()
	is.Equal(c.scheduler.idle.at, before)
	c.submit("a", "asha", "1x1@worker", 60_000, nil)
	is.Equal(len(c.round()), 1)
}

// Guards against a burst that makes a round unbounded.
func TestRoundIsBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 8, 8, 8)
	c.account("asha", state.AccountBody{})
	for i := range 300 {
		c.submit(fmt.Sprintf("a%03d", i), "asha", "1x1@worker", 60_000, nil)
	}
	is.Equal(len(c.round()), DefaultRound)
}

// Guards against a job that is never tried because too many others, which do
// not fit, come before it.
func TestManyNeedsDoNotBlock(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 2, 4)
	c.scheduler.Tries, c.scheduler.ReserveAfter = 8, 1<<40
	c.account("asha", state.AccountBody{})
	c.submit("first", "asha", "1x1@worker", 1<<40, nil)
	c.round()
	for i := range 40 {
		name := fmt.Sprintf("x%02d", i)
		c.account(name, state.AccountBody{})
		c.submit(name, name, "2x4@rack", 60_000, nil)
	}
	c.at++
	small := c.submit("small", "asha", "1x1@worker", 60_000, nil)
	for range 8 {
		c.round()
	}
	is.True(small.StartedAt > 0)
}

// Guards against estimates that follow declared values instead of what jobs
// of the kind took.
func TestTimesLearn(t *testing.T) {
	is := is.New(t)
	var times Times
	mean, _ := times.Expect("asha", "survey", 1000)
	is.Equal(mean, int64(1000))
	for range 10 {
		times.Learn("asha", "survey", 60_000)
	}
	mean, upper := times.Expect("asha", "survey", 1000)
	is.Equal(mean, int64(60_000))
	is.True(upper < 80_000)
}

// Guards against an explanation that names the wrong cause.
func TestExplain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 2, 4)
	c.account("asha", state.AccountBody{Quota: 6})
	c.account("ben", state.AccountBody{})
	c.submit("a", "asha", "1x4@worker", 60_000, nil)
	is.Equal(c.scheduler.Explain(c.state, "a", c.at).Cause, CauseOrder)
	c.round()
	is.Equal(c.scheduler.Explain(c.state, "a", c.at).Cause, CauseNone)
	c.submit("b", "asha", "1x4@worker", 60_000, nil)
	is.Equal(c.scheduler.Explain(c.state, "b", c.at).Cause, CauseQuota)
	c.submit("c", "ben", "2x4@rack", 60_000, nil)
	e := c.scheduler.Explain(c.state, "c", c.at)
	is.Equal(e.Cause, CauseSpace)
	is.Equal(e.Start, c.at+60_000)
	is.True(e.Change != "")
	is.Equal(c.scheduler.Explain(c.state, "zz", c.at).Cause, CauseUnknown)
}

// drawEvents runs a drawn history of submissions, failures and cancellations
// under the scheduler.
func drawEvents(t *rapid.T) *cluster {
	c := newCluster(t, 2, 2, 2, 4)
	c.scheduler.MoveEvery, c.scheduler.ReserveAfter = 1, 20_000
	c.account("asha", state.AccountBody{Guarantees: []state.GuaranteeBody{{Shape: "2x4@rack", Count: 1}, {Shape: "1x2@worker", Count: 2}}})
	c.account("ben", state.AccountBody{Weight: 2, Quota: 24})
	shapes := []string{"1x1@worker", "1x2@worker", "2x1@rack", "2x4@rack", "2x3@rack", "4x2@domain", "4x4@domain"}
	n := 0
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		c.at += 10_000
		switch rapid.IntRange(0, 9).Draw(t, "action") {
		case 0:
			w := c.state.Workers[rapid.IntRange(0, len(c.state.Workers)-1).Draw(t, "worker")]
			next := record.ConditionLost
			if w.Condition != record.ConditionReady {
				next = record.ConditionReady
			}
			c.must(record.KindHealth, record.Health{Worker: w.Index, Revision: w.Revision, Condition: next})
		case 1:
			for _, j := range c.jobs() {
				if j.Phase < state.JobDone && rapid.Bool().Draw(t, "cancel") {
					c.must(record.KindCancel, record.Cancel{Job: j.ID, By: "test"})
				}
			}
		case 2:
			w := c.state.Workers[rapid.IntRange(0, len(c.state.Workers)-1).Draw(t, "faulty")]
			c.faulty[w.Index] = !c.faulty[w.Index]
		default:
			for range rapid.IntRange(1, 6).Draw(t, "burst") {
				n++
				c.submit(fmt.Sprintf("j%03d", n), rapid.SampledFrom([]string{"asha", "ben"}).Draw(t, "account"),
					rapid.SampledFrom(shapes).Draw(t, "shape"), rapid.Int64Range(1, 100).Draw(t, "run")*10_000, func(s *record.Submit) {
						s.Urgent = rapid.IntRange(0, 4).Draw(t, "urgent") == 0
						s.Once = rapid.IntRange(0, 4).Draw(t, "once") == 0
						s.Checkpoint = rapid.Bool().Draw(t, "checkpoint")
					})
			}
		}
		c.round()
	}
	return c
}

// Guards against proposals that the fold refuses when nothing happened in
// between, and against states that break an invariant.
func TestProposalsAreAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drawEvents(t) })
}

// Guards against decisions that depend on anything but their inputs, such as
// the order of a map.
func TestReplayIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		gen := rapid.Custom(func(t *rapid.T) *cluster { return drawEvents(t) })
		a, b := gen.Example(int(seed%1_000_000)), gen.Example(int(seed%1_000_000))
		if len(a.log) != len(b.log) {
			t.Fatalf("%d and %d records", len(a.log), len(b.log))
		}
		for i := range a.log {
			if a.log[i].ID != b.log[i].ID || !bytes.Equal(a.log[i].Body, b.log[i].Body) {
				t.Fatalf("record %d differs: %s and %s", i, a.log[i].ID, b.log[i].ID)
			}
		}
		if a.state.Chain != b.state.Chain {
			t.Fatal("the states differ")
		}
	})
}
