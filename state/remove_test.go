package state

import (
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
)

// TestRemoveLostRack guards against a lost rack that cannot be removed because a
// guarantee has no other place, and against removing a rack that is in use.
func TestRemoveLostRack(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	remove := func() Decision {
		return c.propose("operator", record.KindPublish, record.Publish{
			Name: "rack/r1", Base: c.s.Configs["rack/r1"].Version, Schema: 1, MinVersion: 1, Body: []byte(`{"domain":"kochi"}`),
		})
	}
	is.Equal(remove().Reason, ReasonBusy)
	for _, w := range c.s.Workers {
		c.health(w.Index, record.ConditionLost)
	}
	o := remove()
	is.Equal(o.Reason, Reason(""))
	is.NoErr(c.s.Check())
	is.True(c.s.Accounts["asha"].Blocks[0].Broken)
	loaded, err := Load(c.s.Image())
	is.NoErr(err)
	is.NoErr(loaded.Check())
	is.Equal(loaded.Sum(), c.s.Sum())
}

// TestTakeOverQuarantine guards against a quarantined worker that is still probed
// after an operator has set it aside: the operator's cause must replace that of
// the quarantine, and not the other way round.
func TestTakeOverQuarantine(t *testing.T) {
	tests := []struct {
		name  string
		first string
		then  record.Health
		want  Reason
	}{
		{"operator after failures", CauseFailures, record.Health{Condition: record.ConditionAside, Cause: "operator desk"}, ""},
		{"failures after operator", "operator desk", record.Health{Condition: record.ConditionAside, Cause: CauseFailures}, ReasonPhase},
		{"failures twice", CauseFailures, record.Health{Condition: record.ConditionAside, Cause: CauseFailures}, ReasonPhase},
		{"operator twice", "operator desk", record.Health{Condition: record.ConditionAside, Cause: "operator night"}, ReasonPhase},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newFixture(t)
			w := c.s.Workers[2]
			c.mustApply("a", record.KindHealth, record.Health{Worker: 2, Revision: w.Revision, Condition: record.ConditionAside, Cause: tt.first})
			tt.then.Worker, tt.then.Revision = 2, w.Revision
			is.Equal(c.propose("a", record.KindHealth, tt.then).Reason, tt.want)
			if tt.want == "" {
				is.Equal(w.Cause, tt.then.Cause)
			}
		})
	}
}

// TestStrikesOutlastSuccess guards against a quarantine whose growing delay is
// reset because a task that still ran on the worker succeeds. Only a success
// after the worker's return resets the count.
func TestStrikesOutlastSuccess(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	w := c.s.Workers[2]
	j := c.run("j", "asha", false, 2)
	c.mustApply("a", record.KindHealth, record.Health{Worker: 2, Revision: w.Revision, Condition: record.ConditionAside, Cause: CauseFailures})
	c.report(j, 2, record.RunDone)
	is.Equal(j.Phase, JobDone)
	is.Equal(w.QuarantineCount, uint32(1))
	c.health(2, record.ConditionReady)
	probe := c.run("probe", "asha", false, 2)
	c.report(probe, 2, record.RunDone)
	is.Equal(w.QuarantineCount, uint32(0))
}
