package admission

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// segmentBytes is the size of the pieces in which bodies above SmallBody are read.
const segmentBytes = 16 << 10

// firstPieceBytes is the size of the first piece, in which most jobs fit.
const firstPieceBytes = 4 << 10

const (
	// fewBytes and fewBytesPause bound the processor time for bodies that come in
	// many tiny pieces: after a read of few bytes, more are given time to arrive. A
	// body of the largest size is read at full rate, since then more are waiting.
	fewBytes      = 256
	fewBytesPause = 5 * time.Millisecond
)

// segments holds unused pieces of segmentBytes, so that uploads that are closed do
// not become garbage.
var segments = sync.Pool{New: func() any { return new([segmentBytes]byte) }}

// Body is a request body that has arrived. It counts against the budget until it
// is released.
type Body struct {
	*Upload
	Data []byte
}

// ReadBody reads the body of a request, which may have at most limit bytes and may
// take at most the given time to arrive. It returns *http.MaxBytesError if the body
// is larger, *RefusedError if it was refused or came too slowly, and the error of
// the connection otherwise.
func (b *Budget) ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) (*Body, error) {
	if b == nil {
		b = &Budget{}
	}
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	control := http.NewResponseController(w)
	// The deadline cannot be set in tests without a connection.
	_ = control.SetReadDeadline(time.Now().Add(min(timeout, MaxBodyTime)))
	u := b.Begin(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	if c := connOf(r.Context()); c != nil {
		c.setUpload(u)
		defer c.setUpload(nil)
	}
	data, err := u.read(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		err = u.Complete()
	}
	if err == nil {
		err = u.Hold(int64(len(data)))
	}
	if err != nil {
		u.Release()
		return nil, b.bodyError(u, err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return &Body{u, data}, nil
}

// bodyError returns the error of a body whose read failed.
func (b *Budget) bodyError(u *Upload, err error) error {
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		return err
	case u.closed: // does not change any more after Release
		return &RefusedError{UploadClosed}
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.report(UploadTimeout)
		return &RefusedError{UploadTimeout}
	}
	return err
}

// read reads the body piece by piece and charges each piece before it is
// allocated.
func (u *Upload) read(r io.Reader) ([]byte, error) {
	var pieces [][]byte
	defer func() {
		for _, p := range pieces {
			recycle(p)
		}
	}()
	total, held := 0, int64(0)
	for {
		size := segmentBytes
		switch len(pieces) {
		case 0:
			size = firstPieceBytes
		case 1:
			size = SmallBody - firstPieceBytes
		}
		held += int64(size)
		if err := u.Hold(held); err != nil {
			return nil, err
		}
		piece := newPiece(size)
		pieces = append(pieces, piece)
		for n := 0; n < size; {
			m, err := r.Read(piece[n:])
			n, total = n+m, total+m
			u.Received(m)
			if err == io.EOF {
				pieces[len(pieces)-1] = piece[:n]
				return join(pieces, total), nil
			}
			if err != nil {
				return nil, err
			}
			if m < fewBytes {
				time.Sleep(fewBytesPause)
			}
		}
	}
}

// newPiece returns a piece of the size.
func newPiece(size int) []byte {
	if size != segmentBytes {
		return make([]byte, size)
	}
	return segments.Get().(*[segmentBytes]byte)[:]
}

// recycle returns a piece of segmentBytes for reuse.
func recycle(p []byte) {
	if cap(p) == segmentBytes {
		segments.Put((*[segmentBytes]byte)(p[:segmentBytes]))
	}
}

// join returns the pieces as one body.
func join(pieces [][]byte, total int) []byte {
	if len(pieces) == 1 {
		return pieces[0]
	}
	data := make([]byte, 0, total)
	for _, p := range pieces {
		data = append(data, p...)
	}
	return data
}

// BodyTime returns how long the body of a request with the context may take to
// arrive: the caller's deadline, or DefaultBodyTime if it has none.
func BodyTime(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return DefaultBodyTime
}

// discardUnread returns a handler that bounds how long the server reads the rest of
// a body that next has not read to its end.
func discardUnread(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &trackedBody{ReadCloser: r.Body, ended: r.Body == http.NoBody}
		tracked := *r
		tracked.Body = body
		defer func() {
			if !body.ended {
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTime))
			}
		}()
		next.ServeHTTP(w, &tracked)
	})
}

// trackedBody records whether a body was read to its end.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}
