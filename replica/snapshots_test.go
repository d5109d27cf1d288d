package replica

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/member"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/snapshot"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
)

// writeSnapshotNow makes the replica append a snapshot now and returns the offset
// of the snapshot's state.
func (n *testReplica) writeSnapshotNow() uint64 {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := n.writeSnapshot(ctx); err != nil {
		n.t.Fatal(err)
	}
	return n.newestSnapshot()
}

func (n *testReplica) publishMany(prefix string, count int) {
	n.t.Helper()
	for i := range count {
		if o, err := n.publish(fmt.Sprint(prefix, i), 0); err != nil || !o.Accepted() {
			n.t.Fatal(o, err)
		}
	}
}

// TestStartAfterExpiry guards against a new instance that cannot become ready or
// that reverts configuration because all records before the newest snapshot have
// expired.
func TestStartAfterExpiry(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a := f.start("a", nil).ready()
	a.publishMany("x", 10)
	offset := a.writeSnapshotNow()
	f.log.Fault(standin.LogFault{ExpireBefore: &offset})
	a.publishMany("y", 10)
	b := f.start("b", nil).ready()
	is.Equal(b.Status().Counts.Reloads, uint64(1))
	is.Equal(b.version("x3"), a.version("x3"))
	end := b.Status().Offset
	a.await("same offset", func(s Status) bool { return s.Offset >= end })
	is.Equal(a.Status().Chain, b.Status().Chain)
}

// TestNoSnapshot guards against an instance that starts from an empty state, or
// from an incomplete or corrupt snapshot, although records have expired.
func TestNoSnapshot(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a := f.start("a", nil).ready()
	a.publishMany("x", 3)
	chunks := a.chunks(20)
	is.True(len(chunks) > 1)
	for _, c := range chunks[1:] {
		a.appendChunk(c)
	}
	broken := a.chunks(len(chunks[0].Data))[0]
	broken.Count, broken.Snapshot = 1, "broken"
	a.appendChunk(broken)
	offset := a.Status().Offset - uint64(len(chunks))
	f.log.Fault(standin.LogFault{ExpireBefore: &offset})
	b := f.start("b", nil)
	b.await("failed loads", func(s Status) bool { return s.Counts.ReadErrors >= 2 })
	is.True(!b.Status().Ready)
	is.Equal(b.Status().Offset, uint64(0))
	a.writeSnapshotNow()
	b.ready() // succeeds once there is a complete snapshot
	is.Equal(b.version("x1"), a.version("x1"))
}

// chunks returns a snapshot of the state in chunks of at most size bytes, smaller
// than usual.
func (n *testReplica) chunks(size int) []record.Chunk {
	n.t.Helper()
	var whole []record.Chunk
	var err error
	n.View(func(s *state.State) { whole, err = snapshot.Split(s, "half") })
	if err != nil || len(whole) != 1 {
		n.t.Fatal(len(whole), err)
	}
	data := whole[0].Data
	count := (len(data) + size - 1) / size
	var out []record.Chunk
	for i := range count {
		c := whole[0]
		c.Index, c.Count, c.Data = i, count, data[i*size:min((i+1)*size, len(data))]
		out = append(out, c)
	}
	return out
}

func (n *testReplica) appendChunk(c record.Chunk) {
	n.t.Helper()
	rec, err := record.New(record.KindChunk, "", c)
	if err != nil {
		n.t.Fatal(err)
	}
	if _, err := n.Propose(context.Background(), rec); err != nil {
		n.t.Fatal(err)
	}
}

