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

// MaxPageBytes is the size limit of the response to one read.
const MaxPageBytes = 32 << 20

// Log is a client of the platform's append-only log. It is safe for
// concurrent use.
type Log struct {
	URL    string       // for example http://127.0.0.1:7400
	Client *http.Client // http.DefaultClient if nil; the contexts of the calls set the deadlines
}

// Page is the result of one read.
type Page struct {
	Entries []Entry `cbor:"entries"` // with consecutive offsets that start at the requested one
	First   uint64  `cbor:"first"`   // offset of the oldest retained entry
	End     uint64  `cbor:"end"`     // offset of the next append
}

// Entry is one entry of the log.
type Entry struct {
	Offset uint64 `cbor:"offset"`
	Data   []byte `cbor:"data"`
}

// Append appends one entry and returns its offset. It fails with
// *UnavailableError or *RejectedError if the entry was certainly not appended, and
// with *LostResponseError if it may have been appended or may still be.
func (l *Log) Append(ctx context.Context, data []byte) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, &UnavailableError{"append", err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.URL+"/log", bytes.NewReader(data))
	if err != nil {
		return 0, &UnavailableError{"append", err}
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := clientOrDefault(l.Client).Do(req)
	if err != nil {
		// Only a failed dial proves that nothing was sent. With any later
		// error the append may have taken effect.
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return 0, &UnavailableError{"append", err}
		}
		return 0, &LostResponseError{err}
	}
	defer drainAndClose(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return 0, &UnavailableError{"append", &StatusError{resp.StatusCode}}
	case http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return 0, &RejectedError{resp.StatusCode}
	default:
		return 0, &LostResponseError{&StatusError{resp.StatusCode}}
	}
	var result struct {
		Offset *uint64 `json:"offset"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 4096)).Decode(&result); err != nil {
		return 0, &LostResponseError{&ResponseError{"offset", err}}
	}
	if result.Offset == nil {
		return 0, &LostResponseError{&ResponseError{"offset is missing", nil}}
	}
	return *result.Offset, nil
}

// Read returns at most limit entries, starting at the offset from. If there are
// none yet, it waits for the first one for at most the duration wait, and then
// returns an empty page. It fails with *UnavailableError or *ExpiredError.
func (l *Log) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Page, error) {
	url := fmt.Sprintf("%s/log?from=%d&limit=%d&wait=%d", l.URL, from, limit, wait.Milliseconds())
	resp, err := get(ctx, l.Client, url)
	if err != nil {
		return Page{}, &UnavailableError{"read", err}
	}
	defer drainAndClose(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		var gone struct {
			First uint64 `json:"first"`
		}
		if err := json.NewDecoder(io.LimitReader(resp.Body, 4096)).Decode(&gone); err != nil {
			return Page{}, &UnavailableError{"read", &ResponseError{"first", err}}
		}
		return Page{}, &ExpiredError{gone.First}
	default:
		return Page{}, &UnavailableError{"read", &StatusError{resp.StatusCode}}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxPageBytes+1))
	if err != nil {
		return Page{}, &UnavailableError{"read", err}
	}
	if len(data) > MaxPageBytes {
		return Page{}, &UnavailableError{"read", &ResponseError{"page exceeds the size limit", nil}}
	}
	var p Page
	if err := record.Unmarshal(data, &p); err != nil {
		return Page{}, &UnavailableError{"read", &ResponseError{"page", err}}
	}
	for i, e := range p.Entries {
		// A gap would be applied as if the missing entries did not exist.
		if e.Offset != from+uint64(i) || e.Offset >= p.End {
			return Page{}, &UnavailableError{"read", &ResponseError{fmt.Sprintf("entry at offset %d where offset %d is expected", e.Offset, from+uint64(i)), nil}}
		}
	}
	return p, nil
}

// Bounds returns the offset of the oldest retained entry and the offset of the
// next append. It fails with *UnavailableError.
func (l *Log) Bounds(ctx context.Context) (first, end uint64, err error) {
	var offset uint64
	for {
		p, err := l.Read(ctx, offset, 1, 0)
		var expired *ExpiredError
		if errors.As(err, &expired) && expired.First > offset {
			offset = expired.First // this entry may also expire before the next read
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
	return clientOrDefault(c).Do(req)
}

func clientOrDefault(c *http.Client) *http.Client {
	if c == nil {
		return http.DefaultClient
	}
	return c
}

// drainAndClose reads the rest of a body, at most 64 KiB, so that the connection
// can be reused, and closes the body.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 64<<10)
	_ = body.Close()
}
