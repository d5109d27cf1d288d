//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	queuePrefix  = "/sheets/"
	urgentPrefix = "/checks/" // of the queue of the most urgent priority
	queueHost    = "desk.example"
	apiKey       = "d4a3hwrr6x73d3zji9n7"

	graceS        = 6
	startTimeout  = 15 * time.Second
	callTimeout   = 3 * time.Second
	processorFile = "target/fleetd"
)

// machine is one machine of the system with its process.
type machine struct {
	name      string
	front     string
	ready     string
	storeAddr string
	ports     [2]int
	settings  string
	cmd       *exec.Cmd
}

// fleet is a small deployment: machines, executors, the store and the clients.
type fleet struct {
	rec       *recorder
	dir       string
	store     *store
	executors *executors
	machines  []*machine
	machinesL string
	keepS     int
	stop      chan struct{}

	mu   sync.Mutex
	work map[string]time.Duration // of a task, by job; 0 is until it is stopped
}

// current is the deployment of the case, for cleanUp.
var current *fleet

// started holds the processes of the current case.
var started struct {
	sync.Mutex
	list []*os.Process
	over bool // no process starts any more
}

// cleanUp ends all processes that the case started and removes its temporary
// folder.
func cleanUp() {
	started.Lock()
	defer started.Unlock()
	started.over = true
	for _, p := range started.list {
		_ = p.Kill() // fails if it has ended
	}
	if current != nil {
		os.RemoveAll(current.dir)
	}
}

// freePorts returns the first of count consecutive free ports of the loopback
// address.
func freePorts(count int) (int, error) {
	for range 100 {
		var listeners []net.Listener
		first := 0
		for len(listeners) < count {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
			if err != nil {
				break
			}
			listeners = append(listeners, ln)
			first = ln.Addr().(*net.TCPAddr).Port + 1
		}
		for _, ln := range listeners {
			ln.Close()
		}
		if len(listeners) == count {
			return first - count, nil
		}
	}
	return 0, errors.New("no free ports")
}

// newFleet starts a deployment of machines and executors. keepS is the number of
// seconds for which the store retains records.
func newFleet(rec *recorder, machineCount, executorCount, keepS int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, keepS: keepS, stop: make(chan struct{}), work: make(map[string]time.Duration)}
	current = f
	f.store = newStore(time.Duration(keepS) * time.Second)
	f.executors = &executors{rec: rec, store: f.store, work: f.workOf}
	f.publishConfig(1)
	for i := range executorCount {
		if _, err := f.executors.add(fmt.Sprintf("i-%04d", i), "a", fmt.Sprintf("r1-%d", i)); err != nil {
			return f, err
		}
	}
	go f.executors.play(f.stop)
	if f.machinesL, err = f.listen(http.HandlerFunc(f.executors.serveMachines)); err != nil {
		return f, err
	}
	for i := range machineCount {
		m := &machine{name: fmt.Sprintf("front-kochi-%d", i+1)}
		f.machines = append(f.machines, m)
		if m.storeAddr, err = f.listen(f.store.handler()); err != nil {
			return f, err
		}
		var ports [2]int
		for j := range ports {
			if ports[j], err = freePorts(2); err != nil {
				return f, err
			}
		}
		m.front, m.ready = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[0]+1)
		m.ports = [2]int{ports[1], ports[1] + 1}
		if err := f.writeSettings(m); err != nil {
			return f, err
		}
		if err := f.startProcess(m); err != nil {
			return f, err
		}
	}
	return f, f.awaitReady(f.machines...)
}

// listen serves a handler on a free loopback address.
func (f *fleet) listen(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(ln, h)
	return ln.Addr().String(), nil
}

// workOf returns how long a task of the job runs.
func (f *fleet) workOf(job string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.work[job]
}

// publishConfig writes a configuration as the operator does.
func (f *fleet) publishConfig(version int) {
	f.store.publish("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-1", "host": queueHost, "pathPrefix": queuePrefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 3000,
				"priority": 2, "service": "press", "maxAttempts": 3, "stretch": 3.0, "public": false,
			},
			{
				"name": "r-0", "host": queueHost, "pathPrefix": urgentPrefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 250,
				"priority": 0, "service": "press", "maxAttempts": 4, "stretch": 1.5, "public": false,
			},
		},
		"services": []map[string]any{{
			"name": "press", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "rejectsOverload": false, "standby": false,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "kaje80", "apiKeys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 16}}},
	})
}

// writeSettings writes the settings file of a machine.
func (f *fleet) writeSettings(m *machine) error {
	s := map[string]any{
		"node": m.name, "role": "entry", "machineClass": "front", "serves": []string{"front"}, "ip": "127.0.0.1", "zone": "kochi", "region": "kerala",
		"zones": map[string]string{"kochi": "kerala"}, "listen": map[string]string{"front": m.front, "ready": m.ready},
		"portRange": m.ports, "bootstrap": true, "heartbeatMs": heartbeat.Milliseconds(),
		"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "platform", "advice", "upkeep", "sharing"},
		"bounds": map[string]any{
			"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": graceS, "configApplyMs": 2000, "holdMaxMs": holdMax.Milliseconds(),
			"stopGraceMs": stopGrace.Milliseconds(), "gangWaitMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120,
		},
		"orders": "invoke",
		"platform": map[string]any{
			"addr": m.storeAddr, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 24, "appendMs": 1.0, "recordBytes": 262144,
			"callBytes": 2097152, "keep_s": f.keepS, "partMb": 200, "ttlMinMs": 1000,
		},
		"cloud": map[string]any{"addr": f.machinesL, "ratePerS": 60.0, "duties": []string{}, "dutyPerS": 60.0},
	}
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	m.settings = filepath.Join(f.dir, m.name+".json")
	return os.WriteFile(m.settings, data, 0o600)
}

