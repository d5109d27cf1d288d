package caller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jasminelane.example/lane/route"
)

// TestShareOfDepartedMember guards against connection shares that grow as soon as
// a leave record is applied, while the servers may still count the connections of
// the instance that left. Here the leave is the first entry after the log was
// idle for a minute.
func TestShareOfDepartedMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &Router{Table: &route.Table{}, Writer: "a"}
		both, one := []string{"a", "b"}, []string{"a"}
		is.Equal(len(r.sharingMembers(true, both)), 0) // the instance's own join is too recent
		time.Sleep(time.Second)                        // the default ShareDelay, in virtual time
		is.Equal(r.sharingMembers(true, both), both)
		is.True(r.sharesStable()) // no update is needed until the state changes
		time.Sleep(time.Minute)
		is.Equal(r.sharingMembers(true, one), both)
		is.True(!r.sharesStable()) // must update again although the state does not change
		time.Sleep(999 * time.Millisecond)
		is.Equal(r.sharingMembers(true, one), both)
		time.Sleep(time.Millisecond)
		is.Equal(r.sharingMembers(true, one), one)
		is.True(r.sharesStable())
	})
}
