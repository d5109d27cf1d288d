package demo

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"jasminelane.example/lane/caller"
	"jasminelane.example/lane/client"
	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/trace"
)

// outcomeTimeout is how long after its submission a caller asks for the outcome of
// a job.
const outcomeTimeout = 20 * time.Second

// ItemResult is what became of one job or request of the input.
type ItemResult struct {
	ID      string                `json:"id"`
	Type    string                `json:"type"`
	Want    string                `json:"want"` // how the item ends according to the input
	Got     string                `json:"got"`  // how it ended
	Reason  string                `json:"reason,omitempty"`
	TookMs  int64                 `json:"took"` // milliseconds from submission
	Outcome record.RequestOutcome `json:"fate"`
}

// OK reports whether the item ended as the input expects.
func (r ItemResult) OK() bool { return r.Got == r.Want }

// Player plays the input of a deployment once.
type Player struct {
	Deployment *Deployment
	Out        io.Writer // progress, one line for each item or fault

	mu            sync.Mutex
	items         []ItemResult
	fragmentation []float64 // sampled every sampleInterval
}

const sampleInterval = 50 * time.Millisecond

// Run plays the input and returns the result once each item has ended or timed
// out.
func (p *Player) Run(ctx context.Context) *Result {
	begin := time.Now()
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() { p.sampleFragmentation(done) })
	var wg sync.WaitGroup
	at := func(millis int64, f func()) {
		wg.Go(func() {
			waitUntil(ctx, begin.Add(time.Duration(millis)*time.Millisecond))
			f()
		})
	}
	for _, j := range p.Deployment.Trace.Jobs {
		at(j.At, func() { p.add(p.runJob(ctx, j)) })
	}
	for _, r := range p.Deployment.Trace.Requests {
		for i := range max(1, r.Count) {
			one := r
			if r.Count > 1 {
				one.ID = fmt.Sprintf("%s-%d", r.ID, i)
			}
			at(r.At+int64(i)*r.Gap, func() { p.add(p.runRequest(ctx, one)) })
		}
	}
	for _, c := range p.Deployment.Trace.Cancels {
		at(c.At, func() { p.cancel(ctx, c) })
	}
	for _, f := range p.Deployment.Trace.Faults {
		at(f.At, func() { p.setFault(ctx, f, true) })
		at(f.Until, func() { p.setFault(ctx, f, false) })
	}
	wg.Wait()
	close(done)
	sampler.Wait()
	return p.result(time.Since(begin))
}

// waitUntil waits until the time, or until the context ends.
func waitUntil(ctx context.Context, until time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
}

// add adds the result of an item and prints it.
func (p *Player) add(r ItemResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.items = append(p.items, r)
	mark := "ok"
	if !r.OK() {
		mark = "WRONG, want " + r.Want
	}
	fmt.Fprintf(p.Out, "%-10s %-22s %-10s %6d ms  %s %s\n", r.Type, r.ID, r.Got, r.TookMs, mark, r.Reason)
}

// caller returns a client of the callers' API of a random ready instance, as a load
// balancer would choose it. It waits while no instance is ready.
func (p *Player) caller(account string) *client.Client {
	ready := p.Deployment.readyInstances()
	for len(ready) == 0 {
		time.Sleep(sampleInterval)
		ready = p.Deployment.readyInstances()
	}
	r := ready[rand.IntN(len(ready))]
	return &client.Client{BaseURL: "http://" + r.CallerListener.Addr().String(), Token: Token(account), HTTPClient: httpClient}
}

