package entry

import (
	"testing"

	"github.com/matryer/is"
)

// TestCountRequest guards against answers that are counted as refusals, which
// would raise an alarm for every request that succeeds, and against refusals
// that are counted as answers.
func TestCountRequest(t *testing.T) {
	is := is.New(t)
	n := &Instance{}
	for _, c := range []struct{ event, reason string }{
		{"answer.done", ""}, {"answer.notrun", "deadline"}, {"answer.unknown", "reset"}, {"retry", "timeout"}, {"refused", "auth"}, {"settle", "owner"},
	} {
		n.countRequest(c.event, c.reason)
	}
	is.Equal(n.Metrics.Events.String(), `{"answer.done": 1, "answer.unknown.reset": 1}`)
	is.Equal(n.Metrics.Retries.String(), `{"request.timeout": 1}`)
	is.Equal(n.Metrics.Refusals.String(), `{"request.notrun.deadline": 1, "request.refused.auth": 1, "request.settle.owner": 1}`)
}
