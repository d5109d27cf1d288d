package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// Guards against a job that has nothing running for 3 s although most of the workers' resources are free, because it waits for a rack.
func TestJobDoesNotStandStill(t *testing.T) {
	tests := []struct {
		name     string
		step     ledger.Step
		takeover bool // the leader changes while the job waits
	}{
		{"gang in one rack", ledger.Step{Count: 16, GPU: 2, Estimate: 7000, Gang: true, SameRack: true}, false},
		{"gang in one rack, takeover", ledger.Step{Count: 16, GPU: 2, Estimate: 7000, Gang: true, SameRack: true}, true},
		{"gang near its data", ledger.Step{Count: 16, GPU: 2, Estimate: 7000, Gang: true, Rack: "r0"}, false},
		{"lasting gang near its data", ledger.Step{Count: 16, GPU: 2, Estimate: 60000, Gang: true, Rack: "r0", LongRunning: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := runCluster(t, 1, 3, 24, func(c *cluster) {
				time.Sleep(8 * time.Second)
				for i := range 6 {
					is.True(c.submit(c.nodes[0], job(fmt.Sprint("small", i), ledger.Step{Count: 1, GPU: 1, Estimate: 60000, Rack: fmt.Sprint("r", i)})))
				}
				time.Sleep(time.Second)
				is.True(c.submit(c.nodes[0], job("a", tt.step)))
				if tt.takeover {
					time.Sleep(time.Second)
					c.restart(c.leader())
				}
				time.Sleep(3 * time.Second)
				is.Equal(c.phase(c.nodes[0], "a"), ledger.Running)
			})
			is.Equal(r.Violations, nil)
		})
	}
}
