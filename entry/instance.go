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
	"jasminelane.example/lane/internal/fleet/admission"
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

// Instance is one incarnation of an instance. The caller sets Settings and Logger
// before Open.
type Instance struct {
	Settings settings.Settings
	Logger   *zap.Logger // nil disables logging
	Metrics  metric.Set

	Writer           string       // writer name in the log, unique to this incarnation; set by Open
	PeerListener     net.Listener // set by Open
	CallerListener   net.Listener // set by Open
	OperatorListener net.Listener // set by Open

	admission       *admission.Admission
	bounds          map[admission.Class]*admission.Listener
	replica         *replica.Replica
	schedulerLoop   *SchedulerLoop
	leaseKeeper     *worker.LeaseKeeper
	gangStarter     *worker.GangStarter
	table           *route.Table
	router          *caller.Router
	failureDetector *member.FailureDetector
	leavingWatcher  *leavingWatcher
	peers           *peer.Client
	keys            *keys.Reloader // nil without TLS
	members         atomic.Pointer[[]*state.Member]
	ids             atomic.Uint64
	draining        atomic.Bool
	drainStarted    chan struct{}
}

const (
	// maxPeerConnections bounds the connections of other instances, each of which
	// keeps one.
	maxPeerConnections = 512

	// socketBytes is the size of a socket's receive buffer and of its send buffer.
	socketBytes = 64 << 10
)

// withClosing returns how many connections a server sees of a listener with the
// limit: up to a quarter more are closed and have not ended yet.
func withClosing(limit int) int { return limit + limit/4 + 1 }

// ListenError reports an address on which the instance cannot listen.
type ListenError struct {
	Key  string // key in section instance of the settings
	Addr string
	Err  error
}

