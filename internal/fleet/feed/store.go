package feed

import "fmt"

// Batch is one append: all of its records are stored in order, or none.
type Batch struct {
	Records     [][]byte
	ExpectedEnd *uint64 // if set, stored only when the log ends at this offset
	Epoch       uint64  // if not 0, refused once a higher epoch has appended
	Seq         uint64  // number of the append in its epoch; a repeat has no effect
}

// Page is the answer to one read.
type Page struct {
	From    uint64   // offset of the first record
	Records [][]byte // with consecutive offsets
	First   uint64   // offset of the oldest retained record
	End     uint64   // offset of the next append
}

// RefusedError reports an append that certainly had no effect.
type RefusedError struct {
	Err error
}

// Error describes the cause.
func (e *RefusedError) Error() string { return fmt.Sprintf("append refused: %v", e.Err) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// UncertainError reports an append that may have taken effect, or still may.
type UncertainError struct {
	Err error
}

// Error describes the cause.
func (e *UncertainError) Error() string { return fmt.Sprintf("append without answer: %v", e.Err) }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// FencedError reports an append of an epoch that has ended.
type FencedError struct {
	Epoch  uint64
	Detail string // the log's answer
}

// Error names the epoch.
func (e *FencedError) Error() string {
	return fmt.Sprintf("append of epoch %d fenced: %s", e.Epoch, e.Detail)
}

// EndMismatchError reports a conditional append to a log that ends elsewhere.
type EndMismatchError struct {
	End uint64
}

// Error describes the end.
func (e *EndMismatchError) Error() string { return fmt.Sprintf("log ends at %d", e.End) }

// ExpiredError reports a read of records that are no longer retained.
type ExpiredError struct {
	First uint64 // offset of the oldest retained record
}

// Error describes the oldest retained offset.
func (e *ExpiredError) Error() string { return fmt.Sprintf("records before %d have expired", e.First) }

// ReadError reports a read that brought nothing.
type ReadError struct {
	Err error
}

// Error describes the cause.
func (e *ReadError) Error() string { return fmt.Sprintf("read: %v", e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }
