package stream_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"

	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/stream"
)

// An entry is appended and read back. A read of an expired entry fails with
// *stream.ExpiredError.
func Example() {
	store := &standin.Log{}
	srv := httptest.NewServer(store)
	defer srv.Close()
	l := &stream.Log{URL: srv.URL}
	ctx := context.Background()

	offset, err := l.Append(ctx, []byte("hello"))
	fmt.Println(offset, err)
	page, err := l.Read(ctx, 0, 10, 0)
	fmt.Println(string(page.Entries[0].Data), page.End, err)

	expire := uint64(1)
	store.Fault(standin.LogFault{ExpireBefore: &expire})
	_, err = l.Read(ctx, 0, 10, 0)
	var expired *stream.ExpiredError
	fmt.Println(errors.As(err, &expired), err)
	// Output:
	// 0 <nil>
	// hello 1 <nil>
	// true read: entry has expired; the oldest retained entry is 1
}
