package state

import (
	"strconv"
	"strings"

	"jasminelane.example/lane/record"
)

// MaxClaims bounds the table of claims.
const MaxClaims = 200_000

// RequestTime returns the creation time in Unix milliseconds that a request's
// id starts with, as in "1796361383123-9f2c".
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

func (s *State) claim(b *record.Batch, c record.Claim) (Reason, string) {
	at, ok := RequestTime(c.Request)
	if !ok {
		return ReasonField, "request"
	}
	// Claims are kept for ClaimRetention after the id's own time, so an id
	// beyond that age may have been claimed and forgotten.
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
		// A claimant that settled notrun has not sent the request, so it may
		// be claimed again.
		if old.Outcome != record.RequestNotRun {
			return ReasonClaimed, old.Writer
		}
	} else if len(s.Claims) >= MaxClaims {
		return ReasonFull, "claims"
	}
	s.Claims[c.Request] = &Claim{
		Request: c.Request, Account: c.Account, Service: c.Service,
		Writer: b.Writer, Token: s.token(), ClaimedAt: s.Now,
	}
	return "", ""
}

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
	c.Outcome, c.Detail = e.Outcome, clip(e.Detail)
	return "", ""
}
