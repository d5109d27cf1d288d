package peer_test

import (
	"context"
	"fmt"
	"net"

	"jasminelane.example/lane/peer"
)

// One instance asks another up to which offset it has applied the log.
func Example() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := &peer.Server{Writer: "kochi-1", AppliedOffset: func() peer.Applied { return peer.Applied{Offset: 42} }}
	ended := make(chan error)
	go func() { ended <- server.Serve(ctx, l) }()

	client := &peer.Client{}
	defer client.Close()
	fmt.Println(client.Ping(ctx, l.Addr().String(), "kochi-1"))
	applied, err := client.AppliedOffset(ctx, l.Addr().String())
	fmt.Println(applied.Writer, applied.Offset, err)

	cancel()
	fmt.Println(<-ended)
	// Output:
	// <nil>
	// kochi-1 42 <nil>
	// <nil>
}
