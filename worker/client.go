package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DefaultTimeout bounds one sync; a third of the shortest useful lease.
const DefaultTimeout = time.Second

// maxAnswer bounds the answer to a sync, bytes.
const maxAnswer = 1 << 20

// direct keeps connections to all workers of an instance, about 210 at 12,000
// workers; http.DefaultTransport keeps 100, and 2 for each host.
var direct = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, DisableCompression: true}}

// Client sends syncs to workers. It is safe for concurrent use.
type Client struct {
	HTTP    *http.Client  // default a client that keeps its connections and uses no proxy
	Timeout time.Duration // default DefaultTimeout

	mu        sync.Mutex
	exchanges map[string]*exchange // by address and worker
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

// refresh is how often a full answer is asked for even when nothing changed, so
// that progress and usage are not older than this.
const refresh = 5 * time.Minute

// exchange is the last full exchange with a worker.
type exchange struct {
	sum    uint64 // of the grants
	answer SyncAnswer
	at     time.Time
}

// Sync sends the desired state to the worker at addr, IP:port; it fails with
// *StaleError or *UnreachableError. A request whose grants the worker has is
// sent in the short form: a lease of 12,000 workers is renewed hundreds of
// times a second, and the full form takes some kilobytes.
func (c *Client) Sync(ctx context.Context, addr string, q SyncRequest) (SyncAnswer, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	grants, err := json.Marshal(q.Grants)
	if err != nil {
		return SyncAnswer{}, &UnreachableError{q.Worker, err}
	}
	q.Sum = xxhash.Sum64(grants)
	last := c.last(addr, q.Worker)
	if last != nil && last.sum == q.Sum && time.Since(last.at) < refresh {
		short := q
		short.Grants, short.Same = nil, true
		if !q.Full {
			short.Known = last.answer.Sum
		}
		a, err := c.post(ctx, addr, short)
		var full *AnswerError
		if !errors.As(err, &full) || full.Status != http.StatusPreconditionFailed {
			if err == nil && a.Same {
				a.Tasks = last.answer.Tasks
				return a, nil
			}
			c.note(addr, q, a, err)
			return a, err
		}
	}
	a, err := c.post(ctx, addr, q)
	c.note(addr, q, a, err)
	return a, err
}

func (c *Client) last(addr, worker string) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchanges[addr+" "+worker]
}

// note keeps the exchange for the short form; after a failure the next request
// is sent in full.
func (c *Client) note(addr string, q SyncRequest, a SyncAnswer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchanges == nil {
		c.exchanges = map[string]*exchange{}
	}
	if err != nil || a.Sum == 0 {
		delete(c.exchanges, addr+" "+q.Worker)
		return
	}
	c.exchanges[addr+" "+q.Worker] = &exchange{q.Sum, a, time.Now()}
}

func (c *Client) post(ctx context.Context, addr string, q SyncRequest) (SyncAnswer, error) {
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
	req.Header.Set("User-Agent", "") // spares its bytes in each of the many syncs
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
