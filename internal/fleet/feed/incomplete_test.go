package feed_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/feed"
	"jasminelane.example/lane/internal/fleet/fleettest"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// stubLeader leads epoch 5 in the log: it claims and then sends heartbeats until
// stop is called. The claim and the oldest heartbeats expire.
type stubLeader struct {
	t    *testing.T
	log  *fleettest.Log
	stop context.CancelFunc
}

const stubEpoch = 5

func startStubLeader(t *testing.T) *stubLeader {
	ctx, cancel := context.WithCancel(t.Context())
	l := &stubLeader{t: t, log: fleettest.NewLog(rand.New(rand.NewPCG(1, 2))), stop: cancel}
	l.append(1, ledger.Record{Claim: &ledger.Claim{Epoch: stubEpoch, Instance: "lead", Incarnation: "1"}})
	go func() {
		for seq := uint64(2); ctx.Err() == nil; seq++ {
			l.append(seq, ledger.Record{Heartbeat: &ledger.LeaderNotice{Epoch: stubEpoch}})
			delay.For(ctx, 400*time.Millisecond)
		}
	}()
	time.Sleep(10 * time.Second)
	l.expireUntil(l.log.End() - 3)
	return l
}

// append appends a record of the stub's epoch, which may have ended.
func (l *stubLeader) append(seq uint64, r ledger.Record) {
	data, err := ledger.Encode(r)
	if err != nil {
		l.t.Error(err)
	}
	_, _ = l.log.Append(l.t.Context(), "lead", feed.Batch{Records: [][]byte{data}, Epoch: stubEpoch, Seq: seq})
}

// expireUntil expires the records before an offset.
func (l *stubLeader) expireUntil(first uint64) {
	l.log.SetFaults(func(f *fleettest.LogFaults) { f.FirstOffset = first })
}

// saveSnapshot stores a snapshot of the state at the end of the log.
func (l *stubLeader) saveSnapshot() {
	s := ledger.NewState()
	s.Apply(ledger.Record{Claim: &ledger.Claim{Epoch: stubEpoch, Instance: "lead", Incarnation: "1"}})
	plain, err := s.MarshalSnapshot(l.log.End())
	if err != nil {
		l.t.Error(err)
	}
	data, err := ledger.CompressSnapshot(plain)
	if err != nil {
		l.t.Error(err)
	}
	if err := l.log.SaveSnapshot(l.t.Context(), "lead", data); err != nil {
		l.t.Error(err)
	}
}

// newFeed returns a feed that reads the log, and the function that starts it.
func newFeed(t *testing.T, log *fleettest.Log, name string) (f *feed.Feed, start func()) {
	f = &feed.Feed{
		Instance: name, Incarnation: "1",
		Append: func(ctx context.Context, b feed.Batch) (uint64, error) { return log.Append(ctx, name, b) },
		Read: func(ctx context.Context, from uint64, wait time.Duration) (feed.Page, error) {
			return log.Read(ctx, name, from, wait)
		},
		LoadSnapshot: func(ctx context.Context) ([]byte, error) { return log.LoadSnapshot(ctx, name) },
	}
	return f, func() { go func() { _ = f.Run(t.Context()) }() }
}

// claims returns the epochs that an instance has claimed, oldest first.
func claims(log *fleettest.Log, name string) []uint64 {
	var out []uint64
	for _, data := range log.Records(0) {
		if r, err := ledger.Decode(data); err == nil && r.Claim != nil && r.Claim.Instance == name {
			out = append(out, r.Claim.Epoch)
		}
	}
	return out
}

// Guards against an instance that takes over from a living leader because the
// leader's claim had expired when it started, and against one that never takes
// over from a leader that is gone.
func TestStartAfterClaimExpired(t *testing.T) {
	tests := []struct {
		name     string
		snapshot bool          // there is one that contains the expired records
		takeover time.Duration // after which the instance leads once the leader is gone
		waits    time.Duration // for which it certainly does not lead
	}{
		{"snapshot", true, 4 * time.Second, time.Second},
		{"no snapshot", false, 9 * time.Second, 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := startStubLeader(t)
				if tt.snapshot {
					l.saveSnapshot()
				}
				f, start := newFeed(t, l.log, "late")
				f.Retention = 5 * time.Minute
				f.SaveSnapshot = func(ctx context.Context, data []byte) error { return l.log.SaveSnapshot(ctx, "late", data) }
				start()
				time.Sleep(20 * time.Second)
				is.Equal(claims(l.log, "late"), nil)
				before := l.log.Snapshots()
				is.Equal(f.Status().Epoch, uint64(stubEpoch))
				var incomplete *feed.IncompleteError
				is.Equal(errors.As(f.Sync(t.Context()), &incomplete), !tt.snapshot)
				l.stop()
				time.Sleep(tt.waits)
				is.Equal(f.Leading(), false)
				time.Sleep(tt.takeover - tt.waits)
				is.Equal(f.Leading(), true)
				is.Equal(claims(l.log, "late"), []uint64{ledger.NextEpoch(stubEpoch)})
				is.NoErr(f.Sync(t.Context()))
				time.Sleep(time.Second)
				is.Equal(l.log.Snapshots() > before, !tt.snapshot) // others complete their states with it
			})
		})
	}
}

// Guards against a state that stays incomplete although a later snapshot contains
// the missing records, and against one that counts as complete although the
// snapshot is older than they are.
func TestSnapshotCompletesState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := startStubLeader(t)
		l.saveSnapshot()
		time.Sleep(10 * time.Second)
		l.expireUntil(l.log.End() - 3)
		f, start := newFeed(t, l.log, "late")
		start()
		time.Sleep(5 * time.Second)
		is.True(f.Sync(t.Context()) != nil)
		l.saveSnapshot()
		time.Sleep(5 * time.Second)
		is.NoErr(f.Sync(t.Context()))
		is.Equal(f.Status().Leader, "lead")
		l.stop()
		time.Sleep(4 * time.Second)
		is.Equal(f.Leading(), true)
	})
}

// Guards against an instance that goes on leading with a state that lacks records,
// because it could not read them before they expired.
func TestLeaderMissesRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := fleettest.NewLog(rand.New(rand.NewPCG(1, 2)))
		f, start := newFeed(t, log, "lead")
		start()
		time.Sleep(3 * time.Second)
		is.Equal(f.Leading(), true)
		log.SetFaults(func(l *fleettest.LogFaults) { l.RefusedInstances["lead"] = true })
		time.Sleep(time.Second)
		record, err := ledger.Encode(ledger.Record{Join: &ledger.Join{Instance: "other", Addr: "a"}})
		is.NoErr(err)
		for range 5 {
			_, err := log.Append(t.Context(), "other", feed.Batch{Records: [][]byte{record}})
			is.NoErr(err)
		}
		first := log.Size() - 2
		log.ClearFaults()
		log.SetFaults(func(l *fleettest.LogFaults) { l.FirstOffset = first })
		time.Sleep(3 * time.Second)
		is.Equal(f.Leading(), false)
		time.Sleep(5 * time.Second)
		is.Equal(f.Leading(), true) // there is no other instance
		is.Equal(claims(log, "lead"), []uint64{ledger.EpochStep, 2 * ledger.EpochStep})
	})
}