// Error returns the settings key, the address and the cause.
func (e *ListenError) Error() string { return fmt.Sprintf("%s = %s: %v", e.Key, e.Addr, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Open listens on the instance's addresses and initializes its parts. It fails
// with *ListenError or *keys.FileError.
func (n *Instance) Open() error {
	if n.Logger == nil {
		n.Logger = zap.NewNop()
	}
	in := n.Settings.Instance
	n.Writer = in.Name + "-" + rand.Text()[:12]
	n.Logger = n.Logger.With(zap.String("instance", in.Name), zap.String("writer", n.Writer))
	connections := n.Settings.Limits.MaxConnections
	n.admission = admission.New(admission.Limits{
		Bodies: int64(n.Settings.Limits.MaxHeldBytes),
		Listeners: map[admission.Class]admission.Bound{
			admission.Callers: {Connections: connections, SocketBytes: socketBytes}, admission.Operators: {Connections: connections, SocketBytes: socketBytes},
			admission.Peers: {Connections: maxPeerConnections, SocketBytes: socketBytes},
		},
	}, n.Logger, &n.Metrics)
	n.bounds = make(map[admission.Class]*admission.Listener)
	for _, l := range []struct {
		class admission.Class
		addr  string
		to    *net.Listener
	}{{admission.Peers, in.PeerAddr, &n.PeerListener}, {admission.Callers, in.CallerAddr, &n.CallerListener}, {admission.Operators, in.OperatorAddr, &n.OperatorListener}} {
		bounded, err := n.admission.Listen(context.Background(), l.addr, l.class)
		if err != nil {
			n.close()
			return &ListenError{l.class.String(), l.addr, err}
		}
		n.bounds[l.class], *l.to = bounded, bounded
	}
	n.drainStarted = make(chan struct{})
	if err := n.enableTLS(); err != nil {
		n.close()
		return err
	}
	n.initParts()
	return nil
}

func (n *Instance) close() {
	for _, l := range []net.Listener{n.PeerListener, n.CallerListener, n.OperatorListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (n *Instance) initParts() {
	set := n.Settings
	log := &stream.Log{URL: set.Platform.LogURL}
	n.schedulerLoop = &SchedulerLoop{
		Rank: n.rank, Fresh: n.canPropose, NewID: n.newID, Now: time.Now, Logger: n.Logger, Metrics: &n.Metrics, IdleInterval: set.Times.IdleRoundInterval,
	}
	policy := placement.Policy{CompletionWeight: set.Policy.CompletionWeight, FragmentationWeight: set.Policy.FragmentationWeight}
	n.replica = &replica.Replica{
		Log: log, Writer: n.Writer, Logger: n.Logger, LogRetention: set.Times.LogRetention, SnapshotRecords: set.Limits.SnapshotRecords,
		Join: record.Join{Name: set.Instance.Name, Addr: n.PeerListener.Addr().String(), Domain: set.Instance.Domain, Version: record.Version},
		OnLoad: func(s *state.State) {
			n.storeMembers(s)
			n.schedulerLoop.Load(s, policy)
		},
		OnDecision: n.observeDecision,
	}
	r := n.replica
	n.schedulerLoop.View, n.schedulerLoop.Propose, n.schedulerLoop.Changed = r.View, r.Propose, r.Changed
	client := &worker.Client{}
	n.leaseKeeper = &worker.LeaseKeeper{
		View: r.View, Propose: r.Propose, Changed: r.Changed, Rank: n.rank, Fresh: n.canRenewLeases, Sync: client.Sync,
		Lease: set.Times.LeaseDuration, Logger: n.Logger,
	}
	n.gangStarter = &worker.GangStarter{
		View: r.View, Propose: r.Propose, Changed: r.Changed, Rank: n.rank, Fresh: n.canPropose, Sync: client.Sync,
		Lease: set.Times.LeaseDuration, Logger: n.Logger,
	}
	n.table = &route.Table{}
	servers := &backend.Client{MaxConnections: n.table.Connections}
	n.router = &caller.Router{
		Table: n.table, Writer: n.Writer, View: r.View, Propose: r.Propose, Changed: r.Changed, NotAppended: notAppended,
		Send: servers.Do, Probe: servers.Probe, OnShareChange: servers.TrimIdle, Count: n.countRequest, Logger: n.Logger,
	}
	n.peers = &peer.Client{}
	if n.keys != nil {
		n.peers.Dial = n.dialPeer
	}
	list := &stream.Directory{URL: set.Platform.ListURL}
	n.leavingWatcher = &leavingWatcher{list: list.List, setLeaving: n.table.SetLeaving, logger: n.Logger}
	n.failureDetector = &member.FailureDetector{
		Writer: n.Writer, View: r.View, Propose: r.Propose, ListInstances: list.List, Ping: n.peers.Ping, AskReach: n.peers.CanReachMember,
		Fresh: n.canPropose, Logger: n.Logger,
	}
	n.registerGauges()
}

// Ready returns nil if the load balancer may send requests to this instance.
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

// NotReadyError reports why the load balancer must not send requests to the
// instance.
type NotReadyError struct{ Reason string }

// Error returns the reason.
func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }

// Status returns the status of the replica: how far it has applied the log and
// whether that is current.
func (n *Instance) Status() replica.Status { return n.replica.Status() }

// View calls f with the instance's state under its read lock.
func (n *Instance) View(f func(*state.State)) { n.replica.View(f) }

// Drain starts a graceful shutdown. Run returns when it is complete.
func (n *Instance) Drain() {
	if n.draining.CompareAndSwap(false, true) {
		close(n.drainStarted)
	}
}

// Run serves until the context ends, the instance is drained, or this incarnation
// is fenced. It returns *replica.FencedError if the incarnation is fenced.
func (n *Instance) Run(ctx context.Context) error {
	var g run.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	actors := []struct {
		name string
		run  func(context.Context) error
	}{
		{"replica", n.replica.Run},
		{"decider", n.schedulerLoop.Run},
		{"keeper", n.leaseKeeper.Run},
		{"starter", n.gangStarter.Run},
		{"router", n.router.Run},
		{"liveness", n.failureDetector.Run},
		{"listing", n.leavingWatcher.run},
		{"peers", n.servePeers},
		{"drain", n.awaitDrain},
	}
	for _, a := range actors {
		g.Add(func() error {
			err := a.run(ctx)
			if err != nil && !errors.Is(err, context.Canceled) {
				n.Logger.Info("a part of the instance ended; the instance stops", zap.String("actor", a.name), zap.Error(err))
				err = merry.Prepend(err, a.name)
			}
			return err
		}, func(error) { cancel() })
	}
	for _, h := range []struct {
		class  admission.Class
		server *http.Server
		l      net.Listener
	}{{admission.Callers, n.callerServer(), n.CallerListener}, {admission.Operators, n.operatorServer(), n.OperatorListener}} {
		n.bounds[h.class].Attach(h.server)
		g.Add(func() error {
			if err := h.server.Serve(h.l); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		}, func(error) { _ = h.server.Close() })
	}
	n.Logger.Info("listening", zap.Stringer("peers", n.PeerListener.Addr()), zap.Stringer("callers", n.CallerListener.Addr()),
		zap.Stringer("operators", n.OperatorListener.Addr()))
	err := g.Run()
	n.peers.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// awaitDrain waits for Drain and then shuts the instance down in three steps: it
// waits until the load balancer sends no more requests, drains the requests in
// flight, and finally appends a leave record to the log.
func (n *Instance) awaitDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.drainStarted:
	}
	n.Logger.Info("drain started; waiting for the load balancer", zap.Duration("balancer", n.Settings.Times.BalancerDelay))
	sleep(ctx, n.Settings.Times.BalancerDelay)
	ctx, cancel := context.WithTimeout(ctx, n.Settings.Times.DrainTimeout)
	defer cancel()
	if err := n.router.Drain(ctx); err != nil {
		n.Logger.Warn("drain timed out with unfinished requests; shutting down", zap.Error(err))
	}
	rec, err := record.New(record.KindLeave, n.newID(), record.Leave{})
	if err != nil {
		return err
	}
	if _, err := n.replica.Propose(ctx, rec); err != nil {
		// If the leave record was not appended, the other instances evict this one.
		n.Logger.Warn("leave record failed or its outcome is unknown; other instances may have to evict this one", zap.Error(err))
	}
	n.Logger.Info("drained")
	return nil
}

func (n *Instance) servePeers(ctx context.Context) error {
	s := &peer.Server{
		Writer: n.Writer,
		AppliedOffset: func() peer.Applied {
			st := n.appliedStatus()
			return peer.Applied{Writer: n.Writer, Offset: st.Offset, Chain: st.Chain}
		},
		CanReachMember: n.failureDetector.Reach,
		MaxConns:       withClosing(maxPeerConnections),
		Logger:         n.Logger,
	}
	return s.Serve(ctx, n.PeerListener)
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
		MaxBodyBytes: int64(set.Limits.MaxBodyBytes), MaxHeaderBytes: set.Limits.MaxHeaderBytes, MaxConns: withClosing(set.Limits.MaxConnections), Bodies: n.admission.Bodies,
		MaxAccountRequests: set.Limits.MaxAccountRequests, ReadTimeout: set.Times.ReadTimeout, IdleTimeout: set.Times.IdleTimeout,
	}
	return api.Server()
}

func (n *Instance) operatorServer() *http.Server {
	set := n.Settings
	api := &operator.API{
		Operators: set.Operators, Logger: n.Logger, Metrics: &n.Metrics, MaxBodyBytes: int64(set.Limits.MaxBodyBytes),
		View: n.replica.View, Propose: n.replica.Propose, Status: n.replica.Status,
		CheckHealth: func() error { return nil }, CheckReady: n.Ready,
		MemberOffset: n.memberOffset, PlanBlocks: planBlocks, Explain: n.explain, Drain: n.Drain, NewID: n.newID,
	}
	return &http.Server{
		Handler: api.Handler(), MaxHeaderBytes: set.Limits.MaxHeaderBytes, ReadTimeout: set.Times.ReadTimeout,
		ReadHeaderTimeout: set.Times.ReadTimeout, IdleTimeout: set.Times.IdleTimeout, WriteTimeout: time.Minute,
	}
}

// appliedStatus updates the router to the replica's state and returns the
// replica's status. All parts of the instance then use the state at its offset
// or a newer one.
func (n *Instance) appliedStatus() replica.Status {
	st := n.replica.Status()
	n.router.UpdateTo(st.Offset)
	return st
}

func (n *Instance) memberOffset(ctx context.Context, m *state.Member) (uint64, error) {
	if m.Writer == n.Writer {
		return n.appliedStatus().Offset, nil
	}
	a, err := n.peers.AppliedOffset(ctx, m.Addr)
	return a.Offset, err
}

func (n *Instance) explain(s *state.State, job string) operator.Explanation {
	e := n.schedulerLoop.Explain(s, job)
	return operator.Explanation{Reason: e.Detail, Change: e.Change}
}

func planBlocks(s *state.State, account string, body []byte) ([]record.Block, error) {
	guarantees, err := state.ParseGuarantees(body)
	if err != nil {
		return nil, err
	}
	return placement.PlanBlocks(s, account, guarantees)
}

// notAppended reports whether err says that the proposed records are certainly
// not in the log.
func notAppended(err error) bool {
	var e *replica.NotAppendedError
	var q *replica.QueueFullError
	var z *record.SizeError
	return errors.As(err, &e) || errors.As(err, &q) || errors.As(err, &z)
}

func (n *Instance) newID() string {
	return fmt.Sprintf("%s.%d", n.Writer, n.ids.Add(1))
}

// rank returns this instance's rank among the members for the subject, counted
// from 0, or -1 if it is not a member. It takes no lock, because it is also
// called under the replica's read lock, and a nested read lock would deadlock
// with a waiting writer.
func (n *Instance) rank(subject string) int {
	members := n.members.Load()
	if members == nil {
		return -1
	}
	return member.Rank(*members, subject, n.Writer)
}

// storeMembers stores a copy of the members, which rank reads without a lock.
func (n *Instance) storeMembers(s *state.State) {
	members := make([]*state.Member, len(s.Members))
	for i, m := range s.Members {
		c := *m
		members[i] = &c
	}
	n.members.Store(&members)
}

// canPropose reports whether the instance may propose new records of its own:
// the state is current and the log is available.
func (n *Instance) canPropose() bool {
	st := n.replica.Status()
	return st.Fresh && st.Ready && !st.LogDown && !st.Upgrade && !st.Fenced
}

// canRenewLeases reports whether the instance may renew leases: the state is
// current, or the log is unavailable, so that no newer records can exist.
func (n *Instance) canRenewLeases() bool {
	st := n.replica.Status()
	return st.Fresh && st.Ready && !st.Upgrade && !st.Fenced
}
