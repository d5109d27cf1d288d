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
	r, err := f.callerClient().Submit(f.ctx, b)
	if err != nil || r.Outcome != record.RequestDone || *wait == 0 {
		return t.reportReply(f, r, err)
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

// watch waits until the job has ended or the timeout has passed. It polls with
// waits of at most 20 s, which is less than the longest deadline that the API
// accepts.
func (t *Tool) watch(f *flags, job string, timeout time.Duration) error {
	const maxWait = 20 * time.Second
	end := time.Now().Add(timeout)
	for {
		remaining := time.Until(end)
		r, err := f.callerClient().Job(f.ctx, job, max(time.Millisecond, min(maxWait, remaining)))
		switch {
		case err != nil:
			return withExitCodeFor(err, true)
		case r.Job == nil, r.Outcome != "":
			return t.reportReply(f, r, nil)
		case remaining <= 0:
			if err := t.showReply(f, r); err != nil {
				return err
			}
			return withExit(&WaitTimeoutError{job, timeout}, ExitUnknown)
		}
	}
}

// WaitTimeoutError reports a job that did not end within the timeout.
type WaitTimeoutError struct {
	Job     string
	Timeout time.Duration
}

// Error names the job and the timeout.
func (e *WaitTimeoutError) Error() string {
	return fmt.Sprintf("job %s has not ended after %s", e.Job, e.Timeout)
}

func runCancel(t *Tool, f *flags) error {
	if err := f.parse(1); err != nil {
		return err
	}
	r, err := f.callerClient().Cancel(f.ctx, f.args[0])
	return t.reportReply(f, r, err)
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
		// The id is printed before the call: after a lost response, sending the
		// request with the same id again returns its actual outcome.
		fmt.Fprintf(t.Err, "request id %s\n", q.ID)
	}
	r, err := f.callerClient().Request(f.ctx, q)
	return t.reportReply(f, r, err)
}

// OutcomeError reports a request or job whose outcome is not done.
type OutcomeError struct {
	Outcome record.RequestOutcome
	Reason  string
	Detail  string
}

// Error describes the outcome and its reason.
func (e *OutcomeError) Error() string { return string(e.Outcome) + ": " + e.Reason + ": " + e.Detail }

// reportReply prints the reply and returns an error with the exit code that
// belongs to its outcome.
func (t *Tool) reportReply(f *flags, r caller.Reply, err error) error {
	if err != nil {
		return withExitCodeFor(err, false)
	}
	if err := t.showReply(f, r); err != nil {
		return err
	}
	switch r.Outcome {
	case record.RequestNotRun:
		return withExit(&OutcomeError{r.Outcome, r.Reason, r.Detail}, ExitRefused)
	case record.RequestUnknown:
		return withExit(&OutcomeError{r.Outcome, r.Reason, r.Detail}, ExitUnknown)
	}
	return nil
}

func (t *Tool) showReply(f *flags, r caller.Reply) error {
	return t.show(f, r, func(w io.Writer) {
		if r.Job == nil {
			row(w, "request", r.Request)
			row(w, "fate", r.Outcome)
		} else {
			// The reply's outcome is that of the call. For a submission it says
			// only that the job was accepted, not how it ended.
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
