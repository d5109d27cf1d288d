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
	pageEntries  = 500
	loadTimeout  = 30 * time.Second
	downFailures = 2           // one lost read is not an outage
	pauseMargin  = time.Second // a failed read that took longer than its timeout by this was not timed by a running process
)

// tail loads the state and folds the log until the context ends.
func (r *Replica) tail(ctx context.Context) error {
	if err := r.load(ctx); err != nil || ctx.Err() != nil {
		return err
	}
	t := tailer{r: r, wait: r.Wait, delay: backoff{max: readMax}}
	for ctx.Err() == nil {
		done, err := t.step(ctx)
		if done || err != nil {
			return err
		}
	}
	return nil
}

// tailer is the state of the reading loop.
type tailer struct {
	r      *Replica
	wait   time.Duration // of the next long poll
	delay  backoff
	chunks snapshot.Assembler
}

// step reads and folds one page; done means that this incarnation has ended as
// it should.
func (t *tailer) step(ctx context.Context) (done bool, err error) {
	r := t.r
	r.mu.RLock()
	from := r.st.Offset
	r.mu.RUnlock()
	timeout := t.wait + r.ReadTimeout
	rctx, cancel := context.WithTimeout(ctx, timeout)
	start := r.Clock()
	page, err := r.Log.Read(rctx, from, pageEntries, t.wait)
	cancel()
	elapsed := r.Clock().Sub(start)
	if ctx.Err() != nil {
		return true, nil
	}
	var expired *stream.ExpiredError
	switch {
	case errors.As(err, &expired) && expired.First > from:
		r.Logger.Warn("entries expired", zap.Uint64("offset", from), zap.Uint64("first", expired.First))
		before := r.counts.reloads.Load()
		if err := r.load(ctx); err != nil {
			return true, err
		}
		if r.counts.reloads.Load() == before {
			t.failed(ctx, err, true) // the log contradicts itself: try again later
		}
		return false, nil
	case err != nil:
		t.failed(ctx, err, elapsed > timeout+pauseMargin)
		return false, nil
	case page.End < from:
		// An answer from before what was already folded: never fold backwards.
		r.Logger.Warn("stale page", zap.Uint64("offset", from), zap.Uint64("end", page.End))
		t.failed(ctx, &stream.ResponseError{Detail: "log is shorter than before"}, true)
		return false, nil
	}
	t.succeeded(page, start, elapsed)
	for _, e := range page.Entries {
		if done, err := t.fold(e); done || err != nil {
			var upgrade *state.UpgradeError
			if errors.As(err, &upgrade) {
				return true, r.stop(ctx, upgrade)
			}
			return true, err
		}
	}
	r.mu.Lock()
	if r.st.Offset >= page.End {
		r.view.readEnd = start
		r.view.caughtUp = true
	}
	r.mu.Unlock()
	r.progress.fire()
	return false, nil
}

// failed notes a failed read and waits before the next. A read that a paused
// process saw fail is no evidence of an outage.
func (t *tailer) failed(ctx context.Context, err error, noEvidence bool) {
	t.r.noteFailure(err, noEvidence)
	t.wait = 0 // the next answer must come at once, or it is a failure
	sleep(ctx, t.delay.next(), nil)
}

// noteFailure counts a failed read.
func (r *Replica) noteFailure(err error, noEvidence bool) {
	r.counts.readErrors.Add(1)
	r.mu.Lock()
	if noEvidence {
		r.view.failures = 0
	} else {
		r.view.failures++
		r.view.failed = r.Clock()
	}
	down := r.view.failures == downFailures
	r.mu.Unlock()
	if down {
		r.Logger.Warn("log down", zap.Error(err))
	}
	r.progress.fire()
}

func (t *tailer) succeeded(page stream.Page, start time.Time, elapsed time.Duration) {
	r := t.r
	t.delay.n = 0
	r.mu.Lock()
	returned := r.view.failures >= downFailures
	if returned {
		r.view.resume = r.Clock().Add(rand.N(r.ReturnDelay))
	}
	r.view.failures = 0
	r.view.end = page.End
	r.mu.Unlock()
	if returned {
		r.Logger.Info("log returned", zap.Uint64("end", page.End))
	}
	if len(page.Entries) == 0 {
		// The view's age grows to two rounds before the next answer, so a slow
		// log gets shorter long polls.
		t.wait = min(r.Wait, max(0, r.FreshFor/3-(elapsed-t.wait)))
	}
}

