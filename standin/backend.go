package standin

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BackendFault is a fault that a backend server injects.
type BackendFault string

// Faults of a backend server.
const (
	BackendHealthy   BackendFault = ""
	BackendStall     BackendFault = "stall"     // accepts requests, but answers none until the fault changes
	BackendSlow      BackendFault = "slow"      // takes ten times the service time
	BackendCrash     BackendFault = "crash"     // closes the connection after running the request
	BackendTruncate  BackendFault = "truncate"  // sends half of the body
	BackendCross     BackendFault = "cross"     // swaps the answers of two requests; the first waits up to 100 ms for the second
	BackendDuplicate BackendFault = "duplicate" // sends every answer twice
	BackendLate      BackendFault = "late"      // delays the answer by one second
	BackendRefuse    BackendFault = "refuse"    // answers busy without running the request
	BackendSplit     BackendFault = "split"     // sends the answer in pieces of 7 bytes
	BackendSwap      BackendFault = "swap"      // sends the right header with the body of another request
	BackendDrop      BackendFault = "drop"      // closes the connection before running the request
)

// Execution is one entry of the audit trail.
type Execution struct {
	Server  string
	Request string
	Attempt string
	At      time.Time // when the request arrived
	Done    bool      // whether the request ran to its end
}

// Backends is a stand-in for any number of backend servers in one process. Set
// the fields before Add. It is safe for concurrent use.
type Backends struct {
	ServiceTime time.Duration                               // service time of a request; default 0
	Slots       int                                         // concurrent requests of one server; default 8
	Backlog     int                                         // requests that wait for a slot of one server; default 8
	MaxConns    int                                         // open connections of one server; default 60
	Answer      func(server, id string, body []byte) []byte // default: the request's ID, a space and its body
	Network     *Network                                    // default: the loopback interface

	mu      sync.Mutex
	servers []*BackendServer
	audit   []Execution
}

// BackendServer is one stand-in for a backend server.
type BackendServer struct {
	Name string
	Addr string // IP:port on loopback

	backends *Backends
	listener net.Listener
	slots    chan struct{}

	mu           sync.Mutex
	fault        BackendFault
	leaving      bool
	load         int
	conns        map[net.Conn]bool
	peakConns    int
	refusedConns int
	pendingSwap  *answerSwap
	done         chan struct{} // closed at Close
	faultChanged chan struct{} // closed at the next change of the fault
}

// answerSwap is an answer that waits to be swapped with another.
type answerSwap struct {
	answer []byte
	other  chan []byte
}

// Add starts a server on a free loopback port. It fails if there is none.
func (b *Backends) Add(name string) (*BackendServer, error) { return b.AddAt(name, "127.0.0.1:0") }

// AddAt starts a server at the address, IP:port. It fails if it cannot listen
// there.
func (b *Backends) AddAt(name, addr string) (*BackendServer, error) {
	listen := net.Listen
	if b.Network != nil {
		listen = b.Network.Listen
	}
	l, err := listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if b.Slots == 0 {
		b.Slots = 8
	}
	if b.Backlog == 0 {
		b.Backlog = 8
	}
	if b.MaxConns == 0 {
		b.MaxConns = 60
	}
	s := &BackendServer{
		Name: name, Addr: l.Addr().String(), backends: b, listener: l, slots: make(chan struct{}, b.Slots),
		conns: map[net.Conn]bool{}, done: make(chan struct{}), faultChanged: make(chan struct{}),
	}
	b.mu.Lock()
	b.servers = append(b.servers, s)
	b.mu.Unlock()
	go s.accept()
	return s, nil
}

// Servers returns all servers in the order of Add.
func (b *Backends) Servers() []*BackendServer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.servers)
}

// Audit returns the audit trail: every execution in order of arrival.
func (b *Backends) Audit() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.audit)
}

// Executions returns how often each request ID ran.
func (b *Backends) Executions() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for _, e := range b.audit {
		out[e.Request]++
	}
	return out
}

