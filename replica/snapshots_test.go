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

// write makes the node append a snapshot now and returns its offset.
func (n *node) write() uint64 {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := n.writeSnapshot(ctx); err != nil {
		n.t.Fatal(err)
	}
	return n.snapshotNewest()
}

func (n *node) publishMany(prefix string, count int) {
	n.t.Helper()
	for i := range count {
		if o, err := n.publish(fmt.Sprint(prefix, i), 0); err != nil || !o.Accepted() {
			n.t.Fatal(o, err)
		}
	}
}

// TestStartAfterExpiry guards against a new instance that cannot become ready,
// or reverts configuration, when all records before the newest snapshot have
// expired.
func TestStartAfterExpiry(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a := f.start("a", nil).ready()
	a.publishMany("x", 10)
	offset := a.write()
	f.log.Fault(standin.LogFault{Expire: &offset})
	a.publishMany("y", 10)
	b := f.start("b", nil).ready()
	is.Equal(b.Status().Counts.Reloads, uint64(1))
	is.Equal(b.version("x3"), a.version("x3"))
	end := b.Status().Offset
	a.await("same offset", func(s Status) bool { return s.Offset >= end })
	is.Equal(a.Status().Chain, b.Status().Chain)
}

// TestNoSnapshot guards against an instance that starts from nothing, or from a
// half-written or broken snapshot, when the records are gone.
func TestNoSnapshot(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a := f.start("a", nil).ready()
	a.publishMany("x", 3)
	chunks := a.chunks(20)
	is.True(len(chunks) > 1)
	for _, c := range chunks[1:] {
		a.append1(c)
	}
	broken := a.chunks(len(chunks[0].Data))[0]
	broken.Count, broken.Snapshot = 1, "broken"
	a.append1(broken)
	offset := a.Status().Offset - uint64(len(chunks))
	f.log.Fault(standin.LogFault{Expire: &offset})
	b := f.start("b", nil)
	b.await("failed loads", func(s Status) bool { return s.Counts.ReadErrors >= 2 })
	is.True(!b.Status().Ready)
	is.Equal(b.Status().Offset, uint64(0))
	a.write()
	b.ready() // once there is a whole one
	is.Equal(b.version("x1"), a.version("x1"))
}

// chunks returns a snapshot in smaller pieces than usual.
func (n *node) chunks(size int) []record.Chunk {
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

func (n *node) append1(c record.Chunk) {
	n.t.Helper()
	rec, err := record.New(record.KindChunk, "", c)
	if err != nil {
		n.t.Fatal(err)
	}
	if _, err := n.Propose(context.Background(), rec); err != nil {
		n.t.Fatal(err)
	}
}

// TestReload guards against a replica that stays behind, or goes back, when
// the entries that it needs have expired, and against a proposal whose outcome
// it missed being reported as not run.
func TestReload(t *testing.T) {
	for _, effect := range []bool{false, true} {
		t.Run(fmt.Sprintf("pending batch in the log %v", effect), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			var pausing atomic.Bool // a's reads hang, and its appends are lost unless they are to take effect
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
			a := f.start("a", func(r *Replica) { r.Log.Client = &http.Client{Transport: hooked(hook)} }).ready()
			b := f.start("b", nil).ready()
			pausing.Store(true)
			b.publishMany("w", 1) // ends the long poll that a started before
			<-hung
			answer := make(chan error, 1)
			go func() {
				_, err := a.Propose(context.Background(), policy(t, "x", 0))
				answer <- err
			}()
			a.await("append", func(s Status) bool { return s.Counts.Appends >= 2 }) // join and x
			if effect {
				b.await("x", func(Status) bool { return b.version("x") > 0 })
			}
			b.publishMany("y", 5)
			offset := b.write()
			f.log.Fault(standin.LogFault{Expire: &offset})
			pausing.Store(false)
			close(resume)

			a.await("reload", func(s Status) bool { return s.Counts.Reloads == 1 && s.Offset > offset })
			err := <-answer
			var unknown *UnknownError
			var reload *ReloadError
			is.Equal(errors.As(err, &unknown) && errors.As(err, &reload), effect)
			is.Equal(err == nil, !effect) // else it was appended again
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

// TestSnapshotWriters guards against a fleet in which nobody writes the
// snapshot because the first in rank is dead, and against all writing it.
func TestSnapshotWriters(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var nodes []*node
	for _, w := range []string{"a", "b", "c"} {
		nodes = append(nodes, f.start(w, func(r *Replica) { r.SnapshotRecords, r.SnapshotDelay = 20, time.Second }).ready())
	}
	for i := range 3 {
		snap := nodes[0].snapshotNewest()
		nodes[0].publishMany(fmt.Sprint("x", i, "-"), 20)
		for _, n := range nodes {
			n.await("snapshot", func(Status) bool { return n.snapshotNewest() > snap })
		}
	}
	is.Equal(f.snapshots(), 3)

	// The first in rank for the next one is dead.
	snap := nodes[0].snapshotNewest()
	var members []*state.Member
	nodes[0].View(func(s *state.State) { members = s.Members })
	live := nodes[:0:0]
	for _, n := range nodes {
		if member.Rank(members, fmt.Sprintf("snapshot/%d", snap), n.Writer) == 0 {
			n.stop()
			continue
		}
		live = append(live, n)
	}
	is.Equal(len(live), 2)
	live[0].publishMany("z", 20)
	for _, n := range live {
		n.await("snapshot", func(Status) bool { return n.snapshotNewest() > snap })
	}
}

// snapshots returns how many snapshots were begun in the log.
func (f *fleet) snapshots() int {
	ids := map[string]bool{}
	_, log := f.log.Entries()
	for _, data := range log {
		b, err := record.Decode(data)
		if err != nil {
			continue
		}
		for _, rec := range b.Records {
			if c, err := record.Body[record.Chunk](rec); err == nil && rec.Kind == record.KindChunk {
				ids[c.Snapshot] = true
			}
		}
	}
	return len(ids)
}

// TestSnapshotOfIdleLog guards against the loss of the whole state when nothing
// is appended for longer than the log's retention.
func TestSnapshotOfIdleLog(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.log.Retention = 6 * time.Second
	short := func(r *Replica) { r.SnapshotRecords, r.Retention = 1000, 4*time.Second }
	a := f.start("a", short).ready()
	a.publishMany("x", 1)
	for range 3 {
		snap := a.Status().Snap
		a.await("snapshot", func(s Status) bool { return s.Snap > snap })
	}
	b := f.start("b", short).ready()
	is.Equal(b.version("x0"), a.version("x0"))
}
