// Command lane is the command line tool for operators and callers of jasminelane;
// lane help lists its subcommands.
package main

import (
	"context"
	"os"
	"os/signal"

	"jasminelane.example/lane/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	t := &cli.Tool{Out: os.Stdout, Err: os.Stderr, Env: os.Getenv}
	os.Exit(t.Main(ctx, os.Args[1:]))
}
