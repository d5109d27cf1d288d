package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"

	"go.uber.org/zap"
)

// serviceName is the name under which the methods are registered with net/rpc.
const serviceName = "Peer"

// Server answers the calls of other instances. Its fields must be set before
// Serve is called. Calls of a method whose function is nil get an error.
type Server struct {
	Writer         string                                         // identifies this incarnation
	AppliedOffset  func() Applied                                 // the offset that this instance has applied
	BackendLoads   func() []Load                                  // load of the backend servers as this instance sees it
	ProbeWorker    func(ctx context.Context, worker string) error // fails if this instance cannot reach the worker
	CanReachMember func(ctx context.Context, writer string) bool  // reports whether this instance can reach the member
	MaxConns       int                                            // limit of simultaneous connections; default 512
	Logger         *zap.Logger                                    // nil disables logging
}

// Applied is the log offset up to which an instance has applied the log.
type Applied struct {
	Writer string
	Offset uint64 // of the next entry to apply
	Chain  uint64 // digest of the state at Offset
}

// Load is the load of one backend server as one instance sees it.
type Load struct {
	Service  string
	Server   string
	InFlight int   // requests in flight from the reporting instance
	Idle     int   // idle slots that the server reported
	At       int64 // time of the server's report, Unix milliseconds
}

// Empty is the argument of methods without parameters.
type Empty struct{}

// PingAnswer is the reply of Ping; it identifies the answering incarnation.
type PingAnswer struct {
	Writer string
}

// Name is the argument of Probe and Reach: the name of a worker, or the writer
// of a member.
type Name struct {
	Name string
}

// Verdict is the reply of Probe and Reach.
type Verdict struct {
	Reached bool
	Cause   string // why the target was not reached
}

// LoadAnswer is the reply of Load.
type LoadAnswer struct {
	Loads []Load
}

// UnsupportedError reports a method that the instance does not serve.
type UnsupportedError struct {
	Method string
}

// Error returns a message with the method.
func (e *UnsupportedError) Error() string { return "method not served: " + e.Method }

// Serve accepts connections from the listener and answers their calls until the
// context ends. It then closes the listener and all connections. Serve fails
// with the listener's error.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	srv := rpc.NewServer()
	if err := srv.RegisterName(serviceName, &service{s, ctx}); err != nil {
		return err
	}
	limit := s.MaxConns
	if limit == 0 {
		limit = 512
	}
	logger := s.Logger
	if logger == nil {
		logger = zap.NewNop()
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	slots := make(chan struct{}, limit)
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			return err
		}
		select {
		case slots <- struct{}{}:
		default:
			logger.Warn("closed a peer connection: connection limit reached", zap.Int("limit", limit))
			_ = conn.Close()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			done := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer done()
			srv.ServeConn(newMessageConn(conn))
		})
	}
}

// service holds the methods that are registered with net/rpc.
type service struct {
	s   *Server
	ctx context.Context
}

// Ping returns the writer that identifies the incarnation.
func (v *service) Ping(_ Empty, a *PingAnswer) error {
	a.Writer = v.s.Writer
	return nil
}

// Offset returns the applied log offset and the digest there.
func (v *service) Offset(_ Empty, a *Applied) error {
	if v.s.AppliedOffset == nil {
		return &UnsupportedError{"Offset"}
	}
	*a = v.s.AppliedOffset()
	a.Writer = v.s.Writer
	return nil
}

// Load returns the load of the backend servers.
func (v *service) Load(_ Empty, a *LoadAnswer) error {
	if v.s.BackendLoads == nil {
		return &UnsupportedError{"Load"}
	}
	a.Loads = v.s.BackendLoads()
	return nil
}

// Probe returns whether this instance can reach a worker.
func (v *service) Probe(q Name, a *Verdict) error {
	if v.s.ProbeWorker == nil {
		return &UnsupportedError{"Probe"}
	}
	err := v.s.ProbeWorker(v.ctx, q.Name)
	a.Reached = err == nil
	if err != nil {
		a.Cause = err.Error()
	}
	return nil
}

// Reach returns whether this instance can reach a member.
func (v *service) Reach(q Name, a *Verdict) error {
	if v.s.CanReachMember == nil {
		return &UnsupportedError{"Reach"}
	}
	a.Reached = v.s.CanReachMember(v.ctx, q.Name)
	return nil
}