// TestReload guards against a replica that stays behind, or reverts to an older
// state, because the entries that it needs next have expired. It also guards
// against a proposal that is reported as not run although only the decision on
// it was missed.
func TestReload(t *testing.T) {
	for _, effect := range []bool{false, true} {
		t.Run(fmt.Sprintf("pending batch in the log %v", effect), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			var pausing atomic.Bool // a's reads hang; its appends are lost unless effect is set
			hung, resume := make(chan struct{}, 10), make(chan struct{})
			defer func() { pausing.Store(false) }()
			hook := func(q *http.Request) error {
				if !pausing.Load() {
					return nil
				}
				if q.Method == http.MethodGet {
					hung <- struct{}{}
					<-resume
				} else if !effect {
					return &stream.StatusError{}
				}
				return nil
			}
			a := f.start("a", func(r *Replica) { r.Log.Client = &http.Client{Transport: hookTransport(hook)} }).ready()
			b := f.start("b", nil).ready()
			pausing.Store(true)
			b.publishMany("w", 1) // ends the long poll that a has in progress
			<-hung
			answer := make(chan error, 1)
			go func() {
				_, err := a.Propose(context.Background(), policy(t, "x", 0))
				answer <- err
			}()
			a.await("append", func(s Status) bool { return s.Counts.Appends >= 2 }) // the appends of the join and of x
			if effect {
				b.await("x", func(Status) bool { return b.version("x") > 0 })
			}
			b.publishMany("y", 5)
			offset := b.writeSnapshotNow()
			f.log.Fault(standin.LogFault{ExpireBefore: &offset})
			pausing.Store(false)
			close(resume)

			a.await("reload", func(s Status) bool { return s.Counts.Reloads == 1 && s.Offset > offset })
			err := <-answer
			var unknown *UnknownOutcomeError
			var reload *MissedDecisionError
			is.Equal(errors.As(err, &unknown) && errors.As(err, &reload), effect)
			is.Equal(err == nil, !effect) // if it had no effect, it was appended again
			o, err := a.publish("z", 0)
			is.NoErr(err)
			is.True(o.Accepted())
			end := a.Status().Offset
			b.await("same offset", func(s Status) bool { return s.Offset >= end })
			is.Equal(a.Status().Chain, b.Status().Chain)
			is.True(b.version("x") > 0)
			_, batches := f.copies("x")
			is.True(batches <= 1)
		})
	}
}

// TestSnapshotWriters guards against a due snapshot that no instance writes
// because the instance with the lowest rank has stopped, and against a snapshot
// that every instance writes.
func TestSnapshotWriters(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var replicas []*testReplica
	for _, w := range []string{"a", "b", "c"} {
		replicas = append(replicas, f.start(w, func(r *Replica) { r.SnapshotRecords, r.SnapshotRankDelay = 20, time.Second }).ready())
	}
	for i := range 3 {
		previous := replicas[0].newestSnapshot()
		replicas[0].publishMany(fmt.Sprint("x", i, "-"), 20)
		for _, n := range replicas {
			n.await("snapshot", func(Status) bool { return n.newestSnapshot() > previous })
		}
	}
	is.Equal(f.snapshots(), 3)

	// The instance with the lowest rank for the next snapshot has stopped.
	previous := replicas[0].newestSnapshot()
	var members []*state.Member
	replicas[0].View(func(s *state.State) { members = s.Members })
	live := replicas[:0:0]
	for _, n := range replicas {
		if member.Rank(members, fmt.Sprintf("snapshot/%d", previous), n.Writer) == 0 {
			n.stop()
			continue
		}
		live = append(live, n)
	}
	is.Equal(len(live), 2)
	live[0].publishMany("z", 20)
	for _, n := range live {
		n.await("snapshot", func(Status) bool { return n.newestSnapshot() > previous })
	}
}

// snapshots returns the number of snapshots of which the log has a chunk.
func (f *fleet) snapshots() int {
	snapshotIDs := map[string]bool{}
	_, log := f.log.Entries()
	for _, data := range log {
		b, err := record.Decode(data)
		if err != nil {
			continue
		}
		for _, rec := range b.Records {
			if c, err := record.Body[record.Chunk](rec); err == nil && rec.Kind == record.KindChunk {
				snapshotIDs[c.Snapshot] = true
			}
		}
	}
	return len(snapshotIDs)
}

// TestSnapshotOfIdleLog guards against the loss of the whole state if nothing is
// appended for longer than the log's retention time.
func TestSnapshotOfIdleLog(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.log.Retention = 6 * time.Second
	short := func(r *Replica) { r.SnapshotRecords, r.LogRetention = 1000, 4*time.Second }
	a := f.start("a", short).ready()
	a.publishMany("x", 1)
	for range 3 {
		previous := a.Status().Snap
		a.await("snapshot", func(s Status) bool { return s.Snap > previous })
	}
	b := f.start("b", short).ready()
	is.Equal(b.version("x0"), a.version("x0"))
}