// Close stops all servers.
func (b *Backends) Close() {
	for _, s := range b.Servers() {
		s.Close()
	}
}

// Close stops the server and closes its connections.
func (s *BackendServer) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
		return
	default:
	}
	close(s.done)
	s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
}

// SetFault changes the fault. Stalled requests continue if it is no longer BackendStall.
func (s *BackendServer) SetFault(f BackendFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.faultChanged)
	s.faultChanged = make(chan struct{})
}

// SetLeaving sets the Leaving header of all further answers. The server still
// runs requests, so that the audit trail shows those sent to a leaving server.
func (s *BackendServer) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// ConnCounts returns the highest number of open connections so far, and the
// number of connections refused because of MaxConns.
func (s *BackendServer) ConnCounts() (open, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakConns, s.refusedConns
}

func (s *BackendServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		full := len(s.conns) >= s.backends.MaxConns
		if full {
			s.refusedConns++
		} else {
			s.conns[c] = true
			s.peakConns = max(s.peakConns, len(s.conns))
		}
		s.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		go s.serve(c)
	}
}

// serve reads requests from one connection. It writes the answers itself rather
// than by net/http, so that faults can corrupt them.
func (s *BackendServer) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, 16<<20))
		if err != nil {
			return
		}
		if req.URL.Path == "/probe" {
			stalled := s.currentFault() == BackendStall
			if stalled && !s.waitWhileStalled(r) || !s.write(c, s.probeResponse()) || stalled {
				return
			}
			continue
		}
		if !s.serveRequest(c, r, req, body) {
			return
		}
	}
}

func (s *BackendServer) currentFault() BackendFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// serveRequest serves one request and reports whether the connection stays open.
func (s *BackendServer) serveRequest(c net.Conn, r *bufio.Reader, req *http.Request, body []byte) bool {
	arrived := time.Now()
	id := req.Header.Get("Request-Id")
	fault := s.currentFault()
	switch fault {
	case BackendRefuse:
		return s.write(c, s.formatResponse(req, http.StatusServiceUnavailable, nil, "busy"))
	case BackendDrop:
		return false
	}
	ctx := context.Background()
	if ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if reason := s.acquireSlot(ctx); reason != "" {
		return s.write(c, s.formatResponse(req, http.StatusServiceUnavailable, nil, reason))
	}
	n := s.recordExecution(Execution{Server: s.Name, Request: id, Attempt: req.Header.Get("Attempt-Id"), At: arrived})
	service := s.backends.ServiceTime
	if fault == BackendSlow {
		service *= 10
	}
	ok := sleep(service, s.done)
	if fault == BackendStall {
		ok = s.waitWhileStalled(r)
	}
	if ok {
		s.markDone(n)
	}
	out := fmt.Appendf(nil, "%s %s", id, body)
	if s.backends.Answer != nil {
		out = s.backends.Answer(s.Name, id, body)
	}
	answer := s.formatResponse(req, http.StatusOK, out, "")
	s.releaseSlot()
	if !ok {
		return false
	}
	return s.sendAnswer(c, fault, answer, out)
}

// sendAnswer writes the answer, corrupted as the fault demands, and reports
// whether the connection stays open.
func (s *BackendServer) sendAnswer(c net.Conn, fault BackendFault, answer, body []byte) bool {
	switch fault {
	case BackendStall:
		s.write(c, answer)
		return false
	case BackendCrash:
		return false
	case BackendTruncate:
		s.write(c, answer[:len(answer)-(len(body)+1)/2])
		return false
	case BackendCross:
		return s.write(c, s.swapAnswer(answer))
	case BackendSwap:
		other := s.swapAnswer(answer)
		head, _, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
		_, tail, _ := bytes.Cut(other, []byte("\r\n\r\n"))
		return s.write(c, slices.Concat(head, []byte("\r\n\r\n"), tail))
	case BackendDuplicate:
		return s.write(c, slices.Concat(answer, answer))
	case BackendLate:
		return sleep(time.Second, s.done) && s.write(c, answer)
	case BackendSplit:
		for len(answer) > 0 {
			n := min(7, len(answer))
			if !s.write(c, answer[:n]) {
				return false
			}
			answer = answer[n:]
		}
		return true
	}
	return s.write(c, answer)
}

// acquireSlot waits for a slot. It returns the reason of a refusal, or "".
func (s *BackendServer) acquireSlot(ctx context.Context) string {
	s.mu.Lock()
	if s.load >= s.backends.Slots+s.backends.Backlog {
		s.mu.Unlock()
		return "busy"
	}
	s.load++
	s.mu.Unlock()
	select {
	case s.slots <- struct{}{}:
		return ""
	case <-ctx.Done():
		s.mu.Lock()
		s.load--
		s.mu.Unlock()
		return "deadline"
	case <-s.done:
		return "leaving"
	}
}

func (s *BackendServer) releaseSlot() {
	<-s.slots
	s.mu.Lock()
	s.load--
	s.mu.Unlock()
}

func (s *BackendServer) recordExecution(e Execution) int {
	s.backends.mu.Lock()
	defer s.backends.mu.Unlock()
	s.backends.audit = append(s.backends.audit, e)
	return len(s.backends.audit) - 1
}

func (s *BackendServer) markDone(n int) {
	s.backends.mu.Lock()
	defer s.backends.mu.Unlock()
	s.backends.audit[n].Done = true
}

// waitWhileStalled waits until the fault is no longer BackendStall. It returns
// false if the server or the client closes the connection first. The connection
// cannot be read afterwards.
func (s *BackendServer) waitWhileStalled(r *bufio.Reader) bool {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		// A client sends nothing more before the answer, so this returns only
		// when the connection is closed.
		r.Peek(1)
	}()
	for {
		s.mu.Lock()
		fault, change := s.fault, s.faultChanged
		s.mu.Unlock()
		if fault != BackendStall {
			return true
		}
		select {
		case <-change:
		case <-gone:
			return false
		case <-s.done:
			return false
		}
	}
}

// swapAnswer swaps the answer with that of another request. It returns the same
// answer if there is no other request within 100 ms.
func (s *BackendServer) swapAnswer(answer []byte) []byte {
	s.mu.Lock()
	if x := s.pendingSwap; x != nil {
		s.pendingSwap = nil
		s.mu.Unlock()
		x.other <- answer
		return x.answer
	}
	x := &answerSwap{answer, make(chan []byte, 1)}
	s.pendingSwap = x
	s.mu.Unlock()
	t := time.NewTimer(100 * time.Millisecond)
	defer t.Stop()
	select {
	case other := <-x.other:
		return other
	case <-t.C:
	}
	s.mu.Lock()
	if s.pendingSwap == x {
		s.pendingSwap = nil
		s.mu.Unlock()
		return answer
	}
	s.mu.Unlock()
	return <-x.other
}

func (s *BackendServer) write(c net.Conn, data []byte) bool {
	_, err := c.Write(data)
	return err == nil
}

// loadHeaders returns the headers that report the server's load.
func (s *BackendServer) loadHeaders() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("Load: %d\r\nLeaving: %t\r\n", s.load, s.leaving)
}

func (s *BackendServer) probeResponse() []byte {
	return []byte("HTTP/1.1 204 No Content\r\n" + s.loadHeaders() + "\r\n")
}

func (s *BackendServer) formatResponse(req *http.Request, status int, body []byte, refused string) []byte {
	fate := "done"
	if refused != "" {
		fate = "notrun"
	}
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nAttempt-Id: %s\r\nFate: %s\r\nReason: %s\r\n%sAnswer-Length: %d\r\nContent-Length: %d\r\nChecksum: %x\r\n\r\n",
		status, http.StatusText(status), req.Header.Get("Request-Id"), req.Header.Get("Attempt-Id"), fate, refused, s.loadHeaders(),
		len(body), len(body), xxhash.Sum64(body))
	return append(out, body...)
}
