package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// fleet holds the instances of the project, each a process of its own.
type fleet struct {
	rec     *record
	dir     string
	program string
	keepS   int // how long the store keeps a record, in s

	mu        sync.Mutex
	instances []*instance
	closed    bool // no process starts any more
}

// instance is one machine of the system.
type instance struct {
	fleet    *fleet
	name     string
	settings string
	front    string
	store    string
	ready    string
	log      *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	gone chan struct{}
	keep bool // it starts again when it ends
}

// freePorts returns free loopback ports that follow each other. They lie below those
// that the system gives to outgoing connections.
func freePorts(n int) (int, error) {
	for range 200 {
		port := 11000 + rand.IntN(20000)
		free := true
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, port+i))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// add prepares an instance whose store is at the address and starts it.
func (f *fleet) add(name, zone, store string) (*instance, error) {
	port, err := freePorts(5)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", loopback, port+i) }
	n := &instance{fleet: f, name: name, store: store, front: at(0), ready: at(1), settings: filepath.Join(f.dir, name+".json"), keep: true}
	data, err := json.Marshal(map[string]any{
		"node": name, "role": "entry", "machineClass": "front", "serves": []string{"front"}, "ip": loopback, "zone": zone, "region": "kerala",
		"listen": map[string]string{"front": at(0), "ready": at(1)}, "portRange": []int{port + 2, port + 4}, "bootstrap": true,
		"limits":      map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"heartbeatMs": 1500, "contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "platform", "advice", "upkeep", "sharing"},
		"bounds":   map[string]any{"holdMaxMs": 6000, "graceS": 6, "stopGraceMs": 400, "gangWaitMs": 3000, "contactMs": 3000, "ackMs": 4000, "cancel_ms": 3000, "visible_ms": 3000, "status_s": 120},
		"orders":   "invoke",
		"platform": map[string]any{"addr": store, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 24, "appendMs": 1.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": f.keepS, "partMb": 200},
		"cloud":    map[string]any{"addr": store, "ratePerS": 60.0, "duties": []string{}, "dutyPerS": 60.0},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.instances = append(f.instances, n)
	f.mu.Unlock()
	return n, n.start()
}

// start starts the process of the instance.
func (n *instance) start() error {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n.fleet.closed {
		return fmt.Errorf("the case has ended")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command(n.fleet.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names.Config + "=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.gone = cmd, make(chan struct{})
	n.fleet.rec.add("instance %s started", n.name)
	go func(gone chan struct{}) {
		err := cmd.Wait()
		n.fleet.rec.add("instance %s ended: %v", n.name, err)
		close(gone)
		time.Sleep(300 * time.Millisecond)
		n.mu.Lock()
		again := n.keep && n.cmd == cmd
		n.mu.Unlock()
		if again {
			_ = n.start()
		}
	}(n.gone)
	return nil
}

// signal sends a signal to the process of the instance.
func (n *instance) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.rec.add("instance %s gets signal %d", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// isReady reports whether the instance says that it is ready.
func (n *instance) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + n.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range f.instances {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(f.instances) {
			return nil
		}
	}
	return fmt.Errorf("the instances are not ready within %v", limit)
}

// powerOff kills all instances, which start again after a time.
func (f *fleet) powerOff(dark time.Duration) error {
	for _, n := range f.instances {
		n.mu.Lock()
		n.keep = false
		_ = n.cmd.Process.Kill()
		gone := n.gone
		n.mu.Unlock()
		<-gone
	}
	f.rec.add("all instances have lost power")
	time.Sleep(dark)
	for _, n := range f.instances {
		n.mu.Lock()
		n.keep = true
		n.mu.Unlock()
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, n := range f.instances {
		n.mu.Lock()
		n.keep = false
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
		}
		gone := n.gone
		n.mu.Unlock()
		if gone != nil {
			<-gone
		}
		n.log.Close()
	}
}
