package stream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"jasminelane.example/lane/record"
)

// MaxPageBytes bounds the answer to one read.
const MaxPageBytes = 32 << 20

// Log is a client of the platform's append-only log. It is safe for
// concurrent use.
type Log struct {
	URL    string       // for example http://127.0.0.1:7400
	Client *http.Client // http.DefaultClient if nil; deadlines come from contexts
}

// Page is the answer to one read.
type Page struct {
	Entries []Entry `cbor:"entries"` // with consecutive offsets from the requested one
	First   uint64  `cbor:"first"`   // offset of the oldest retained entry
	End     uint64  `cbor:"end"`     // offset of the next append
}

// Entry is one entry of the log.
type Entry struct {
	Offset uint64 `cbor:"offset"`
	Data   []byte `cbor:"data"`
}

// Append appends one entry and returns its offset. It fails with *DownError or
// *FullError when the entry was certainly not appended, and with *LostError
// when it may have been.
func (l *Log) Append(ctx context.Context, data []byte) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, &DownError{"append", err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.URL+"/log", bytes.NewReader(data))
	if err != nil {
		return 0, &DownError{"append", err}
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := client(l.Client).Do(req)
	if err != nil {
		// Only a failed dial proves that nothing was sent; after that any
		// error leaves the fate of the append open.
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return 0, &DownError{"append", err}
		}
		return 0, &LostError{err}
	}
	defer drain(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return 0, &DownError{"append", &StatusError{resp.StatusCode}}
	case http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return 0, &FullError{resp.StatusCode}
	default:
		return 0, &LostError{&StatusError{resp.StatusCode}}
	}
	var answer struct {
		Offset *uint64 `json:"offset"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 4096)).Decode(&answer); err != nil {
		return 0, &LostError{&AnswerError{"offset", err}}
	}
	if answer.Offset == nil {
		return 0, &LostError{&AnswerError{"no offset", nil}}
	}
	return *answer.Offset, nil
}

// Read returns at most limit entries from the offset on. If there are none it
// waits for the first one, at most for wait, and returns an empty page after
// that. It fails with *DownError or *ExpiredError.
func (l *Log) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Page, error) {
	url := fmt.Sprintf("%s/log?from=%d&limit=%d&wait=%d", l.URL, from, limit, wait.Milliseconds())
	resp, err := get(ctx, l.Client, url)
	if err != nil {
		return Page{}, &DownError{"read", err}
	}
	defer drain(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		var answer struct {
			First uint64 `json:"first"`
		}
		if err := json.NewDecoder(io.LimitReader(resp.Body, 4096)).Decode(&answer); err != nil {
			return Page{}, &DownError{"read", &AnswerError{"first", err}}
		}
		return Page{}, &ExpiredError{answer.First}
	default:
		return Page{}, &DownError{"read", &StatusError{resp.StatusCode}}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxPageBytes+1))
	if err != nil {
		return Page{}, &DownError{"read", err}
	}
	if len(data) > MaxPageBytes {
		return Page{}, &DownError{"read", &AnswerError{"page is too large", nil}}
	}
	var p Page
	if err := record.Unmarshal(data, &p); err != nil {
		return Page{}, &DownError{"read", &AnswerError{"page", err}}
	}
	for i, e := range p.Entries {
		// A gap would be folded as if the missing entries did not exist.
		if e.Offset != from+uint64(i) || e.Offset >= p.End {
			return Page{}, &DownError{"read", &AnswerError{fmt.Sprintf("entry %d where %d is next", e.Offset, from+uint64(i)), nil}}
		}
	}
	return p, nil
}

// Bounds returns the offset of the oldest retained entry and the offset of the
// next append; it fails with *DownError.
func (l *Log) Bounds(ctx context.Context) (first, end uint64, err error) {
	var from uint64
	for {
		p, err := l.Read(ctx, from, 1, 0)
		var expired *ExpiredError
		if errors.As(err, &expired) && expired.First > from {
			from = expired.First // may itself expire before the next read
			continue
		}
		if err != nil {
			return 0, 0, err
		}
		return p.First, p.End, nil
	}
}

func get(ctx context.Context, c *http.Client, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client(c).Do(req)
}

func client(c *http.Client) *http.Client {
	if c == nil {
		return http.DefaultClient
	}
	return c
}

// drain reads the rest of a small body so that the connection is reused.
func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 64<<10)
	_ = body.Close()
}
