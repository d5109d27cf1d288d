package policy

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// NotReadError reports that the store could not be read for newer versions of the
// configuration.
type NotReadError struct {
	Age time.Duration // time since it was last read
	Err error
}

// Error returns a message with the age and the cause.
func (e *NotReadError) Error() string {
	return fmt.Sprintf("configuration last read %v ago: %v", e.Age.Round(time.Millisecond), e.Err)
}

// Unwrap returns the cause.
func (e *NotReadError) Unwrap() error { return e.Err }

// refresh connects those who need a read of the store with the one who reads it.
type refresh struct {
	mu       sync.Mutex
	requests chan struct{} // has room for one request
	read     chan struct{} // closed by the next read; nil if nobody waits for it
}

// channel returns the channel of requests. The caller holds the lock.
func (r *refresh) channel() chan struct{} {
	if r.requests == nil {
		r.requests = make(chan struct{}, 1)
	}
	return r.requests
}

// request asks for a read and returns a channel that is closed by the next one.
func (r *refresh) request() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.read == nil {
		r.read = make(chan struct{})
	}
	select {
	case r.channel() <- struct{}{}:
	default: // requested already
	}
	return r.read
}

// done ends the wait for a read.
func (r *refresh) done() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.read != nil {
		close(r.read)
		r.read = nil
	}
}

// Requests returns a channel that receives a value when the store should be read at once.
func (p *Current) Requests() <-chan struct{} {
	p.refresh.mu.Lock()
	defer p.refresh.mu.Unlock()
	return p.refresh.channel()
}

// Refresh requests a read of the store for newer versions and waits until one has ended. It
// returns *NotReadError if the context ends first.
func (p *Current) Refresh(ctx context.Context) error {
	select {
	case <-p.refresh.request():
		return nil
	case <-ctx.Done():
		return &NotReadError{p.Status().Age, ctx.Err()}
	}
}
