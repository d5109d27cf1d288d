package feed

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// silence is how long a leader may append nothing before others claim its
	// place; a claim on a live leader is safe but costs a takeover.
	silence = 1600 * time.Millisecond

	// spread separates the claims of several instances; the first to append
	// wins and the others read its claim before they try.
	spread = 400 * time.Millisecond
)

// term is the epoch that this instance leads.
type term struct {
	epoch    uint64
	yielding bool // its resignation is proposed
	cancel   context.CancelFunc
	queue    []ledger.Record
	wake     chan struct{}
}

// elected ends this instance's term or begins one; it is called with the lock
// held.
func (f *Feed) elected(c ledger.Claim) {
	if f.lead != nil {
		f.lead.cancel()
		f.lead = nil
		f.Logger.Warn("leadership lost", zap.Uint64("epoch", c.Epoch), zap.String("to", c.Instance))
	}
	if c.Incarnation != f.Incarnation || c.Instance != f.Instance {
		f.Logger.Info("leader elected", zap.Uint64("epoch", c.Epoch), zap.String("leader", c.Instance))
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.lead = &term{epoch: c.Epoch, cancel: cancel, wake: make(chan struct{}, 1)}
	f.Logger.Info("leading", zap.Uint64("epoch", c.Epoch), zap.Uint64("offset", f.next))
	go f.commitLoop(ctx, f.lead)
	if f.OnLead != nil {
		f.OnLead(ctx, c.Epoch, f.state)
	}
}

// resigned ends this instance's term if it is the one that was handed over; it
// is called with the lock held.
func (f *Feed) resigned(epoch uint64) {
	if f.lead != nil && f.lead.epoch == epoch {
		f.Logger.Info("leadership ended", zap.Uint64("epoch", epoch), zap.String("cause", "resigned"))
		f.lead.cancel()
		f.lead = nil
	}
}

// shouldClaim reports whether the leader has gone.
func (f *Feed) shouldClaim(jitter time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.caught || f.failing || f.lead != nil || f.quiet {
		return false
	}
	if time.Now().Before(f.yielded) {
		return false
	}
	if f.overtaken > 0 {
		return f.next >= f.overtaken
	}
	since := time.Since(f.lastSign)
	if f.state.NoLeader {
		return since > f.ClaimDelay+jitter/4
	}
	// An earlier incarnation of this instance no longer leads.
	if f.state.Leader.Instance == f.Instance && f.state.Leader.Incarnation != f.Incarnation {
		return true
	}
	return since > silence+f.ClaimDelay+jitter
}

// claim tries to become the leader of the next epoch. The outcome is read from
// the log. The condition that nothing was appended meanwhile protects a leader
// whose signs are late. A claim that failed because of records of others is
// repeated without it once these have been read: with a slow log and a steady
// flow of submissions no claim would meet the condition. Of several such claims
// the log takes the first, because the others repeat its epoch and number.
func (f *Feed) claim(ctx context.Context) {
	f.mu.Lock()
	next := f.next
	at := &next
	if f.overtaken > 0 {
		at = nil
	}
	epoch := max(f.state.Epoch+1, f.floor)
	silent := time.Since(f.lastSign)
	f.lastSign = time.Now()
	f.mu.Unlock()
	data, err := ledger.Encode(ledger.Record{Claim: &ledger.Claim{Epoch: epoch, Instance: f.Instance, Incarnation: f.Incarnation}})
	if err != nil {
		f.Logger.Error("claim not encoded", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err = f.Append(ctx, Batch{Records: [][]byte{data}, ExpectedEnd: at, Epoch: epoch, Seq: 1})
	f.Logger.Info("claim", zap.Uint64("epoch", epoch), zap.Uint64("next", next), zap.Bool("conditional", at != nil), zap.Duration("silent", silent), zap.Error(err))
	f.claimed(epoch, next, err)
}

// claimed takes note of the answer to a claim.
func (f *Feed) claimed(epoch, next uint64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.overtaken = 0
	var fenced *FencedError
	var moved *EndMismatchError
	switch {
	case errors.As(err, &fenced):
		// A claim that did not take effect may have used the epoch up.
		f.floor = epoch + 1
	case errors.As(err, &moved) && moved.End > next:
		f.overtaken = moved.End
	}
}

func (f *Feed) stepDown(cause string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lead == nil {
		return
	}
	f.Logger.Info("leadership ended", zap.Uint64("epoch", f.lead.epoch), zap.String("cause", cause))
	f.lead.cancel()
	f.lead = nil
}

// Leading reports whether this instance leads.
func (f *Feed) Leading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lead != nil
}

// Retire makes the instance hand its leadership over and never claim again.
func (f *Feed) Retire(ctx context.Context) {
	f.mu.Lock()
	f.quiet = true
	lead := f.lead
	f.mu.Unlock()
	if lead == nil {
		return
	}
	f.Propose(lead.epoch, ledger.Record{Resign: &ledger.LeaderNotice{Epoch: lead.epoch}})
	for ctx.Err() == nil {
		f.mu.Lock()
		gone := f.state.NoLeader || f.lead != lead
		wait := f.changed
		f.mu.Unlock()
		if gone {
			break
		}
		select {
		case <-wait:
		case <-ctx.Done():
		}
	}
	f.stepDown("resigned")
}

// Yield hands the leadership of the epoch over and claims none for the time. It
// reports whether it was not under way already.
func (f *Feed) Yield(epoch uint64, pause time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lead == nil || f.lead.epoch != epoch || f.lead.yielding {
		return false
	}
	f.lead.yielding = true
	f.yielded = time.Now().Add(pause)
	f.ProposeLocked(epoch, ledger.Record{Resign: &ledger.LeaderNotice{Epoch: epoch}})
	return true
}