var httpClient = &http.Client{Timeout: time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// runJob submits a job until its submission is accepted or refused, and waits until
// the job has ended.
func (p *Player) runJob(ctx context.Context, j trace.Job) ItemResult {
	out := ItemResult{ID: j.ID, Type: j.Type, Want: "done"}
	for _, e := range p.Deployment.Trace.Expects {
		if e.Job == j.ID {
			out.Want = e.End
		}
	}
	begin := time.Now()
	body := caller.JobBody{
		Job: j.ID, Kind: j.Type, Shape: j.Shape, Urgent: j.Urgent, Once: j.Once, Checkpoint: j.Checkpoint,
		ExpectedMs: j.Declared, Cores: j.Cores, Memory: j.Memory,
	}
	end := begin.Add(outcomeTimeout)
	reply, _ := p.caller(j.Account).Submit(ctx, body)
	for outcomeUnknown(reply.Outcome) && time.Now().Before(end) && ctx.Err() == nil {
		reply, _ = p.caller(j.Account).Submit(ctx, body)
	}
	if reply.Outcome == record.RequestNotRun {
		out.Got, out.Reason, out.Outcome = "refused", reply.Reason, reply.Outcome
		out.TookMs = time.Since(begin).Milliseconds()
		return out
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		reply, _ = p.caller(j.Account).Job(ctx, j.ID, time.Until(end))
		if reply.Job != nil && reply.Job.Outcome != "" {
			break
		}
	}
	out.TookMs = time.Since(begin).Milliseconds()
	out.Got, out.Outcome = "missing", record.RequestUnknown
	if reply.Job != nil {
		out.Got, out.Reason, out.Outcome = reply.Job.Phase, reply.Job.Cause, reply.Job.Outcome
	}
	return out
}

// runRequest sends a request until it is done or its deadline has passed. Sending it
// again with the same id is safe, even if it is not repeatable.
func (p *Player) runRequest(ctx context.Context, r trace.Request) ItemResult {
	out := ItemResult{ID: r.ID, Type: r.Type, Want: "done"}
	begin := time.Now()
	q := client.ServiceRequest{
		ID: fmt.Sprintf("%d-%s", begin.UnixMilli(), r.ID), Service: r.Service, Class: r.Class, Once: r.Once,
		Deadline: time.Duration(r.Deadline) * time.Millisecond, Body: []byte(r.ID),
	}
	var reply caller.Reply
	for {
		reply, _ = p.caller(r.Account).Request(ctx, q)
		expired := r.Deadline > 0 && time.Since(begin) > time.Duration(r.Deadline)*time.Millisecond
		if reply.Outcome == record.RequestDone || expired || ctx.Err() != nil {
			break
		}
		waitUntil(ctx, time.Now().Add(sampleInterval))
	}
	out.TookMs = time.Since(begin).Milliseconds()
	out.Got, out.Reason, out.Outcome = string(reply.Outcome), reply.Reason, reply.Outcome
	if reply.Outcome == record.RequestDone && string(reply.Body) != q.ID+" "+r.ID {
		out.Got, out.Reason = "foreign", "answer "+string(reply.Body)
	}
	return out
}

// cancel cancels a job in the name of its account.
func (p *Player) cancel(ctx context.Context, c trace.Cancel) {
	i := slices.IndexFunc(p.Deployment.Trace.Jobs, func(j trace.Job) bool { return j.ID == c.Job })
	if i < 0 {
		return
	}
	_, _ = p.caller(p.Deployment.Trace.Jobs[i].Account).Cancel(ctx, c.Job)
}

// setFault begins or ends a fault of the input. The begin of a restart replaces one
// instance.
func (p *Player) setFault(ctx context.Context, f trace.Fault, on bool) {
	d := p.Deployment
	switch f.Type {
	case trace.FaultLog:
		d.Log.Fault(standin.LogFault{Down: &on})
	case trace.FaultWorker:
		d.Workers.Fault(standin.WorkerFault{Worker: f.Target, Unreachable: on})
	case trace.FaultFailing:
		d.Workers.Fault(standin.WorkerFault{Worker: f.Target, FailTasks: on})
	case trace.FaultRestart:
		if on {
			if err := d.ReplaceInstance(ctx); err != nil {
				p.add(ItemResult{ID: "instance", Type: "restart", Want: "done", Got: err.Error()})
			}
		}
	default:
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.Out, "%-10s %-22s %v\n", "fault", f.Type+" "+f.Target, map[bool]string{true: "begins", false: "ends"}[on])
}

// sampleFragmentation samples the fragmentation until done is closed.
func (p *Player) sampleFragmentation(done <-chan struct{}) {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
		}
		ready := p.Deployment.readyInstances()
		if len(ready) == 0 {
			continue
		}
		ready[0].View(func(s *state.State) { p.fragmentation = append(p.fragmentation, placement.Fragmentation(s)) })
	}
}

// result returns the result of the run. It checks the audit trail of the workers and
// that no request that is not repeatable ran twice.
func (p *Player) result(elapsed time.Duration) *Result {
	slices.SortFunc(p.items, func(a, b ItemResult) int { return cmp.Compare(a.ID, b.ID) })
	r := &Result{Name: p.Deployment.Trace.Head.Name, Items: p.items, Elapsed: elapsed}
	for _, f := range p.fragmentation {
		r.Fragmentation += f / float64(len(p.fragmentation))
	}
	r.Violations = standin.Violations(p.Deployment.Workers.Audit())
	counts := p.Deployment.Backends.Executions()
	once := map[string]bool{}
	for _, q := range p.Deployment.Trace.Requests {
		once[q.ID] = q.Once
	}
	for id, n := range counts {
		_, name, _ := strings.Cut(id, "-") // the ID of a request is sent as TIME-ID
		if once[name] && n > 1 {
			r.Violations = append(r.Violations, fmt.Sprintf("request %s, not repeatable, ran %d times", id, n))
		}
	}
	return r
}
