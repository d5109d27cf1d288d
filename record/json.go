package record

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// bodyDecoders maps each kind to the decoder of its body.
var bodyDecoders = map[Kind]func(Record) (any, error){
	KindJoin:    bodyAs[Join],
	KindLeave:   bodyAs[Leave],
	KindEvict:   bodyAs[Evict],
	KindPublish: bodyAs[Publish],
	KindSubmit:  bodyAs[Submit],
	KindCancel:  bodyAs[Cancel],
	KindPlace:   bodyAs[Place],
	KindStart:   bodyAs[Start],
	KindAbort:   bodyAs[Abort],
	KindPreempt: bodyAs[Preempt],
	KindReport:  bodyAs[Report],
	KindHealth:  bodyAs[Health],
	KindReserve: bodyAs[Reserve],
	KindClaim:   bodyAs[Claim],
	KindSettle:  bodyAs[Settle],
	KindChunk:   bodyAs[Chunk],
	KindFence:   bodyAs[Fence],
}

// bodyAs decodes a record's body into T and returns it as any.
func bodyAs[T any](r Record) (any, error) { return Body[T](r) }

// DecodeBody decodes a record's body into the struct of its kind. It returns nil
// if the kind is unknown or the body is empty, and fails with *CodecError.
func DecodeBody(r Record) (any, error) {
	f := bodyDecoders[r.Kind]
	if f == nil || len(r.Body) == 0 {
		return nil, nil
	}
	return f(r)
}

// JSON returns the batch as indented JSON with decoded bodies, for operators. A
// body that cannot be converted to JSON is shown in CBOR diagnostic notation. It
// fails with *CodecError.
func JSON(b *Batch) ([]byte, error) {
	type row struct {
		Kind Kind            `json:"kind"`
		ID   string          `json:"id,omitempty"`
		Body json.RawMessage `json:"body,omitempty"`
	}
	out := struct {
		Writer  string `json:"writer"`
		Seq     uint64 `json:"seq"`
		At      int64  `json:"at"`
		Snap    uint64 `json:"snap,omitempty"`
		Reader  uint16 `json:"reader,omitempty"`
		Records []row  `json:"records"`
	}{b.Writer, b.Seq, b.At, b.SnapshotEnd, b.MinVersion, []row{}}
	for _, r := range b.Records {
		body, err := bodyJSON(r)
		if err != nil {
			return nil, &CodecError{string(r.Kind), err}
		}
		out.Records = append(out.Records, row{r.Kind, r.ID, body})
	}
	data, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return nil, &CodecError{"batch", err}
	}
	return data, nil
}

// bodyJSON returns the body of a record as JSON, or nil if it is empty.
func bodyJSON(r Record) (json.RawMessage, error) {
	if len(r.Body) == 0 {
		return nil, nil
	}
	if body, err := DecodeBody(r); err == nil && body != nil {
		if p, ok := body.(Publish); ok && json.Valid(p.Body) {
			// Shows the configuration itself instead of its base64 encoding.
			return json.Marshal(struct {
				Publish
				Body json.RawMessage `json:"body"`
			}{p, p.Body})
		}
		if data, err := json.Marshal(body); err == nil {
			return data, nil
		}
	}
	text, err := cbor.Diagnose(r.Body)
	if err != nil {
		return nil, err
	}
	return json.Marshal(text)
}
