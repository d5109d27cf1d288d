// Command standin serves stand-ins for the systems that jasminelane depends on, on
// loopback by default. It serves the log, the instance list and the workers at one
// address; each backend server has a port of its own.
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

// partNames are the names of stand-ins that -serve accepts.
var partNames = []string{"log", "list", "workers", "servers"}

func main() {
	site := &standin.Mux{}
	serve := flag.String("serve", strings.Join(partNames, ","), "stand-ins to serve")
	addr := flag.String("addr", "127.0.0.1:6000", "address of log, list and workers, IP:port")
	flag.DurationVar(&site.Log.Retention, "retention", 0, "log: expire entries older than this; 0 keeps all")
	flag.IntVar(&site.Log.MaxAppendsPerSecond, "rate", 0, "log: appends accepted in a second; 0 means no limit")
	count := flag.Int("servers", 3, "number of backend servers, on the ports after that of -addr")
	flag.DurationVar(&site.Backends.ServiceTime, "service", 20*time.Millisecond, "service time of a request on a backend server")
	flag.Parse()

	var err error
	if site.Enabled, err = standin.ParseNames(*serve, partNames); err != nil {
		fmt.Fprintf(os.Stderr, "standin: -serve: %v\n", err)
		os.Exit(2)
	}
	if err := run(site, *addr, *count); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}

// run serves the site until the process is interrupted.
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
