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

// settleTime bounds how long a caller asks for the fate of a job after the
// last event of the input.
const settleTime = 20 * time.Second

// Fate is what became of one job or request of the input.
type Fate struct {
	ID     string                `json:"id"`
	Type   string                `json:"type"`
	Want   string                `json:"want"`
	Got    string                `json:"got"`
	Reason string                `json:"reason,omitempty"`
	Took   int64                 `json:"took"` // milliseconds from submission
	Fate   record.RequestOutcome `json:"fate"`
}

// OK reports whether the fate is the one that the input states.
func (f Fate) OK() bool { return f.Got == f.Want }

// Play is one run of an input.
type Play struct {
	Bench *Bench
	Out   io.Writer // progress, one line for each fate

	mu      sync.Mutex
	fates   []Fate
	samples []float64 // of fragmentation, every sampleEvery
}

const sampleEvery = 50 * time.Millisecond

// Run plays the input and returns the result when all fates are known.
func (p *Play) Run(ctx context.Context) *Result {
	begin := time.Now()
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() { p.sample(done) })
	var wg sync.WaitGroup
	at := func(millis int64, f func()) {
		wg.Go(func() {
			wait(ctx, begin.Add(time.Duration(millis)*time.Millisecond))
			f()
		})
	}
	for _, j := range p.Bench.Trace.Jobs {
		at(j.At, func() { p.add(p.job(ctx, j)) })
	}
	for _, r := range p.Bench.Trace.Requests {
		for i := range max(1, r.Count) {
			one := r
			if r.Count > 1 {
				one.ID = fmt.Sprintf("%s-%d", r.ID, i)
			}
			at(r.At+int64(i)*r.Gap, func() { p.add(p.request(ctx, one)) })
		}
	}
	for _, c := range p.Bench.Trace.Cancels {
		at(c.At, func() { p.cancel(ctx, c) })
	}
	for _, f := range p.Bench.Trace.Faults {
		at(f.At, func() { p.fault(ctx, f, true) })
		at(f.Until, func() { p.fault(ctx, f, false) })
	}
	wg.Wait()
	close(done)
	sampler.Wait()
	return p.result(time.Since(begin))
}

func wait(ctx context.Context, until time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
}

func (p *Play) add(f Fate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fates = append(p.fates, f)
	mark := "ok"
	if !f.OK() {
		mark = "WRONG, want " + f.Want
	}
	fmt.Fprintf(p.Out, "%-10s %-22s %-10s %6d ms  %s %s\n", f.Type, f.ID, f.Got, f.Took, mark, f.Reason)
}

// caller returns a client of a ready instance, chosen as the balancer would.
func (p *Play) caller(account string) *client.Client {
	ready := p.Bench.ready()
	for len(ready) == 0 {
		time.Sleep(sampleEvery)
		ready = p.Bench.ready()
	}
	r := ready[rand.IntN(len(ready))]
	return &client.Client{BaseURL: "http://" + r.Callers.Addr().String(), Token: Token(account), HTTPClient: httpClient}
}

var httpClient = &http.Client{Timeout: time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func (p *Play) job(ctx context.Context, j trace.Job) Fate {
	out := Fate{ID: j.ID, Type: j.Type, Want: "done"}
	for _, e := range p.Bench.Trace.Expects {
		if e.Job == j.ID {
			out.Want = e.End
		}
	}
	begin := time.Now()
	body := caller.JobBody{
		Job: j.ID, Kind: j.Type, Shape: j.Shape, Urgent: j.Urgent, Once: j.Once, Checkpoint: j.Checkpoint,
		ExpectedMs: j.Declared, Cores: j.Cores, Memory: j.Memory,
	}
	end := begin.Add(settleTime)
	reply, _ := p.caller(j.Account).Submit(ctx, body)
	for unsettled(reply.Outcome) && time.Now().Before(end) && ctx.Err() == nil {
		reply, _ = p.caller(j.Account).Submit(ctx, body)
	}
	if reply.Outcome == record.RequestNotRun {
		out.Got, out.Reason, out.Fate = "refused", reply.Reason, reply.Outcome
		out.Took = time.Since(begin).Milliseconds()
		return out
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		reply, _ = p.caller(j.Account).Job(ctx, j.ID, time.Until(end))
		if reply.Job != nil && reply.Job.Outcome != "" {
			break
		}
	}
	out.Took = time.Since(begin).Milliseconds()
	out.Got, out.Fate = "missing", record.RequestUnknown
	if reply.Job != nil {
		out.Got, out.Reason, out.Fate = reply.Job.Phase, reply.Job.Cause, reply.Job.Outcome
	}
	return out
}

// request sends a request until its fate is known; resending the same id is
// safe also for a request that is not repeatable.
func (p *Play) request(ctx context.Context, r trace.Request) Fate {
	out := Fate{ID: r.ID, Type: r.Type, Want: "done"}
	begin := time.Now()
	q := client.ServiceRequest{
		ID: fmt.Sprintf("%d-%s", begin.UnixMilli(), r.ID), Service: r.Service, Class: r.Class, Once: r.Once,
		Deadline: time.Duration(r.Deadline) * time.Millisecond, Body: []byte(r.ID),
	}
	var reply caller.Reply
	for {
		reply, _ = p.caller(r.Account).Request(ctx, q)
		late := r.Deadline > 0 && time.Since(begin) > time.Duration(r.Deadline)*time.Millisecond
		if reply.Outcome == record.RequestDone || late || ctx.Err() != nil {
			break
		}
		wait(ctx, time.Now().Add(sampleEvery))
	}
	out.Took = time.Since(begin).Milliseconds()
	out.Got, out.Reason, out.Fate = string(reply.Outcome), reply.Reason, reply.Outcome
	if reply.Outcome == record.RequestDone && string(reply.Body) != q.ID+" "+r.ID {
		out.Got, out.Reason = "foreign", "answer "+string(reply.Body)
	}
	return out
}

func (p *Play) cancel(ctx context.Context, c trace.Cancel) {
	i := slices.IndexFunc(p.Bench.Trace.Jobs, func(j trace.Job) bool { return j.ID == c.Job })
	if i < 0 {
		return
	}
	_, _ = p.caller(p.Bench.Trace.Jobs[i].Account).Cancel(ctx, c.Job)
}

// fault begins or ends a fault of the input. A restart replaces one instance.
func (p *Play) fault(ctx context.Context, f trace.Fault, on bool) {
	b := p.Bench
	switch f.Type {
	case trace.FaultLog:
		b.Log.Fault(standin.LogFault{Down: &on})
	case trace.FaultWorker:
		b.Workers.Fault(standin.WorkerFault{Worker: f.Target, Unreachable: on})
	case trace.FaultFailing:
		b.Workers.Fault(standin.WorkerFault{Worker: f.Target, FailTasks: on})
	case trace.FaultRestart:
		if on {
			if err := b.ReplaceInstance(ctx); err != nil {
				p.add(Fate{ID: "instance", Type: "restart", Want: "done", Got: err.Error()})
			}
		}
	default:
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.Out, "%-10s %-22s %v\n", "fault", f.Type+" "+f.Target, map[bool]string{true: "begins", false: "ends"}[on])
}

// sample reads the fragmentation until done is closed.
func (p *Play) sample(done <-chan struct{}) {
	t := time.NewTicker(sampleEvery)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
		}
		ready := p.Bench.ready()
		if len(ready) == 0 {
			continue
		}
		ready[0].View(func(s *state.State) { p.samples = append(p.samples, placement.Fragmentation(s)) })
	}
}

func (p *Play) result(took time.Duration) *Result {
	slices.SortFunc(p.fates, func(a, b Fate) int { return cmp.Compare(a.ID, b.ID) })
	r := &Result{Name: p.Bench.Trace.Head.Name, Fates: p.fates, Took: took}
	for _, f := range p.samples {
		r.Fragmentation += f / float64(len(p.samples))
	}
	r.Violations = standin.Violations(p.Bench.Workers.Audit())
	counts := p.Bench.Backends.Executions()
	once := map[string]bool{}
	for _, q := range p.Bench.Trace.Requests {
		once[q.ID] = q.Once
	}
	for id, n := range counts {
		_, name, _ := strings.Cut(id, "-") // requests are sent as TIME-ID
		if once[name] && n > 1 {
			r.Violations = append(r.Violations, fmt.Sprintf("request %s, not repeatable, ran %d times", id, n))
		}
	}
	return r
}
