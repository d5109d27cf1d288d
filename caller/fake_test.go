package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/backend"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/route"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
)

var (
	errDown = errors.New("log down, nothing appended")
	errLost = errors.New("response lost")
)

// fakeLog applies each proposal to a single state at once.
type fakeLog struct {
	mu      sync.Mutex
	s       state.State
	seq     map[string]uint64
	changed chan struct{}
	fault   func(writer string, recs []record.Record) (before, after error) // called for each append; returns errors to fail with before and after it; nil means no faults
	now     func() int64
}

func newFakeLog() *fakeLog {
	return &fakeLog{seq: map[string]uint64{}, changed: make(chan struct{}), now: func() int64 { return time.Now().UnixMilli() }}
}

func (l *fakeLog) propose(writer string, recs ...record.Record) ([]state.Decision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var before, after error
	if l.fault != nil {
		before, after = l.fault(writer, recs)
	}
	if before != nil {
		return nil, before
	}
	l.seq[writer]++
	out, err := l.s.Apply(l.s.Offset, &record.Batch{Writer: writer, Seq: l.seq[writer], At: l.now(), Records: recs})
	if err != nil {
		return nil, err
	}
	close(l.changed)
	l.changed = make(chan struct{})
	if after != nil {
		return nil, after
	}
	return out, nil
}

func (l *fakeLog) setFault(f func(writer string, recs []record.Record) (before, after error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

func (l *fakeLog) view(f func(*state.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.s)
}

func (l *fakeLog) change() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *fakeLog) must(t testing.TB, writer string, kind record.Kind, body any) {
	t.Helper()
	rec, err := record.New(kind, "", body)
	if err != nil {
		t.Fatal(err)
	}
	out, err := l.propose(writer, rec)
	if err != nil || !out[0].Accepted() {
		t.Fatalf("%s: %v %v", kind, out, err)
	}
}

func (l *fakeLog) publish(t testing.TB, name string, body any) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	var base uint64
	l.view(func(s *state.State) {
		if c := s.Configs[name]; c != nil {
			base = c.Version
		}
	})
	l.must(t, "operator", record.KindPublish, record.Publish{Name: name, Base: base, Body: data, By: "test"})
}

// testEnv is a log and a service "badges" of simulated backend servers.
type testEnv struct {
	t        testing.TB
	log      *fakeLog
	backends *standin.Backends
}

func newTestEnv(t testing.TB, servers int, b *standin.Backends) *testEnv {
	t.Helper()
	k := &testEnv{t, newFakeLog(), b}
	t.Cleanup(b.Close)
	for i := range servers {
		if _, err := b.Add(fmt.Sprintf("s%d", i)); err != nil {
			t.Fatal(err)
		}
	}
	k.log.publish(t, "account/asha", state.AccountBody{})
	k.log.publish(t, "account/binu", state.AccountBody{})
	k.publish(nil)
	return k
}

// publish publishes the service's configuration. edit may change it first.
func (k *testEnv) publish(edit func(*state.ServiceBody)) {
	k.t.Helper()
	var body state.ServiceBody
	for _, s := range k.backends.Servers() {
		body.Servers = append(body.Servers, state.ServerBody{Name: s.Name, Addr: s.Addr, Slots: k.backends.Slots, Connections: k.backends.MaxConns})
	}
	if edit != nil {
		edit(&body)
	}
	k.log.publish(k.t, "service/badges", body)
}

// router joins a new instance and returns its router, which runs until the
// test ends, and its client for backend servers.
func (k *testEnv) router(name string) (*Router, *backend.Client) {
	k.t.Helper()
	return k.routerAfter(name, -1)
}

// routerAfter is like router, with a ShareDelay of delay.
func (k *testEnv) routerAfter(name string, delay time.Duration) (*Router, *backend.Client) {
	k.t.Helper()
	k.log.must(k.t, name, record.KindJoin, record.Join{Name: name, Version: record.Version})
	table := &route.Table{}
	client := &backend.Client{MaxConnections: table.Connections}
	if k.backends.Network != nil {
		client.Dial = k.backends.Network.Dial
	}
	r := &Router{
		Table: table, Writer: name, View: k.log.view, Changed: k.log.change,
		Propose: func(ctx context.Context, recs ...record.Record) ([]state.Decision, error) {
			if err := ctx.Err(); err != nil {
				return nil, errDown
			}
			return k.log.propose(name, recs...)
		},
		NotAppended: func(err error) bool { return errors.Is(err, errDown) },
		Send:        client.Do, Probe: client.Probe, OnShareChange: client.TrimIdle, ShareDelay: delay,
	}
	r.updateTable()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	k.t.Cleanup(func() {
		cancel()
		<-done
	})
	return r, client
}

var idCount struct {
	sync.Mutex
	n int
}

// onceID returns a new id for a non-repeatable request.
func onceID() string {
	idCount.Lock()
	defer idCount.Unlock()
	idCount.n++
	return fmt.Sprintf("%d-%d", time.Now().UnixMilli(), idCount.n)
}

func request(id string, repeatable bool, within time.Duration) *Request {
	return &Request{
		ID: id, Service: "badges", Account: "asha", Class: route.Normal, Repeatable: repeatable,
		Deadline: time.Now().Add(within), Body: []byte("body of " + id),
	}
}

// TestAnswerIsOwn guards against a caller that gets the response to another
// request, and against a request that runs more than once.
func TestAnswerIsOwn(t *testing.T) {
	is := is.New(t)
	k := newTestEnv(t, 3, &standin.Backends{})
	r, _ := k.router("i1")
	for _, repeatable := range []bool{true, false} {
		q := request(onceID(), repeatable, 5*time.Second)
		a := r.Do(context.Background(), q)
		is.Equal(a.Outcome, record.RequestDone)
		is.Equal(string(a.Body), q.ID+" body of "+q.ID)
		is.Equal(a.Status, 200)
		is.Equal(k.backends.Executions()[q.ID], 1)
	}
}
