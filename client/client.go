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
	defaultTimeout = 30 * time.Second // covers a publish that waits until the version is in force
	maxAnswer      = 64 << 20         // bytes
)

// Client calls one instance; it is safe for concurrent use.
type Client struct {
	Base  string // base URL of the callers' or operators' address
	Token string
	HTTP  *http.Client // default one with a timeout of 30 s
}

// UnreachableError reports a call without a usable answer; unless it only read,
// it may have been carried out.
type UnreachableError struct {
	Method string
	URL    string
	Err    error
}

// Error describes the call and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer to %s %s: %v", e.Method, e.URL, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// AnswerError reports an answer that is not of the instance's APIs.
type AnswerError struct {
	Status string
	Body   string
}

// Error describes the answer.
func (e *AnswerError) Error() string { return e.Status + ": " + e.Body }

// NotSent reports that no connection was made, so that the call was certainly
// not carried out.
func (e *UnreachableError) NotSent() bool {
	var op *net.OpError
	return errors.As(e.Err, &op) && op.Op == "dial"
}

var defaultHTTP = &http.Client{Timeout: defaultTimeout}

// call sends the request and returns the answer's status and body.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte) (*http.Response, []byte, error) {
	link := strings.TrimSuffix(c.Base, "/") + path
	if len(query) > 0 {
		link += "?" + query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, method, link, bytes.NewReader(body))
	if err != nil {
		return nil, nil, &UnreachableError{method, link, err}
	}
	for k, v := range header {
		r.Header[k] = v
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	h := c.HTTP
	if h == nil {
		h = defaultHTTP
	}
	resp, err := h.Do(r)
	if err != nil {
		return nil, nil, &UnreachableError{method, link, err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, nil, &UnreachableError{method, link, err}
	}
	return resp, data, nil
}

// Operate calls the operators' API; it fails with *UnreachableError,
// *operator.Refusal or *AnswerError.
func Operate[T any](ctx context.Context, c *Client, method, path string, query url.Values, body []byte) (T, error) {
	var out T
	resp, data, err := c.call(ctx, method, path, query, nil, body)
	if err != nil {
		return out, err
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(data, &out); err != nil {
			return out, &AnswerError{resp.Status, err.Error()}
		}
		return out, nil
	}
	var refusal operator.Refusal
	if json.Unmarshal(data, &refusal) != nil || refusal.Outcome == "" {
		return out, &AnswerError{resp.Status, strings.TrimSpace(string(data))}
	}
	return out, &refusal
}

// Publish replaces a configuration record whose version is still base.
func (c *Client) Publish(ctx context.Context, name string, base uint64, schema, reader uint16, body []byte) (operator.PublishResult, error) {
	query := url.Values{"base": {strconv.FormatUint(base, 10)}, "schema": {fmt.Sprint(schema)}, "reader": {fmt.Sprint(reader)}}
	return Operate[operator.PublishResult](ctx, c, http.MethodPut, "/v1/config/"+name, query, body)
}

// reply calls the callers' API, whose answers always carry a fate or a job.
func (c *Client) reply(ctx context.Context, method, path string, query url.Values, header http.Header, body []byte) (caller.Reply, error) {
	resp, data, err := c.call(ctx, method, path, query, header, body)
	if err != nil {
		return caller.Reply{Fate: record.RequestUnknown, Reason: "unreachable", Detail: err.Error()}, err
	}
	var out caller.Reply
	if json.Unmarshal(data, &out) != nil || out.Fate == "" && out.Job == nil {
		return out, &AnswerError{resp.Status, strings.TrimSpace(string(data))}
	}
	return out, nil
}

// Submit enters a job; resending the same body is harmless.
func (c *Client) Submit(ctx context.Context, b caller.JobBody) (caller.Reply, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return caller.Reply{}, &AnswerError{"encode", err.Error()}
	}
	return c.reply(ctx, http.MethodPost, "/v1/jobs", nil, nil, data)
}

// Job returns a job's status; with wait above 0 it waits as long for the job's
// fate.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (caller.Reply, error) {
	query := url.Values{}
	if wait > 0 {
		query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	return c.reply(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), query, nil, nil)
}

// Cancel ends a job.
func (c *Client) Cancel(ctx context.Context, id string) (caller.Reply, error) {
	return c.reply(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, nil, nil)
}

// Call describes a request to a service.
type Call struct {
	ID       string // default: a new one
	Service  string
	Class    string        // urgent, normal or bulk
	Once     bool          // not repeatable
	Deadline time.Duration // from now
	Body     []byte
}

// Request sends a request to a service through the instance.
func (c *Client) Request(ctx context.Context, q Call) (caller.Reply, error) {
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

// NewID returns a request id that starts with its creation time, as requests
// that are not repeatable need it.
func NewID(now time.Time) string {
	return fmt.Sprintf("%d-%s", now.UnixMilli(), rand.Text()[:10])
}
