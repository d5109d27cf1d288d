package feed

import "context"

// Sync reads the log to its current end. If Run has not read the log to its end
// yet, Sync first waits for Run, because reading the same records a second time
// would need as much bandwidth again. It does not wait while reads of the log
// fail. It returns *IncompleteError if the state then still lacks records.
func (f *Feed) Sync(ctx context.Context) error {
	if err := f.awaitCaughtUp(ctx); err != nil {
		return err
	}
	select {
	case f.syncSlot <- struct{}{}:
		defer func() { <-f.syncSlot }()
	case <-ctx.Done():
		return &ReadError{ctx.Err()}
	}
	for {
		n, err := f.poll(ctx, 0)
		if err != nil {
			return err
		}
		if n == 0 || f.atEnd() {
			return f.checkComplete()
		}
	}
}

// checkComplete returns *IncompleteError if the state lacks records.
func (f *Feed) checkComplete() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.missedBefore > 0 {
		return &IncompleteError{f.missedBefore}
	}
	return nil
}

// awaitCaughtUp waits until the log has been read to its end once, or until reads
// fail.
func (f *Feed) awaitCaughtUp(ctx context.Context) error {
	for {
		changed := f.Changed()
		if f.Status().CaughtUp || f.LogDown() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &ReadError{ctx.Err()}
		}
	}
}

// atEnd reports whether the state includes all records up to the end of the log
// at the last read.
func (f *Feed) atEnd() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next >= f.logEnd
}
