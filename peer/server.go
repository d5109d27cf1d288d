package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"

	"go.uber.org/zap"
)

// serviceName is the name under which net/rpc knows the methods.
const serviceName = "Peer"

// Server answers other instances. Fields are set before Serve; a function that
// is nil is answered with an error.
type Server struct {
	Writer   string                                         // this incarnation
	Offset   func() Applied                                 // what is folded here
	Load     func() []Load                                  // load of backend servers as seen here
	Probe    func(ctx context.Context, worker string) error // whether this instance reaches a worker
	Reach    func(ctx context.Context, writer string) bool  // whether this instance reaches a member
	MaxConns int                                            // connections at once; default 512
	Logger   *zap.Logger                                    // none if nil
}

// Applied says how far an instance has folded the log.
type Applied struct {
	Writer string
	Offset uint64 // next entry to fold
	Chain  uint64 // digest at Offset
}

// Load is the load of one backend server as one instance sees it.
type Load struct {
	Service  string
	Server   string
	InFlight int   // requests of this instance
	Idle     int   // slots that the server reported idle
	At       int64 // when that was, Unix milliseconds
}

// Empty is the request of methods without parameters.
type Empty struct{}

// PingAnswer identifies the answering incarnation.
type PingAnswer struct {
	Writer string
}

// Name is a request about one worker or member.
type Name struct {
	Name string
}

// Verdict is the answer to a probe.
type Verdict struct {
	Reached bool
	Cause   string // why not
}

// LoadAnswer carries the loads.
type LoadAnswer struct {
	Loads []Load
}

// UnsupportedError reports a method that the instance does not serve.
type UnsupportedError struct {
	Method string
}

// Error names the method.
func (e *UnsupportedError) Error() string { return "method not served: " + e.Method }

// Serve answers connections from the listener until the context ends, and then
// closes the listener and all connections. It fails with the listener's error.
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
			logger.Warn("peer connection refused", zap.Int("limit", limit))
			_ = conn.Close()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			done := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer done()
			srv.ServeConn(conn)
		})
	}
}

// service has the methods that net/rpc calls.
type service struct {
	s   *Server
	ctx context.Context
}

// Ping answers with the incarnation.
func (v *service) Ping(_ Empty, a *PingAnswer) error {
	a.Writer = v.s.Writer
	return nil
}

// Offset answers with the applied offset and digest.
func (v *service) Offset(_ Empty, a *Applied) error {
	if v.s.Offset == nil {
		return &UnsupportedError{"Offset"}
	}
	*a = v.s.Offset()
	a.Writer = v.s.Writer
	return nil
}

// Load answers with the load of backend servers.
func (v *service) Load(_ Empty, a *LoadAnswer) error {
	if v.s.Load == nil {
		return &UnsupportedError{"Load"}
	}
	a.Loads = v.s.Load()
	return nil
}

// Probe answers whether a worker is reached from here.
func (v *service) Probe(q Name, a *Verdict) error {
	if v.s.Probe == nil {
		return &UnsupportedError{"Probe"}
	}
	err := v.s.Probe(v.ctx, q.Name)
	a.Reached = err == nil
	if err != nil {
		a.Cause = err.Error()
	}
	return nil
}

// Reach answers whether a member is reached from here.
func (v *service) Reach(q Name, a *Verdict) error {
	if v.s.Reach == nil {
		return &UnsupportedError{"Reach"}
	}
	a.Reached = v.s.Reach(v.ctx, q.Name)
	return nil
}
