// Command fleetd is one entry instance of jasminelane on the users' platform.
// It reads the settings file that the platform's environment variable names.
package main

import (
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"jasminelane.example/lane/internal/fleet/instance"
	"jasminelane.example/lane/internal/fleet/relay"
	"jasminelane.example/lane/metric"
	"jasminelane.example/lane/platform"
)

const (
	// collectPercent trades processor time for memory, which costs more here.
	collectPercent = 50

	// memoryShare is the part of the memory limit at which the collector works
	// harder.
	memoryShare = 0.6

	storeConns  = 16
	workerConns = 8
	peerConns   = 4
)

func main() {
	log.SetOutput(io.Discard) // net/http would write parts of callers' data
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	os.Exit(serve(os.Getenv(platform.SettingsVariable), *check))
}

func serve(path string, check bool) int {
	set, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if check {
		fmt.Println("ok")
		return 0
	}
	debug.SetGCPercent(collectPercent)
	if set.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.Memory)))
	}
	if err := newInstance(set).Run(stopSignal()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func newInstance(set *platform.Settings) *instance.Instance {
	log := newLogger(os.Stdout)
	way := &relay.Relay{
		Direct: platform.Direct(platform.NewClient(storeConns), set.Store),
		Peer:   platform.Peer(platform.NewClient(peerConns)),
		Probe:  platform.ProbeCall(),
		Logger: log,
	}
	store := &platform.Store{Do: way.Do}
	workers := &platform.Workers{Client: platform.NewClient(workerConns)}
	n := &instance.Instance{
		Settings:     set.Settings,
		Logger:       log,
		Metrics:      &metric.Set{},
		Append:       store.Append,
		Read:         store.Read,
		Orders:       workers.Orders(),
		WatchConfig:  store.WatchConfig,
		WatchWorkers: store.WatchWorkers,
		CallersOn: func(n *instance.Instance) http.Handler {
			return &platform.Callers{Intake: n.Intake, Policy: n.Policy, Metrics: n.Metrics, Closing: n.Draining}
		},
		ReadyOn: func(n *instance.Instance) http.Handler { return &platform.Ready{State: n.ReadyState} },
	}
	n.PeersOn = func(*instance.Instance) http.Handler { return &platform.RelayHandler{Relay: way} }
	n.Wire()
	way.Peers = n.Others
	return n
}

// stopSignal returns a channel that is closed at the first SIGTERM or
// interrupt; a second one ends the process at once.
func stopSignal() <-chan struct{} {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	signal.Ignore(syscall.SIGHUP)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		<-signals
		os.Exit(1)
	}()
	return stop
}
