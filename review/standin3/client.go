package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// clientKey is the key of the tenant that sends most requests.
const clientKey = "k1"

// budget is the time that a client gives a request.
const budget = 3 * time.Second

// client sends the requests of all tenants.
type client struct {
	rec   *record
	rules *rules
	fleet *fleet
	http  *http.Client
	key   string // of the tenant that sends the next request
}

func newClient(rec *record, r *rules, f *fleet) *client {
	return &client{rec: rec, rules: r, fleet: f, key: clientKey, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// any returns an instance that is in rotation, or any if there is none.
func (c *client) any() *instance {
	all := c.fleet.instances
	for range 4 {
		if n := all[rand.IntN(len(all))]; n.isReady() {
			return n
		}
	}
	return all[rand.IntN(len(all))]
}

// call sends a request and returns the status, 0 if there is no answer.
func (c *client) call(n *instance, method, path string, body any) (status int, answered map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	text := ""
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		text = string(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, strings.NewReader(text))
	if err != nil {
		panic(err)
	}
	req.Host = "lane.example"
	req.Header.Set("Api-Key", c.key)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.rec.add("client: %s %s at %s: no answer (%v)", method, path, n.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		c.rec.add("client: %s %s at %s: answer cut short", method, path, n.name)
		return 0, nil
	}
	_ = json.Unmarshal(data, &answered)
	if method != http.MethodGet {
		c.rec.add("client: %s %s at %s: %d", method, path, n.name, resp.StatusCode)
	}
	return resp.StatusCode, answered
}

// newID returns the id of a new job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// stepBody returns a step as a client sends it.
func (s shapeStep) body(estimate time.Duration) map[string]any {
	out := map[string]any{"count": s.count, "cpu": s.needed.cpu, "memMb": s.needed.mem, "estimateMs": estimate.Milliseconds()}
	if s.needed.gpu > 0 {
		out["gpu"] = s.needed.gpu
	}
	if s.gang {
		out["gang"] = true
	}
	if s.saves {
		out["checkpointable"] = true
	}
	if s.lasts {
		out["longRunning"] = true
	}
	return out
}

// expect makes a job known to the stand-ins.
func (c *client) expect(s shape) *job {
	j := &job{id: newID(), spec: "work", shape: s}
	c.rules.mu.Lock()
	defer c.rules.mu.Unlock()
	c.rules.jobs[j.id] = j
	return j
}

// attempt hands a job in once and returns the status.
func (c *client) attempt(j *job, n *instance, prefix string) int {
	var steps []map[string]any
	for i, s := range j.shape.steps {
		b := s.body(s.work)
		if i > 0 {
			b["after"] = []int{i - 1}
		}
		steps = append(steps, b)
	}
	body := map[string]any{"spec": j.spec, "steps": steps}
	if !j.due.IsZero() {
		body["times"], body["firstMs"], body["periodMs"] = 1, j.due.UnixMilli(), 1000
	}
	status, _ := c.call(n, http.MethodPost, prefix+j.id, body)
	c.rules.mu.Lock()
	defer c.rules.mu.Unlock()
	switch {
	case status >= 200 && status < 300:
		if j.accepted.IsZero() {
			j.accepted = time.Now()
		}
	case status == 429 || status == 503 || status == 404:
		j.rejected++
	default:
		j.unknown++
	}
	return status
}

// submit hands a job in, with retries after no answer, 502 and 504.
func (c *client) submit(j *job, prefix string, retries int) bool {
	for try := 0; try <= retries; try++ {
		status := c.attempt(j, c.any(), prefix)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a job as a node shows it.
func (c *client) state(j *job, n *instance, prefix string) (status int, state string) {
	status, answered := c.call(n, http.MethodGet, prefix+j.id, nil)
	state, _ = answered["state"].(string)
	c.rules.mu.Lock()
	defer c.rules.mu.Unlock()
	if status == 200 && state != j.shown {
		c.rec.add("client: job %s is shown as %s at %s", j.id, state, n.name)
		j.shown = state
	}
	return status, state
}
