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

// logRow is one record of the log with the fold's decision.
type logRow struct {
	Offset uint64       `json:"offset"`
	At     int64        `json:"at,omitempty"`
	Writer string       `json:"writer,omitempty"`
	Kind   record.Kind  `json:"kind"`
	ID     string       `json:"id,omitempty"`
	Reason state.Reason `json:"reason,omitempty"` // empty when accepted or not decided
	Detail string       `json:"detail,omitempty"`
	Body   any          `json:"body,omitempty"`
}

func runLog(t *Tool, f *flags) error {
	link := f.String("platform", t.env("LANE_PLATFORM", "http://127.0.0.1:6000"), "base URL of the platform's log; LANE_PLATFORM")
	from := f.Uint64("from", 0, "first offset to show")
	limit := f.Int("limit", 100, "entries to show at most")
	kind := f.String("kind", "", "only records of this kind, for example publish")
	if err := f.parse(0); err != nil {
		return err
	}
	if *limit < 1 {
		return &UsageError{"-limit: want at least 1"}
	}
	a := &logAudit{log: &stream.Log{URL: *link}, from: *from, limit: *limit, kind: record.Kind(*kind)}
	if err := a.run(f.ctx); err != nil {
		return withExit(err, ExitUnreachable)
	}
	return t.show(f, a.rows, func(w io.Writer) {
		row(w, "OFFSET", "WRITER", "KIND", "ID", "DECISION", "DETAIL")
		for _, r := range a.rows {
			decision := string(r.Reason)
			if decision == "" {
				decision = a.accepted()
			}
			row(w, r.Offset, r.Writer, r.Kind, r.ID, decision, r.Detail)
		}
	})
}

// logAudit folds the log from its newest snapshot, or from its start, up to
// what is to be shown. Entries before that snapshot are shown without a
// decision.
type logAudit struct {
	log   *stream.Log
	from  uint64
	limit int
	kind  record.Kind

	state  *state.State
	chunks snapshot.Assembler
	rows   []logRow
}

func (a *logAudit) accepted() string {
	if a.state == nil {
		return "-"
	}
	return "accepted"
}

func (a *logAudit) run(ctx context.Context) error {
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
		page, err := a.read(ctx, next)
		if err != nil {
			return err
		}
		for _, e := range page.Entries {
			if e.Offset >= a.from+uint64(a.limit) {
				return nil
			}
			if err := a.entry(e); err != nil {
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

func (a *logAudit) read(ctx context.Context, from uint64) (stream.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return a.log.Read(ctx, from, 500, 0)
}

func (a *logAudit) entry(e stream.Entry) error {
	b, err := record.Decode(e.Data)
	if err != nil {
		if a.state != nil {
			if err := a.state.Skip(e.Offset); err != nil {
				return err
			}
		}
		a.add(logRow{Offset: e.Offset, Kind: "corrupt", Reason: state.ReasonCorrupt, Detail: err.Error()})
		return nil
	}
	var out []state.Decision
	if a.state != nil {
		if out, err = a.state.Apply(e.Offset, b); err != nil {
			return err
		}
	}
	for i, r := range b.Records {
		v := logRow{Offset: e.Offset, At: b.At, Writer: b.Writer, Kind: r.Kind, ID: r.ID}
		if out != nil {
			v.Reason, v.Detail = out[i].Reason, out[i].Detail
		}
		if r.Kind == record.KindChunk {
			v.Detail = a.chunk(e.Offset, r)
		} else if v.Body, err = record.DecodeBody(r); err != nil {
			v.Detail = err.Error()
		}
		a.add(v)
	}
	return nil
}

// chunk describes a part of a snapshot without its data.
func (a *logAudit) chunk(offset uint64, r record.Record) string {
	c, err := record.Body[record.Chunk](r)
	if err != nil {
		return err.Error()
	}
	text := fmt.Sprintf("%s part %d of %d, state at %d, %d bytes", c.Snapshot, c.Index+1, c.Count, c.Offset, len(c.Data))
	done, err := a.chunks.Verify(offset, c)
	var bad *snapshot.ChunkError
	switch {
	case errors.As(err, &bad):
		return text + ": " + err.Error()
	case done:
		return text + ", complete"
	}
	return text
}

func (a *logAudit) add(r logRow) {
	if r.Offset >= a.from && (a.kind == "" || a.kind == r.Kind) {
		a.rows = append(a.rows, r)
	}
}
