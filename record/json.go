package record

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// bodies decodes the body of each kind.
var bodies = map[Kind]func(Record) (any, error){
	KindJoin:    typed[Join],
	KindLeave:   typed[Leave],
	KindEvict:   typed[Evict],
	KindPublish: typed[Publish],
	KindSubmit:  typed[Submit],
	KindCancel:  typed[Cancel],
	KindPlace:   typed[Place],
	KindStart:   typed[Start],
	KindAbort:   typed[Abort],
	KindPreempt: typed[Preempt],
	KindReport:  typed[Report],
	KindHealth:  typed[Health],
	KindReserve: typed[Reserve],
	KindClaim:   typed[Claim],
	KindSettle:  typed[Settle],
	KindChunk:   typed[Chunk],
	KindFence:   typed[Fence],
}

func typed[T any](r Record) (any, error) { return Body[T](r) }

// Typed decodes a record's body to the struct of its kind, or to nil if the
// kind is unknown or the body empty; it fails with *DecodeError.
func DecodeBody(r Record) (any, error) {
	f := bodies[r.Kind]
	if f == nil || len(r.Body) == 0 {
		return nil, nil
	}
	return f(r)
}

// JSON returns the batch as indented JSON with its bodies decoded, for
// operators; a body that has no JSON form is shown as CBOR diagnostic text.
// It fails with *DecodeError.
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

func bodyJSON(r Record) (json.RawMessage, error) {
	if len(r.Body) == 0 {
		return nil, nil
	}
	if body, err := DecodeBody(r); err == nil && body != nil {
		if p, ok := body.(Publish); ok && json.Valid(p.Body) {
			// The configuration itself, not its base64 form.
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
