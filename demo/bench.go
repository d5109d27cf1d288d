package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/client"
	"jasminelane.example/lane/entry"
	"jasminelane.example/lane/operator"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/settings"
	"jasminelane.example/lane/standin"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
	"jasminelane.example/lane/trace"
	"jasminelane.example/lane/worker"
)

const (
	serviceTime  = 20 * time.Millisecond // of a request on a backend server stand-in
	readyTimeout = 10 * time.Second
	operatorName = "desk"
)

// Bench is the stand-ins and entry instances of one deployment. Trace and
// Logger are set before Start.
type Bench struct {
	Trace     *trace.Trace
	Instances int         // default 3
	Logger    *zap.Logger // nil logs nothing

	Log       standin.Log
	Directory standin.Directory
	Workers   standin.Workers
	Backends  standin.Backends

	urls    struct{ log, list, workers string }
	servers []*http.Server
	wg      sync.WaitGroup

	mu      sync.Mutex
	entries []*running // listed as live
	started []*running
	names   int
}

// running is one entry instance and how to end it.
type running struct {
	*entry.Instance
	name string
	stop context.CancelFunc
}

// StartError reports a part of the bench that could not be started.
type StartError struct {
	Part string
	Err  error
}

// Error describes the part and the cause.
func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Part, e.Err) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// Start starts all parts and publishes the trace's configuration; it fails
// with *StartError.
func (b *Bench) Start(ctx context.Context) error {
	if b.Logger == nil {
		b.Logger = zap.NewNop()
	}
	if b.Instances == 0 {
		b.Instances = 3
	}
	runs := map[string]time.Duration{}
	for _, j := range b.Trace.Jobs {
		runs[j.ID] = time.Duration(j.Run) * time.Millisecond
	}
	b.Workers.RunTime = func(_ string, g worker.Grant) time.Duration { return runs[g.Job] }
	b.Backends.ServiceTime = serviceTime
	for _, p := range []struct {
		name string
		h    http.Handler
		url  *string
	}{{"log", &b.Log, &b.urls.log}, {"list", &b.Directory, &b.urls.list}, {"workers", &b.Workers, &b.urls.workers}} {
		addr, err := b.serve(p.h)
		if err != nil {
			return &StartError{p.name, err}
		}
		*p.url = addr
	}
	for range b.Instances {
		if err := b.AddInstance(ctx); err != nil {
			return err
		}
	}
	if err := b.awaitReady(ctx); err != nil {
		return err
	}
	return b.publishAll(ctx)
}

func (b *Bench) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	b.servers = append(b.servers, s)
	b.wg.Go(func() { _ = s.Serve(l) })
	return l.Addr().String(), nil
}

// Settings returns the settings of an instance of the bench.
func (b *Bench) Settings(name string) settings.Settings {
	set := settings.Default()
	set.Instance = settings.Instance{
		Name: name, Domain: b.Trace.Racks[0].Domain, Peers: "127.0.0.1:0", Callers: "127.0.0.1:0", Operators: "127.0.0.1:0",
	}
	set.Platform = settings.Platform{Log: "http://" + b.urls.log, List: "http://" + b.urls.list}
	set.Times.Balancer = 200 * time.Millisecond
	set.Times.Drain = 5 * time.Second
	set.Policy = settings.Policy{Completion: 1 - b.Trace.Head.Weight, Fragmentation: b.Trace.Head.Weight}
	set.Operators = []settings.Token{{Name: operatorName, Secret: Token(operatorName)}}
	for _, a := range b.Trace.Accounts {
		set.Accounts = append(set.Accounts, settings.Token{Name: a.Name, Secret: Token(a.Name)})
	}
	return set
}

// Token returns the bearer token that the bench gives an account or operator.
func Token(name string) string { return "demo-token-of-" + name }

// AddInstance starts one more entry instance; it fails with *StartError.
func (b *Bench) AddInstance(ctx context.Context) error {
	b.mu.Lock()
	b.names++
	name := fmt.Sprintf("e%d", b.names)
	b.mu.Unlock()
	n := &entry.Instance{Settings: b.Settings(name), Logger: b.Logger}
	if err := n.Open(); err != nil {
		return &StartError{name, err}
	}
	ctx, stop := context.WithCancel(ctx)
	r := &running{Instance: n, name: name, stop: stop}
	b.mu.Lock()
	b.entries = append(b.entries, r)
	b.started = append(b.started, r)
	b.mu.Unlock()
	b.list()
	b.wg.Go(func() {
		defer stop()
		if err := n.Run(ctx); err != nil {
			b.Logger.Warn("instance ended", zap.String("instance", name), zap.Error(err))
		}
	})
	return nil
}

