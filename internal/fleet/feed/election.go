package feed

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/latency"
	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// leaderTimeout is how long a leader may append nothing before other
	// instances claim the leadership. A claim while the leader is alive is safe
	// but causes an unnecessary change of leader.
	leaderTimeout = 1600 * time.Millisecond

	// maxClaimJitter bounds the random delay that separates the claims of several
	// instances. The first one to append becomes the leader, and the others read
	// its claim before they would append their own.
	maxClaimJitter = 400 * time.Millisecond

	// claimTimeout is the shortest timeout of a claim.
	claimTimeout = time.Second

	// leaderLatencies is how much longer leaderTimeout is on a slow log, as a
	// multiple of its latency. Two appends of the leader in sequence are one latency
	// further apart, of two reads in sequence one may just miss a record, and a
	// third latency stands for the condition that claims do not have then.
	leaderLatencies = 3

	// maxClaimWindow bounds the period over which claims are spread on a slow log,
	// as a multiple of its latency. Without the bound, a few instances that are
	// left of many would claim late.
	maxClaimWindow = 16

	// lastResortDelay is how long nothing may be heard of a leader before an
	// instance claims the leadership although its state lacks records. Instances
	// whose state is complete claim well before that, and a leader writes the
	// snapshot that completes the state of others.
	lastResortDelay = 5 * time.Second

	// claimsPerRetention is how often a leader repeats its claim during the log's
	// retention time, so that the retained records always tell who leads.
	claimsPerRetention = 3

	// fencedStepFactor is the factor by which a claim raises the epoch by more steps
	// than the one before it, while the log refuses one claim after another. An instance
	// that knows no epoch at all so finds a high one within a few claims.
	fencedStepFactor = 4

	// maxFencedStep bounds these steps, so that epochs stay far below their limit.
	maxFencedStep = 1 << 20
)

// term is the state of an epoch that this instance leads.
type term struct {
	epoch     uint64
	resigning bool          // the resignation has been proposed
	handover  *ledger.Claim // of the successor; if set, no more records are queued
	cancel    context.CancelFunc
	queue     []ledger.Record
	wake      chan struct{}

	forwarded      []*forwarded // records of other instances for the next append
	forwardedBytes int
}

// signal wakes commitLoop.
func (t *term) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// epochBegan handles the begin of a new epoch: it ends the term of this instance,
// and begins a new one if the claim of the epoch is its own. The caller holds the
// lock.
func (f *Feed) epochBegan(c ledger.Claim) {
	if f.term != nil {
		f.term.cancel()
		f.term = nil
		f.Logger.Warn("leadership ended: a higher epoch began", zap.Uint64("epoch", c.Epoch), zap.String("to", c.Instance))
	}
	if c.Incarnation != f.Incarnation || c.Instance != f.Instance {
		f.Logger.Info("another instance became the leader", zap.Uint64("epoch", c.Epoch), zap.String("leader", c.Instance))
		return
	}
	if !f.mayLead(c.Epoch) {
		return
	}
	f.scheduleSnapshot(f.missedBefore > 0)
	f.missedBefore = 0 // the state of the leader is the one that counts from now on
	ctx, cancel := context.WithCancel(context.Background())
	f.term = &term{epoch: c.Epoch, cancel: cancel, wake: make(chan struct{}, 1)}
	f.Logger.Info("this instance became the leader", zap.Uint64("epoch", c.Epoch), zap.Uint64("offset", f.next))
	go f.commitLoop(ctx, f.term)
	if f.SaveSnapshot != nil {
		go f.snapshotLoop(ctx)
	}
	if f.OnLead != nil {
		f.OnLead(ctx, c.Epoch, f.state)
	}
	if f.retired {
		// Another leader has named this instance before it knew that it drains.
		f.resign(f.term)
	}
}

// resign proposes the resignation of the term, once. The caller holds the lock.
func (f *Feed) resign(t *term) {
	if !t.resigning {
		t.resigning = true
		f.ProposeLocked(t.epoch, ledger.Record{Resign: &ledger.LeaderNotice{Epoch: t.epoch}})
	}
}

// mayLead reports whether this instance may lead the epoch that it has claimed. It
// may not if its state lacks records, unless it has claimed as the last resort.
// The caller holds the lock.
func (f *Feed) mayLead(epoch uint64) bool {
	if f.missedBefore == 0 {
		return true
	}
	if epoch != f.lastResortEpoch {
		f.Logger.Warn("own claim took effect, but the state lacks records; not leading", zap.Uint64("epoch", epoch), zap.Uint64("before", f.missedBefore))
		return false
	}
	f.Logger.Warn("leading as the last resort: the state lacks records that neither a leader nor a snapshot provides", zap.Uint64("epoch", epoch), zap.Uint64("before", f.missedBefore))
	return true
}

// resignApplied ends the term of this instance if the resignation belongs to it.
// The caller holds the lock.
func (f *Feed) resignApplied(epoch uint64) {
	if f.term != nil && f.term.epoch == epoch {
		f.endTerm("resigned")
	}
}

