package replica

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
)

const testTimeout = 20 * time.Second

// fleet is a log with the replicas of one test.
type fleet struct {
	t   *testing.T
	log *standin.Log
	url string
	// client reaches the log; nil is the default one.
	client *http.Client
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	l := &standin.Log{}
	srv := httptest.NewServer(l)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return &fleet{t: t, log: l, url: srv.URL}
}

// newVirtualFleet is newFleet for a bubble of package synctest: calls take no
// time but what the log's faults add.
func newVirtualFleet(t *testing.T) *fleet {
	t.Helper()
	const addr = "127.0.0.1:1"
	network := &standin.Network{}
	ln, err := network.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	l := &standin.Log{}
	srv := &http.Server{Handler: l}
	go srv.Serve(ln)
	transport := &http.Transport{DialContext: network.Dial}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		srv.Close()
	})
	return &fleet{t: t, log: l, url: "http://" + addr, client: &http.Client{Transport: transport}}
}

// node is a running replica.
type node struct {
	*Replica
	t      *testing.T
	cancel context.CancelFunc
	ended  chan error
}

// start runs a replica with short delays; change may alter it before.
func (f *fleet) start(writer string, change func(*Replica)) *node {
	f.t.Helper()
	r := &Replica{
		Log: &stream.Log{URL: f.url, Client: f.client}, Writer: writer, Join: record.Join{Name: writer, Version: record.Version},
		Wait: 200 * time.Millisecond, ReadTimeout: 300 * time.Millisecond, AppendTimeout: 300 * time.Millisecond,
		ReadyDelay: -1, ReturnDelay: 20 * time.Millisecond, SnapshotRecords: -1, SnapshotDelay: 300 * time.Millisecond,
	}
	if change != nil {
		change(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{r, f.t, cancel, make(chan error, 1)}
	go func() { n.ended <- r.Run(ctx) }()
	f.t.Cleanup(n.stop)
	return n
}

func (n *node) stop() {
	n.cancel()
	select {
	case err := <-n.ended:
		n.ended <- err
	case <-time.After(testTimeout):
		n.t.Error("replica does not end")
	}
}

// end waits for Run to return by itself.
func (n *node) end() error {
	n.t.Helper()
	select {
	case err := <-n.ended:
		n.ended <- err
		return err
	case <-time.After(testTimeout):
		n.t.Fatal("replica does not end")
		return nil
	}
}

func (n *node) await(what string, cond func(Status) bool) {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := n.Await(ctx, cond); err != nil {
		n.t.Fatalf("%s: %v, status %+v", what, err, n.Status())
	}
}

func (n *node) ready() *node {
	n.t.Helper()
	n.await("ready", func(s Status) bool { return s.Ready })
	return n
}

// publish proposes a policy record and returns the outcome.
func (n *node) publish(name string, base uint64) (state.Decision, error) {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	out, err := n.Propose(ctx, policy(n.t, name, base))
	if err != nil {
		return state.Decision{}, err
	}
	return out[0], nil
}

func policy(t testing.TB, name string, base uint64) record.Record {
	t.Helper()
	rec, err := record.New(record.KindPublish, name, record.Publish{Name: "policy/" + name, Base: base, Body: []byte(`{"a":1}`)})
	if err != nil {
		t.Fatal(err)
	}
	return rec
}

func (n *node) version(name string) uint64 {
	var v uint64
	n.View(func(s *state.State) {
		if c := s.Configs["policy/"+name]; c != nil {
			v = c.Version
		}
	})
	return v
}

func ptr[T any](v T) *T { return &v }

// TestPropose guards against proposals that are lost, reordered or reported
// with the outcome of another, and against replicas that diverge.
func TestPropose(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, b := f.start("a", nil).ready(), f.start("b", nil).ready()

	o, err := a.publish("x", 0)
	is.NoErr(err)
	is.True(o.Accepted())
	o, err = b.publish("x", 0)
	is.NoErr(err)
	is.Equal(o.Reason, state.ReasonConflict) // the base is no longer current

	offset := b.Status().Offset
	a.await("same offset", func(s Status) bool { return s.Offset == offset })
	is.Equal(a.Status().Chain, b.Status().Chain)
	is.Equal(a.version("x"), b.version("x"))
}

// TestOutcomesOfConcurrentProposals guards against a batch whose outcomes are
// handed to the wrong proposers.
func TestOutcomesOfConcurrentProposals(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a := f.start("a", nil).ready()
	f.log.Fault(standin.LogFault{Slow: ptr(int64(20))}) // so that proposals share batches
	const n = 200
	type answer struct {
		id  string
		out []state.Decision
		err error
	}
	answers := make(chan answer, n)
	for i := range n {
		go func() {
			id := string(rune('a'+i%26)) + string(rune('a'+i/26))
			out, err := a.Propose(context.Background(), policy(t, id, 0), policy(t, id, 0))
			answers <- answer{id, out, err}
		}()
	}
	for range n {
		got := <-answers
		is.NoErr(got.err)
		is.Equal(len(got.out), 2)
		is.Equal(got.out[0].ID, got.id)
		is.True(got.out[0].Accepted())
		is.Equal(got.out[1].Reason, state.ReasonConflict)
	}
	is.True(a.Status().Counts.Appends < n) // group commit
}

// TestLeave guards against a graceful end that is reported as a failure.
func TestLeave(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a := f.start("a", nil).ready()
	leave, err := record.New(record.KindLeave, "", record.Leave{})
	is.NoErr(err)
	out, err := a.Propose(context.Background(), leave)
	is.NoErr(err)
	is.True(out[0].Accepted())
	is.NoErr(a.end())
	_, err = a.publish("x", 0)
	var no *NotAppendedError
	is.True(errors.As(err, &no))
}

// newQuietPair returns two ready replicas of which neither has appended its join
// again: on a busy machine such a copy can still be under way and would take
// the injected fault.
func newQuietPair(t *testing.T) (f *fleet, a, b *node) {
	t.Helper()
	for range 20 {
		f = newFleet(t)
		a, b = f.start("a", nil).ready(), f.start("b", nil).ready()
		if a.Status().Counts.Reappends+b.Status().Counts.Reappends == 0 {
			return f, a, b
		}
	}
	t.Fatal("joins were appended again 20 times in a row")
	return nil, nil, nil
}
