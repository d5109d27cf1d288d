package trace

import (
	"cmp"
	"slices"

	"jasminelane.example/lane/shape"
)

// job validates a job and adds it to the trace.
func (p *parser) job(j Job) *LineError {
	if err := p.checkTime(j.At); err != nil {
		return err
	}
	sh, err := shape.Parse(j.Shape)
	switch {
	case err != nil:
		return p.fail("shape", err.Error())
	case !p.define("job", j.ID):
		return p.fail("id", "empty, too long or used twice")
	case !p.known("account", j.Account):
		return p.fail("account", "not defined before")
	case j.Type == "":
		return p.fail("type", "empty")
	case j.Run < 1 || j.Run > MaxTimeMs:
		return p.fail("run", "not in 1 to 48 hours")
	case j.Declared < 0:
		return p.fail("declared", "negative")
	case j.Outcome != "done" && j.Outcome != "failed":
		return p.fail("outcome", "none of done, failed")
	}
	j.parsed = sh
	p.trace.Jobs = append(p.trace.Jobs, j)
	return nil
}

// request validates a request and adds it to the trace.
func (p *parser) request(r Request) *LineError {
	if err := p.checkTime(r.At); err != nil {
		return err
	}
	switch {
	case !p.define("request", r.ID):
		return p.fail("id", "empty, too long or used twice")
	case !p.known("account", r.Account):
		return p.fail("account", "not defined before")
	case !p.known("service", r.Service):
		return p.fail("service", "not defined before")
	case r.Type == "":
		return p.fail("type", "empty")
	case r.Class != "urgent" && r.Class != "normal" && r.Class != "bulk":
		return p.fail("class", "none of urgent, normal, bulk")
	case r.Run < 1 || r.Run > MaxTimeMs:
		return p.fail("run", "not in 1 to 48 hours")
	case r.Deadline < 0 || r.Resend < 0:
		return p.fail("deadline", "deadline or resend negative")
	case r.Count < 0 || r.Count > 10_000 || r.Gap < 0 || r.Gap > 60_000:
		return p.fail("count", "count not in 0 to 10000 or gap not in 0 to 60000")
	}
	p.trace.Requests = append(p.trace.Requests, r)
	return nil
}

// cancel validates a cancellation and adds it to the trace.
func (p *parser) cancel(c Cancel) *LineError {
	if err := p.checkTime(c.At); err != nil {
		return err
	}
	if !p.known("job", c.Job) {
		return p.fail("job", "not submitted before")
	}
	p.trace.Cancels = append(p.trace.Cancels, c)
	return nil
}

// fault validates a fault and adds it to the trace.
func (p *parser) fault(f Fault) *LineError {
	if err := p.checkTime(f.At); err != nil {
		return err
	}
	if f.Until <= f.At || f.Until > MaxTimeMs {
		return p.fail("until", "not after at")
	}
	known := true
	switch f.Type {
	case FaultWorker, FaultFailing:
		known = p.known("worker", f.Target)
	case FaultRack:
		known = p.known("rack", f.Target)
	case FaultDomain:
		known = p.known("domain", f.Target)
	case FaultLog, FaultRestart:
	default:
		return p.fail("type", "none of worker, rack, domain, failing, log, restart")
	}
	if !known {
		return p.fail("target", "not defined before")
	}
	p.trace.Faults = append(p.trace.Faults, f)
	return nil
}

// expect validates an expectation and adds it to the trace.
func (p *parser) expect(e Expect) *LineError {
	switch {
	case (e.Measure == "") == (e.Job == ""):
		return p.fail("measure", "want either measure or job")
	case e.Measure != "" && e.Least == nil && e.Most == nil:
		return p.fail("most", "want least, most or both")
	case e.Job != "" && !p.known("job", e.Job):
		return p.fail("job", "not submitted before")
	case e.Job != "" && !slices.Contains([]string{"done", "failed", "cancelled", "refused"}, e.End):
		return p.fail("end", "none of done, failed, cancelled, refused")
	}
	p.trace.Expects = append(p.trace.Expects, e)
	return nil
}

// checkComplete fails for a trace that would measure nothing because it has no
// rack, account or expectation.
func (p *parser) checkComplete() error {
	switch {
	case len(p.trace.Racks) == 0:
		return p.fail("", "no rack")
	case len(p.trace.Accounts) == 0:
		return p.fail("", "no account")
	case len(p.trace.Expects) == 0:
		return p.fail("", "no expectation")
	}
	return nil
}

// timedLine is a trace line that has a time.
type timedLine struct {
	at   int64
	line any
}

// timedLines returns all lines that have a time, sorted by time. Lines of the
// same time are in the order jobs, requests, cancellations, faults.
func (t *Trace) timedLines() []timedLine {
	var out []timedLine
	for _, v := range t.Jobs {
		out = append(out, timedLine{v.At, v})
	}
	for _, v := range t.Requests {
		out = append(out, timedLine{v.At, v})
	}
	for _, v := range t.Cancels {
		out = append(out, timedLine{v.At, v})
	}
	for _, v := range t.Faults {
		out = append(out, timedLine{v.At, v})
	}
	slices.SortStableFunc(out, func(a, b timedLine) int { return cmp.Compare(a.at, b.at) })
	return out
}

// largestGuarantee returns the guaranteed shape with the most accelerators, for
// which fragmentation is measured.
func (t *Trace) largestGuarantee() shape.Shape {
	var out shape.Shape
	for _, a := range t.Accounts {
		for _, g := range a.Guarantees {
			if sh, err := shape.Parse(g.Shape); err == nil && sh.TotalGPUs() > out.TotalGPUs() {
				out = sh
			}
		}
	}
	return out
}
