package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// DefaultTimeout bounds one sync; a third of the shortest useful lease.
const DefaultTimeout = time.Second

// maxAnswer bounds the answer to a sync, bytes.
const maxAnswer = 1 << 20

// direct keeps connections to all workers of an instance, about 210 at 12,000
// workers; http.DefaultTransport keeps 100, and 2 for each host.
var direct = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}}

// Client sends syncs to workers.
type Client struct {
	HTTP    *http.Client  // default a client that keeps its connections and uses no proxy
	Timeout time.Duration // default DefaultTimeout
}

// StaleError reports that the worker has seen a higher offset.
type StaleError struct {
	Worker string
	Offset uint64 // highest that the worker has seen
}

// Error names the worker and its offset.
func (e *StaleError) Error() string {
	return fmt.Sprintf("worker %s has seen offset %d", e.Worker, e.Offset)
}

// UnreachableError reports a sync without a usable answer; the worker may
// have accepted it.
type UnreachableError struct {
	Worker string
	Err    error
}

// Error names the worker and the cause.
func (e *UnreachableError) Error() string { return fmt.Sprintf("worker %s: %v", e.Worker, e.Err) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// AnswerError reports an answer with an unexpected HTTP status.
type AnswerError struct {
	Status int
}

// Error states the status.
func (e *AnswerError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }

// Sync sends the desired state to the worker at addr, IP:port; it fails with
// *StaleError or *UnreachableError.
func (c *Client) Sync(ctx context.Context, addr string, q SyncRequest) (SyncAnswer, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var a SyncAnswer
	body, err := json.Marshal(q)
	if err != nil {
		return a, &UnreachableError{q.Worker, err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/sync", bytes.NewReader(body))
	if err != nil {
		return a, &UnreachableError{q.Worker, err}
	}
	req.Header.Set("Content-Type", "application/json")
	h := c.HTTP
	if h == nil {
		h = direct
	}
	resp, err := h.Do(req)
	if err != nil {
		return a, &UnreachableError{q.Worker, err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return a, &UnreachableError{q.Worker, &AnswerError{resp.StatusCode}}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&a); err != nil {
		return a, &UnreachableError{q.Worker, err}
	}
	if resp.StatusCode == http.StatusConflict {
		return a, &StaleError{q.Worker, a.Offset}
	}
	return a, nil
}
