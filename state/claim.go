package state

import (
	"strconv"
	"strings"

	"jasminelane.example/lane/record"
)

// MaxClaims is the largest number of claims in the state.
const MaxClaims = 200_000

// RequestTime returns the creation time, in Unix milliseconds, at the start of
// a request's id such as "1796361383123-9f2c".
func RequestTime(id string) (int64, bool) {
	head, rest, ok := strings.Cut(id, "-")
	if !ok || rest == "" || len(id) > 128 {
		return 0, false
	}
	at, err := strconv.ParseInt(head, 10, 64)
	if err != nil || at <= 0 {
		return 0, false
	}
	return at, true
}

// claim applies record.Claim: it gives the batch's writer the right to run a
// request that is not repeatable.
func (s *State) claim(b *record.Batch, c record.Claim) (Reason, string) {
	at, ok := RequestTime(c.Request)
	if !ok {
		return ReasonField, "request"
	}
	// A claim is kept for ClaimRetentionMs after its id's creation time. The
	// claim of an older id may have been deleted, so it is refused.
	if s.Now-at >= ClaimRetentionMs || at-s.Now > MaxBatchAgeMs {
		return ReasonExpired, c.Request
	}
	if len(c.Service) > MaxNameBytes {
		return ReasonField, "service"
	}
	if s.Accounts[c.Account] == nil {
		return ReasonUnknown, c.Account
	}
	if old := s.Claims[c.Request]; old != nil {
		// A writer that settled a claim as notrun has not sent the request, so
		// it may be claimed again.
		if old.Outcome != record.RequestNotRun {
			return ReasonClaimed, old.Writer
		}
	} else if len(s.Claims) >= MaxClaims {
		return ReasonFull, "claims"
	}
	s.Claims[c.Request] = &Claim{
		Request: c.Request, Account: c.Account, Service: c.Service,
		Writer: b.Writer, Token: s.entryToken(), ClaimedAt: s.Now,
	}
	return "", ""
}

// settle applies record.Settle: it records the outcome of a claimed request.
func (s *State) settle(b *record.Batch, e record.Settle) (Reason, string) {
	c := s.Claims[e.Request]
	if c == nil {
		return ReasonUnknown, e.Request
	}
	if c.Writer != b.Writer {
		return ReasonOwner, c.Writer
	}
	if c.Outcome != "" && c.Outcome != record.RequestUnknown {
		return ReasonPhase, string(c.Outcome)
	}
	switch e.Outcome {
	case record.RequestDone, record.RequestNotRun, record.RequestUnknown:
	default:
		return ReasonField, "fate"
	}
	c.Outcome, c.Detail = e.Outcome, truncate(e.Detail)
	return "", ""
}