// ReplaceInstance drains the oldest instance and starts a new one.
func (b *Bench) ReplaceInstance(ctx context.Context) error {
	if err := b.AddInstance(ctx); err != nil {
		return err
	}
	b.mu.Lock()
	old := b.entries[0]
	b.entries = b.entries[1:]
	b.mu.Unlock()
	b.list()
	old.Drain()
	return nil
}

// list tells the platform's instance list who is live.
func (b *Bench) list() {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []stream.Instance
	for _, r := range b.entries {
		list = append(list, stream.Instance{Name: r.name, Addr: r.Peers.Addr().String()})
	}
	b.Directory.Set(list)
}

// ready returns the instances that the balancer would send work to.
func (b *Bench) ready() []*running {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*running
	for _, r := range b.entries {
		if r.Ready() == nil {
			out = append(out, r)
		}
	}
	return out
}

func (b *Bench) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for len(b.ready()) < b.Instances {
		select {
		case <-ctx.Done():
			return &StartError{"instances", ctx.Err()}
		case <-t.C:
		}
	}
	return nil
}

// Operator returns a client of a ready instance's operators' address.
func (b *Bench) Operator() *client.Client {
	return &client.Client{BaseURL: "http://" + b.ready()[0].Operators.Addr().String(), Token: Token(operatorName)}
}

// Caller returns a client of a ready instance's callers' address.
func (b *Bench) Caller(account string) *client.Client {
	return &client.Client{BaseURL: "http://" + b.ready()[0].Callers.Addr().String(), Token: Token(account)}
}

// publishAll publishes the fleet, the accounts and the services.
func (b *Bench) publishAll(ctx context.Context) error {
	op := b.Operator()
	put := func(name string, v any) error {
		body, err := json.Marshal(v)
		if err != nil {
			return &StartError{name, err}
		}
		if _, err := op.Publish(ctx, name, 0, 1, 1, body); err != nil {
			return &StartError{name, err}
		}
		return nil
	}
	for _, r := range b.Trace.Racks {
		body := state.RackBody{Domain: r.Domain}
		for i := range r.Workers {
			body.Workers = append(body.Workers, state.WorkerBody{
				Name: fmt.Sprintf("%s-w%d", r.Name, i), Addr: b.urls.workers, GPUs: r.GPUs, Cores: r.Cores, Memory: r.Memory,
			})
		}
		if err := put("rack/"+r.Name, body); err != nil {
			return err
		}
	}
	for _, a := range b.Trace.Accounts {
		body := state.AccountBody{Weight: a.Weight, Quota: a.Quota}
		for _, g := range a.Guarantees {
			body.Guarantees = append(body.Guarantees, state.GuaranteeBody{Shape: g.Shape, Count: g.Count})
		}
		if err := put("account/"+a.Name, body); err != nil {
			return err
		}
	}
	for _, s := range b.Trace.Services {
		body := state.ServiceBody{}
		for i := range s.Servers {
			name := fmt.Sprintf("%s-%d", s.Name, i)
			server, err := b.Backends.Add(name)
			if err != nil {
				return &StartError{name, err}
			}
			body.Servers = append(body.Servers, state.ServerBody{
				Name: name, Addr: server.Addr, Domain: b.Trace.Racks[i%len(b.Trace.Racks)].Domain, Slots: s.Slots, Connections: s.Connections,
			})
		}
		if err := put("service/"+s.Name, body); err != nil {
			return err
		}
	}
	return nil
}

// Accounts returns the accounts as an operator sees them.
func (b *Bench) Accounts(ctx context.Context) ([]operator.Account, error) {
	return client.CallOperator[[]operator.Account](ctx, b.Operator(), http.MethodGet, "/v1/accounts", nil, nil)
}

// Stop ends everything that Start started.
func (b *Bench) Stop() {
	b.mu.Lock()
	for _, r := range b.started {
		r.stop()
	}
	b.mu.Unlock()
	for _, s := range b.servers {
		_ = s.Close()
	}
	b.Backends.Close()
	b.wg.Wait()
}

// unsettled reports whether the fate may still be found out by asking again.
func unsettled(f record.RequestOutcome) bool { return f == record.RequestUnknown || f == "" }
