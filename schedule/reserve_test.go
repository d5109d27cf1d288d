package schedule

import (
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/state"
)

// Guards against a reservation of one account that keeps another account's
// small jobs out of their own blocks, which missed guarantees for minutes on
// four recorded traces.
func TestReservationLeavesBlocks(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 2, 4)
	c.scheduler.Ageing = 1 // the oldest job comes first
	c.account("asha", state.AccountBody{Guarantees: []state.GuaranteeBody{{Shape: "1x4@worker", Count: 1}}})
	c.account("ravi", state.AccountBody{})
	c.submit("open", "ravi", "1x4@worker", 10*DefaultReserveAfter, nil)
	c.submit("lent", "ravi", "1x4@worker", 10*DefaultReserveAfter, nil)
	c.round()
	large := c.submit("large", "ravi", "2x4@rack", DefaultReserveAfter, nil)
	c.round()
	c.at += DefaultReserveAfter
	c.round()
	_, reserved := c.scheduler.units[large.ID]
	is.True(reserved)
	own := c.submit("own", "asha", "1x1@worker", 20*DefaultReserveAfter, nil) // too long for a backfill
	c.round()
	is.Equal(own.Phase, state.JobRunning)
	is.True(own.Guaranteed)
}
