package admission

import (
	"context"
	"sync"
	"time"
)

// progressBytes is the amount of a body that counts as progress. Fewer bytes at a
// time do not, so that a client cannot hold its place with single bytes.
const progressBytes = 1 << 10

// RefusedError reports a request body that was not accepted, for the reason given. The
// request has not run.
type RefusedError struct {
	Reason Reason
}

// Error returns the reason.
func (e *RefusedError) Error() string { return "request body not accepted: " + string(e.Reason) }

// Reason is the reason for a refusal.
type Reason string

// The reasons for refusals.
const (
	BudgetUsed     Reason = "budget"     // the budget is used up, and nothing can be closed
	UploadClosed   Reason = "upload"     // an upload without progress was closed for another
	UploadTimeout  Reason = "slow"       // a body did not arrive in time
	TooManyConns   Reason = "connection" // a new connection was closed
	ConnClosed     Reason = "idle"       // a connection without progress was closed for a new one
	AnswerNotTaken Reason = "unread"     // a client did not read its answer in time
)

// Budget bounds the bytes that all request bodies of a process hold together. Small
// bodies have a share of their own. When a share is used up, the upload is closed
// that has gone longest without progress. The exported fields are set before use;
// a Budget without a limit admits everything.
type Budget struct {
	Bytes  int64            // limit; 0 is none
	Now    func() time.Time // defaults to time.Now
	Report func(r Reason)   // called for each refused or closed upload; may be nil

	mu      sync.Mutex
	freed   *sync.Cond // signalled when bytes were released or an upload was closed
	uploads map[*Upload]struct{}
	used    [2]int64 // by share
	closing [2]int64 // of used, what uploads hold that were closed and not yet released

	decodeOnce sync.Once
	decodeSlot chan struct{}
}

// The shares of a budget.
const (
	smallShare = iota
	largeShare
)

// Upload is one request body and what is made of it. It belongs to one goroutine.
type Upload struct {
	budget    *Budget
	interrupt func()

	// Guarded by the budget's lock.
	held     int64
	share    int
	complete bool // the body has arrived or was given up; the upload is not closed for others any more
	closed   bool
	progress progress
}

// progress tells how long a client has gone without progress.
type progress struct {
	last  time.Time
	bytes int // received since then
}

// add counts received bytes.
func (p *progress) add(n int, now time.Time) {
	if p.bytes += n; p.bytes >= progressBytes {
		p.last, p.bytes = now, 0
	}
}

// Begin starts an upload. The interrupt function ends a read of the body that
// waits for the client; it must not block.
func (b *Budget) Begin(interrupt func()) *Upload {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed == nil {
		b.freed = sync.NewCond(&b.mu)
		b.uploads = make(map[*Upload]struct{})
	}
	u := &Upload{budget: b, interrupt: interrupt, progress: progress{last: b.now()}}
	b.uploads[u] = struct{}{}
	return u
}

func (b *Budget) now() time.Time {
	if b.Now != nil {
		return b.Now()
	}
	return time.Now()
}

// Used returns the bytes that all uploads hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[smallShare] + b.used[largeShare]
}

// limit returns the limit of a share.
func (b *Budget) limit(share int) int64 {
	small := b.Bytes / smallDivisor
	if share == smallShare {
		return small
	}
	return b.Bytes - small
}

// Received counts bytes of the body that have arrived.
func (u *Upload) Received(n int) {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.progress.add(n, u.budget.now())
}

// Hold changes the bytes that the upload holds. If they do not fit into their share
// of the budget, it closes other uploads and waits until these have released
// theirs. It returns *RefusedError if no other upload can be closed, or if the
// upload itself was closed; the upload then holds what it held before.
func (u *Upload) Hold(n int64) error {
	b := u.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	share := smallShare
	if n > SmallBody {
		share = largeShare
	}
	for {
		if u.closed {
			return &RefusedError{UploadClosed}
		}
		more := n
		if share == u.share {
			more -= u.held
		}
		if b.Bytes <= 0 || more <= 0 || b.used[share]+more <= b.limit(share) {
			b.used[u.share] -= u.held
			b.used[share] += n
			if n < u.held || share != u.share {
				b.freed.Broadcast()
			}
			u.held, u.share = n, share
			return nil
		}
		if b.used[share]-b.closing[share]+more <= b.limit(share) {
			b.freed.Wait()
			continue
		}
		if !b.closeOne(share, u) {
			b.report(BudgetUsed)
			return &RefusedError{BudgetUsed}
		}
	}
}

// report reports a refused or closed upload.
func (b *Budget) report(r Reason) {
	if b.Report != nil {
		b.Report(r)
	}
}

// closeOne closes the upload of the share, other than u, that has gone longest
// without progress. It reports whether there was one.
func (b *Budget) closeOne(share int, u *Upload) bool {
	var victim *Upload
	for o := range b.uploads {
		if o == u || o.share != share || o.complete || o.closed || o.held == 0 {
			continue
		}
		if victim == nil || o.progress.last.Before(victim.progress.last) {
			victim = o
		}
	}
	if victim == nil {
		return false
	}
	b.close(victim)
	return true
}

// close closes an upload. Its goroutine releases what it holds.
func (b *Budget) close(u *Upload) {
	u.closed = true
	b.closing[u.share] += u.held
	u.interrupt()
	b.freed.Broadcast() // u may wait for bytes itself
	b.report(UploadClosed)
}

// Complete records that the whole body has arrived. From now on the upload is not
// closed in favour of others. It returns *RefusedError if the upload was closed.
func (u *Upload) Complete() error {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	if u.closed {
		return &RefusedError{UploadClosed}
	}
	u.complete = true
	return nil
}

// Release ends the upload and releases what it holds. A second call has no effect.
func (u *Upload) Release() {
	b := u.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.uploads[u]; !ok {
		return
	}
	delete(b.uploads, u)
	b.used[u.share] -= u.held
	if u.closed {
		b.closing[u.share] -= u.held
	}
	u.held, u.complete = 0, true
	b.freed.Broadcast()
}

// stalledSince returns the time of the upload's last progress, and whether the
// upload may be closed.
func (u *Upload) stalledSince() (time.Time, bool) {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	return u.progress.last, !u.complete && !u.closed
}

// closeFor closes the upload in favour of a new connection, unless its body has
// arrived meanwhile.
func (u *Upload) closeFor() bool {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	if u.complete || u.closed {
		return false
	}
	u.budget.close(u)
	return true
}

// Decode waits until the upload may be decoded, and returns a function that ends
// this. Large bodies are decoded one at a time, because their decoded form may be
// many times larger. It returns *RefusedError if the context ends first.
func (u *Upload) Decode(ctx context.Context) (func(), error) {
	b := u.budget
	b.mu.Lock()
	small := u.share == smallShare
	b.mu.Unlock()
	if small {
		return func() {}, nil
	}
	b.decodeOnce.Do(func() { b.decodeSlot = make(chan struct{}, 1) })
	select {
	case b.decodeSlot <- struct{}{}:
		return func() { <-b.decodeSlot }, nil
	case <-ctx.Done():
		return nil, &RefusedError{BudgetUsed}
	}
}
