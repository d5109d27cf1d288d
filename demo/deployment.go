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
	serviceTime  = 20 * time.Millisecond // time of a request on a stand-in backend server
	readyTimeout = 10 * time.Second
	operatorName = "desk"
)

// Deployment is a set of stand-ins and the entry instances that use them. Trace,
// Instances and Logger are set before Start.
type Deployment struct {
	Trace     *trace.Trace
	Instances int         // number of instances; default 3
	Logger    *zap.Logger // nil logs nothing

	Log       standin.Log
	Directory standin.Directory
	Workers   standin.Workers
	Backends  standin.Backends

	urls    struct{ log, list, workers string }
	servers []*http.Server
	wg      sync.WaitGroup

	mu        sync.Mutex
	listed    []*runningInstance // instances in the platform's list, oldest first
	started   []*runningInstance // all instances ever started
	nameCount int
}

// runningInstance is an entry instance with the function that stops it.
type runningInstance struct {
	*entry.Instance
	name string
	stop context.CancelFunc
}

// StartError reports a part of the deployment that could not be started, or a
// configuration record that could not be published.
type StartError struct {
	Part string
	Err  error
}

// Error describes the part and the cause.
func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Part, e.Err) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// Start starts all parts, waits until the instances are ready and publishes the
// trace's configuration; it fails with *StartError.
func (d *Deployment) Start(ctx context.Context) error {
	if d.Logger == nil {
		d.Logger = zap.NewNop()
	}
	if d.Instances == 0 {
		d.Instances = 3
	}
	runTimes := map[string]time.Duration{}
	for _, j := range d.Trace.Jobs {
		runTimes[j.ID] = time.Duration(j.Run) * time.Millisecond
	}
	d.Workers.RunTime = func(_ string, g worker.Grant) time.Duration { return runTimes[g.Job] }
	d.Backends.ServiceTime = serviceTime
	for _, p := range []struct {
		name    string
		handler http.Handler
		url     *string
	}{{"log", &d.Log, &d.urls.log}, {"list", &d.Directory, &d.urls.list}, {"workers", &d.Workers, &d.urls.workers}} {
		addr, err := d.serve(p.handler)
		if err != nil {
			return &StartError{p.name, err}
		}
		*p.url = addr
	}
	for range d.Instances {
		if err := d.AddInstance(ctx); err != nil {
			return err
		}
	}
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	return d.publishAll(ctx)
}

// serve serves the handler at a free port of loopback and returns its address.
func (d *Deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	d.servers = append(d.servers, s)
	d.wg.Go(func() { _ = s.Serve(l) })
	return l.Addr().String(), nil
}

// Settings returns the settings of an instance of the deployment.
func (d *Deployment) Settings(name string) settings.Settings {
	set := settings.Default()
	set.Instance = settings.Instance{
		Name: name, Domain: d.Trace.Racks[0].Domain, PeerAddr: "127.0.0.1:0", CallerAddr: "127.0.0.1:0", OperatorAddr: "127.0.0.1:0",
	}
	set.Platform = settings.Platform{LogURL: "http://" + d.urls.log, ListURL: "http://" + d.urls.list}
	set.Times.BalancerDelay = 200 * time.Millisecond
	set.Times.DrainTimeout = 5 * time.Second
	set.Policy = settings.Policy{CompletionWeight: 1 - d.Trace.Head.Weight, FragmentationWeight: d.Trace.Head.Weight}
	set.Operators = []settings.Token{{Name: operatorName, Secret: Token(operatorName)}}
	for _, a := range d.Trace.Accounts {
		set.Accounts = append(set.Accounts, settings.Token{Name: a.Name, Secret: Token(a.Name)})
	}
	return set
}

// Token returns the bearer token of an account or operator in a deployment.
func Token(name string) string { return "demo-token-of-" + name }

// AddInstance starts one more entry instance; it fails with *StartError.
func (d *Deployment) AddInstance(ctx context.Context) error {
	d.mu.Lock()
	d.nameCount++
	name := fmt.Sprintf("e%d", d.nameCount)
	d.mu.Unlock()
	n := &entry.Instance{Settings: d.Settings(name), Logger: d.Logger}
	if err := n.Open(); err != nil {
		return &StartError{name, err}
	}
	ctx, stop := context.WithCancel(ctx)
	r := &runningInstance{Instance: n, name: name, stop: stop}
	d.mu.Lock()
	d.listed = append(d.listed, r)
	d.started = append(d.started, r)
	d.mu.Unlock()
	d.updateDirectory()
	d.wg.Go(func() {
		defer stop()
		if err := n.Run(ctx); err != nil {
			d.Logger.Warn("instance ended with an error", zap.String("instance", name), zap.Error(err))
		}
	})
	return nil
}

