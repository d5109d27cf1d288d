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

// TestNoStarvation guards against starvation of a large job by a stream of small
// ones, and of a small job by a stream of large ones.
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

// TestUrgentStreamLeavesRoom guards against a stream of urgent jobs that keeps a
// large job from ever starting.
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

// TestOrder guards against a job that claims a guarantee but is placed after
// others, and against urgent jobs that are placed after the rest.
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

// TestFairShare guards against an account with a high weight that takes all
// capacity from an account with a low weight.
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

// TestFairShareLeavesOutGuarantees guards against an account that loses fair
// share because the accelerators that it uses under its guarantees are counted.
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
	// Small jobs at first leave free the last unit that fits the guaranteed shape.
	// With this high a weight of completion they may take it after 1.8 ms.
	c.scheduler.Policy.CompletionWeight = 1e6
	c.at += 1000 // no record is applied, so the state's clock does not advance
	c.round()
	is.Equal(c.state.Accounts["asha"].Used, 16+8)
	is.Equal(c.state.Accounts["ben"].Used, 8)
}

// TestIdleRounds guards against rounds that repeat their work while the state is
// unchanged.
func TestIdleRounds(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 1, 4)
	c.account("asha", state.AccountBody{})
	is.Equal(len(c.round()), 0)
	before := c.scheduler.idle.at
	c.at += DefaultIdleIntervalMs / 2
	c.round()
	is.Equal(c.scheduler.idle.at, before)
	c.submit("a", "asha", "1x1@worker", 60_000, nil)
	is.Equal(len(c.round()), 1)
}

// TestRoundIsBounded guards against a round that proposes an unlimited number of
// records after a burst of submissions.
func TestRoundIsBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 8, 8, 8)
	c.account("asha", state.AccountBody{})
	for i := range 300 {
		c.submit(fmt.Sprintf("a%03d", i), "asha", "1x1@worker", 60_000, nil)
	}
	is.Equal(len(c.round()), DefaultMaxRecords)
}

// TestManyNeedsDoNotBlock guards against a job that is never tried because jobs
// before it, which do not fit, use up the placement attempts of every round.
func TestManyNeedsDoNotBlock(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 2, 4)
	c.scheduler.MaxAttempts, c.scheduler.ReserveAfterMs = 8, 1<<40
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

// TestTimesLearn guards against estimates that follow declared run times instead
// of the measured run times of jobs of the same kind.
func TestTimesLearn(t *testing.T) {
	is := is.New(t)
	var times RunTimes
	mean, _ := times.Estimate("asha", "survey", 1000)
	is.Equal(mean, int64(1000))
	for range 10 {
		times.Add("asha", "survey", 60_000)
	}
	mean, upper := times.Estimate("asha", "survey", 1000)
	is.Equal(mean, int64(60_000))
	is.True(upper < 80_000)
}

// TestExplain guards against an explanation that gives the wrong cause.
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

// drawEvents runs the scheduler on a randomly drawn history of submissions,
// failures and cancellations.
func drawEvents(t *rapid.T) *cluster {
	c := newCluster(t, 2, 2, 2, 4)
	c.scheduler.MigrationIntervalMs, c.scheduler.ReserveAfterMs = 1, 20_000
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

// TestProposalsAreAccepted guards against proposals that the state refuses
// although no other record was applied in between, and against states that
// violate an invariant.
func TestProposalsAreAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drawEvents(t) })
}

// TestReplayIsDeterministic guards against decisions that depend on anything but
// their inputs, such as the iteration order of a map.
func TestReplayIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		gen := rapid.Custom(func(t *rapid.T) *cluster { return drawEvents(t) })
		a, b := gen.Example(int(seed%1_000_000)), gen.Example(int(seed%1_000_000))
		if len(a.proposed) != len(b.proposed) {
			t.Fatalf("%d and %d records", len(a.proposed), len(b.proposed))
		}
		for i := range a.proposed {
			if a.proposed[i].ID != b.proposed[i].ID || !bytes.Equal(a.proposed[i].Body, b.proposed[i].Body) {
				t.Fatalf("record %d differs: %s and %s", i, a.proposed[i].ID, b.proposed[i].ID)
			}
		}
		if a.state.Chain != b.state.Chain {
			t.Fatal("the states differ")
		}
	})
}
