package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"

	"jasminelane.example/lane/shape"
)

// Limits of a trace file, which bound the memory and time of a replay.
const (
	MaxLineBytes = 64 << 10
	MaxLines     = 50_000
	MaxTimeMs    = 48 * 60 * 60 * 1000
)

// LineError reports an invalid line of a trace.
type LineError struct {
	Line   int    // counted from 1
	Field  string // empty if the error is not in a single field
	Reason string
	Err    error // error of the JSON decoder or of the file; may be nil
}

// Error returns the line, the field and the reason.
func (e *LineError) Error() string {
	field := ""
	if e.Field != "" {
		field = ", field " + e.Field
	}
	return fmt.Sprintf("trace line %d%s: %s", e.Line, field, e.Reason)
}

// Unwrap returns the error of the decoder or of the file, or nil.
func (e *LineError) Unwrap() error { return e.Err }

// FileError reports a trace file that cannot be read.
type FileError struct {
	Path string
	Err  error
}

// Error returns the path and the cause.
func (e *FileError) Error() string { return "trace " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// ReadFile reads a trace from a file. It fails with *FileError.
func ReadFile(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &FileError{path, err}
	}
	defer f.Close()
	t, err := Read(f)
	if err != nil {
		return nil, &FileError{path, err}
	}
	return t, nil
}

// Read reads a trace in JSON Lines format. It fails with *LineError at the first
// invalid line.
func Read(r io.Reader) (*Trace, error) {
	p := &parser{trace: &Trace{}, definedAt: map[string]int{}}
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	for sc.Scan() {
		p.line++
		if p.line > MaxLines {
			return nil, p.fail("", fmt.Sprintf("more than %d lines", MaxLines))
		}
		if err := p.parse(sc.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := sc.Err(); err != nil {
		return nil, &LineError{Line: p.line + 1, Reason: err.Error(), Err: err}
	}
	if p.line == 0 {
		return nil, p.fail("", "no lines")
	}
	return p.trace, p.checkComplete()
}

// Write writes the trace in the format that Read reads: the head, racks,
// accounts and services, then the lines that have a time sorted by it, then the
// expectations.
func Write(w io.Writer, t *Trace) error {
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	var err error
	put := func(v any) {
		if err == nil {
			err = enc.Encode(v)
		}
	}
	put(t.Head)
	putAll(put, t.Racks)
	putAll(put, t.Accounts)
	putAll(put, t.Services)
	for _, v := range t.timedLines() {
		put(v.line)
	}
	putAll(put, t.Expects)
	if err != nil {
		return err
	}
	return out.Flush()
}

// putAll calls put for each element of the list.
func putAll[T any](put func(any), list []T) {
	for _, v := range list {
		put(v)
	}
}

// parser holds the trace read so far and what the validation of later lines
// needs from it.
type parser struct {
	trace     *Trace
	line      int
	definedAt map[string]int // family and name, for example "job/p1", to the line that defines it
	lastTime  int64          // time of the last line that has one
}

// fail returns an error at the current line.
func (p *parser) fail(field, reason string) *LineError {
	return &LineError{Line: p.line, Field: field, Reason: reason}
}

// parse decodes and validates one line.
func (p *parser) parse(data []byte) error {
	var probe struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(data, &probe); err != nil {
		return &LineError{Line: p.line, Reason: err.Error(), Err: err}
	}
	if (p.line == 1) != (probe.Kind == "trace") {
		return p.fail("kind", "the first line, and no other, is of kind trace")
	}
	switch probe.Kind {
	case "trace":
		return decode(p, data, p.head)
	case "rack":
		return decode(p, data, p.rack)
	case "account":
		return decode(p, data, p.account)
	case "service":
		return decode(p, data, p.service)
	case "job":
		return decode(p, data, p.job)
	case "request":
		return decode(p, data, p.request)
	case "cancel":
		return decode(p, data, p.cancel)
	case "fault":
		return decode(p, data, p.fault)
	case "expect":
		return decode(p, data, p.expect)
	default:
		return p.fail("kind", "unknown kind "+strconv.Quote(probe.Kind))
	}
}

// decode decodes a line strictly, without unknown fields, and passes it to
// check.
func decode[T any](p *parser, data []byte, check func(T) *LineError) error {
	var v T
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return &LineError{Line: p.line, Field: te.Field, Reason: "not a " + te.Type.String(), Err: err}
		}
		return &LineError{Line: p.line, Reason: err.Error(), Err: err}
	}
	if err := check(v); err != nil {
		return err
	}
	return nil
}

