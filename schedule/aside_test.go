package schedule

import (
	"testing"

	"github.com/matryer/is"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// TestQuarantineLimit guards against quarantine of more than one worker in
// twenty when several workers fail tasks at the same time. With fewer than
// twenty workers the limit is one.
func TestQuarantineLimit(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 2, 4, 4)
	c.account("asha", state.AccountBody{})
	c.account("ben", state.AccountBody{})
	c.faulty[0], c.faulty[5] = true, true
	most := 0
	c.run("a", []string{"asha", "ben"}, 20*60_000, func() bool {
		n := 0
		for _, w := range c.state.Workers {
			if w.Condition == record.ConditionAside {
				n++
			}
		}
		most = max(most, n)
		return false
	})
	is.Equal(most, 1) // of eight
}
