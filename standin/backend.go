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

// BackendFault is a fault that a backend server shows.
type BackendFault string

// Faults of a backend server.
const (
	BackendFine      BackendFault = ""
	BackendStall     BackendFault = "stall"     // takes requests and never answers
	BackendSlow      BackendFault = "slow"      // takes ten times as long
	BackendCrash     BackendFault = "crash"     // closes the connection after running the request
	BackendTruncate  BackendFault = "truncate"  // answers with half of the body
	BackendCross     BackendFault = "cross"     // swaps the answers of two requests; one alone waits for a second up to 100 ms
	BackendDuplicate BackendFault = "duplicate" // sends every answer twice
	BackendLate      BackendFault = "late"      // answers one second late
	BackendRefuse    BackendFault = "refuse"    // answers busy without running the request
	BackendSplit     BackendFault = "split"     // sends the answer in small pieces
	BackendSwap      BackendFault = "swap"      // sends the body of another request under the right header
	BackendDrop      BackendFault = "drop"      // closes the connection before running the request
)

// Execution is one entry of the audit trail.
type Execution struct {
	Server  string
	Request string
	Attempt string
	At      time.Time // when the request arrived
	Done    bool      // it ran to its end
}

// Backends is a stand-in for many backend servers in one process. Fields are
// set before Add; it is safe for concurrent use.
type Backends struct {
	Service time.Duration                               // service time of a request; default none
	Slots   int                                         // requests that run at once in one server; default 8
	Backlog int                                         // requests that wait for a slot in one server; default 8
	Conns   int                                         // connections that one server accepts; default 60
	Answer  func(server, id string, body []byte) []byte // default: the request's id, a space and its body
	Network *Network                                    // default: the loopback interface

	mu      sync.Mutex
	servers []*BackendServer
	trail   []Execution
}

// BackendServer is one of the servers.
type BackendServer struct {
	Name string
	Addr string // IP:port on loopback

	b        *Backends
	listener net.Listener
	slots    chan struct{}

	mu      sync.Mutex
	fault   BackendFault
	leaving bool
	load    int
	open    map[net.Conn]bool
	peak    int
	over    int
	crossed *crossing
	done    chan struct{} // closed at Close
	change  chan struct{} // closed at the next change of the fault
}

// crossing is an answer that waits to be swapped.
type crossing struct {
	answer []byte
	other  chan []byte
}

// Add starts a server on a free loopback port; it fails when none is left.
func (b *Backends) Add(name string) (*BackendServer, error) { return b.AddAt(name, "127.0.0.1:0") }

// AddAt starts a server at the address, IP:port; it fails when that cannot be
// listened on.
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
	if b.Conns == 0 {
		b.Conns = 60
	}
	s := &BackendServer{
		Name: name, Addr: l.Addr().String(), b: b, listener: l, slots: make(chan struct{}, b.Slots),
		open: map[net.Conn]bool{}, done: make(chan struct{}), change: make(chan struct{}),
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

// Trail returns the audit trail: every execution in order of arrival.
func (b *Backends) Trail() []Execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.trail)
}

// Executions returns how often each request id ran.
func (b *Backends) Executions() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for _, e := range b.trail {
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

// Close stops the server and its connections.
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
	for c := range s.open {
		c.Close()
	}
}

// SetFault changes the fault; requests that stall go on when it changes.
func (s *BackendServer) SetFault(f BackendFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.change)
	s.change = make(chan struct{})
}

// SetLeaving sets the leaving header of all further answers. The server keeps
// running what it gets, so that the trail shows who still sends.
func (s *BackendServer) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Peak returns the highest number of connections so far, and how many were
// refused beyond the cap.
func (s *BackendServer) Peak() (open, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak, s.over
}

func (s *BackendServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		full := len(s.open) >= s.b.Conns
		if full {
			s.over++
		} else {
			s.open[c] = true
			s.peak = max(s.peak, len(s.open))
		}
		s.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		go s.serve(c)
	}
}

// serve reads requests from one connection; it writes answers itself so that
// it can damage them.
func (s *BackendServer) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.open, c)
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
			stalled := s.current() == BackendStall
			if stalled && !s.stall(r) || !s.write(c, s.probe()) || stalled {
				return
			}
			continue
		}
		if !s.request(c, r, req, body) {
			return
		}
	}
}

