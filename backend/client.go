package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminelane.example/lane/route"
)

// Headers of the protocol between instances and backend servers.
const (
	HeaderRequest    = "Request-Id"
	HeaderAttempt    = "Attempt-Id"
	HeaderAccount    = "Account"
	HeaderRepeatable = "Repeatable"
	HeaderDeadline   = "Deadline-Ms"
	HeaderLength     = "Answer-Length"
	HeaderChecksum   = "Checksum"
	HeaderLoad       = "Load"
	HeaderLeaving    = "Leaving"
	HeaderFate       = "Fate"
	HeaderReason     = "Reason"
)

// Request is a request to a backend server.
type Request struct {
	ID         string
	Service    string
	Account    string
	Repeatable bool
	Body       []byte
}

// Answer is a complete answer of a backend server that matches its request.
type Answer struct {
	Status int
	Body   []byte
	Notice Notice
}

// Notice is the state that a server reports about itself with each answer.
type Notice struct {
	HasLoad bool // Load is valid
	Load    int  // requests running or waiting
	Leaving bool
}

// Error reports a request without a usable answer.
type Error struct {
	Reason route.Reason
	NotRun bool   // the request certainly did not run; otherwise it may have run
	Told   bool   // the server itself refused the request, so it is alive
	Notice Notice // valid when Told is set
	Err    error  // cause, or nil
}

