package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

func postRequest(s *BackendServer, id, deadline string) (*http.Response, string, error) {
	req, err := http.NewRequest("POST", "http://"+s.Addr+"/run/badges", strings.NewReader("x"))
	if err != nil {
		return nil, "", err
	}
	req.Header = http.Header{"Request-Id": {id}, "Attempt-Id": {"a" + id}, "Deadline-Ms": {deadline}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// TestBackendSlots guards against a server that runs more than Slots requests at
// once, queues more than Backlog, runs a request that it refuses, or has a wrong
// audit trail, on which other tests rely.
func TestBackendSlots(t *testing.T) {
	is := is.New(t)
	b := &Backends{Slots: 2, Backlog: 1, ServiceTime: 300 * time.Millisecond}
	defer b.Close()
	s, err := b.Add("s0")
	is.NoErr(err)
	begin := time.Now()
	var mu sync.Mutex
	reasons := map[string]int{}
	var wg sync.WaitGroup
	for i := range 5 {
		wg.Go(func() {
			resp, body, err := postRequest(s, fmt.Sprint(i), "5000")
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reasons[resp.Header.Get("Fate")+resp.Header.Get("Reason")]++
			if resp.StatusCode == 200 && body != fmt.Sprint(i, " x") {
				t.Errorf("answer %q", body)
			}
		})
	}
	wg.Wait()
	is.Equal(reasons, map[string]int{"done": 3, "notrunbusy": 2})
	is.True(time.Since(begin) >= 600*time.Millisecond)
	is.Equal(len(b.Audit()), 3)
	for _, e := range b.Audit() {
		is.True(e.Done)
		is.Equal(e.Attempt, "a"+e.Request)
	}
	is.Equal(len(b.Executions()), 3)
}

// TestBackendDeadline guards against running a request whose deadline passed
// while it waited for a slot.
func TestBackendDeadline(t *testing.T) {
	is := is.New(t)
	b := &Backends{Slots: 1}
	defer b.Close()
	s, err := b.Add("s0")
	is.NoErr(err)
	s.SetFault(BackendStall)
	done := make(chan error)
	go func() {
		_, _, err := postRequest(s, "1", "5000")
		done <- err
	}()
	for len(b.Audit()) == 0 {
		time.Sleep(time.Millisecond)
	}
	resp, _, err := postRequest(s, "2", "50")
	is.NoErr(err)
	is.Equal(resp.Header.Get("Reason"), "deadline")
	is.Equal(resp.Header.Get("Load"), "1")
	s.SetFault(BackendHealthy) // lets the stalled request continue
	is.NoErr(<-done)
	is.Equal(b.Executions(), map[string]int{"1": 1})
}

// TestBackendConnections guards against connections beyond MaxConns that are not
// closed or not counted.
func TestBackendConnections(t *testing.T) {
	is := is.New(t)
	b := &Backends{MaxConns: 2}
	defer b.Close()
	s, err := b.Add("s0")
	is.NoErr(err)
	for range 3 {
		c, err := net.Dial("tcp", s.Addr)
		is.NoErr(err)
		defer c.Close()
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		c.Read(make([]byte, 1)) // returns at once on a refused connection
	}
	open, refused := s.ConnCounts()
	is.Equal(open, 2)
	is.Equal(refused, 1)
}