// shouldClaim reports whether this instance should claim the leadership: its
// state is current, and the leader has resigned, has timed out or is an earlier
// incarnation of this instance. The claims of instances are separated by
// ClaimDelay and the jitter. An instance whose state lacks records claims only as
// the last resort.
func (f *Feed) shouldClaim(jitter time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.caughtUp || f.readsFailing || f.term != nil || f.retired {
		return false
	}
	if time.Now().Before(f.noClaimBefore) {
		return false
	}
	if f.next < f.claimStored {
		return false // the log tells who leads when the answered claim is read
	}
	slow := f.Latency.SlowLatency()
	if f.missedBefore > 0 && time.Since(f.leaderSeen) < lastResortDelay+leaderLatencies*slow {
		return false
	}
	if f.claimConflictEnd > 0 {
		return f.next >= f.claimConflictEnd
	}
	since := min(time.Since(f.leaderSeen), time.Since(f.lastClaim))
	delay := f.ClaimDelay + f.claimSpread(slow, jitter)
	if f.state.NoLeader {
		return since > delay+jitter/4
	}
	// An earlier incarnation of this instance has stopped and no longer leads.
	if f.state.Leader.Instance == f.Instance && f.state.Leader.Incarnation != f.Incarnation {
		return true
	}
	return since > leaderTimeout+leaderLatencies*slow+delay+jitter
}

// claimSpread returns a further delay of a claim on a slow log, proportional to the
// jitter. An instance reads the claim of another about two latencies after it was
// made. The claims of all known instances are spread over half a latency for each,
// so that few claim before they read the first claim. The caller holds the lock.
func (f *Feed) claimSpread(slow, jitter time.Duration) time.Duration {
	window := float64(slow) * min(float64(len(f.state.Peers))/2, maxClaimWindow)
	return time.Duration(window * float64(jitter) / float64(maxClaimJitter))
}

// claim claims the leadership of the next epoch. The instance learns from the
// log whether the claim took effect, and does not claim again before it has read
// the record of a claim that was answered.
//
// The claim is conditional on the end of the log: it is refused if records were
// appended that this instance has not read. This protects a leader whose records
// arrive late. A claim that was refused because of records of other instances is
// repeated without the condition once these records have been read. Otherwise no
// claim would succeed while the log is slow and jobs are submitted steadily. Of
// several unconditional claims the log stores only the first, because the others
// have the same epoch and sequence number. While the log is slow, no claim has the
// condition, because records nearly always come in between; the leader timeout is
// longer instead.
func (f *Feed) claim(ctx context.Context) {
	f.mu.Lock()
	next := f.next
	expectedEnd := &next
	if f.claimConflictEnd > 0 || f.Latency.SlowLatency() > 0 {
		expectedEnd = nil
	}
	epoch := max(ledger.NextEpoch(f.state.Epoch), f.minClaimEpoch)
	lastResort := f.missedBefore > 0
	if lastResort {
		f.lastResortEpoch = epoch
	}
	silent := time.Since(f.leaderSeen)
	f.lastClaim = time.Now()
	f.mu.Unlock()
	data, err := ledger.Encode(f.claimRecord(epoch))
	if err != nil {
		f.Logger.Error("leadership not claimed: the record could not be encoded", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, max(claimTimeout, latency.Longest(f.Latency.Estimate())))
	defer cancel()
	began := time.Now()
	offset, err := f.Append(ctx, Batch{Records: [][]byte{data}, ExpectedEnd: expectedEnd, Epoch: epoch, Seq: 1})
	if answered(err) {
		f.Latency.Observe(latency.Answer{Sent: began, Received: time.Now()})
	}
	f.Logger.Info("leadership claim attempted", zap.Uint64("epoch", epoch), zap.Uint64("next", next), zap.Bool("conditional", expectedEnd != nil), zap.Duration("silent", silent), zap.Bool("lastresort", lastResort), zap.Error(err))
	f.claimAnswered(epoch, next, offset, err)
}

// claimRecord returns the claim of an epoch by this instance.
func (f *Feed) claimRecord(epoch uint64) ledger.Record {
	return ledger.Record{Claim: &ledger.Claim{Epoch: epoch, Instance: f.Instance, Incarnation: f.Incarnation}}
}

// claimAnswered handles the answer of the log to a claim.
func (f *Feed) claimAnswered(epoch, next, offset uint64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claimConflictEnd = 0
	if err == nil {
		f.claimStored = offset + 1
	}
	var fenced *FencedError
	var mismatch *EndMismatchError
	switch {
	case errors.As(err, &fenced):
		// The log may have fenced the epoch by a claim that had no effect on the
		// state or has expired, so the next claim needs a higher one.
		f.minClaimEpoch = epoch + f.fencedStep*ledger.EpochStep
		f.fencedStep = min(fencedStepFactor*f.fencedStep, maxFencedStep)
	case errors.As(err, &mismatch) && mismatch.End > next:
		f.claimConflictEnd = mismatch.End
	}
}

// stepDown ends the term of this instance, if it leads.
func (f *Feed) stepDown(cause string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endTerm(cause)
}

// endTerm is like stepDown. The caller holds the lock.
func (f *Feed) endTerm(cause string) {
	if f.term == nil {
		return
	}
	f.Logger.Info("leadership ended", zap.Uint64("epoch", f.term.epoch), zap.String("cause", cause))
	f.term.cancel()
	f.term = nil
}

// Leading reports whether this instance leads.
func (f *Feed) Leading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term != nil
}

// Yield resigns the leadership of the epoch and makes no claim for the duration
// of pause. It returns false if the instance does not lead the epoch or has
// already yielded the epoch.
func (f *Feed) Yield(epoch uint64, pause time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.term == nil || f.term.epoch != epoch || f.term.resigning {
		return false
	}
	f.noClaimBefore = time.Now().Add(pause)
	f.resign(f.term)
	return true
}
