package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/snapshot"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
)

const (
	maxPageEntries     = 500
	loadTimeout        = 30 * time.Second
	failuresUntilDown  = 2           // consecutive failures that count as an outage; a single lost read is none
	processPauseMargin = time.Second // a failed read that exceeded its timeout by more than this was delayed by a pause of the process
)

// tail loads the state and applies the entries of the log until the context
// ends.
func (r *Replica) tail(ctx context.Context) error {
	if err := r.load(ctx); err != nil || ctx.Err() != nil {
		return err
	}
	t := tailer{r: r, pollWait: r.LongPollWait, delay: backoff{max: maxReadDelay}}
	for ctx.Err() == nil {
		done, err := t.step(ctx)
		if done || err != nil {
			return err
		}
	}
	return nil
}

// tailer is the state of the loop that reads the log.
type tailer struct {
	r        *Replica
	pollWait time.Duration // how long the next read waits for new entries
	delay    backoff
	chunks   snapshot.Assembler
}

// step reads one page and applies its entries. done means that the loop must
// end; without an error, it ends regularly.
func (t *tailer) step(ctx context.Context) (done bool, err error) {
	r := t.r
	r.mu.RLock()
	from := r.st.Offset
	r.mu.RUnlock()
	timeout := t.pollWait + r.ReadTimeout
	rctx, cancel := context.WithTimeout(ctx, timeout)
	start := r.Clock()
	page, err := r.Log.Read(rctx, from, maxPageEntries, t.pollWait)
	cancel()
	elapsed := r.Clock().Sub(start)
	if ctx.Err() != nil {
		return true, nil
	}
	var expired *stream.ExpiredError
	switch {
	case errors.As(err, &expired) && expired.First > from:
		r.Logger.Warn("the next entries have expired; loading a snapshot", zap.Uint64("offset", from), zap.Uint64("first", expired.First))
		reloads := r.counters.reloads.Load()
		if err := r.load(ctx); err != nil {
			return true, err
		}
		if r.counters.reloads.Load() == reloads {
			t.readFailed(ctx, err, true) // the log's responses are inconsistent: retry later
		}
		return false, nil
	case err != nil:
		t.readFailed(ctx, err, elapsed > timeout+processPauseMargin)
		return false, nil
	case page.End < from:
		// The response is older than the applied entries. The state must never
		// go back.
		r.Logger.Warn("log ends before the applied entries; response ignored", zap.Uint64("offset", from), zap.Uint64("end", page.End))
		t.readFailed(ctx, &stream.ResponseError{Detail: "the log ends before the applied entries"}, true)
		return false, nil
	}
	t.readSucceeded(page, start, elapsed)
	for _, e := range page.Entries {
		if done, err := t.applyEntry(e); done || err != nil {
			var upgrade *state.UpgradeError
			if errors.As(err, &upgrade) {
				return true, r.stopForUpgrade(ctx, upgrade)
			}
			return true, err
		}
	}
	r.mu.Lock()
	if r.st.Offset >= page.End {
		r.view.endReadAt = start
		r.view.caughtUp = true
	}
	r.mu.Unlock()
	r.progress.fire()
	return false, nil
}

// readFailed counts a failed read and waits before the next one. inconclusive
// means that the failure does not indicate an outage, for example because the
// process was paused during the read.
func (t *tailer) readFailed(ctx context.Context, err error, inconclusive bool) {
	t.r.countReadFailure(err, inconclusive)
	t.pollWait = 0 // the next read fails unless the log responds without a wait
	sleep(ctx, t.delay.next(), nil)
}

// countReadFailure counts a failed read. An inconclusive failure resets the
// number of consecutive failures that indicate an outage.
func (r *Replica) countReadFailure(err error, inconclusive bool) {
	r.counters.readErrors.Add(1)
	r.mu.Lock()
	if inconclusive {
		r.view.failures = 0
	} else {
		r.view.failures++
		r.view.failedAt = r.Clock()
	}
	down := r.view.failures == failuresUntilDown
	r.mu.Unlock()
	if down {
		r.Logger.Warn("log is down: consecutive reads failed", zap.Error(err))
	}
	r.progress.fire()
}

// readSucceeded ends a known outage and sets the wait of the next read.
func (t *tailer) readSucceeded(page stream.Page, start time.Time, elapsed time.Duration) {
	r := t.r
	t.delay.failures = 0
	r.mu.Lock()
	recovered := r.view.failures >= failuresUntilDown
	if recovered {
		r.view.resumeAt = r.Clock().Add(rand.N(r.MaxResumeDelay))
	}
	r.view.failures = 0
	r.view.logEnd = page.End
	r.mu.Unlock()
	if recovered {
		r.Logger.Info("log readable again", zap.Uint64("end", page.End))
	}
	if len(page.Entries) == 0 {
		// The time since the end of the log was read grows to two round trips
		// before the next response. A slow log therefore gets shorter long
		// polls, so that the state stays fresh.
		t.pollWait = min(r.LongPollWait, max(0, r.FreshFor/3-(elapsed-t.pollWait)))
	}
}

