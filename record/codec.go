package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// newEncMode returns the deterministic encoding of CBOR.
func newEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// newDecMode returns a decoder that limits the size and depth of its input.
func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// CodecError reports a batch or body that cannot be encoded or decoded.
type CodecError struct {
	What string // "batch", or the kind of the record
	Err  error
}

// Error names the batch or kind and the codec's error.
func (e *CodecError) Error() string { return fmt.Sprintf("decode %s: %v", e.What, e.Err) }

// Unwrap returns the codec's error.
func (e *CodecError) Unwrap() error { return e.Err }

// SizeError reports a batch that exceeds MaxBatchBytes or MaxBatchRecords.
type SizeError struct {
	Bytes   int
	Records int
}

// Error names the size and the limits.
func (e *SizeError) Error() string {
	return fmt.Sprintf("batch of %d bytes and %d records; at most %d and %d", e.Bytes, e.Records, MaxBatchBytes, MaxBatchRecords)
}

// New returns a record of the kind with the encoded body; it fails with
// *CodecError.
func New[T any](kind Kind, id string, body T) (Record, error) {
	data, err := encMode.Marshal(body)
	if err != nil {
		return Record{}, &CodecError{string(kind), err}
	}
	return Record{Kind: kind, ID: id, Body: data}, nil
}

// Body decodes a record's body into T; it fails with *CodecError.
func Body[T any](r Record) (T, error) {
	var body T
	if err := decMode.Unmarshal(r.Body, &body); err != nil {
		return body, &CodecError{string(r.Kind), err}
	}
	return body, nil
}

// Encode returns the batch in CBOR; it fails with *SizeError if the batch exceeds
// the limits, or with *CodecError.
func Encode(b *Batch) ([]byte, error) {
	data, err := encMode.Marshal(b)
	if err != nil {
		return nil, &CodecError{"batch", err}
	}
	if len(data) > MaxBatchBytes || len(b.Records) > MaxBatchRecords {
		return nil, &SizeError{len(data), len(b.Records)}
	}
	return data, nil
}

// Decode decodes a batch from CBOR; it fails with *SizeError or *CodecError.
func Decode(data []byte) (*Batch, error) {
	if len(data) > MaxBatchBytes {
		return nil, &SizeError{Bytes: len(data)}
	}
	var b Batch
	if err := decMode.Unmarshal(data, &b); err != nil {
		return nil, &CodecError{"batch", err}
	}
	if len(b.Records) > MaxBatchRecords {
		return nil, &SizeError{len(data), len(b.Records)}
	}
	for _, r := range b.Records {
		if err := checkBody(r.Body); err != nil {
			return nil, &CodecError{string(r.Kind), err}
		}
	}
	return &b, nil
}

// checkBody reports an error for a body that the decoder passes on unread and the
// encoder refuses, such as a tag of a large number on anything but bytes.
func checkBody(body cbor.RawMessage) error {
	_, err := encMode.Marshal(body)
	return err
}

// Marshal encodes any value in the deterministic CBOR encoding of the log.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes data that Marshal has encoded.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }
