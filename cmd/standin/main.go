// Command standin serves one of the stand-ins for the systems around the
// project, on loopback by default.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"jasminelane.example/lane/standin"
)

func main() {
	serve := flag.String("serve", "log", "stand-in to serve: log or directory")
	addr := flag.String("addr", "127.0.0.1:7400", "address to listen on, IP:port")
	retention := flag.Duration("retention", 0, "log: expire entries older than this; 0 keeps all")
	rate := flag.Int("rate", 0, "log: appends accepted in a second; 0 means no limit")
	flag.Parse()

	handlers := map[string]http.Handler{
		"log":       &standin.Log{Retention: *retention, Rate: *rate},
		"directory": &standin.Directory{},
	}
	h, ok := handlers[*serve]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: -serve=%s: want log or directory\n", *serve)
		os.Exit(2)
	}
	if err := run(*addr, h); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}

func run(addr string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
