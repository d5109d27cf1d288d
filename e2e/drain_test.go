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

// Guards against a shutdown that refuses work before the balancer can have
// noticed it, that cuts requests which take longer than the balancer's delay,
// and that ends without a leave in the log, so that the connections of the
// instance are unused until it is evicted.
func TestDrainOrder(t *testing.T) {
	const balancer = 300 * time.Millisecond // as in settingsText
	is := is.New(t)
	c := start(t, 2)
	c.backends.Service = 5 * balancer
	c.fleet(1, 4)
	leaving, other := c.live()[0], c.live()[1]
	type end struct {
		fate   record.RequestOutcome
		reason string
		err    error
	}
	ask := func(once bool) chan end {
		got := make(chan end, 1)
		id := fmt.Sprintf("%d-drain", time.Now().UnixMilli())
		if once {
			id += "-once"
		}
		go func() {
			r, err := leaving.caller("asha").Request(t.Context(), call(id, once, 8*time.Second))
			got <- end{r.Outcome, string(r.Reason), err}
		}()
		return got
	}
	inflight := []chan end{ask(false), ask(true)}
	c.eventually(5*time.Second, "the requests are not in flight", func() bool {
		for _, got := range inflight {
			select {
			case e := <-got:
				t.Fatalf("ended too soon: %s %s %v", e.fate, e.reason, e.err)
			default:
			}
		}
		return len(c.backends.Executions()) == 2
	})
	signalled := time.Now()
	leaving.signal(syscall.SIGTERM)
	c.eventually(5*time.Second, "the instance stays ready", func() bool { return !leaving.ready() })
	late := <-ask(false)
	// A refusal is in order only after the balancer's delay.
	if after := time.Since(signalled); late.fate != record.RequestDone && after < balancer {
		t.Errorf("refused %s after the signal: %s %v", after, late.reason, late.err)
	}
	for _, got := range inflight {
		e := <-got
		is.NoErr(e.err)
		is.Equal(e.fate, record.RequestDone)
	}
	select {
	case <-leaving.done:
	case <-time.After(15 * time.Second):
		t.Fatal("the instance does not end")
	}
	// The platform's list still shows the instance as live, which puts an
	// eviction off for 30 s: only its own leave removes it this soon.
	c.eventually(4*time.Second, "the leave is not in the log", func() bool {
		list, err := client.CallOperator[[]operator.Instance](t.Context(), other.operator(), http.MethodGet, "/v1/instances", nil, nil)
		return err == nil && len(list) == 1
	})
}