// applyEntry applies one entry and notifies those that wait for it. done means
// that this incarnation has ended.
func (t *tailer) applyEntry(e stream.Entry) (done bool, err error) {
	r := t.r
	b, err := decode(e)
	if err != nil {
		return false, err
	}
	r.mu.Lock()
	if b == nil {
		err = r.st.Skip(e.Offset)
		r.mu.Unlock()
		r.counters.skipped.Add(1)
		r.queue.advance(e.Offset + 1)
		r.changed.fire()
		return false, err
	}
	before := writerSeq(r.st, r.Writer)
	decisions, err := r.st.Apply(e.Offset, b)
	if err != nil {
		r.mu.Unlock()
		return false, err
	}
	after := writerSeq(r.st, r.Writer)
	w := r.st.Writers[r.Writer]
	r.view.fenced = w != nil && w.Fenced
	fenced := r.view.fenced
	r.markJoined()
	now := r.st.Now
	r.mu.Unlock()

	r.counters.entries.Add(1)
	r.counters.records.Add(uint64(len(decisions)))
	t.trackChunks(e.Offset, b, now) // before the proposer of a chunk learns that it was applied
	leaveApplied := false
	if b.Writer == r.Writer {
		leaveApplied = fenced && after > before
		err = r.settle(e, b, decisions, after > before)
	}
	r.queue.advance(e.Offset + 1)
	r.changed.fire()
	r.progress.fire()
	if r.OnDecision != nil {
		for _, o := range decisions {
			r.OnDecision(o)
		}
	}
	switch {
	case err != nil:
		return true, err
	case leaveApplied:
		return true, nil
	case fenced:
		return true, &FencedError{r.Writer, state.ReasonFenced}
	}
	return false, nil
}

// markJoined starts the delay of readiness once the instance's join is in the
// state. The caller holds the write lock.
func (r *Replica) markJoined() {
	if r.view.joinedAt.IsZero() && r.Join.Name != "" && r.st.Member(r.Writer) != nil {
		r.view.joinedAt = r.Clock()
		time.AfterFunc(max(r.ReadyDelay, 0), r.progress.fire)
	}
}

// decode returns the batch of an entry, or nil if the entry is not a batch. A
// batch of a newer program that this program cannot decode must not be skipped,
// because newer programs apply it; decode then fails with *state.UpgradeError.
func decode(e stream.Entry) (*record.Batch, error) {
	b, err := record.Decode(e.Data)
	if err == nil {
		return b, nil
	}
	var head struct {
		Reader uint16 `cbor:"reader"`
	}
	if record.Unmarshal(e.Data, &head) == nil && head.Reader > record.Version {
		return nil, &state.UpgradeError{Offset: e.Offset, MinVersion: head.Reader}
	}
	return nil, nil
}

// writerSeq returns the sequence number of the writer's last batch in the state,
// or 0.
func writerSeq(s *state.State, writer string) uint64 {
	if w := s.Writers[writer]; w != nil {
		return w.Seq
	}
	return 0
}

// stopForUpgrade stops applying entries at one that requires a newer program and
// blocks until the context ends. The last state stays readable.
func (r *Replica) stopForUpgrade(ctx context.Context, err *state.UpgradeError) error {
	r.Logger.Error("log requires a newer program; replica stopped applying entries", zap.Error(err))
	r.mu.Lock()
	r.view.upgradeNeeded = true
	r.mu.Unlock()
	r.closeQueue(err)
	r.progress.fire()
	<-ctx.Done()
	return nil
}

// load replaces the state by the newest snapshot, or by the empty state if there
// is no snapshot and the log still has its first entry. It retries until it
// succeeds. It changes nothing if the log still has the entry that follows the
// current state.
func (r *Replica) load(ctx context.Context) error {
	delay := backoff{max: maxReadDelay}
	for ctx.Err() == nil {
		lctx, cancel := context.WithTimeout(ctx, loadTimeout)
		s, err := r.findState(lctx)
		cancel()
		if err == nil && s == nil {
			return nil
		}
		if err == nil {
			return r.install(s)
		}
		var down *stream.UnavailableError
		r.countReadFailure(err, !errors.As(err, &down) || ctx.Err() != nil)
		r.Logger.Warn("loading the state failed; retrying", zap.Error(err))
		sleep(ctx, delay.next(), nil)
	}
	return nil
}

// findState returns the state to load, or nil to keep the current one.
func (r *Replica) findState(ctx context.Context) (*state.State, error) {
	if r.view.loaded {
		if first, _, err := r.Log.Bounds(ctx); err != nil || first <= r.st.Offset {
			return nil, err
		}
	}
	s, err := snapshot.Latest(ctx, r.Log)
	if err != nil {
		return nil, err
	}
	first, _, err := r.Log.Bounds(ctx)
	if err != nil {
		return nil, err
	}
	if s == nil && first == 0 {
		s = &state.State{}
	}
	// A state older than the current one would revert records that have taken
	// effect.
	if s == nil || s.Offset < first || s.Offset < r.st.Offset {
		return nil, &NoSnapshotError{first}
	}
	return s, nil
}

// install makes the loaded state the current one and settles the pending batch
// if that state includes it. It fails with *FencedError if the state does not
// accept this incarnation.
func (r *Replica) install(s *state.State) error {
	r.mu.Lock()
	firstLoad := !r.view.loaded
	if r.OnLoad != nil {
		r.OnLoad(s)
	}
	r.st = s
	r.view.loaded = true
	w := s.Writers[r.Writer]
	r.markJoined()
	r.mu.Unlock()
	if s.Offset > 0 {
		r.counters.reloads.Add(1)
	}
	r.resetSnapshotSchedule(s.Now)
	r.Logger.Info("state loaded", zap.Uint64("offset", s.Offset))
	var err error
	switch {
	case !firstLoad:
		err = r.settleLoaded(s.Offset, w)
	case w != nil:
		err = &FencedError{r.Writer, state.ReasonExists} // the writer identity was used before
	}
	r.queue.advance(s.Offset)
	r.changed.fire()
	r.progress.fire()
	return err
}
