package e2e

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/client"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/standin"
)

// badgesRequest returns an urgent request to the service badges, with its ID as
// the body.
func badgesRequest(id string, once bool, deadline time.Duration) client.ServiceRequest {
	return client.ServiceRequest{ID: id, Service: "badges", Class: "urgent", Once: once, Deadline: deadline, Body: []byte(id)}
}

// TestOnceUnderFaults guards against a non-repeatable request that runs twice
// when the caller resends it through another instance while instances are
// killed, responses of the log are lost and backend servers crash after running
// the request.
func TestOnceUnderFaults(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	c.publishResources(1, 6)
	for i, s := range c.backends.Servers() {
		if i%2 == 0 {
			s.SetFault(standin.BackendCrash)
		}
	}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			n := 1
			c.log.Fault(standin.LogFault{LoseResponses: &n})
			if i%5 == 4 {
				c.killInstance(c.live()[0])
				c.addInstance(fmt.Sprintf("k%d", i))
			}
		}
	})
	var wg sync.WaitGroup
	var done, unknown, notrun atomic.Int64
	for g := range 8 {
		wg.Go(func() {
			for i := range 12 {
				id := fmt.Sprintf("%d-print-%d-%d", time.Now().UnixMilli(), g, i)
				outcome := record.RequestUnknown
				for attempt := range 4 { // resent through other instances
					live := c.live()
					r, err := live[(g+attempt)%len(live)].callerClient("asha").Request(t.Context(), badgesRequest(id, true, 2*time.Second))
					if err == nil && r.Outcome == record.RequestDone {
						if got := string(r.Body); got != "" && got != id+" "+id {
							t.Errorf("foreign answer %q to %s", got, id)
						}
						outcome = r.Outcome
						break
					}
					if err == nil {
						outcome = r.Outcome
					}
				}
				switch outcome {
				case record.RequestDone:
					done.Add(1)
				case record.RequestNotRun:
					notrun.Add(1)
				default:
					unknown.Add(1)
				}
			}
		})
	}
	wg.Wait()
	close(stop)
	faults.Wait()
	t.Logf("done %d, unknown %d, not run %d", done.Load(), unknown.Load(), notrun.Load())
	is.True(done.Load() > 0)
	for id, n := range c.backends.Executions() {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
}

// TestAnswersMatch guards against the outcome "not run" for a request that has
// run, and against answers to the wrong caller. The backend servers show each
// fault that corrupts answers.
func TestAnswersMatch(t *testing.T) {
	c := startCluster(t, 3)
	c.publishResources(1, 6)
	faults := []standin.BackendFault{
		standin.BackendHealthy, standin.BackendCross, standin.BackendTruncate, standin.BackendDuplicate, standin.BackendSwap, standin.BackendSplit,
	}
	for i, s := range c.backends.Servers() {
		s.SetFault(faults[i])
	}
	var mu sync.Mutex
	refused := map[string]bool{}
	var wg sync.WaitGroup
	for g := range 12 {
		wg.Go(func() {
			for i := range 20 {
				id := fmt.Sprintf("%d-%d-%d", time.Now().UnixMilli(), g, i)
				r, err := c.live()[g%3].callerClient("ben").Request(t.Context(), badgesRequest(id, g%2 == 0, 3*time.Second))
				if err != nil {
					t.Error(err)
					continue
				}
				if r.Outcome == record.RequestDone && string(r.Body) != id+" "+id {
					t.Errorf("foreign answer %q to %s", r.Body, id)
				}
				if r.Outcome == record.RequestNotRun {
					mu.Lock()
					refused[id] = true
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	for id := range c.backends.Executions() {
		if refused[id] {
			t.Errorf("%s ran although its caller was told notrun", id)
		}
	}
}

// TestGracefulShutdown guards against a shutdown that aborts requests in flight,
// or refuses requests before the balancer can see that the instance is not
// ready.
func TestGracefulShutdown(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 2)
	c.backends.ServiceTime = 100 * time.Millisecond
	c.publishResources(1, 6)
	leaving := c.live()[0]
	var cut, refused atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				// Like a balancer, send requests only while the instance is ready.
				if !leaving.isReady() {
					return
				}
				id := fmt.Sprintf("%d-%d-%d", time.Now().UnixMilli(), g, i)
				r, err := leaving.callerClient("asha").Request(t.Context(), badgesRequest(id, g%2 == 0, 5*time.Second))
				switch {
				case err != nil:
					cut.Add(1)
				case r.Outcome != record.RequestDone:
					refused.Add(1)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond) // so that requests are in flight
	leaving.signal(syscall.SIGTERM)
	select {
	case <-leaving.exited:
	case <-time.After(15 * time.Second):
		t.Fatal("the instance does not exit")
	}
	close(stop)
	wg.Wait()
	is.Equal(cut.Load(), int64(0))
	is.Equal(refused.Load(), int64(0))
	c.removeInstance(leaving)
	c.eventually(5*time.Second, "the remaining instance is not ready", func() bool {
		st, err := c.live()[0].status(t.Context())
		return err == nil && st.Replica.Ready
	})
	is.True(strings.Contains(strings.Join(leaving.logTail(), "\n"), "drained"))
}

// TestLeavingServer guards against requests that are sent to a leaving backend
// server for longer than 3 s. Only the server's own answers announce that it
// leaves; no list does.
func TestLeavingServer(t *testing.T) {
	c := startCluster(t, 3)
	c.publishResources(1, 4)
	s := c.backends.Servers()[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for g := range 6 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%d-%d-%d", time.Now().UnixMilli(), g, i)
				_, _ = c.live()[g%3].callerClient("asha").Request(t.Context(), badgesRequest(id, g%2 == 0, 2*time.Second))
			}
		})
	}
	c.eventually(10*time.Second, "the server gets no requests", func() bool {
		for _, e := range c.backends.Audit() {
			if e.Server == s.Name {
				return true
			}
		}
		return false
	})
	s.SetLeaving(true)
	left := time.Now()
	time.Sleep(6 * time.Second) // requests continue for twice the limit of 3 s
	close(stop)
	wg.Wait()
	late, last := 0, time.Duration(0)
	for _, e := range c.backends.Audit() {
		if e.Server == s.Name && e.At.After(left) {
			last = e.At.Sub(left)
			if last > 3*time.Second {
				late++
			}
		}
	}
	t.Logf("last request to the leaving server %s after it began to leave", last)
	if late > 0 {
		t.Errorf("%d requests later than 3 s", late)
	}
}
