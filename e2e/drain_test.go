package e2e

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/client"
	"jasminelane.example/lane/operator"
	"jasminelane.example/lane/record"
)

// TestDrainOrder guards against three faults of a shutdown: it refuses requests
// before the balancer's delay has passed; it aborts requests that take longer
// than this delay; and it ends without a leave record in the log, so that the
// instance's share of connections is unused until the instance is evicted.
func TestDrainOrder(t *testing.T) {
	const balancer = 300 * time.Millisecond // as in settingsText
	is := is.New(t)
	c := startCluster(t, 2)
	c.backends.ServiceTime = 5 * balancer
	c.publishResources(1, 4)
	leaving, other := c.live()[0], c.live()[1]
	type end struct {
		outcome record.RequestOutcome
		reason  string
		err     error
	}
	send := func(once bool) chan end {
		got := make(chan end, 1)
		id := fmt.Sprintf("%d-drain", time.Now().UnixMilli())
		if once {
			id += "-once"
		}
		go func() {
			r, err := leaving.callerClient("asha").Request(t.Context(), badgesRequest(id, once, 8*time.Second))
			got <- end{r.Outcome, string(r.Reason), err}
		}()
		return got
	}
	inFlight := []chan end{send(false), send(true)}
	c.eventually(5*time.Second, "the requests are not in flight", func() bool {
		for _, got := range inFlight {
			select {
			case e := <-got:
				t.Fatalf("request ended before the shutdown: %s %s %v", e.outcome, e.reason, e.err)
			default:
			}
		}
		return len(c.backends.Executions()) == 2
	})
	signalled := time.Now()
	leaving.signal(syscall.SIGTERM)
	c.eventually(5*time.Second, "the instance stays ready", func() bool { return !leaving.isReady() })
	late := <-send(false)
	// Requests may be refused only after the balancer's delay.
	if after := time.Since(signalled); late.outcome != record.RequestDone && after < balancer {
		t.Errorf("refused %s after the signal: %s %v", after, late.reason, late.err)
	}
	for _, got := range inFlight {
		e := <-got
		is.NoErr(e.err)
		is.Equal(e.outcome, record.RequestDone)
	}
	select {
	case <-leaving.exited:
	case <-time.After(15 * time.Second):
		t.Fatal("the instance does not exit")
	}
	// The platform's list still shows the instance as live, which delays an
	// eviction by 30 s. Only its own leave record removes it this early.
	c.eventually(4*time.Second, "the log has no leave record of the instance", func() bool {
		list, err := client.CallOperator[[]operator.Instance](t.Context(), other.operatorClient(), http.MethodGet, "/v1/instances", nil, nil)
		return err == nil && len(list) == 1
	})
}
