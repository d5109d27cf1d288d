package state

import (
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// TestPartlyCovered guards against a placement that counts as guaranteed, and so
// may evict, although only a part of its accelerators lies in blocks of its
// account.
func TestPartlyCovered(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	p := publish("account/dora", 0, AccountBody{Guarantees: []GuaranteeBody{{"1x2@worker", 1}}})
	p.Blocks = []record.Block{{Slots: []shape.Slot{{Worker: 2, Mask: 0x3}}}}
	c.mustApply("a", record.KindPublish, p)
	k := c.run("k", "chitra", false, 2)
	j := c.submit("j", "dora", 1, false)
	place := record.Place{Job: "j", Revision: j.Revision, Slots: slots(2), Evict: []record.Victim{{Job: "k", Token: k.Token}}}
	is.Equal(c.propose("a", record.KindPlace, place).Reason, ReasonGuarantee)
	is.Equal(k.Phase, JobRunning)
	c.report(k, 2, record.RunDone)
	place.Evict = nil
	c.mustApply("a", record.KindPlace, place)
	is.True(!j.Guaranteed)
}

// TestLostWorkerMayRun guards against accelerators that are released while a lost
// worker may still run a task on them under its lease.
func TestLostWorkerMayRun(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	j := c.run("j", "chitra", false, 3)
	c.health(3, record.ConditionLost)
	c.advanceClock(LostTaskRetentionMs - 1)
	is.Equal(j.Phase, JobStopping)
	is.Equal(c.s.Workers[3].Used(), shape.Mask(0xf))
	c.advanceClock(1 + sweepIntervalMs)
	is.Equal(j.Phase, JobWaiting)
}
