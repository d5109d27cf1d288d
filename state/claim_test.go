package state

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
)

// TestClaimFromFastClock guards against a claim that is deleted while its id can
// still be claimed again. The caller's clock was ahead when it created the id, so
// the id expires later than the claim would.
func TestClaimFromFastClock(t *testing.T) {
	is := is.New(t)
	c := newFixture(t)
	claim := record.Claim{Request: fmt.Sprintf("%d-fast", c.s.Now+MaxBatchAgeMs), Account: "asha"}
	c.mustApply("a", record.KindClaim, claim)
	c.advanceClock(ClaimRetentionMs + sweepIntervalMs + 1000)
	is.Equal(c.propose("b", record.KindClaim, claim).Reason, ReasonClaimed)
	c.advanceClock(MaxBatchAgeMs)
	is.Equal(c.propose("b", record.KindClaim, claim).Reason, ReasonExpired)
	is.Equal(len(c.s.Claims), 0)
}
