package state

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
)

// TestClaimFromFastClock guards against a claim that is forgotten while its id
// could still be claimed again, because the caller's clock was ahead when it
// made the id.
func TestClaimFromFastClock(t *testing.T) {
	is := is.New(t)
	c := newScene(t)
	claim := record.Claim{Request: fmt.Sprintf("%d-fast", c.s.Now+MaxBatchAgeMs), Account: "asha"}
	c.ok("a", record.KindClaim, claim)
	c.pass(ClaimRetentionMs + sweepInterval + 1000)
	is.Equal(c.do("b", record.KindClaim, claim).Reason, ReasonClaimed)
	c.pass(MaxBatchAgeMs)
	is.Equal(c.do("b", record.KindClaim, claim).Reason, ReasonExpired)
	is.Equal(len(c.s.Claims), 0)
}
