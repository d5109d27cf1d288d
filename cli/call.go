package cli

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"time"

	"jasminelane.example/lane/caller"
	"jasminelane.example/lane/client"
	"jasminelane.example/lane/record"
)

func runSubmit(t *Tool, f *flags) error {
	b := caller.JobBody{}
	f.StringVar(&b.Shape, "shape", "1x1@worker", "members, accelerators each and the unit that holds them all, for example 4x2@rack")
	f.StringVar(&b.Kind, "kind", "job", "kind of job; run times are learned for each kind")
	f.BoolVar(&b.Urgent, "urgent", false, "place it before others")
	f.BoolVar(&b.Once, "once", false, "not repeatable: start it at most once; the id then starts with its creation time, as in 1796361383123-9f2c")
	f.BoolVar(&b.Checkpoint, "checkpoint", false, "it can resume from a checkpoint")
	f.StringVar(&b.Input, "input", "", "passed on to the workers, at most 4096 bytes")
	expect := f.Duration("expect", 0, "expected run time, a guess")
	wait := f.Duration("wait", 0, "wait as long for its fate")
	if err := f.parse(1); err != nil {
		return err
	}
	b.Job, b.ExpectedMs = f.args[0], expect.Milliseconds()
	r, err := f.callers().Submit(f.ctx, b)
	if err != nil || r.Outcome != record.RequestDone || *wait == 0 {
		return t.reply(f, r, err)
	}
	return t.watch(f, b.Job, *wait)
}

func runWatch(t *Tool, f *flags) error {
	timeout := f.Duration("timeout", time.Hour, "how long to wait")
	if err := f.parse(1); err != nil {
		return err
	}
	return t.watch(f, f.args[0], *timeout)
}

// watch asks again in steps shorter than the API's longest deadline.
func (t *Tool) watch(f *flags, job string, timeout time.Duration) error {
	const step = 20 * time.Second
	end := time.Now().Add(timeout)
	for {
		left := time.Until(end)
		r, err := f.callers().Job(f.ctx, job, max(time.Millisecond, min(step, left)))
		switch {
		case err != nil:
			return exitFor(err, true)
		case r.Job == nil, r.Outcome != "":
			return t.reply(f, r, nil)
		case left <= 0:
			if err := t.showReply(f, r); err != nil {
				return err
			}
			return withExit(&WaitError{job, timeout}, ExitUnknown)
		}
	}
}

// WaitError reports a job that had no fate within the time.
type WaitError struct {
	Job  string
	Time time.Duration
}

// Error names the job and the time.
func (e *WaitError) Error() string { return fmt.Sprintf("job %s has no fate after %s", e.Job, e.Time) }

func runCancel(t *Tool, f *flags) error {
	if err := f.parse(1); err != nil {
		return err
	}
	r, err := f.callers().Cancel(f.ctx, f.args[0])
	return t.reply(f, r, err)
}

func runRequest(t *Tool, f *flags) error {
	q := client.ServiceRequest{}
	f.StringVar(&q.ID, "id", "", "request id; of a non-repeatable request it starts with its creation time in Unix milliseconds and a dash; default a new one")
	f.StringVar(&q.Class, "class", "normal", "urgent, normal or bulk")
	f.BoolVar(&q.Once, "once", false, "not repeatable: run it at most once")
	f.DurationVar(&q.Deadline, "deadline", 10*time.Second, "nothing is started after it")
	if err := f.parse(2); err != nil {
		return err
	}
	q.Service, q.Body = f.args[0], []byte(f.args[1])
	if f.args[1] == "-" {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return err
		}
		q.Body = data
	}
	if q.ID == "" {
		q.ID = client.NewID(time.Now())
		// Printed first: after a lost answer the same id finds the true fate.
		fmt.Fprintf(t.Err, "request id %s\n", q.ID)
	}
	r, err := f.callers().Request(f.ctx, q)
	return t.reply(f, r, err)
}

// FateError reports a request or job whose fate is not done.
type FateError struct {
	Fate   record.RequestOutcome
	Reason string
	Detail string
}

// Error describes the fate and its reason.
func (e *FateError) Error() string { return string(e.Fate) + ": " + e.Reason + ": " + e.Detail }

// reply prints the answer and turns its fate into the exit code.
func (t *Tool) reply(f *flags, r caller.Reply, err error) error {
	if err != nil {
		return exitFor(err, false)
	}
	if err := t.showReply(f, r); err != nil {
		return err
	}
	switch r.Outcome {
	case record.RequestNotRun:
		return withExit(&FateError{r.Outcome, r.Reason, r.Detail}, ExitRefused)
	case record.RequestUnknown:
		return withExit(&FateError{r.Outcome, r.Reason, r.Detail}, ExitUnknown)
	}
	return nil
}

func (t *Tool) showReply(f *flags, r caller.Reply) error {
	return t.show(f, r, func(w io.Writer) {
		if r.Job == nil {
			row(w, "request", r.Request)
			row(w, "fate", r.Outcome)
		} else {
			// The reply's fate is that of the call, which for a submission says
			// nothing about the job yet.
			row(w, "job", r.Request)
			row(w, "fate", cmp.Or(string(r.Job.Outcome), "not yet"))
		}
		if r.Reason != "" {
			row(w, "reason", r.Reason, r.Detail)
		}
		if r.Job != nil {
			row(w, "phase", r.Job.Phase)
			row(w, "cause", r.Job.Cause)
			row(w, "progress", r.Job.Progress)
		}
		if len(r.Body) > 0 {
			row(w, "body", string(r.Body))
		}
	})
}
