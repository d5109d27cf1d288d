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

// lanedPath is the path of the daemon's binary, which TestMain builds.
var lanedPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "lane-e2e")
	if err != nil {
		panic(err)
	}
	lanedPath = filepath.Join(dir, "laned")
	build := exec.Command("go", "build", "-o", lanedPath, "jasminelane.example/lane/cmd/laned")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cluster is the stand-ins and instances of one test.
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

// process is an entry instance that runs as a separate process.
type process struct {
	name     string
	cmd      *exec.Cmd
	exited   chan struct{} // closed after the process exits
	mu       sync.Mutex
	logLines []string // lines of its log
	addrs    listenAddrs
}

// listenAddrs are the addresses a process listens on; they change with each incarnation.
type listenAddrs struct{ peers, callers, operators string }

func (p *process) listenAddrs() listenAddrs {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addrs
}

// tokenPrefix precedes the name of an account or operator in its token.
const tokenPrefix = "e2e-token-of-"

func startCluster(t *testing.T, instances int) *cluster {
	t.Helper()
	c := &cluster{t: t}
	c.backends.ServiceTime = 10 * time.Millisecond
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
		c.addInstance(fmt.Sprintf("e%d", i+1))
	}
	c.awaitReady(instances)
	return c
}

// settingsText is the settings file of an instance. It gives completion time a
// high weight, so that small jobs do not wait in order to keep free the last
// rack that fits a guarantee.
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

var listeningLine = regexp.MustCompile(`msg=listening .*peers=(\S+) callers=(\S+) operators=(\S+)`)

// addInstance starts an instance, waits until it listens and adds it to the platform's list.
func (c *cluster) addInstance(name string) *process {
	c.t.Helper()
	path := filepath.Join(c.t.TempDir(), name+".ini")
	if err := os.WriteFile(path, fmt.Appendf(nil, settingsText, name, c.logURL, c.listURL), 0o600); err != nil {
		c.t.Fatal(err)
	}
	p := &process{name: name, cmd: exec.Command(lanedPath, "-settings", path), exited: make(chan struct{})}
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
	case <-p.exited:
		c.t.Fatalf("%s exited during startup: %v", name, p.logTail())
	case <-time.After(10 * time.Second):
		c.t.Fatalf("%s did not start to listen within 10 s: %v", name, p.logTail())
	}
	c.mu.Lock()
	c.instances = append(c.instances, p)
	c.mu.Unlock()
	c.publishList()
	return p
}

// read collects the log lines until the process exits, and closes up once it listens.
func (p *process) read(lines *bufio.Scanner, up chan struct{}) {
	defer close(p.exited)
	for lines.Scan() {
		m := listeningLine.FindStringSubmatch(lines.Text())
		p.mu.Lock()
		p.logLines = append(p.logLines, lines.Text())
		first := m != nil && p.addrs.peers == ""
		if m != nil {
			p.addrs = listenAddrs{m[1], m[2], m[3]}
		}
		p.mu.Unlock()
		if first {
			close(up)
		}
	}
	_ = p.cmd.Wait()
}

func (p *process) logTail() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logLines[max(0, len(p.logLines)-20):]
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// killInstance kills the process without a shutdown, as in a crash.
func (c *cluster) killInstance(p *process) {
	p.signal(syscall.SIGKILL)
	<-p.exited
	c.removeInstance(p)
}

func (c *cluster) removeInstance(p *process) {
	c.mu.Lock()
	for i, x := range c.instances {
		if x == p {
			c.instances = append(c.instances[:i:i], c.instances[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	c.publishList()
}

func (c *cluster) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.instances {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	if c.t.Failed() {
		for _, p := range c.instances {
			c.t.Logf("log of %s:\n%s", p.name, strings.Join(p.logTail(), "\n"))
		}
	}
}

// publishList sets the platform's instance list to the live instances.
func (c *cluster) publishList() {
	var list []stream.Instance
	for _, p := range c.live() {
		list = append(list, stream.Instance{Name: p.name, Addr: p.listenAddrs().peers})
	}
	c.directory.Set(list)
}

func (c *cluster) live() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*process(nil), c.instances...)
}

var httpClient = &http.Client{Timeout: 20 * time.Second}

func (p *process) operatorClient() *client.Client {
	return &client.Client{BaseURL: "http://" + p.listenAddrs().operators, Token: tokenPrefix + "desk", HTTPClient: httpClient}
}

func (p *process) callerClient(account string) *client.Client {
	return &client.Client{BaseURL: "http://" + p.listenAddrs().callers, Token: tokenPrefix + account, HTTPClient: httpClient}
}

func (p *process) isReady() bool {
	resp, err := httpClient.Get("http://" + p.listenAddrs().operators + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *process) status(ctx context.Context) (operator.Status, error) {
	return client.CallOperator[operator.Status](ctx, p.operatorClient(), http.MethodGet, "/v1/status", nil, nil)
}

// eventually polls the condition and fails the test after the limit. It polls
// because no event is sent across processes.
func (c *cluster) eventually(limit time.Duration, what string, ok func() bool) {
	c.t.Helper()
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	end := time.After(limit)
	for !ok() {
		select {
		case <-end:
			c.t.Fatalf("timeout after %s: %s", limit, what)
		case <-t.C:
		}
	}
}

func (c *cluster) awaitReady(n int) {
	c.t.Helper()
	c.eventually(15*time.Second, fmt.Sprintf("fewer than %d instances are ready", n), func() bool {
		ready := 0
		for _, p := range c.live() {
			if p.isReady() {
				ready++
			}
		}
		return ready >= n
	})
}

// awaitConverged waits until all instances have applied the whole log and have the same digest.
func (c *cluster) awaitConverged(limit time.Duration) operator.Status {
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

// publish publishes the first version of a configuration record.
func (c *cluster) publish(p *process, name string, v any) operator.PublishResult {
	c.t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	out, err := p.operatorClient().Publish(c.t.Context(), name, 0, 1, 1, body)
	if err != nil {
		c.t.Fatalf("publish %s: %v", name, err)
	}
	return out
}

// publishResources publishes racks of two workers with 8 accelerators each, the
// accounts asha (guaranteed one 2x8@rack) and ben, and, if servers > 0, a
// service with that many backend servers.
func (c *cluster) publishResources(racks, servers int) {
	c.t.Helper()
	p := c.live()[0]
	for i := range racks {
		body := state.RackBody{Domain: "kochi"}
		for k := range 2 {
			body.Workers = append(body.Workers, state.WorkerBody{
				Name: fmt.Sprintf("r%d-w%d", i, k), Addr: c.workerURL, GPUs: 8, Cores: 128, Memory: 256,
			})
		}
		c.publish(p, fmt.Sprintf("rack/r%d", i), body)
	}
	c.publish(p, "account/asha", state.AccountBody{Guarantees: []state.GuaranteeBody{{Shape: "2x8@rack", Count: 1}}})
	c.publish(p, "account/ben", state.AccountBody{})
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
	c.publish(p, "service/badges", body)
}

// checkWorkers fails the test if the workers' audit trail shows a partial gang,
// a repeated start of a non-repeatable job, or two tasks on one accelerator.
func (c *cluster) checkWorkers() {
	c.t.Helper()
	for _, v := range standin.Violations(c.workers.Audit()) {
		c.t.Error(v)
	}
}
