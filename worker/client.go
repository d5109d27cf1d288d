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

// DefaultSyncTimeout is the timeout of one sync, a third of the shortest useful
// lease.
const DefaultSyncTimeout = time.Second

// maxAnswerBytes is the maximum size of an answer to a sync.
const maxAnswerBytes = 1 << 20

// defaultHTTPClient keeps idle connections to all workers that an instance
// syncs, about 210 at 12,000 workers. http.DefaultTransport keeps only 100, and
// 2 for each host.
var defaultHTTPClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, DisableCompression: true}}

// Client sends syncs to workers. It is safe for concurrent use.
type Client struct {
	HTTP    *http.Client  // default: a client that keeps its connections open and uses no proxy
	Timeout time.Duration // default DefaultSyncTimeout

	mu        sync.Mutex
	exchanges map[string]*exchange // by address and worker
}

// StaleError reports that the worker rejected a sync because it has seen a
// higher log offset.
type StaleError struct {
	Worker string
	Offset uint64 // highest offset that the worker has seen
}

// Error names the worker and its offset.
func (e *StaleError) Error() string {
	return fmt.Sprintf("worker %s rejected the sync: it has already seen log offset %d", e.Worker, e.Offset)
}

// UnreachableError reports a sync without a usable answer. The worker may have
// accepted the sync.
type UnreachableError struct {
	Worker string
	Err    error
}

// Error describes the failure with the worker and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("sync with worker %s: %v", e.Worker, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// ResponseError reports an answer with an unexpected HTTP status.
type ResponseError struct {
	Status int
}

// Error states the status.
func (e *ResponseError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }

// fullSyncInterval is how often a full answer is requested even when nothing
// changed, so that progress and usage are not older than this.
const fullSyncInterval = 5 * time.Minute

// exchange is the last full exchange with a worker.
type exchange struct {
	digest     uint64 // of the grants
	answer     SyncAnswer
	receivedAt time.Time
}

// Sync sends the desired state to the worker at addr, which is IP:port. It
// fails with *StaleError or *UnreachableError. If the worker already has the
// grants, the request is sent in its short form: with 12,000 workers, leases
// are renewed hundreds of times a second, and the full form takes some
// kilobytes.
func (c *Client) Sync(ctx context.Context, addr string, q SyncRequest) (SyncAnswer, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultSyncTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	grants, err := json.Marshal(q.Grants)
	if err != nil {
		return SyncAnswer{}, &UnreachableError{q.Worker, err}
	}
	q.Digest = xxhash.Sum64(grants)
	last := c.lastExchange(addr, q.Worker)
	if last != nil && last.digest == q.Digest && time.Since(last.receivedAt) < fullSyncInterval {
		short := q
		short.Grants, short.Unchanged = nil, true
		if !q.Full {
			short.KnownDigest = last.answer.Digest
		}
		a, err := c.post(ctx, addr, short)
		var full *ResponseError
		if !errors.As(err, &full) || full.Status != http.StatusPreconditionFailed {
			if err == nil && a.Unchanged {
				a.Tasks = last.answer.Tasks
				return a, nil
			}
			c.remember(addr, q, a, err)
			return a, err
		}
	}
	a, err := c.post(ctx, addr, q)
	c.remember(addr, q, a, err)
	return a, err
}

// lastExchange returns the stored exchange with the worker, or nil.
func (c *Client) lastExchange(addr, worker string) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchanges[addr+" "+worker]
}

// remember stores the exchange so that the next request can use the short form.
// After a failure it deletes the stored one, and the next request is sent in
// full.
func (c *Client) remember(addr string, q SyncRequest, a SyncAnswer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchanges == nil {
		c.exchanges = map[string]*exchange{}
	}
	if err != nil || a.Digest == 0 {
		delete(c.exchanges, addr+" "+q.Worker)
		return
	}
	c.exchanges[addr+" "+q.Worker] = &exchange{q.Digest, a, time.Now()}
}

// post sends one request to the worker and decodes the answer.
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
	req.Header.Set("User-Agent", "") // saves its bytes in each of the many syncs
	client := c.HTTP
	if client == nil {
		client = defaultHTTPClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return a, &UnreachableError{q.Worker, err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return a, &UnreachableError{q.Worker, &ResponseError{resp.StatusCode}}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&a); err != nil {
		return a, &UnreachableError{q.Worker, err}
	}
	if resp.StatusCode == http.StatusConflict {
		return a, &StaleError{q.Worker, a.Offset}
	}
	return a, nil
}
