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
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/instance"
	"jasminelane.example/lane/internal/fleet/logline"
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

	machineConns = 1

	// flushTime bounds the wait for the last log lines at the end.
	flushTime = 200 * time.Millisecond
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
	lines := &logline.Writer{Out: os.Stdout}
	lines.Start()
	defer lines.Flush(flushTime)
	log := logline.New(lines)
	file := &settingsFile{path: path, log: log}
	file.current.Store(set)
	n := newInstance(file, log)
	n.Metrics.Gauge("logdropped", func() any { return lines.Dropped() })
	go file.watch(reloadSignal())
	if err := n.Run(stopSignal()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func newInstance(file *settingsFile, log *zap.Logger) *instance.Instance {
	set := file.current.Load()
	way := &relay.Relay{
		Direct: platform.CallDirect(platform.NewClient(storeConns), func() string { return file.current.Load().StoreAddr }),
		Peer:   platform.CallPeer(platform.NewClient(peerConns)),
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
		Orders:       workers.WorkerClient(),
		WatchConfig:  store.WatchConfig,
		WatchWorkers: store.WatchWorkers,
		CallersOn: func(n *instance.Instance) http.Handler {
			return &platform.CallerHandler{Intake: n.Intake, Policy: n.Policy, Metrics: n.Metrics, Draining: n.Draining}
		},
		ReadyOn: func(n *instance.Instance) http.Handler { return &platform.ReadyHandler{Check: n.ReadyState} },
	}
	if set.MachinesAddr != "" {
		machines := &platform.Machines{Client: platform.NewClient(machineConns), Addr: func() string { return file.current.Load().MachinesAddr }}
		n.Machines = machines.List
	}
	n.PeersOn = func(*instance.Instance) http.Handler { return &platform.RelayHandler{Relay: way} }
	n.Away = way.Away
	n.Wire()
	way.Peers = n.Others
	return n
}

// stopSignal returns a channel that is closed at the first SIGTERM or
// interrupt; a second one ends the process at once.
func stopSignal() <-chan struct{} {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		<-signals
		os.Exit(1)
	}()
	return stop
}
