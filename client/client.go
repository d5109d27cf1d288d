package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"jasminelane.example/lane/caller"
	"jasminelane.example/lane/operator"
	"jasminelane.example/lane/record"
)

const (
	defaultTimeout   = 30 * time.Second // long enough for a publish, which waits until the version is in force
	maxResponseBytes = 64 << 20         // bytes
)

// Client calls the APIs of one instance. It is safe for concurrent use.
type Client struct {
	BaseURL    string // URL of the instance's address for callers or operators
	Token      string
	HTTPClient *http.Client // default: a client with a timeout of 30 s
}

// UnreachableError reports a call without a complete response. A call that
// changes something may have been executed.
type UnreachableError struct {
	Method string
	URL    string
	Err    error
}

// Error describes the call and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no response to %s %s: %v", e.Method, e.URL, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// ResponseError reports a response that does not come from an instance's API.
type ResponseError struct {
	Status string
	Body   string
}

// Error describes the response.
func (e *ResponseError) Error() string { return e.Status + ": " + e.Body }

// NotSent reports whether no connection could be opened, in which case the call
// was certainly not executed.
func (e *UnreachableError) NotSent() bool {
	var op *net.OpError
	return errors.As(e.Err, &op) && op.Op == "dial"
}

var defaultHTTP = &http.Client{Timeout: defaultTimeout}

// call sends a request and returns the response and its body.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte) (*http.Response, []byte, error) {
	target := strings.TrimSuffix(c.BaseURL, "/") + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, &UnreachableError{method, target, err}
	}
	for k, v := range header {
		r.Header[k] = v
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	h := c.HTTPClient
	if h == nil {
		h = defaultHTTP
	}
	resp, err := h.Do(r)
	if err != nil {
		return nil, nil, &UnreachableError{method, target, err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, &UnreachableError{method, target, err}
	}
	return resp, data, nil
}

// CallOperator calls the operators' API. Its errors are *UnreachableError,
// *operator.Refusal and *ResponseError.
func CallOperator[T any](ctx context.Context, c *Client, method, path string, query url.Values, body []byte) (T, error) {
	var out T
	resp, data, err := c.call(ctx, method, path, query, nil, body)
	if err != nil {
		return out, err
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, &out); err != nil {
			return out, &ResponseError{resp.Status, err.Error()}
		}
		return out, nil
	}
	var refusal operator.Refusal
	if json.Unmarshal(data, &refusal) != nil || refusal.Outcome == "" {
		return out, &ResponseError{resp.Status, strings.TrimSpace(string(data))}
	}
	return out, &refusal
}

// Publish replaces a configuration record if its version is still base.
func (c *Client) Publish(ctx context.Context, name string, base uint64, schema, reader uint16, body []byte) (operator.PublishResult, error) {
	query := url.Values{"base": {strconv.FormatUint(base, 10)}, "schema": {fmt.Sprint(schema)}, "reader": {fmt.Sprint(reader)}}
	return CallOperator[operator.PublishResult](ctx, c, http.MethodPut, "/v1/config/"+name, query, body)
}

// reply calls the callers' API, whose responses always have an outcome or a job.
func (c *Client) reply(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte) (caller.Reply, error) {
	resp, data, err := c.call(ctx, method, path, query, header, body)
	if err != nil {
		return caller.Reply{Outcome: record.RequestUnknown, Reason: "unreachable", Detail: err.Error()}, err
	}
	var out caller.Reply
	if json.Unmarshal(data, &out) != nil || out.Outcome == "" && out.Job == nil {
		return out, &ResponseError{resp.Status, strings.TrimSpace(string(data))}
	}
	return out, nil
}

// Submit submits a job. Sending the same body again has no effect.
func (c *Client) Submit(ctx context.Context, b caller.JobBody) (caller.Reply, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return caller.Reply{}, &ResponseError{"encode", err.Error()}
	}
	return c.reply(ctx, http.MethodPost, "/v1/jobs", nil, nil, data)
}

// Job returns a job's status. If wait is positive, it waits up to that long for
// the job's outcome.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (caller.Reply, error) {
	query := url.Values{}
	if wait > 0 {
		query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	return c.reply(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), query, nil, nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id string) (caller.Reply, error) {
	return c.reply(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, nil, nil)
}

// ServiceRequest is a request to a service.
type ServiceRequest struct {
	ID       string // default: a new id
	Service  string
	Class    string        // urgent, normal or bulk
	Once     bool          // not repeatable
	Deadline time.Duration // from now
	Body     []byte
}

// Request sends a request to a service through the instance.
func (c *Client) Request(ctx context.Context, q ServiceRequest) (caller.Reply, error) {
	if q.ID == "" {
		q.ID = NewID(time.Now())
	}
	h := http.Header{}
	h.Set("Request-Id", q.ID)
	h.Set("Repeatable", strconv.FormatBool(!q.Once))
	h.Set("Priority", q.Class)
	if q.Deadline > 0 {
		h.Set("Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	}
	return c.reply(ctx, http.MethodPost, "/v1/requests/"+url.PathEscape(q.Service), nil, h, q.Body)
}

// NewID returns a request id that starts with its creation time, as
// non-repeatable requests require.
func NewID(now time.Time) string {
	return fmt.Sprintf("%d-%s", now.UnixMilli(), rand.Text()[:10])
}
