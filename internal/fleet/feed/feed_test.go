package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against followers that read each record separately as soon as it is
// appended, and against small followers that read the records of the leader too
// late: their long pause would add to the read time of a slow log.
func TestPause(t *testing.T) {
	tests := []struct {
		name       string
		claimDelay time.Duration
		leads      bool
		readTime   time.Duration
		want       time.Duration
	}{
		{"follower", 0, false, time.Millisecond, followPause},
		{"small follower, busy log", time.Second, false, time.Millisecond, longFollowPause},
		{"small follower, slow log", time.Second, false, 400 * time.Millisecond, followPause},
		{"leader", 0, true, time.Millisecond, leadPause},
		{"small leader", time.Second, true, time.Millisecond, leadPause},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &Feed{ClaimDelay: tt.claimDelay}
			if tt.leads {
				f.term = &term{}
			}
			is.Equal(f.pauseAfterRead(tt.readTime), tt.want)
		})
	}
}

// Guards against an instance that considers the log down because the query of a
// caller timed out while the log was still being read from its beginning. Also
// guards against an instance that has caught up but does not notice, by such a
// timeout, that the log does not answer.
func TestSyncCutShort(t *testing.T) {
	tests := []struct {
		name     string
		caughtUp bool
		cancel   bool // the caller cancels the query
		down     bool
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
				f.caughtUp = tt.caughtUp
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

// Guards against an instance that begins to lead with a state that lacks records,
// because its claim takes effect after it has missed them.
func TestOwnClaimWithIncompleteState(t *testing.T) {
	tests := []struct {
		name       string
		missed     uint64 // records before this offset are missing
		lastResort uint64 // epoch claimed as the last resort
		leads      bool
	}{
		{"complete", 0, 0, true},
		{"claimed before records were missed", 3, 0, false},
		{"an earlier claim was the last resort", 3, 4, false},
		{"claimed as the last resort", 3, 5, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &Feed{Instance: "n", Incarnation: "1"}
			f.init()
			f.next, f.missedBefore, f.lastResortEpoch = 3, tt.missed, tt.lastResort
			data, err := ledger.Encode(f.claimRecord(5))
			is.NoErr(err)
			f.applyPage(Page{From: 3, Records: [][]byte{data}, End: 4})
			is.Equal(f.term != nil, tt.leads)
			is.Equal(f.checkComplete() == nil, tt.leads)
			f.stepDown("end of the test")
		})
	}
}

// startFeed starts the feed and returns a function that stops it and waits for its
// end.
func startFeed(t *testing.T, f *Feed) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx) // Run returns only the error of the context
	}()
	return func() {
		cancel()
		<-done
	}
}

// Guards against queries that never return while the log is empty, and against a
// Sync that reads the log from its beginning at the same time as Run.
func TestSyncWaitsForRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &Feed{Read: func(ctx context.Context, _ uint64, wait time.Duration) (Page, error) {
			time.Sleep(50*time.Millisecond + wait) // time on the link, and the long poll without a record
			return Page{}, ctx.Err()
		}}
		began := time.Now()
		defer startFeed(t, f)()
		is.NoErr(f.Sync(t.Context()))
		is.Equal(time.Since(began), followPollWait+2*50*time.Millisecond)
	})
}

// Guards against queries that wait for an unreadable log instead of failing
// immediately, on an instance that starts during an outage.
func TestSyncInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &Feed{Read: func(context.Context, uint64, time.Duration) (Page, error) {
			time.Sleep(5 * time.Millisecond)
			return Page{}, &ReadError{context.DeadlineExceeded}
		}}
		defer startFeed(t, f)()
		began := time.Now()
		is.True(f.Sync(t.Context()) != nil)
		is.True(time.Since(began) <= 10*time.Millisecond)
	})
}
