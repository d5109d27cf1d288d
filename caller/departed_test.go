package caller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/route"
)

// Guards against shares that grow at the moment a leave is folded, while the
// servers may still count the connections of the instance that left. The leave
// is the first entry after a minute in which the log was idle.
func TestShareOfDepartedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &Router{Table: &route.Table{}, Writer: "a"}
		both, one := []string{"a", "b"}, []string{"a"}
		is.Equal(len(r.usable(true, both)), 0) // the own join is too recent
		time.Sleep(time.Second)                // JoinDelay, on the bubble's clock
		is.Equal(r.usable(true, both), both)
		is.True(r.steady()) // nothing is looked at until the state changes
		time.Sleep(time.Minute)
		is.Equal(r.usable(true, one), both)
		is.True(!r.steady()) // looks again without a change of the state
		time.Sleep(999 * time.Millisecond)
		is.Equal(r.usable(true, one), both)
		time.Sleep(time.Millisecond)
		is.Equal(r.usable(true, one), one)
		is.True(r.steady())
	})
}
