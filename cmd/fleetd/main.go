// Command fleetd runs one instance of jasminelane on the users' platform. It
// reads the settings file named by the environment variable that the platform
// sets.
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
	"jasminelane.example/lane/internal/fleet/latency"
	"jasminelane.example/lane/internal/fleet/logline"
	"jasminelane.example/lane/internal/fleet/relay"
	"jasminelane.example/lane/metric"
	"jasminelane.example/lane/platform"
)

const (
	// gcPercent spends more processor time on garbage collection to use less
	// memory, which costs more here.
	gcPercent = 50

	// leaderGCPercent applies while the instance leads. Only one does, and the
	// others wait for its decisions, so its processor time matters more.
	leaderGCPercent = 200

	// softMemoryFraction is the fraction of the memory limit above which the
	// garbage collector works harder.
	softMemoryFraction = 0.6

	maxStoreConns     = 16
	maxConnsPerWorker = 8
	maxConnsPerPeer   = 4

	maxMachineConns = 1 // to the platform's list of machines

	// maxIdleShare is the share of the file descriptors that idle connections to
	// workers may hold. The rest is for calls in progress and for callers.
	maxIdleShare = 0.6

	// logFlushTimeout bounds the wait for the last log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
)

func main() {
	log.SetOutput(io.Discard) // net/http would log parts of callers' data
	check := flag.Bool("check", false, "check the settings and exit")
	config := flag.String("checkconfig", "", "check the operators' configuration in the `file` and exit")
	inForce := flag.String("inforce", "", "with -checkconfig, the `file` with the configuration in force")
	flag.Parse()
	// A flag with an empty value must neither start an instance nor leave out the
	// comparison.
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	switch {
	case set["inforce"] && (!set["checkconfig"] || *inForce == ""):
		fmt.Fprintln(os.Stderr, "-inforce needs a file and -checkconfig")
		os.Exit(2)
	case set["checkconfig"]:
		os.Exit(checkConfig(os.Stdout, os.Stderr, *config, *inForce))
	}
	os.Exit(serve(os.Getenv(platform.SettingsVariable), *check))
}

// serve runs the instance until it stops and returns the exit code of the
// process. If check is set, it reads the settings file only.
func serve(path string, check bool) int {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if check {
		fmt.Println("ok")
		return 0
	}
	debug.SetGCPercent(gcPercent)
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(softMemoryFraction * float64(settings.MemoryLimit)))
	}
	lines := &logline.Writer{Out: os.Stdout}
	lines.Start()
	defer lines.Close(logFlushTimeout)
	log := logline.New(lines)
	file := &settingsFile{path: path, log: log}
	file.current.Store(settings)
	n := newInstance(file, log)
	n.Metrics.AddGauge("logdropped", func() any { return lines.Dropped() })
	go file.watch(reloadSignal())
	if err := n.Run(stopSignal()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// newInstance connects an instance to the platform: to its store, workers and
// list of machines, and to the other instances.
func newInstance(file *settingsFile, log *zap.Logger) *instance.Instance {
	settings := file.current.Load()
	storeAddr := func() string { return file.current.Load().StoreAddr }
	// Writes without an answer hold their connections for seconds; reads have their
	// own, so that they go on meanwhile.
	readClient, writeClient := platform.NewClient(maxStoreConns, 0), platform.NewClient(maxStoreConns, 0)
	tracker := &latency.Tracker{}
	storeRelay := &relay.Relay{
		CallDirect: platform.CallDirect(readClient, writeClient, storeAddr),
		CallPeer:   platform.CallPeer(platform.NewClient(maxConnsPerPeer, 0)),
		ProbeCall:  platform.ProbeCall(),
		Logger:     log,
		Latency:    tracker,
		CloseIdle: func() {
			readClient.CloseIdleConnections()
			writeClient.CloseIdleConnections()
		},
	}
	store := &platform.Store{Do: storeRelay.Do, Latency: tracker}
	workers := &platform.Workers{Client: platform.NewClient(maxConnsPerWorker, int(maxIdleShare*float64(settings.MaxFiles)))}
	n := &instance.Instance{
		Settings:     settings.Settings,
		Logger:       log,
		Metrics:      &metric.Set{},
		Latency:      tracker,
		Forward:      platform.Forward(platform.NewClient(maxConnsPerPeer, 0)),
		Append:       store.Append,
		Read:         store.Read,
		LoadSnapshot: store.LoadSnapshot,
		SaveSnapshot: store.SaveSnapshot,
		WorkerClient: workers.WorkerClient(),
		WatchConfig:  store.WatchConfig,
		WatchWorkers: store.WatchWorkers,
		CallerHandler: func(n *instance.Instance) http.Handler {
			return &platform.CallerHandler{Intake: n.Intake, Policy: n.Policy, Metrics: n.Metrics, Logger: n.Logger, Draining: n.Draining, Bodies: n.Admission.Bodies}
		},
		ReadyHandler: func(n *instance.Instance) http.Handler { return &platform.ReadyHandler{Check: n.CheckReady} },
	}
	if settings.MachinesAddr != "" {
		machines := &platform.Machines{Client: platform.NewClient(maxMachineConns, 0), Addr: func() string { return file.current.Load().MachinesAddr }}
		n.Machines = machines.List
	}
	n.PeerHandler = func(n *instance.Instance) http.Handler {
		bodies := n.Admission.Bodies
		return platform.PeerHandler(&platform.RelayHandler{Relay: storeRelay, Bodies: bodies}, &platform.ForwardHandler{Append: n.Feed.AppendForwarded, Bodies: bodies})
	}
	n.DirectOutage = storeRelay.DirectOutage
	n.OnLeading = setCollector
	n.Init()
	storeRelay.PeerAddrs = n.PeerAddrs
	return n
}

// setCollector adapts garbage collection to whether this instance leads.
func setCollector(leading bool) {
	if leading {
		debug.SetGCPercent(leaderGCPercent)
		return
	}
	debug.SetGCPercent(gcPercent)
}

// stopSignal returns a channel that is closed at the first SIGTERM or
// interrupt. A second signal ends the process at once.
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
