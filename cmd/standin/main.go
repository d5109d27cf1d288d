// Command standin serves the stand-ins for the systems around the project, on
// loopback by default. One process serves the log, the instance list and the
// workers at one address; backend servers listen on addresses of their own.
//
//	standin -addr 127.0.0.1:6000 -servers 3
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"jasminelane.example/lane/standin"
)

// parts are the stand-ins that -serve names.
var parts = []string{"log", "list", "workers", "servers"}

func main() {
	site := &standin.Mux{}
	serve := flag.String("serve", strings.Join(parts, ","), "stand-ins to serve")
	addr := flag.String("addr", "127.0.0.1:6000", "address of log, list and workers, IP:port")
	flag.DurationVar(&site.Log.Retention, "retention", 0, "log: expire entries older than this; 0 keeps all")
	flag.IntVar(&site.Log.MaxAppendsPerSecond, "rate", 0, "log: appends accepted in a second; 0 means no limit")
	count := flag.Int("servers", 3, "number of backend servers, on the ports after that of -addr")
	flag.DurationVar(&site.Backends.ServiceTime, "service", 20*time.Millisecond, "service time of a request on a backend server")
	flag.Parse()

	var err error
	if site.Enabled, err = standin.ParseNames(*serve, parts); err != nil {
		fmt.Fprintf(os.Stderr, "standin: -serve: %v\n", err)
		os.Exit(2)
	}
	if err := run(site, *addr, *count); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}

func run(site *standin.Mux, addr string, count int) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	defer site.Backends.Close()
	servers, err := site.StartBackends(addr, count)
	if err != nil {
		return err
	}
	for _, s := range servers {
		fmt.Printf("server %s at %s\n", s.Name, s.Addr)
	}
	fmt.Printf("%s at %s\n", strings.Join(site.Enabled, ", "), addr)
	server := &http.Server{Addr: addr, Handler: site, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
