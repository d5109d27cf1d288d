package state

import (
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
)

// TestRemoveLostRack guards against a lost rack that can never be removed
// because a guarantee has no other place, and against removing what is in use.
func TestRemoveLostRack(t *testing.T) {
	is := is.New(t)
	c := newScene(t)
	remove := func() Decision {
		return c.do("operator", record.KindPublish, record.Publish{
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

// TestTakeOverQuarantine guards against a worker that an operator sets aside
// while it is quarantined and that is probed all the same.
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
			c := newScene(t)
			w := c.s.Workers[2]
			c.ok("a", record.KindHealth, record.Health{Worker: 2, Revision: w.Revision, Condition: record.ConditionAside, Cause: tt.first})
			tt.then.Worker, tt.then.Revision = 2, w.Revision
			is.Equal(c.do("a", record.KindHealth, tt.then).Reason, tt.want)
			if tt.want == "" {
				is.Equal(w.Cause, tt.then.Cause)
			}
		})
	}
}

// TestStrikesOutlastSuccess guards against a quarantine whose growing delay
// starts over because work that still ran on the worker ends well.
func TestStrikesOutlastSuccess(t *testing.T) {
	is := is.New(t)
	c := newScene(t)
	w := c.s.Workers[2]
	j := c.run("j", "asha", false, 2)
	c.ok("a", record.KindHealth, record.Health{Worker: 2, Revision: w.Revision, Condition: record.ConditionAside, Cause: CauseFailures})
	c.report(j, 2, record.RunDone)
	is.Equal(j.Phase, JobDone)
	is.Equal(w.QuarantineCount, uint32(1))
	c.health(2, record.ConditionReady)
	probe := c.run("probe", "asha", false, 2)
	c.report(probe, 2, record.RunDone)
	is.Equal(w.QuarantineCount, uint32(0))
}