func (s *BackendServer) current() BackendFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// request handles one request and reports whether the connection stays open.
func (s *BackendServer) request(c net.Conn, r *bufio.Reader, req *http.Request, body []byte) bool {
	arrived := time.Now()
	id := req.Header.Get("Request-Id")
	fault := s.current()
	switch fault {
	case BackendRefuse:
		return s.write(c, s.format(req, http.StatusServiceUnavailable, nil, "busy"))
	case BackendDrop:
		return false
	}
	ctx := context.Background()
	if ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if reason := s.enter(ctx); reason != "" {
		return s.write(c, s.format(req, http.StatusServiceUnavailable, nil, reason))
	}
	n := s.record(Execution{Server: s.Name, Request: id, Attempt: req.Header.Get("Attempt-Id"), At: arrived})
	service := s.b.Service
	if fault == BackendSlow {
		service *= 10
	}
	ok := sleep(service, s.done)
	if fault == BackendStall {
		ok = s.stall(r)
	}
	if ok {
		s.finish(n)
	}
	out := fmt.Appendf(nil, "%s %s", id, body)
	if s.b.Answer != nil {
		out = s.b.Answer(s.Name, id, body)
	}
	answer := s.format(req, http.StatusOK, out, "")
	s.leave()
	if !ok {
		return false
	}
	return s.send(c, fault, answer, out)
}

// send writes the answer with the fault's damage.
func (s *BackendServer) send(c net.Conn, fault BackendFault, answer, body []byte) bool {
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
		return s.write(c, s.cross(answer))
	case BackendSwap:
		other := s.cross(answer)
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

// enter waits for a slot; it returns the reason for a refusal.
func (s *BackendServer) enter(ctx context.Context) string {
	s.mu.Lock()
	if s.load >= s.b.Slots+s.b.Backlog {
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

func (s *BackendServer) leave() {
	<-s.slots
	s.mu.Lock()
	s.load--
	s.mu.Unlock()
}

func (s *BackendServer) record(e Execution) int {
	s.b.mu.Lock()
	defer s.b.mu.Unlock()
	s.b.trail = append(s.b.trail, e)
	return len(s.b.trail) - 1
}

func (s *BackendServer) finish(n int) {
	s.b.mu.Lock()
	defer s.b.mu.Unlock()
	s.b.trail[n].Done = true
}

// stall waits until the fault changes; it returns false when the server
// closes or the client closes its connection. The connection cannot be read
// afterwards.
func (s *BackendServer) stall(r *bufio.Reader) bool {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		// A client sends nothing more before the answer, so this returns when
		// the connection ends.
		r.Peek(1)
	}()
	for {
		s.mu.Lock()
		fault, change := s.fault, s.change
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

// cross swaps the answer with that of another request; alone it gives up
// after 100 ms.
func (s *BackendServer) cross(answer []byte) []byte {
	s.mu.Lock()
	if x := s.crossed; x != nil {
		s.crossed = nil
		s.mu.Unlock()
		x.other <- answer
		return x.answer
	}
	x := &crossing{answer, make(chan []byte, 1)}
	s.crossed = x
	s.mu.Unlock()
	t := time.NewTimer(100 * time.Millisecond)
	defer t.Stop()
	select {
	case other := <-x.other:
		return other
	case <-t.C:
	}
	s.mu.Lock()
	if s.crossed == x {
		s.crossed = nil
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

func (s *BackendServer) notice() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("Load: %d\r\nLeaving: %t\r\n", s.load, s.leaving)
}

func (s *BackendServer) probe() []byte {
	return []byte("HTTP/1.1 204 No Content\r\n" + s.notice() + "\r\n")
}

func (s *BackendServer) format(req *http.Request, status int, body []byte, refused string) []byte {
	fate := "done"
	if refused != "" {
		fate = "notrun"
	}
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nAttempt-Id: %s\r\nFate: %s\r\nReason: %s\r\n%sAnswer-Length: %d\r\nContent-Length: %d\r\nChecksum: %x\r\n\r\n",
		status, http.StatusText(status), req.Header.Get("Request-Id"), req.Header.Get("Attempt-Id"), fate, refused, s.notice(),
		len(body), len(body), xxhash.Sum64(body))
	return append(out, body...)
}
