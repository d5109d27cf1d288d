package replica_test

import (
	"context"
	"fmt"
	"net/http/httptest"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/replica"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
)

// A replica joins, publishes a configuration record and finds it in its state.
func Example() {
	srv := httptest.NewServer(&standin.Log{})
	defer srv.Close()
	r := &replica.Replica{
		Log:        &stream.Log{URL: srv.URL},
		Writer:     "kochi-1/1796361383123",
		Join:       record.Join{Name: "kochi-1", Domain: "kochi", Version: record.Version},
		ReadyDelay: -1,
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error)
	go func() { ended <- r.Run(ctx) }()
	if err := r.Await(ctx, func(s replica.Status) bool { return s.Ready }); err != nil {
		fmt.Println(err)
		return
	}

	publish, err := record.New(record.KindPublish, "p1", record.Publish{Name: "account/asha", Body: []byte(`{"weight":2}`)})
	if err != nil {
		fmt.Println(err)
		return
	}
	outcomes, err := r.Propose(ctx, publish)
	fmt.Println(outcomes[0].Accepted(), err)
	r.View(func(s *state.State) { fmt.Println(s.Accounts["asha"].Weight) })

	cancel()
	fmt.Println(<-ended)
	// Output:
	// true <nil>
	// 2
	// <nil>
}