// define adds a name of the family and reports whether it is valid: not empty,
// not too long and not defined before.
func (p *parser) define(family, name string) bool {
	key := family + "/" + name
	if name == "" || len(name) > 100 || p.definedAt[key] > 0 {
		return false
	}
	p.definedAt[key] = p.line
	return true
}

// known reports whether an earlier line defines the name.
func (p *parser) known(family, name string) bool { return p.definedAt[family+"/"+name] > 0 }

// checkTime validates the time of a line, which must not be before that of an
// earlier line or after the end of the trace.
func (p *parser) checkTime(at int64) *LineError {
	if at < p.lastTime || at > p.trace.Head.Length {
		return p.fail("at", fmt.Sprintf("not in %d to %d", p.lastTime, p.trace.Head.Length))
	}
	p.lastTime = at
	return nil
}

// head validates the first line.
func (p *parser) head(h Head) *LineError {
	switch {
	case h.Name == "":
		return p.fail("name", "empty")
	case h.Length < 1 || h.Length > MaxTimeMs:
		return p.fail("length", fmt.Sprintf("not in 1 to %d", MaxTimeMs))
	case h.Instances < 1 || h.Instances > 100:
		return p.fail("instances", "not in 1 to 100")
	case h.Weight < 0 || h.Weight > 1:
		return p.fail("weight", "not in 0 to 1")
	}
	p.trace.Head = h
	return nil
}

// rack validates a rack and adds it to the trace.
func (p *parser) rack(r Rack) *LineError {
	switch {
	case !p.define("rack", r.Name):
		return p.fail("name", "empty, too long or used twice")
	case r.Domain == "":
		return p.fail("domain", "empty")
	case r.Workers < 1 || r.Workers > 256:
		return p.fail("workers", "not in 1 to 256")
	case r.GPUs < 1 || r.GPUs > shape.MaxGPUs:
		return p.fail("gpus", fmt.Sprintf("not in 1 to %d", shape.MaxGPUs))
	case r.Cores < 0 || r.Memory < 0:
		return p.fail("cores", "cores or memory negative")
	}
	for i := range r.Workers {
		if !p.define("worker", r.worker(i)) {
			return p.fail("name", "worker name used twice")
		}
	}
	p.definedAt["domain/"+r.Domain] = p.line
	p.trace.Racks = append(p.trace.Racks, r)
	return nil
}

// account validates an account and adds it to the trace.
func (p *parser) account(a Account) *LineError {
	if !p.define("account", a.Name) {
		return p.fail("name", "empty, too long or used twice")
	}
	if a.Weight < 0 || a.Quota < 0 {
		return p.fail("weight", "weight or quota negative")
	}
	for i, g := range a.Guarantees {
		field := fmt.Sprintf("guarantees[%d]", i)
		if _, err := shape.Parse(g.Shape); err != nil {
			return p.fail(field+".shape", err.Error())
		}
		if g.Count < 1 || g.Count > 1000 {
			return p.fail(field+".count", "not in 1 to 1000")
		}
	}
	p.trace.Accounts = append(p.trace.Accounts, a)
	return nil
}

// service validates a service and adds it to the trace.
func (p *parser) service(s Service) *LineError {
	switch {
	case !p.define("service", s.Name):
		return p.fail("name", "empty, too long or used twice")
	case s.Servers < 1 || s.Servers > 1000:
		return p.fail("servers", "not in 1 to 1000")
	case s.Slots < 1 || s.Slots > 1000 || s.Connections < 1 || s.Connections > 10_000:
		return p.fail("slots", "slots not in 1 to 1000 or connections not in 1 to 10000")
	}
	p.trace.Services = append(p.trace.Services, s)
	return nil
}

// worker returns the name of the rack's i-th worker.
func (r Rack) worker(i int) string { return r.Name + "-w" + strconv.Itoa(i) }
