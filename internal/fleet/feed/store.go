package feed

import (
	"fmt"
	"time"
)

// Batch is the content of one append. The log stores either all of its records,
// in order, or none.
type Batch struct {
	Records     [][]byte
	ExpectedEnd *uint64 // if set, the append is refused unless the log ends at this offset
	Epoch       uint64  // if not 0, the append is refused once one of a higher epoch was stored
	Seq         uint64  // sequence number of the append in its epoch; a repeated one is stored once
}

// Page is the result of one read of the log.
type Page struct {
	From    uint64   // offset of the first record
	Records [][]byte // records at consecutive offsets
	First   uint64   // offset of the oldest retained record
	End     uint64   // offset of the next append

	// Sent is when the call was sent that returned the page. It is later than the read
	// began if calls before it had no answer. It is zero if it is unknown.
	Sent time.Time
}

// size returns the size of the records in bytes.
func (p Page) size() int {
	n := 0
	for _, r := range p.Records {
		n += len(r)
	}
	return n
}

// RefusedError reports an append that was not stored and will not be.
type RefusedError struct {
	Err error
}

// Error returns a message that contains the cause.
func (e *RefusedError) Error() string { return fmt.Sprintf("append refused: %v", e.Err) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// UncertainError reports an append whose outcome is unknown. The log may have
// stored it, or may still store it.
type UncertainError struct {
	Err error
}

// Error returns a message that contains the cause.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("outcome of append unknown: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// RecordSizeError reports a record that is larger than the log accepts.
type RecordSizeError struct {
	Bytes, Limit int
}

// Error returns a message with both sizes.
func (e *RecordSizeError) Error() string {
	return fmt.Sprintf("record has %d bytes, the log accepts %d", e.Bytes, e.Limit)
}

// FencedError reports an append that the log refused because its epoch has
// ended.
type FencedError struct {
	Epoch  uint64
	Detail string // answer of the log
}

// Error returns a message with the epoch and the answer of the log.
func (e *FencedError) Error() string {
	return fmt.Sprintf("append refused, epoch %d has ended: %s", e.Epoch, e.Detail)
}

// EndMismatchError reports an append that the log refused because it does not end
// at the expected offset.
type EndMismatchError struct {
	End uint64
}

// Error returns a message with the end of the log.
func (e *EndMismatchError) Error() string {
	return fmt.Sprintf("append refused, log ends at offset %d", e.End)
}

// ExpiredError reports a read of records that are no longer retained.
type ExpiredError struct {
	First uint64 // offset of the oldest retained record
}

// Error returns a message with the oldest retained offset.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records before offset %d have expired", e.First)
}

// IncompleteError reports a state that lacks records, because they had expired
// before they could be read.
type IncompleteError struct {
	Before uint64 // offset before which records are missing
}

// Error returns a message with the offset.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("state is incomplete: records before offset %d expired before they were read", e.Before)
}

// ReadError reports a failed read of the log.
type ReadError struct {
	Err error
}

// Error returns a message that contains the cause.
func (e *ReadError) Error() string { return fmt.Sprintf("read log: %v", e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }
