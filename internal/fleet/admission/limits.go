package admission

import "time"

const (
	// bodyDivisor gives request bodies an eighth of the memory limit. With the
	// overhead of garbage collection (GOGC 50 to 200, up to a soft limit of 0.6)
	// and the connections, more than half of the limit is left for the replicated
	// state and the rest of the process.
	bodyDivisor = 8

	// minBodyBytes lets a process with little memory still read one relayed call
	// of the largest size (4 MiB) in the share of large bodies.
	minBodyBytes = 8 << 20

	// smallDivisor gives small bodies a quarter of the bytes of all bodies.
	smallDivisor = 4

	// SmallBody is the size up to which a body belongs to the share of small
	// bodies. Ordinary jobs have a few KB.
	SmallBody = 16 << 10

	// connectionBytes is what a connection may hold: its goroutine, the buffers
	// of net/http and a header of 16 KiB (36 KiB, 54 KiB with the overhead of
	// garbage collection), and the socket's buffers.
	connectionBytes = 96 << 10

	// connectionShare is the share of the memory limit for connections.
	connectionShare = 0.3

	// reservedFiles are the descriptors that the platform reserves for files.
	reservedFiles = 200

	// fileDivisor gives clients a fifth of the other descriptors. Idle connections
	// to workers may hold 0.6 of all, and calls in progress need the rest.
	fileDivisor = 5

	// minConnections is the smallest bound of a listener.
	minConnections = 8

	// The limits of a process whose own limits are unknown.
	defaultBodyBytes   = 256 << 20
	defaultConnections = 2000

	// DefaultBodyTime is how long a body may take to arrive if its caller names no
	// deadline. Callers without one are answered within 3 s of their body.
	DefaultBodyTime = 10 * time.Second

	// MaxBodyTime bounds the time that a caller's deadline gives a body.
	MaxBodyTime = time.Minute

	// writeTimeout is how long a client may leave one piece of an answer unread.
	// Callers wait at most 3 s for an answer.
	writeTimeout = 5 * time.Second

	// drainTime is how long the rest of an unread body is discarded after the
	// answer, so that a client that is still sending can read the answer.
	drainTime = 250 * time.Millisecond
)

// Class is a kind of listener.
type Class int

// The classes of listeners.
const (
	Callers Class = iota
	Peers
	Ready
	Metrics
	Operators
)

// String returns the name of the class in log lines and metrics.
func (c Class) String() string {
	return [...]string{"callers", "peers", "ready", "metrics", "operators"}[c]
}

// Limits are what the clients of a process may hold.
type Limits struct {
	Bodies    int64           // bytes of all request bodies
	Listeners map[Class]Bound // a listener of another class is not bounded
}

// Bound is what the connections of one listener may hold.
type Bound struct {
	Connections int // open connections
	SocketBytes int // size of a socket's receive buffer and of its send buffer; 0 is that of the system
}

// NewLimits derives the limits from the memory limit in bytes and the limit of open
// descriptors of the process. Zero means that a limit is unknown.
func NewLimits(memory int64, files int) Limits {
	connections := defaultConnections
	l := Limits{Bodies: defaultBodyBytes}
	if memory > 0 {
		l.Bodies = max(memory/bodyDivisor, minBodyBytes)
		connections = min(connections, int(connectionShare*float64(memory)/connectionBytes))
	}
	if files > 0 {
		connections = min(connections, (files-reservedFiles)/fileDivisor)
	}
	bound := func(percent, socketBytes int) Bound {
		return Bound{max(minConnections, connections*percent/100), socketBytes}
	}
	// The largest deployments have 45 instances with 4 connections each to a peer.
	// Probes and readers of the metrics use a few connections. A caller's socket of
	// 16 KiB carries a body of the largest size (262,144 bytes) in 16 round trips;
	// relayed calls are larger.
	l.Listeners = map[Class]Bound{Callers: bound(50, 16<<10), Peers: bound(40, 32<<10), Ready: bound(5, 4<<10), Metrics: bound(5, 16<<10)}
	return l
}

// LargeBodies returns the bytes that all bodies above SmallBody may hold together.
func (l Limits) LargeBodies() int64 { return l.Bodies - l.Bodies/smallDivisor }