// Error describes the failure.
func (e *Error) Error() string {
	ran := "may have run"
	if e.NotRun {
		ran = "did not run"
	}
	if e.Err == nil {
		return fmt.Sprintf("backend server: %s, %s", e.Reason, ran)
	}
	return fmt.Sprintf("backend server: %s, %s: %v", e.Reason, ran, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client sends requests to backend servers. Fields are set before use; it is
// safe for concurrent use.
type Client struct {
	MaxConnections func(addr string) int // maximum number of open connections to the address; nil means 8
	MaxAnswerBytes int64                 // default 8 MiB
	DialTimeout    time.Duration         // default 1 s
	IdleTimeout    time.Duration         // after which idle connections are closed; default 30 s
	Dial           func(ctx context.Context, network, addr string) (net.Conn, error)

	pools poolTable
}

// attemptPrefix distinguishes the attempt ids of this process from those of
// others.
var attemptPrefix = strconv.FormatUint(rand.Uint64(), 36)

// attemptCount is the number of attempt ids issued by this process.
var attemptCount atomic.Uint64

// Do sends the request once and returns the answer to exactly this attempt. It
// passes the context's deadline on to the server. It fails with *Error.
func (c *Client) Do(ctx context.Context, addr string, q *Request) (*Answer, error) {
	left := time.Duration(-1)
	if d, ok := ctx.Deadline(); ok {
		if left = time.Until(d); left < time.Millisecond {
			return nil, &Error{Reason: route.ReasonDeadline, NotRun: true}
		}
	}
	attempt := attemptPrefix + "-" + strconv.FormatUint(attemptCount.Add(1), 36)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/run/"+q.Service, bytes.NewReader(q.Body))
	if err != nil {
		return nil, &Error{Reason: route.ReasonField, NotRun: true, Err: err}
	}
	// net/http resends a POST request without GetBody only if it has written no
	// byte of it.
	req.GetBody = nil
	req.Header = http.Header{
		HeaderRequest: {q.ID}, HeaderAttempt: {attempt}, HeaderAccount: {q.Account},
		HeaderRepeatable: {strconv.FormatBool(q.Repeatable)},
		"User-Agent":     {"laned"},
	}
	if left > 0 {
		req.Header[HeaderDeadline] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	}
	return c.roundTrip(req, addr, func(resp *http.Response) (*Answer, error) {
		return c.checkAnswer(resp, q.ID, attempt)
	})
}

// Probe requests a server's notice without sending work. It fails with *Error.
func (c *Client) Probe(ctx context.Context, addr string) (Notice, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/probe", nil)
	if err != nil {
		return Notice{}, &Error{Reason: route.ReasonField, NotRun: true, Err: err}
	}
	a, err := c.roundTrip(req, addr, func(resp *http.Response) (*Answer, error) {
		if resp.StatusCode != http.StatusNoContent {
			return nil, &Error{Reason: route.ReasonMismatch, NotRun: true}
		}
		return &Answer{Notice: parseNotice(resp.Header)}, nil
	})
	if err != nil {
		return Notice{}, err
	}
	return a.Notice, nil
}

// roundTrip sends req on a connection of its own. It closes the connection
// unless the answer was complete and matched the request.
func (c *Client) roundTrip(req *http.Request, addr string, match func(*http.Response) (*Answer, error)) (*Answer, error) {
	conn, err := c.acquire(addr)
	if err != nil {
		return nil, err
	}
	// The request counts as possibly sent as soon as it has a connection,
	// because later events do not show how much of it was transmitted.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := conn.transport.RoundTrip(req)
	if err != nil {
		c.discard(addr, conn)
		return nil, classify(req.Context(), err, sent.Load())
	}
	a, err := match(resp)
	resp.Body.Close()
	if err != nil {
		var e *Error
		if errors.As(err, &e) && e.Told {
			c.release(addr, conn)
			return nil, e
		}
		c.discard(addr, conn)
		if e == nil {
			return nil, classify(req.Context(), err, true)
		}
		return nil, e
	}
	c.release(addr, conn)
	return a, nil
}

// classify converts a transport error into an *Error.
func classify(ctx context.Context, err error, sent bool) *Error {
	e := &Error{Reason: route.ReasonReset, NotRun: !sent, Err: err}
	var ne net.Error
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		e.Reason = route.ReasonCancelled
	case ctx.Err() != nil:
		e.Reason = route.ReasonTimeout
	case !sent:
		e.Reason = route.ReasonConnect
	case errors.As(err, &ne) && ne.Timeout():
		e.Reason = route.ReasonTimeout
	}
	return e
}

// checkAnswer reads the answer and checks that it belongs to the attempt and is
// complete.
func (c *Client) checkAnswer(resp *http.Response, id, attempt string) (*Answer, error) {
	h := resp.Header
	if h.Get(HeaderAttempt) != attempt || h.Get(HeaderRequest) != id {
		return nil, &Error{Reason: route.ReasonMismatch}
	}
	want, err := strconv.ParseInt(h.Get(HeaderLength), 10, 64)
	if err != nil || want < 0 {
		return nil, &Error{Reason: route.ReasonTruncated, Err: err}
	}
	limit := c.MaxAnswerBytes
	if limit == 0 {
		limit = 8 << 20
	}
	if want > limit {
		return nil, &Error{Reason: route.ReasonSize}
	}
	body := make([]byte, want)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		if ctx := resp.Request.Context(); ctx.Err() != nil {
			return nil, classify(ctx, err, true)
		}
		return nil, &Error{Reason: route.ReasonTruncated, Err: err}
	}
	// The body must end here. Reading to its end also makes the connection
	// reusable.
	if n, err := resp.Body.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		return nil, &Error{Reason: route.ReasonTruncated, Err: err}
	}
	if h.Get(HeaderChecksum) != Checksum(body) {
		return nil, &Error{Reason: route.ReasonChecksum}
	}
	if h.Get(HeaderFate) == "notrun" && resp.StatusCode == http.StatusServiceUnavailable {
		return nil, &Error{Reason: refusalReason(h.Get(HeaderReason)), NotRun: true, Told: true, Notice: parseNotice(h)}
	}
	return &Answer{Status: resp.StatusCode, Body: body, Notice: parseNotice(h)}, nil
}

// refusalReason maps a server's reason to a known one; an unknown one counts as
// busy.
func refusalReason(text string) route.Reason {
	switch r := route.Reason(text); r {
	case route.ReasonLeaving, route.ReasonDeadline:
		return r
	default:
		return route.ReasonBusy
	}
}

// parseNotice reads the notice from the headers of an answer.
func parseNotice(h http.Header) Notice {
	n := Notice{Leaving: h.Get(HeaderLeaving) == "true"}
	if busy, err := strconv.Atoi(h.Get(HeaderLoad)); err == nil && busy >= 0 {
		n.Load, n.HasLoad = busy, true
	}
	return n
}

// Checksum returns the checksum of an answer's body as written in its header.
func Checksum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }
