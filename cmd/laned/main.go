// Command laned runs one entry instance of jasminelane with the settings of an INI
// file. With -check it only checks the file.
//
//	laned -settings examples/chirakkal.ini
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"

	"jasminelane.example/lane/entry"
	"jasminelane.example/lane/settings"
)

func main() {
	// net/http writes parts of unexpected responses, which may contain callers'
	// data, to the standard logger.
	log.SetOutput(io.Discard)
	path := flag.String("settings", "laned.ini", "settings file")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	os.Exit(serve(*path, *check))
}

// serve runs the instance until it is shut down, or only checks its settings, and
// returns the exit code: 2 for invalid settings, 1 for any other failure.
func serve(path string, check bool) int {
	set, err := settings.Read(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if check {
		fmt.Println("ok")
		return 0
	}
	// The first signal starts a graceful shutdown, the second stops the instance at
	// once.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	drain := make(chan struct{})
	go func() {
		<-signals
		close(drain)
		<-signals
		cancel()
	}()
	if err := entry.Serve(ctx, *set, entry.NewLogger(os.Stderr, set.Instance.Verbose), drain); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