// ReplaceInstance starts a new instance and drains the oldest one.
func (d *Deployment) ReplaceInstance(ctx context.Context) error {
	if err := d.AddInstance(ctx); err != nil {
		return err
	}
	d.mu.Lock()
	old := d.listed[0]
	d.listed = d.listed[1:]
	d.mu.Unlock()
	d.updateDirectory()
	old.Drain()
	return nil
}

// updateDirectory sets the platform's list of live instances.
func (d *Deployment) updateDirectory() {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []stream.Instance
	for _, r := range d.listed {
		list = append(list, stream.Instance{Name: r.name, Addr: r.PeerListener.Addr().String()})
	}
	d.Directory.Set(list)
}

// readyInstances returns the listed instances that are ready, to which a load
// balancer would send work.
func (d *Deployment) readyInstances() []*runningInstance {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*runningInstance
	for _, r := range d.listed {
		if r.Ready() == nil {
			out = append(out, r)
		}
	}
	return out
}

// awaitReady waits until as many instances as configured are ready.
func (d *Deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for len(d.readyInstances()) < d.Instances {
		select {
		case <-ctx.Done():
			return &StartError{"instances", ctx.Err()}
		case <-t.C:
		}
	}
	return nil
}

// Operator returns a client of the operators' API of a ready instance.
func (d *Deployment) Operator() *client.Client {
	return &client.Client{BaseURL: "http://" + d.readyInstances()[0].OperatorListener.Addr().String(), Token: Token(operatorName)}
}

// Caller returns a client of the callers' API of a ready instance, for an account.
func (d *Deployment) Caller(account string) *client.Client {
	return &client.Client{BaseURL: "http://" + d.readyInstances()[0].CallerListener.Addr().String(), Token: Token(account)}
}

// publishAll publishes the racks, the accounts and the services of the trace, and
// starts the backend servers of the services.
func (d *Deployment) publishAll(ctx context.Context) error {
	op := d.Operator()
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
	for _, r := range d.Trace.Racks {
		body := state.RackBody{Domain: r.Domain}
		for i := range r.Workers {
			body.Workers = append(body.Workers, state.WorkerBody{
				Name: fmt.Sprintf("%s-w%d", r.Name, i), Addr: d.urls.workers, GPUs: r.GPUs, Cores: r.Cores, Memory: r.Memory,
			})
		}
		if err := put("rack/"+r.Name, body); err != nil {
			return err
		}
	}
	for _, a := range d.Trace.Accounts {
		body := state.AccountBody{Weight: a.Weight, Quota: a.Quota}
		for _, g := range a.Guarantees {
			body.Guarantees = append(body.Guarantees, state.GuaranteeBody{Shape: g.Shape, Count: g.Count})
		}
		if err := put("account/"+a.Name, body); err != nil {
			return err
		}
	}
	for _, s := range d.Trace.Services {
		body := state.ServiceBody{}
		for i := range s.Servers {
			name := fmt.Sprintf("%s-%d", s.Name, i)
			server, err := d.Backends.Add(name)
			if err != nil {
				return &StartError{name, err}
			}
			body.Servers = append(body.Servers, state.ServerBody{
				Name: name, Addr: server.Addr, Domain: d.Trace.Racks[i%len(d.Trace.Racks)].Domain, Slots: s.Slots, Connections: s.Connections,
			})
		}
		if err := put("service/"+s.Name, body); err != nil {
			return err
		}
	}
	return nil
}

// Accounts returns the accounts that the operators' API lists.
func (d *Deployment) Accounts(ctx context.Context) ([]operator.Account, error) {
	return client.CallOperator[[]operator.Account](ctx, d.Operator(), http.MethodGet, "/v1/accounts", nil, nil)
}

// Stop stops the instances, the servers and the stand-ins.
func (d *Deployment) Stop() {
	d.mu.Lock()
	for _, r := range d.started {
		r.stop()
	}
	d.mu.Unlock()
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.Backends.Close()
	d.wg.Wait()
}

// outcomeUnknown reports whether the outcome is not known yet, so that sending the
// call again may tell it.
func outcomeUnknown(o record.RequestOutcome) bool { return o == record.RequestUnknown || o == "" }
