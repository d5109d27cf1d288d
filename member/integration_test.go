package member_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/member"
	"jasminelane.example/lane/peer"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/replica"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
)

// instance is a replica with its failure detector and peer server.
type instance struct {
	*replica.Replica
	live *member.FailureDetector
	stop context.CancelFunc
}

// startInstance starts an instance and waits until it is ready.
func startInstance(t *testing.T, name, logURL, listURL string) *instance {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in := &instance{}
	in.Replica = &replica.Replica{
		Log: &stream.Log{URL: logURL}, Writer: name + "/1", ReadyDelay: -1,
		Join:       record.Join{Name: name, Addr: l.Addr().String(), Version: record.Version},
		OnDecision: func(o state.Decision) { in.live.Observe(o) },
	}
	calls := &peer.Client{Timeout: 200 * time.Millisecond}
	in.live = &member.FailureDetector{
		Writer: in.Writer, View: in.View, Propose: in.Propose,
		Fresh:         func() bool { s := in.Status(); return s.Ready && s.Fresh && !s.LogDown },
		ListInstances: (&stream.Directory{URL: listURL}).List,
		Ping:          calls.Ping, AskReach: calls.CanReachMember,
		PingInterval: 20 * time.Millisecond, PingTimeout: 200 * time.Millisecond, ListMaxAge: 20 * time.Millisecond,
		SuspectTimeout: 300 * time.Millisecond, ConfirmTimeout: 900 * time.Millisecond,
	}
	server := &peer.Server{Writer: in.Writer, CanReachMember: in.live.Reach}
	ctx, cancel := context.WithCancel(context.Background())
	in.stop = cancel
	ended := make(chan error, 3)
	for _, f := range []func(context.Context) error{
		in.Run, in.live.Run, func(ctx context.Context) error { return server.Serve(ctx, l) },
	} {
		go func() { ended <- f(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range cap(ended) {
			<-ended
		}
		calls.Close()
	})
	in.await(t, func(s replica.Status) bool { return s.Ready })
	return in
}

// await waits until the status satisfies the condition, at most 20 s.
func (in *instance) await(t *testing.T, cond func(replica.Status) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := in.Await(ctx, cond); err != nil {
		t.Fatal(err, in.Status())
	}
}

// TestInstances guards against replica, failure detector and peer calls that do
// not work together. A failed instance must be evicted, whether or not the
// platform's list still has it, and the live ones must stay.
func TestInstances(t *testing.T) {
	for _, listed := range []bool{false, true} {
		name := "dead and not listed"
		if listed {
			name = "dead and still listed"
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			logServer := httptest.NewServer(&standin.Log{})
			list := &standin.Directory{}
			listServer := httptest.NewServer(list)
			t.Cleanup(func() {
				logServer.CloseClientConnections()
				logServer.Close()
				listServer.Close()
			})
			list.Set([]stream.Instance{{Name: "a"}, {Name: "b"}, {Name: "c"}})
			var all []*instance
			for _, n := range []string{"a", "b", "c"} {
				all = append(all, startInstance(t, n, logServer.URL, listServer.URL))
			}
			writers := func(in *instance) (out []string) {
				in.View(func(s *state.State) {
					for _, m := range s.Members {
						out = append(out, m.Writer)
					}
				})
				return out
			}
			// Wait for three members first: an instance that has not applied the
			// third join yet also has two members.
			for _, in := range all[:2] {
				in.await(t, func(replica.Status) bool { return len(writers(in)) == 3 })
			}
			all[2].stop()
			if !listed {
				list.Set([]stream.Instance{{Name: "a"}, {Name: "b"}})
			}
			for _, in := range all[:2] {
				in.await(t, func(replica.Status) bool { return len(writers(in)) == 2 })
				is.Equal(writers(in), []string{"a/1", "b/1"})
			}
		})
	}
}
