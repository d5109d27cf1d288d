package feed

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// maxFewInstances is the number of known instances up to which a leader resigns
	// instead of naming its successor. So few hardly compete.
	maxFewInstances = 8

	// successorSeen is how recent a record of an instance must be for it to be
	// chosen as the successor. An instance that was lost more recently may still
	// be chosen; then leaderTimeout applies.
	successorSeen = 5 * time.Second
)

// HasManyInstances reports whether so many instances are known that they would compete for
// the leadership.
func (f *Feed) HasManyInstances() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return len(f.state.Peers) > maxFewInstances
}

// noteSeen notes a record of an instance as evidence that the instance is alive.
// The caller holds the lock.
func (f *Feed) noteSeen(r ledger.Record) {
	if !f.caughtUp {
		return
	}
	switch {
	case r.Join != nil:
		f.lastSeen[r.Join.Instance] = time.Now()
	case r.Submit != nil && f.state.Peers[r.Submit.Instance] != "":
		f.lastSeen[r.Submit.Instance] = time.Now()
	}
}

// successor returns the instance with the most processor time of those that were
// seen lately and are not draining. The caller holds the lock.
func (f *Feed) successor() (ledger.Join, bool) {
	var best ledger.Join
	for name, j := range f.state.Joins {
		usable := name != f.Instance && j.Incarnation != "" && !j.Draining && time.Since(f.lastSeen[name]) < successorSeen
		if usable && (best.Instance == "" || j.CPUs > best.CPUs || j.CPUs == best.CPUs && name < best.Instance) {
			best = j
		}
	}
	return best, best.Instance != ""
}

// beginHandover closes the term for further records and makes commitLoop append the
// claim of the next epoch for a successor. It returns false if there are few
// instances or no successor. The caller holds the lock.
func (f *Feed) beginHandover(t *term) bool {
	if len(f.state.Peers) <= maxFewInstances || t.resigning || t.handover != nil {
		return false
	}
	to, ok := f.successor()
	if !ok {
		return false
	}
	epoch := max(ledger.NextEpoch(f.state.Epoch), f.minClaimEpoch)
	t.handover = &ledger.Claim{Epoch: epoch, Instance: to.Instance, Incarnation: to.Incarnation}
	f.Logger.Info("handing over leadership", zap.String("cause", "draining"), zap.String("from", f.Instance), zap.String("to", to.Instance), zap.Uint64("epoch", epoch))
	t.signal()
	return true
}

// handoverOf returns the claim to append as the last record of the term, or nil.
func (f *Feed) handoverOf(t *term) *ledger.Claim {
	f.mu.Lock()
	defer f.mu.Unlock()
	return t.handover
}

// appendHandover appends the claim of the successor in the name of its epoch, so
// that the log refuses all later appends of this epoch. Another claim of the same
// epoch may have been stored first; the log then keeps that one only. The term ends
// with the answer, also if this instance has not read the record yet.
func (f *Feed) appendHandover(ctx context.Context, t *term, c ledger.Claim) {
	data, err := ledger.Encode(ledger.Record{Claim: &c})
	if err != nil {
		f.Logger.Error("leadership not handed over: the record could not be encoded", zap.Error(err))
		f.endTermOf(t, "not handed over")
		return
	}
	began, backoff := time.Now(), minBackoff
	h := f.newHedge(Batch{Records: [][]byte{data}, Epoch: c.Epoch, Seq: 1})
	for attempt := 1; ctx.Err() == nil; attempt++ {
		_, err := h.appendRound(ctx, attempt)
		var fenced *FencedError
		switch {
		case err == nil:
			f.Logger.Info("leadership handed over", zap.String("to", c.Instance), zap.Uint64("epoch", c.Epoch), zap.Duration("took", time.Since(began)))
			f.endTermOf(t, "handed over")
			return
		case errors.As(err, &fenced):
			f.Logger.Warn("leadership lost during the handover: a higher epoch has begun", zap.String("to", c.Instance), zap.Uint64("epoch", c.Epoch), zap.Error(err))
			f.endTermOf(t, "fenced")
			return
		case attempt == 1:
			f.Logger.Warn("append of the handover failed; retrying", zap.String("to", c.Instance), zap.Uint64("epoch", c.Epoch), zap.Error(err))
		}
		delay.For(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// endTermOf ends the term if it is still the current one.
func (f *Feed) endTermOf(t *term, cause string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term == t {
		f.endTerm(cause)
		f.notifyChanged()
	}
}

// StopClaiming makes the instance never claim the leadership again. It goes on
// leading if it leads.
func (f *Feed) StopClaiming() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retired = true
}

// Retire hands over the leadership, if the instance leads, and waits until this
// takes effect or the context ends. The instance never claims the leadership
// again. Among many instances, it names a successor; otherwise it resigns.
func (f *Feed) Retire(ctx context.Context) {
	f.mu.Lock()
	f.retired = true
	retiring := f.term
	if retiring == nil {
		f.mu.Unlock()
		return
	}
	if !f.beginHandover(retiring) {
		f.resign(retiring)
	}
	f.mu.Unlock()
	for ctx.Err() == nil {
		f.mu.Lock()
		ended := f.state.NoLeader || f.term != retiring
		changed := f.changed
		f.mu.Unlock()
		if ended {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	f.stepDown("shutting down")
}
