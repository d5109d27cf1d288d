package policy

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that wait for a read although one has ended, that end without one,
// or that ask for one read each.
func TestRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var c Current
		c.MarkRead()
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := c.Refresh(ctx)
		var notRead *NotReadError
		is.True(errors.As(err, &notRead))
		is.Equal(notRead.Age, 4*time.Second)
		is.True(errors.Is(err, context.DeadlineExceeded))
		errs := make(chan error)
		for range 3 {
			go func() { errs <- c.Refresh(t.Context()) }()
		}
		synctest.Wait()
		<-c.Requests()
		synctest.Wait()
		is.Equal(len(c.Requests()), 0)
		c.MarkRead()
		for range 3 {
			is.NoErr(<-errs)
		}
		is.Equal(c.Status().Age, time.Duration(0))
	})
}
