package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"jasminelane.example/lane/client"
	"jasminelane.example/lane/operator"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
)

// laned is the daemon's binary, built once by TestMain.
var laned string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lane-e2e")
	if err != nil {
		panic(err)
	}
	laned = filepath.Join(dir, "laned")
	build := exec.Command("go", "build", "-o", laned, "jasminelane.example/lane/cmd/laned")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cluster is the stand-ins and the instances of one test.
type cluster struct {
	t         *testing.T
	log       standin.Log
	directory standin.Directory
	workers   standin.Workers
	backends  standin.Backends
	logURL    string
	listURL   string
	workerURL string

	mu        sync.Mutex
	instances []*process
}

// process is one entry instance as a process of its own.
type process struct {
	name  string
	cmd   *exec.Cmd
	done  chan struct{} // closed when the process has ended
	mu    sync.Mutex
	lines []string // of its log
	addrs addrs
}

// addrs are the addresses of a process; a new incarnation has new ones.
type addrs struct{ peers, callers, operators string }

func (p *process) listens() addrs {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addrs
}

const token = "e2e-token-of-"

func start(t *testing.T, instances int) *cluster {
	t.Helper()
	c := &cluster{t: t}
	c.backends.Service = 10 * time.Millisecond
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return s.URL
	}
	c.logURL, c.listURL = serve(&c.log), serve(&c.directory)
	c.workerURL = strings.TrimPrefix(serve(&c.workers), "http://")
	t.Cleanup(c.backends.Close)
	t.Cleanup(c.killAll)
	for i := range instances {
		c.add(fmt.Sprintf("e%d", i+1))
	}
	c.awaitReady(instances)
	return c
}

// settingsText weighs completion time so high that small jobs do not wait to
// spare the last rack that fits a guarantee.
const settingsText = `
[instance]
name = %s
domain = kochi
peers = 127.0.0.1:0
callers = 127.0.0.1:0
operators = 127.0.0.1:0
[platform]
log = %s
list = %s
[limits]
snapshot = 60
[times]
lease = 3s
balancer = 300ms
drain = 10s
[policy]
completion = 100
fragmentation = 0.01
[account.asha]
token = e2e-token-of-asha
[account.ben]
token = e2e-token-of-ben
[operator.desk]
token = e2e-token-of-desk
`

var listening = regexp.MustCompile(`msg=listening .*peers=(\S+) callers=(\S+) operators=(\S+)`)

// add starts an instance and waits until it listens.
func (c *cluster) add(name string) *process {
	c.t.Helper()
	path := filepath.Join(c.t.TempDir(), name+".ini")
	if err := os.WriteFile(path, fmt.Appendf(nil, settingsText, name, c.logURL, c.listURL), 0o600); err != nil {
		c.t.Fatal(err)
	}
	p := &process{name: name, cmd: exec.Command(laned, "-settings", path), done: make(chan struct{})}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		c.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	up := make(chan struct{})
	go p.read(bufio.NewScanner(stderr), up)
	select {
	case <-up:
	case <-p.done:
		c.t.Fatalf("%s ended at its start: %v", name, p.tail())
	case <-time.After(10 * time.Second):
		c.t.Fatalf("%s does not listen: %v", name, p.tail())
	}
	c.mu.Lock()
	c.instances = append(c.instances, p)
	c.mu.Unlock()
	c.list()
	return p
}

// read keeps the log lines until the process ends.
func (p *process) read(lines *bufio.Scanner, up chan struct{}) {
	defer close(p.done)
	for lines.Scan() {
		m := listening.FindStringSubmatch(lines.Text())
		p.mu.Lock()
		p.lines = append(p.lines, lines.Text())
		first := m != nil && p.addrs.peers == ""
		if m != nil {
			p.addrs = addrs{m[1], m[2], m[3]}
		}
		p.mu.Unlock()
		if first {
			close(up)
		}
	}
	_ = p.cmd.Wait()
}

func (p *process) tail() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lines[max(0, len(p.lines)-20):]
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once, as a crash does.
func (c *cluster) kill(p *process) {
	p.signal(syscall.SIGKILL)
	<-p.done
	c.remove(p)
}

