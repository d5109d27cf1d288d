package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against followers that all read each record as it comes, and against
// small followers that see a leader's signs too late while answers take long.
func TestPause(t *testing.T) {
	tests := []struct {
		name     string
		handicap time.Duration
		leads    bool
		took     time.Duration
		want     time.Duration
	}{
		{"follower", 0, false, time.Millisecond, followPause},
		{"small follower, busy log", time.Second, false, time.Millisecond, lazyPause},
		{"small follower, slow log", time.Second, false, 400 * time.Millisecond, followPause},
		{"leader", 0, true, time.Millisecond, leadPause},
		{"small leader", time.Second, true, time.Millisecond, leadPause},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &Feed{ClaimDelay: tt.handicap}
			if tt.leads {
				f.lead = &term{}
			}
			is.Equal(f.pause(tt.took), tt.want)
		})
	}
}

// Guards against an instance that takes the log for lost because a caller's
// question ended while it was still reading the log from its beginning, and
// against one that does not notice a silent log by such a question later.
func TestSyncCutShort(t *testing.T) {
	tests := []struct {
		name   string
		caught bool
		cancel bool // the caller has gone
		down   bool
	}{
		{"while reading the beginning", false, false, false},
		{"later", true, false, true},
		{"caller gone", true, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &Feed{Read: func(ctx context.Context, _ uint64, _ time.Duration) (Page, error) {
					<-ctx.Done()
					return Page{}, &ReadError{ctx.Err()}
				}}
				f.caught = tt.caught
				ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
				defer cancel()
				if tt.cancel {
					time.AfterFunc(100*time.Millisecond, cancel)
				}
				is.True(f.Sync(ctx) != nil)
				is.Equal(f.LogDown(), tt.down)
			})
		})
	}
}

// running starts the feed and returns a function that ends it.
func running(t *testing.T, f *Feed) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx) // always the context's error
	}()
	return func() {
		cancel()
		<-done
	}
}

// Guards against questions that never end while the log is empty, and against
// a second read of the beginning beside the one of Run.
func TestSyncWaitsForRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &Feed{Read: func(ctx context.Context, _ uint64, wait time.Duration) (Page, error) {
			time.Sleep(50*time.Millisecond + wait) // the link's time, and that without a record
			return Page{}, ctx.Err()
		}}
		began := time.Now()
		defer running(t, f)()
		is.NoErr(f.Sync(t.Context()))
		is.Equal(time.Since(began), followWait+2*50*time.Millisecond)
	})
}

// Guards against questions that wait for a log that cannot be read, instead of
// being refused at once, on an instance that starts during an outage.
func TestSyncInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &Feed{Read: func(context.Context, uint64, time.Duration) (Page, error) {
			time.Sleep(5 * time.Millisecond)
			return Page{}, &ReadError{context.DeadlineExceeded}
		}}
		defer running(t, f)()
		began := time.Now()
		is.True(f.Sync(t.Context()) != nil)
		is.True(time.Since(began) <= 10*time.Millisecond)
	})
}
