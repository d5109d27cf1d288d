package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/snapshot"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
)

const logTimeout = 10 * time.Second // for one read of the log

// logRow describes one record of the log and the decision that the replicated
// state made when it applied it.
type logRow struct {
	Offset uint64       `json:"offset"`
	At     int64        `json:"at,omitempty"`
	Writer string       `json:"writer,omitempty"`
	Kind   record.Kind  `json:"kind"`
	ID     string       `json:"id,omitempty"`
	Reason state.Reason `json:"reason,omitempty"` // empty if the record was accepted or the decision is not known
	Detail string       `json:"detail,omitempty"`
	Body   any          `json:"body,omitempty"`
}

func runLog(t *Tool, f *flags) error {
	platform := f.String("platform", t.env("LANE_PLATFORM", "http://127.0.0.1:6000"), "base URL of the platform's log; LANE_PLATFORM")
	from := f.Uint64("from", 0, "first offset to show")
	limit := f.Int("limit", 100, "entries to show at most")
	kind := f.String("kind", "", "only records of this kind, for example publish")
	if err := f.parse(0); err != nil {
		return err
	}
	if *limit < 1 {
		return &UsageError{"-limit: want at least 1"}
	}
	a := &logReader{log: &stream.Log{URL: *platform}, from: *from, limit: *limit, kind: record.Kind(*kind)}
	if err := a.run(f.ctx); err != nil {
		return withExit(err, ExitUnreachable)
	}
	return t.show(f, a.rows, func(w io.Writer) {
		row(w, "OFFSET", "WRITER", "KIND", "ID", "DECISION", "DETAIL")
		for _, r := range a.rows {
			decision := string(r.Reason)
			if decision == "" {
				decision = a.acceptedText()
			}
			row(w, r.Offset, r.Writer, r.Kind, r.ID, decision, r.Detail)
		}
	})
}

// logReader reads the log and collects the rows to show. To know the decisions it
// applies the entries to a replicated state: from the start of the log if nothing
// has expired, otherwise from the newest snapshot if that is not beyond the first
// entry to show. Without such a snapshot the rows have no decisions.
type logReader struct {
	log   *stream.Log
	from  uint64
	limit int
	kind  record.Kind

	state  *state.State
	chunks snapshot.Assembler
	rows   []logRow
}

// acceptedText returns the decision column of a record that was not refused; it
// is "-" when the decisions are not known.
func (a *logReader) acceptedText() string {
	if a.state == nil {
		return "-"
	}
	return "accepted"
}

// run reads the log up to its end, or up to the limit of entries.
func (a *logReader) run(ctx context.Context) error {
	first, end, err := a.log.Bounds(ctx)
	if err != nil {
		return err
	}
	next := max(first, a.from)
	switch first {
	case 0:
		a.state, next = &state.State{}, 0
	default:
		s, err := snapshot.Latest(ctx, a.log)
		if err != nil {
			return err
		}
		if s != nil && s.Offset >= first && s.Offset <= next {
			a.state, next = s, s.Offset
		}
	}
	for next < end && next < a.from+uint64(a.limit) {
		page, err := a.readPage(ctx, next)
		if err != nil {
			return err
		}
		for _, e := range page.Entries {
			if e.Offset >= a.from+uint64(a.limit) {
				return nil
			}
			if err := a.addEntry(e); err != nil {
				return err
			}
			next = e.Offset + 1
		}
		if len(page.Entries) == 0 {
			return nil
		}
	}
	return nil
}

func (a *logReader) readPage(ctx context.Context, from uint64) (stream.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return a.log.Read(ctx, from, 500, 0)
}

// addEntry applies an entry to the state, if there is one, and adds a row for each
// of its records. An entry that cannot be decoded is a row of kind "corrupt".
func (a *logReader) addEntry(e stream.Entry) error {
	b, err := record.Decode(e.Data)
	if err != nil {
		if a.state != nil {
			if err := a.state.Skip(e.Offset); err != nil {
				return err
			}
		}
		a.addRow(logRow{Offset: e.Offset, Kind: "corrupt", Reason: state.ReasonCorrupt, Detail: err.Error()})
		return nil
	}
	var decisions []state.Decision
	if a.state != nil {
		if decisions, err = a.state.Apply(e.Offset, b); err != nil {
			return err
		}
	}
	for i, r := range b.Records {
		v := logRow{Offset: e.Offset, At: b.At, Writer: b.Writer, Kind: r.Kind, ID: r.ID}
		if decisions != nil {
			v.Reason, v.Detail = decisions[i].Reason, decisions[i].Detail
		}
		if r.Kind == record.KindChunk {
			v.Detail = a.describeChunk(e.Offset, r)
		} else if v.Body, err = record.DecodeBody(r); err != nil {
			v.Detail = err.Error()
		}
		a.addRow(v)
	}
	return nil
}

// describeChunk describes a chunk of a snapshot without its data, and says whether
// it is invalid or completes the snapshot.
func (a *logReader) describeChunk(offset uint64, r record.Record) string {
	c, err := record.Body[record.Chunk](r)
	if err != nil {
		return err.Error()
	}
	text := fmt.Sprintf("%s part %d of %d, state at %d, %d bytes", c.Snapshot, c.Index+1, c.Count, c.Offset, len(c.Data))
	complete, err := a.chunks.Verify(offset, c)
	var invalid *snapshot.ChunkError
	switch {
	case errors.As(err, &invalid):
		return text + ": " + err.Error()
	case complete:
		return text + ", complete"
	}
	return text
}

// addRow adds the row if its offset and kind are to be shown.
func (a *logReader) addRow(r logRow) {
	if r.Offset >= a.from && (a.kind == "" || a.kind == r.Kind) {
		a.rows = append(a.rows, r)
	}
}