func (c *cluster) remove(p *process) {
	c.mu.Lock()
	for i, x := range c.instances {
		if x == p {
			c.instances = append(c.instances[:i:i], c.instances[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	c.list()
}

func (c *cluster) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.instances {
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	if c.t.Failed() {
		for _, p := range c.instances {
			c.t.Logf("log of %s:\n%s", p.name, strings.Join(p.tail(), "\n"))
		}
	}
}

// list tells the instance list who is live.
func (c *cluster) list() {
	var list []stream.Instance
	for _, p := range c.live() {
		list = append(list, stream.Instance{Name: p.name, Addr: p.listens().peers})
	}
	c.directory.Set(list)
}

func (c *cluster) live() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*process(nil), c.instances...)
}

var httpClient = &http.Client{Timeout: 20 * time.Second}

func (p *process) operator() *client.Client {
	return &client.Client{BaseURL: "http://" + p.listens().operators, Token: token + "desk", HTTPClient: httpClient}
}

func (p *process) caller(account string) *client.Client {
	return &client.Client{BaseURL: "http://" + p.listens().callers, Token: token + account, HTTPClient: httpClient}
}

func (p *process) ready() bool {
	resp, err := httpClient.Get("http://" + p.listens().operators + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *process) status(ctx context.Context) (operator.Status, error) {
	return client.CallOperator[operator.Status](ctx, p.operator(), http.MethodGet, "/v1/status", nil, nil)
}

// eventually waits for the condition, which no event announces across
// processes, and fails the test after the limit.
func (c *cluster) eventually(limit time.Duration, what string, ok func() bool) {
	c.t.Helper()
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	end := time.After(limit)
	for !ok() {
		select {
		case <-end:
			c.t.Fatalf("after %s: %s", limit, what)
		case <-t.C:
		}
	}
}

func (c *cluster) awaitReady(n int) {
	c.t.Helper()
	c.eventually(15*time.Second, fmt.Sprintf("fewer than %d instances are ready", n), func() bool {
		ready := 0
		for _, p := range c.live() {
			if p.ready() {
				ready++
			}
		}
		return ready >= n
	})
}

// awaitSame waits until all instances stand at the log's end with one digest.
func (c *cluster) awaitSame(limit time.Duration) operator.Status {
	c.t.Helper()
	var first operator.Status
	c.eventually(limit, "instances differ in offset or digest", func() bool {
		for i, p := range c.live() {
			st, err := p.status(c.t.Context())
			if err != nil || st.Replica.Offset != st.Replica.End {
				return false
			}
			if i == 0 {
				first = st
			}
			if st.Replica.Offset != first.Replica.Offset || st.Replica.Chain != first.Replica.Chain {
				return false
			}
		}
		return true
	})
	return first
}

// put publishes a record for the first time.
func (c *cluster) put(p *process, name string, v any) operator.PublishResult {
	c.t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	out, err := p.operator().Publish(c.t.Context(), name, 0, 1, 1, body)
	if err != nil {
		c.t.Fatalf("publish %s: %v", name, err)
	}
	return out
}

// fleet publishes racks of two workers with 8 accelerators each, the accounts
// asha (with a guarantee of one 2x8@rack) and ben, and a service.
func (c *cluster) fleet(racks, servers int) {
	c.t.Helper()
	p := c.live()[0]
	for i := range racks {
		body := state.RackBody{Domain: "kochi"}
		for k := range 2 {
			body.Workers = append(body.Workers, state.WorkerBody{
				Name: fmt.Sprintf("r%d-w%d", i, k), Addr: c.workerURL, GPUs: 8, Cores: 128, Memory: 256,
			})
		}
		c.put(p, fmt.Sprintf("rack/r%d", i), body)
	}
	c.put(p, "account/asha", state.AccountBody{Guarantees: []state.GuaranteeBody{{Shape: "2x8@rack", Count: 1}}})
	c.put(p, "account/ben", state.AccountBody{})
	if servers == 0 {
		return
	}
	body := state.ServiceBody{}
	for i := range servers {
		s, err := c.backends.Add(fmt.Sprintf("s%d", i))
		if err != nil {
			c.t.Fatal(err)
		}
		body.Servers = append(body.Servers, state.ServerBody{Name: s.Name, Addr: s.Addr, Domain: "kochi", Slots: 8, Connections: 60})
	}
	c.put(p, "service/badges", body)
}

// checkWorkers fails the test when the workers saw a partial gang, a repeated
// start of a non-repeatable job, or two tasks on one accelerator.
func (c *cluster) checkWorkers() {
	c.t.Helper()
	for _, v := range standin.Violations(c.workers.Audit()) {
		c.t.Error(v)
	}
}
