package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"jasminelane.example/lane/backend"
	"jasminelane.example/lane/caller"
	"jasminelane.example/lane/keys"
	"jasminelane.example/lane/member"
	"jasminelane.example/lane/metric"
	"jasminelane.example/lane/operator"
	"jasminelane.example/lane/peer"
	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/replica"
	"jasminelane.example/lane/route"
	"jasminelane.example/lane/settings"
	"jasminelane.example/lane/state"
	"jasminelane.example/lane/stream"
	"jasminelane.example/lane/worker"
)

// Instance is one incarnation of an entry instance. Settings and Logger are
// set before Open.
type Instance struct {
	Settings settings.Settings
	Logger   *zap.Logger // nil logs nothing
	Metrics  metric.Set

	Writer    string       // identity in the log, set by Open
	Peers     net.Listener // set by Open
	Callers   net.Listener // set by Open
	Operators net.Listener // set by Open

	replica  *replica.Replica
	decider  *Decider
	keeper   *worker.Keeper
	starter  *worker.Starter
	table    *route.Table
	router   *caller.Router
	liveness *member.Liveness
	listing  *listing
	peers    *peer.Client
	keys     *keys.Reloader // nil without TLS
	members  atomic.Pointer[[]*state.Member]
	ids      atomic.Uint64
	draining atomic.Bool
	drain    chan struct{}
}

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Key  string // of the settings' section instance
	Addr string
	Err  error
}

