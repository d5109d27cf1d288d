package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
)

// maxMessageBytes bounds a gob message of a call. Calls are a few hundred bytes,
// but package gob reads messages of up to 1 GiB into memory.
const maxMessageBytes = 64 << 10

// MessageSizeError reports a message that is too large.
type MessageSizeError struct {
	Bytes uint64
}

// Error returns a message with the size.
func (e *MessageSizeError) Error() string {
	return fmt.Sprintf("message of %d bytes; at most %d are allowed", e.Bytes, maxMessageBytes)
}

// messageConn is a connection whose reads fail at the first message above
// maxMessageBytes.
type messageConn struct {
	net.Conn
	r    *bufio.Reader
	left int // unread bytes of the present message, with its length
}

func newMessageConn(c net.Conn) *messageConn { return &messageConn{Conn: c, r: bufio.NewReader(c)} }

// Read implements io.Reader.
func (c *messageConn) Read(p []byte) (int, error) {
	if c.left == 0 {
		if err := c.readLength(); err != nil {
			return 0, err
		}
	}
	n, err := c.r.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// readLength reads the length of the next message without consuming it. A gob
// message begins with its length: one byte below 128, or the negated number of
// bytes of the length and these bytes, the highest first.
func (c *messageConn) readLength() error {
	b, err := c.r.Peek(1)
	if err != nil {
		return err
	}
	prefix, size := 1, uint64(b[0])
	if b[0] >= 128 {
		prefix = 1 + 256 - int(b[0])
		if prefix > 9 {
			return &MessageSizeError{1 << 63}
		}
		if b, err = c.r.Peek(prefix); err != nil {
			return err
		}
		var length [8]byte
		copy(length[9-prefix:], b[1:])
		size = binary.BigEndian.Uint64(length[:])
	}
	if size > maxMessageBytes {
		return &MessageSizeError{size}
	}
	c.left = prefix + int(size)
	return nil
}