// startProcess starts the machine's process with the command of the deploy file.
func (f *fleet) startProcess(m *machine) error {
	m.cmd = exec.Command(processorFile)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, names.Settings + "=" + m.settings}
	out, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.cmd.Stdout, m.cmd.Stderr = out, out
	started.Lock()
	defer started.Unlock()
	if started.over {
		return errors.New("the case is over")
	}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	started.list = append(started.list, m.cmd.Process)
	f.rec.add("%s: process started", m.name)
	return nil
}

// kill ends the machine's process at once.
func (f *fleet) kill(m *machine) {
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	_ = m.cmd.Wait()
	m.cmd = nil
	f.rec.add("%s: process killed", m.name)
}

// terminate sends SIGTERM, and SIGKILL after the grace period.
func (f *fleet) terminate(m *machine) {
	cmd := m.cmd
	f.rec.add("%s: SIGTERM", m.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	t := time.AfterFunc(graceS*time.Second, func() { _ = cmd.Process.Kill() })
	_ = cmd.Wait()
	t.Stop()
	m.cmd = nil
	f.rec.add("%s: process ended", m.name)
}

// close ends all processes and removes the temporary folder. If REVIEW_LOGS is
// set, the logs of the processes are copied there first.
func (f *fleet) close() {
	for _, m := range f.machines {
		f.kill(m)
	}
	close(f.stop)
	if to := os.Getenv("REVIEW_LOGS"); to != "" {
		_ = os.CopyFS(to, os.DirFS(f.dir))
	}
	os.RemoveAll(f.dir)
}

// awaitReady waits until the machines report that they are ready.
func (f *fleet) awaitReady(machines ...*machine) error {
	deadline := time.Now().Add(startTimeout)
	for _, m := range machines {
		for {
			resp, err := http.Get("http://" + m.ready + "/v1/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// call sends one call of a client to a machine and returns the status, 0 if there
// was no answer, and the body. An id that begins with a slash is a whole path.
func (f *fleet) call(m *machine, method, id string, body any) (int, string) {
	return f.callFor(callTimeout, m, method, id, body)
}

// callFor is like call, for a client that waits for the time and then leaves.
func (f *fleet) callFor(wait time.Duration, m *machine, method, id string, body any) (int, string) {
	var data []byte
	if raw, ok := body.([]byte); ok {
		data = raw
	} else if body != nil {
		data, _ = json.Marshal(body)
	}
	target := queuePrefix + id
	if strings.HasPrefix(id, "/") {
		target = id
	}
	req, err := http.NewRequest(method, "http://"+m.front+target, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Api-Key", apiKey)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: wait}
	resp, err := client.Do(req)
	if err != nil {
		f.rec.add("client: %s %s at %s: no answer", method, id, m.name)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	out, _ := io.ReadAll(resp.Body)
	client.CloseIdleConnections()
	text := strings.TrimSpace(string(out))
	f.rec.add("client: %s %s at %s: %d %s", method, id, m.name, resp.StatusCode, text)
	return resp.StatusCode, text
}

// callRaw is like call with a body that is sent as it is.
func (f *fleet) callRaw(m *machine, method, id string, body []byte) {
	f.callFor(callTimeout, m, method, id, body)
}

// step is one step of a job.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMb       int    `json:"memMb"`
	GPU         int    `json:"gpu,omitempty"`
	EstimateMs  int64  `json:"estimateMs"`
	Constraints string `json:"constraints,omitempty"`
	Affinity    string `json:"affinity,omitempty"`
}

// job is the body of a submission.
type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	LongRunning bool   `json:"longRunning,omitempty"`
	Times       int    `json:"times,omitempty"`
	FirstMs     int64  `json:"firstMs,omitempty"`
	PeriodMs    int64  `json:"periodMs,omitempty"`
}

// submit hands a job in whose tasks run for the time, at the machines in turn
// until one accepts it.
func (f *fleet) submit(first int, id string, j job, work time.Duration) bool {
	f.mu.Lock()
	f.work[path.Base(id)] = work
	f.mu.Unlock()
	for try := range 5 {
		status, _ := f.call(f.machines[(first+try)%len(f.machines)], http.MethodPost, id, j)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (f *fleet) state(m *machine, id string) (status int, state string) {
	status, body := f.call(m, http.MethodGet, id, nil)
	var v struct{ State string }
	if status == http.StatusOK {
		_ = json.Unmarshal([]byte(body), &v)
	}
	return status, v.State
}

// leads reports whether the machine leads, by its log.
func (f *fleet) leads(m *machine) bool {
	data, err := os.ReadFile(filepath.Join(f.dir, m.name+".log"))
	return err == nil && strings.Contains(string(data), "this instance became the leader")
}
