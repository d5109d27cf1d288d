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

// fleet is a log and the replicas that one test runs on it.
type fleet struct {
	t   *testing.T
	log *standin.Log
	url string
	// client is the HTTP client for the log; http.DefaultClient if nil.
	client *http.Client
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	log := &standin.Log{}
	srv := httptest.NewServer(log)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return &fleet{t: t, log: log, url: srv.URL}
}

// newVirtualFleet is like newFleet, but for a bubble of package synctest. Calls
// take no time except for the delays of the log's faults.
func newVirtualFleet(t *testing.T) *fleet {
	t.Helper()
	const addr = "127.0.0.1:1"
	network := &standin.Network{}
	ln, err := network.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	log := &standin.Log{}
	srv := &http.Server{Handler: log}
	go srv.Serve(ln)
	transport := &http.Transport{DialContext: network.Dial}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		srv.Close()
	})
	return &fleet{t: t, log: log, url: "http://" + addr, client: &http.Client{Transport: transport}}
}

// testReplica is a running replica.
type testReplica struct {
	*Replica
	t      *testing.T
	cancel context.CancelFunc
	ended  chan error
}

// start runs a replica with short delays. change, if not nil, may modify the
// replica before it runs.
func (f *fleet) start(writer string, change func(*Replica)) *testReplica {
	f.t.Helper()
	r := &Replica{
		Log: &stream.Log{URL: f.url, Client: f.client}, Writer: writer, Join: record.Join{Name: writer, Version: record.Version},
		LongPollWait: 200 * time.Millisecond, ReadTimeout: 300 * time.Millisecond, AppendTimeout: 300 * time.Millisecond,
		ReadyDelay: -1, MaxResumeDelay: 20 * time.Millisecond, SnapshotRecords: -1, SnapshotRankDelay: 300 * time.Millisecond,
	}
	if change != nil {
		change(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &testReplica{r, f.t, cancel, make(chan error, 1)}
	go func() { n.ended <- r.Run(ctx) }()
	f.t.Cleanup(n.stop)
	return n
}

func (n *testReplica) stop() {
	n.cancel()
	select {
	case err := <-n.ended:
		n.ended <- err
	case <-time.After(testTimeout):
		n.t.Error("Run did not return after its context ended")
	}
}

// awaitRunEnd waits until Run returns by itself and returns its error.
func (n *testReplica) awaitRunEnd() error {
	n.t.Helper()
	select {
	case err := <-n.ended:
		n.ended <- err
		return err
	case <-time.After(testTimeout):
		n.t.Fatal("Run did not return by itself")
		return nil
	}
}

func (n *testReplica) await(what string, cond func(Status) bool) {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := n.Await(ctx, cond); err != nil {
		n.t.Fatalf("%s: %v, status %+v", what, err, n.Status())
	}
}

func (n *testReplica) ready() *testReplica {
	n.t.Helper()
	n.await("ready", func(s Status) bool { return s.Ready })
	return n
}

// publish proposes a policy record and returns the decision on it.
func (n *testReplica) publish(name string, base uint64) (state.Decision, error) {
	n.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	out, err := n.Propose(ctx, policy(n.t, name, base))
	if err != nil {
		return state.Decision{}, err
	}
	return out[0], nil
}

// policy returns a record that publishes a policy under the name.
func policy(t testing.TB, name string, base uint64) record.Record {
	t.Helper()
	rec, err := record.New(record.KindPublish, name, record.Publish{Name: "policy/" + name, Base: base, Body: []byte(`{"a":1}`)})
	if err != nil {
		t.Fatal(err)
	}
	return rec
}

func (n *testReplica) version(name string) uint64 {
	var v uint64
	n.View(func(s *state.State) {
		if c := s.Configs["policy/"+name]; c != nil {
			v = c.Version
		}
	})
	return v
}

func ptr[T any](v T) *T { return &v }

// TestPropose guards against proposals that are lost, reordered or reported with
// the decision on another proposal, and against replicas that diverge.
func TestPropose(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a, b := f.start("a", nil).ready(), f.start("b", nil).ready()

	o, err := a.publish("x", 0)
	is.NoErr(err)
	is.True(o.Accepted())
	o, err = b.publish("x", 0)
	is.NoErr(err)
	is.Equal(o.Reason, state.ReasonConflict) // the base version is outdated

	offset := b.Status().Offset
	a.await("same offset", func(s Status) bool { return s.Offset == offset })
	is.Equal(a.Status().Chain, b.Status().Chain)
	is.Equal(a.version("x"), b.version("x"))
}

// TestOutcomesOfConcurrentProposals guards against decisions on a batch that are
// returned to the wrong proposers.
func TestOutcomesOfConcurrentProposals(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a := f.start("a", nil).ready()
	f.log.Fault(standin.LogFault{DelayMs: ptr(int64(20))}) // so that proposals share batches
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

// TestLeave guards against a graceful shutdown that is reported as a failure.
func TestLeave(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a := f.start("a", nil).ready()
	leave, err := record.New(record.KindLeave, "", record.Leave{})
	is.NoErr(err)
	out, err := a.Propose(context.Background(), leave)
	is.NoErr(err)
	is.True(out[0].Accepted())
	is.NoErr(a.awaitRunEnd())
	_, err = a.publish("x", 0)
	var notAppended *NotAppendedError
	is.True(errors.As(err, &notAppended))
}

// newQuietPair returns two ready replicas that have each appended their join only
// once. On a busy machine a second copy of a join can still be in progress, and
// an injected fault would affect it instead of the test's append.
func newQuietPair(t *testing.T) (f *fleet, a, b *testReplica) {
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
