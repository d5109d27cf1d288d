package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/internal/fleet/policy"
)

// Guards against a log that says of a unit that there is no room, and not which workers nothing may start on.
func TestCountUsable(t *testing.T) {
	is := is.New(t)
	l := testLeader()
	l.Policy = &policy.Current{}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		l.addContacted(id).listed = true
	}
	l.workers["b"].entry.Draining = true
	l.workers["c"].unresponsive = true
	l.workers["d"].listed = false
	l.workers["e"].listed = false
	usable, others := l.countUsable(time.Now())
	is.Equal(usable, 1)
	is.Equal(others, "draining:1 silent:1 unlisted:2")
}
