package schedule

import (
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/state"
)

// TestReservationLeavesBlocks guards against a reservation of one account that
// keeps small jobs of another account out of that account's own blocks. On four
// recorded traces guarantees were missed for minutes because of it.
func TestReservationLeavesBlocks(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1, 2, 4)
	c.scheduler.AgeingMs = 1 // the oldest job comes first
	c.account("asha", state.AccountBody{Guarantees: []state.GuaranteeBody{{Shape: "1x4@worker", Count: 1}}})
	c.account("ravi", state.AccountBody{})
	c.submit("open", "ravi", "1x4@worker", 10*DefaultReserveAfterMs, nil)
	c.submit("lent", "ravi", "1x4@worker", 10*DefaultReserveAfterMs, nil)
	c.round()
	large := c.submit("large", "ravi", "2x4@rack", DefaultReserveAfterMs, nil)
	c.round()
	c.at += DefaultReserveAfterMs
	c.round()
	_, reserved := c.scheduler.reservedUnits[large.ID]
	is.True(reserved)
	own := c.submit("own", "asha", "1x1@worker", 20*DefaultReserveAfterMs, nil) // runs too long to be backfilled
	c.round()
	is.Equal(own.Phase, state.JobRunning)
	is.True(own.Guaranteed)
}