// Error describes the address and the cause.
func (e *ListenError) Error() string { return fmt.Sprintf("%s = %s: %v", e.Key, e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Open listens on the instance's addresses and wires its parts; it fails with
// *ListenError or *keys.FileError.
func (n *Instance) Open() error {
	if n.Logger == nil {
		n.Logger = zap.NewNop()
	}
	in := n.Settings.Instance
	n.Writer = in.Name + "-" + rand.Text()[:12]
	n.Logger = n.Logger.With(zap.String("instance", in.Name), zap.String("writer", n.Writer))
	for _, l := range []struct {
		key, addr string
		to        *net.Listener
	}{{"peers", in.PeerAddr, &n.Peers}, {"callers", in.CallerAddr, &n.Callers}, {"operators", in.OperatorAddr, &n.Operators}} {
		var err error
		if *l.to, err = net.Listen("tcp", l.addr); err != nil {
			n.close()
			return &ListenError{l.key, l.addr, err}
		}
	}
	n.drain = make(chan struct{})
	// The callers' API limits its connections itself, for each account too.
	n.Operators = limitListener(n.Operators, n.Settings.Limits.MaxConnections)
	if err := n.secure(); err != nil {
		n.close()
		return err
	}
	n.wire()
	return nil
}

func (n *Instance) close() {
	for _, l := range []net.Listener{n.Peers, n.Callers, n.Operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (n *Instance) wire() {
	set := n.Settings
	log := &stream.Log{URL: set.Platform.LogURL}
	n.decider = &Decider{
		Rank: n.rank, Fresh: n.mayAct, NewID: n.newID, Now: time.Now, Logger: n.Logger, Metrics: &n.Metrics, Round: set.Times.IdleRoundInterval,
	}
	policy := placement.Policy{CompletionWeight: set.Policy.CompletionWeight, FragmentationWeight: set.Policy.FragmentationWeight}
	n.replica = &replica.Replica{
		Log: log, Writer: n.Writer, Logger: n.Logger, LogRetention: set.Times.LogRetention, SnapshotRecords: set.Limits.SnapshotRecords,
		Join: record.Join{Name: set.Instance.Name, Addr: n.Peers.Addr().String(), Domain: set.Instance.Domain, Version: record.Version},
		OnLoad: func(s *state.State) {
			n.noteMembers(s)
			n.decider.Load(s, policy)
		},
		OnDecision: n.outcome,
	}
	r := n.replica
	n.decider.View, n.decider.Propose, n.decider.Changed = r.View, r.Propose, r.Changed
	client := &worker.Client{}
	n.keeper = &worker.Keeper{
		View: r.View, Propose: r.Propose, Changed: r.Changed, Rank: n.rank, Fresh: n.mayRenew, Sync: client.Sync,
		Lease: set.Times.LeaseDuration, Logger: n.Logger,
	}
	n.starter = &worker.Starter{
		View: r.View, Propose: r.Propose, Changed: r.Changed, Rank: n.rank, Fresh: n.mayAct, Sync: client.Sync,
		Lease: set.Times.LeaseDuration, Logger: n.Logger,
	}
	n.table = &route.Table{}
	servers := &backend.Client{Connections: n.table.Connections}
	n.router = &caller.Router{
		Table: n.table, Writer: n.Writer, View: r.View, Propose: r.Propose, Changed: r.Changed, NotAppended: notAppended,
		Send: servers.Do, Probe: servers.Probe, Trim: servers.Trim, Count: n.countRequest, Logger: n.Logger,
	}
	n.peers = &peer.Client{}
	if n.keys != nil {
		n.peers.Dial = n.dialPeer
	}
	list := &stream.Directory{URL: set.Platform.ListURL}
	n.listing = &listing{list: list.List, set: n.table.SetLeaving, logger: n.Logger}
	n.liveness = &member.Liveness{
		Writer: n.Writer, View: r.View, Propose: r.Propose, List: list.List, Ping: n.peers.Ping, Ask: n.peers.CanReachMember,
		Fresh: n.mayAct, Logger: n.Logger,
	}
	n.gauges()
}

// Ready returns nil when the balancer may send work here.
func (n *Instance) Ready() error {
	st := n.replica.Status()
	switch {
	case n.draining.Load():
		return &NotReadyError{"draining"}
	case st.Upgrade:
		return &NotReadyError{"upgrade"}
	case st.Fenced:
		return &NotReadyError{"fenced"}
	case !st.Ready || !n.router.Ready():
		return &NotReadyError{"loading"}
	case !st.Fresh:
		return &NotReadyError{"lagging"}
	}
	return nil
}

// NotReadyError says why no work may be sent to the instance.
type NotReadyError struct{ Reason string }

// Error returns the reason.
func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }

// Status returns how current the instance's view of the log is.
func (n *Instance) Status() replica.Status { return n.replica.Status() }

// View calls f with the instance's state under its read lock.
func (n *Instance) View(f func(*state.State)) { n.replica.View(f) }

// Drain starts a graceful shutdown; Run returns when it has ended.
func (n *Instance) Drain() {
	if n.draining.CompareAndSwap(false, true) {
		close(n.drain)
	}
}

// Run serves until the context ends, the instance was drained, or this
// incarnation was fenced, which it reports as *replica.FencedError.
func (n *Instance) Run(ctx context.Context) error {
	var g run.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	actors := []struct {
		name string
		run  func(context.Context) error
	}{
		{"replica", n.replica.Run},
		{"decider", n.decider.Run},
		{"keeper", n.keeper.Run},
		{"starter", n.starter.Run},
		{"router", n.router.Run},
		{"liveness", n.liveness.Run},
		{"listing", n.listing.run},
		{"peers", n.servePeers},
		{"drain", n.awaitDrain},
	}
	for _, a := range actors {
		g.Add(func() error {
			err := a.run(ctx)
			if err != nil && !errors.Is(err, context.Canceled) {
				n.Logger.Info("actor ended", zap.String("actor", a.name), zap.Error(err))
				err = merry.Prepend(err, a.name)
			}
			return err
		}, func(error) { cancel() })
	}
	for _, h := range []struct {
		server *http.Server
		l      net.Listener
	}{{n.callerServer(), n.Callers}, {n.operatorServer(), n.Operators}} {
		g.Add(func() error {
			if err := h.server.Serve(h.l); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		}, func(error) { _ = h.server.Close() })
	}
	n.Logger.Info("listening", zap.Stringer("peers", n.Peers.Addr()), zap.Stringer("callers", n.Callers.Addr()),
		zap.Stringer("operators", n.Operators.Addr()))
	err := g.Run()
	n.peers.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// awaitDrain waits for Drain and then shuts down in order: the balancer sees
// the instance leave, requests in flight end, and the log is told last.
func (n *Instance) awaitDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.drain:
	}
	n.Logger.Info("draining", zap.Duration("balancer", n.Settings.Times.BalancerDelay))
	sleep(ctx, n.Settings.Times.BalancerDelay)
	ctx, cancel := context.WithTimeout(ctx, n.Settings.Times.DrainTimeout)
	defer cancel()
	if err := n.router.Drain(ctx); err != nil {
		n.Logger.Warn("drain incomplete", zap.Error(err))
	}
	rec, err := record.New(record.KindLeave, n.newID(), record.Leave{})
	if err != nil {
		return err
	}
	if _, err := n.replica.Propose(ctx, rec); err != nil {
		// The others evict an instance whose leave could not be appended.
		n.Logger.Warn("leave not settled", zap.Error(err))
	}
	n.Logger.Info("drained")
	return nil
}

func (n *Instance) servePeers(ctx context.Context) error {
	s := &peer.Server{
		Writer: n.Writer,
		AppliedOffset: func() peer.Applied {
			st := n.inForce()
			return peer.Applied{Writer: n.Writer, Offset: st.Offset, Chain: st.Chain}
		},
		CanReachMember: n.liveness.Reach,
		Logger:         n.Logger,
	}
	return s.Serve(ctx, n.Peers)
}

func (n *Instance) callerServer() *http.Server {
	set := n.Settings
	tokens := map[string]string{}
	for _, t := range set.Accounts {
		tokens[t.Secret] = t.Name
	}
	r := n.replica
	api := &caller.API{
		Router: n.router,
		Jobs:   &caller.Jobs{View: r.View, Propose: r.Propose, Changed: r.Changed, NotAppended: notAppended},
		Tokens: tokens, Logger: n.Logger, Count: n.countRequest,
		MaxBody: int64(set.Limits.MaxBodyBytes), MaxHeader: set.Limits.MaxHeaderBytes, MaxConns: set.Limits.MaxConnections,
		AccountReqs: set.Limits.MaxAccountRequests, ReadTimeout: set.Times.ReadTimeout, IdleTimeout: set.Times.IdleTimeout,
	}
	return api.Server()
}

func (n *Instance) operatorServer() *http.Server {
	set := n.Settings
	api := &operator.API{
		Operators: set.Operators, Logger: n.Logger, Metrics: &n.Metrics, MaxBody: int64(set.Limits.MaxBodyBytes),
		View: n.replica.View, Propose: n.replica.Propose, Status: n.replica.Status,
		Healthy: func() error { return nil }, Ready: n.Ready,
		Offset: n.memberOffset, Plan: plan, Explain: n.explain, Drain: n.Drain, NewID: n.newID,
	}
	return &http.Server{
		Handler: api.Handler(), MaxHeaderBytes: set.Limits.MaxHeaderBytes, ReadTimeout: set.Times.ReadTimeout,
		ReadHeaderTimeout: set.Times.ReadTimeout, IdleTimeout: set.Times.IdleTimeout, WriteTimeout: time.Minute,
	}
}

// inForce returns the status once all parts of the instance use the state at
// its offset.
func (n *Instance) inForce() replica.Status {
	st := n.replica.Status()
	n.router.Feed(st.Offset)
	return st
}

func (n *Instance) memberOffset(ctx context.Context, m *state.Member) (uint64, error) {
	if m.Writer == n.Writer {
		return n.inForce().Offset, nil
	}
	a, err := n.peers.AppliedOffset(ctx, m.Addr)
	return a.Offset, err
}

func (n *Instance) explain(s *state.State, job string) operator.Explanation {
	e := n.decider.Explain(s, job)
	return operator.Explanation{Reason: e.Detail, Change: e.Change}
}

func plan(s *state.State, account string, body []byte) ([]record.Block, error) {
	promises, err := state.ParseGuarantees(body)
	if err != nil {
		return nil, err
	}
	return placement.PlanBlocks(s, account, promises)
}

func notAppended(err error) bool {
	var e *replica.NotAppendedError
	var q *replica.QueueFullError
	var z *record.SizeError
	return errors.As(err, &e) || errors.As(err, &q) || errors.As(err, &z)
}

func (n *Instance) newID() string {
	return fmt.Sprintf("%s.%d", n.Writer, n.ids.Add(1))
}

// rank returns this instance's place among the members for the subject. It
// takes no lock, because it is also called while the replica's state is
// viewed, and a nested read lock deadlocks with a waiting writer.
func (n *Instance) rank(subject string) int {
	members := n.members.Load()
	if members == nil {
		return -1
	}
	return member.Rank(*members, subject, n.Writer)
}

// noteMembers copies the members for rank.
func (n *Instance) noteMembers(s *state.State) {
	members := make([]*state.Member, len(s.Members))
	for i, m := range s.Members {
		c := *m
		members[i] = &c
	}
	n.members.Store(&members)
}

// mayAct reports whether new decisions may be proposed: the view is current
// and the log is up.
func (n *Instance) mayAct() bool {
	st := n.replica.Status()
	return st.Fresh && st.Ready && !st.LogDown && !st.Upgrade && !st.Fenced
}

// mayRenew reports whether leases may be renewed: the view is current, or the
// log is down, so that no newer decision can exist.
func (n *Instance) mayRenew() bool {
	st := n.replica.Status()
	return st.Fresh && st.Ready && !st.Upgrade && !st.Fenced
}