// fold applies one entry and tells those that wait for it.
func (t *tailer) fold(e stream.Entry) (done bool, err error) {
	r := t.r
	b, err := decode(e)
	if err != nil {
		return false, err
	}
	r.mu.Lock()
	if b == nil {
		err = r.st.Skip(e.Offset)
		r.mu.Unlock()
		r.counts.skipped.Add(1)
		r.changed.fire()
		return false, err
	}
	before := seqOf(r.st, r.Writer)
	out, err := r.st.Apply(e.Offset, b)
	if err != nil {
		r.mu.Unlock()
		return false, err
	}
	after := seqOf(r.st, r.Writer)
	w := r.st.Writers[r.Writer]
	r.view.fenced = w != nil && w.Fenced
	fenced := r.view.fenced
	r.noteJoin()
	now := r.st.Now
	r.mu.Unlock()

	r.counts.entries.Add(1)
	r.counts.records.Add(uint64(len(out)))
	t.trackChunks(e.Offset, b, now) // before the writer of a chunk hears that it was folded
	left := false
	if b.Writer == r.Writer {
		left = fenced && after > before
		err = r.settle(e, b, out, after > before)
	}
	r.changed.fire()
	r.progress.fire()
	if r.OnOutcome != nil {
		for _, o := range out {
			r.OnOutcome(o)
		}
	}
	switch {
	case err != nil:
		return true, err
	case left:
		return true, nil
	case fenced:
		return true, &FencedError{r.Writer, state.ReasonFenced}
	}
	return false, nil
}

// noteJoin starts the delay of readiness when the own join is in the state; the
// caller holds the write lock.
func (r *Replica) noteJoin() {
	if r.view.joined.IsZero() && r.Join.Name != "" && r.st.Member(r.Writer) != nil {
		r.view.joined = r.Clock()
		time.AfterFunc(max(r.ReadyDelay, 0), r.progress.fire)
	}
}

// decode returns the batch of an entry, or nil if it is none. A batch of a
// newer program whose encoding this one cannot read is not skipped, as newer
// programs fold it.
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

func seqOf(s *state.State, writer string) uint64 {
	if w := s.Writers[writer]; w != nil {
		return w.Seq
	}
	return 0
}

// stop ends folding at an entry that needs a newer program; the last state
// stays readable.
func (r *Replica) stop(ctx context.Context, err *state.UpgradeError) error {
	r.Logger.Error("upgrade needed", zap.Error(err))
	r.mu.Lock()
	r.view.upgrade = true
	r.mu.Unlock()
	r.closeQueue(err)
	r.progress.fire()
	<-ctx.Done()
	return nil
}

// load replaces the state by the newest snapshot, or by the empty state if the
// log still holds its first entry, and retries until it can. It changes nothing
// if the log can still continue the present state.
func (r *Replica) load(ctx context.Context) error {
	delay := backoff{max: readMax}
	for ctx.Err() == nil {
		lctx, cancel := context.WithTimeout(ctx, loadTimeout)
		s, err := r.find(lctx)
		cancel()
		if err == nil && s == nil {
			return nil
		}
		if err == nil {
			return r.install(s)
		}
		var down *stream.UnavailableError
		r.noteFailure(err, !errors.As(err, &down) || ctx.Err() != nil)
		r.Logger.Warn("load failed", zap.Error(err))
		sleep(ctx, delay.next(), nil)
	}
	return nil
}

// find returns the state to load, or nil to keep the present one.
func (r *Replica) find(ctx context.Context) (*state.State, error) {
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
	// An older state than the present one would revert what was in force.
	if s == nil || s.Offset < first || s.Offset < r.st.Offset {
		return nil, &SnapshotError{first}
	}
	return s, nil
}

// install makes the loaded state the present one and settles the pending batch
// against it; it fails with *FencedError.
func (r *Replica) install(s *state.State) error {
	r.mu.Lock()
	first := !r.view.loaded
	if r.OnLoad != nil {
		r.OnLoad(s)
	}
	r.st = s
	r.view.loaded = true
	w := s.Writers[r.Writer]
	r.noteJoin()
	r.mu.Unlock()
	if s.Offset > 0 {
		r.counts.reloads.Add(1)
	}
	r.snapshotSeen(s.Now)
	r.Logger.Info("state loaded", zap.Uint64("offset", s.Offset))
	r.changed.fire()
	r.progress.fire()
	if first {
		if w != nil {
			return &FencedError{r.Writer, state.ReasonExists} // the identity was used before
		}
		return nil
	}
	return r.settleLoaded(s.Offset, w)
}
