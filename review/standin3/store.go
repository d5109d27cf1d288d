package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeFault is what the store does with one call. The zero value serves it.
type storeFault struct {
	status int           // answered at once, and nothing is done
	silent bool          // nothing is done, and no answer comes
	lost   bool          // the call is done, and no answer comes
	late   time.Duration // with lost: the call is done only after this time
	delay  time.Duration // the call is done and answered after this time
}

// topic is partition 0 of a topic.
type topic struct {
	records [][]byte
	written []time.Time         // by record
	epochs  map[string]uint64   // by producer
	seqs    map[string][]uint64 // by producer: the last five of the epoch
	firsts  map[string][]uint64 // their offsets
}

// store is a stand-in of the platform's store and of its list of machines.
type store struct {
	// fault, if set, says what to do with a call.
	fault func(r *http.Request) storeFault

	// keep is how long a record is kept; 0 is for good.
	keep time.Duration

	// appended, if set, is called with the topic of each append.
	appended func(topic string)

	mu       sync.Mutex
	changed  chan struct{}
	topics   map[string]*topic
	machines func() []map[string]any
}

// newStore returns a store without an address.
func newStore() *store {
	return &store{changed: make(chan struct{}), topics: make(map[string]*topic)}
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var f storeFault
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault != nil {
		f = fault(r)
	}
	switch {
	case f.status != 0:
		w.WriteHeader(f.status)
		return
	case f.silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.lost:
		if f.late > 0 {
			go func() {
				time.Sleep(f.late)
				s.serve(&discard{}, r, body)
			}()
		} else {
			s.serve(&discard{}, r, body)
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.delay > 0:
		time.Sleep(f.delay)
	}
	s.serve(w, r, body)
}

// discard is an answer that nobody gets.
type discard struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discard) Header() http.Header {
	if d.header == nil {
		d.header = make(http.Header)
	}
	return d.header
}

// Write implements http.ResponseWriter.
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discard) WriteHeader(int) {}

// serve carries out a call.
func (s *store) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	time.Sleep(2 * time.Millisecond)
	switch r.URL.Path {
	case names.Append:
		s.serveAppend(w, r, body)
	case names.Read:
		s.serveRead(w, r)
	case names.Newest:
		s.serveNewest(w, r)
	case names.Machines:
		answer(w, http.StatusOK, map[string]any{"machines": s.machines(), "nextToken": nil})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer sends v as JSON.
func answer(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// number returns a number of the query.
func number(r *http.Request, name string) (uint64, bool) {
	v, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return v, err == nil
}

// topicOf returns a topic. The caller holds s.mu.
func (s *store) topicOf(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{epochs: make(map[string]uint64), seqs: make(map[string][]uint64), firsts: make(map[string][]uint64)}
		s.topics[name] = t
	}
	return t
}

// appendLocked appends records. The caller holds s.mu.
func (s *store) appendLocked(t *topic, records [][]byte) (first uint64) {
	first = uint64(len(t.records))
	t.records = append(t.records, records...)
	for range records {
		t.written = append(t.written, time.Now())
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// serveAppend serves an append.
func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 || len(body)-4 < int(binary.BigEndian.Uint32(body)) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := binary.BigEndian.Uint32(body)
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicOf(name)
	producer := r.URL.Query().Get("producer")
	epoch, _ := number(r, "epoch")
	seq, _ := number(r, "seq")
	if producer != "" {
		last := t.seqs[producer]
		switch known := t.epochs[producer]; {
		case epoch < known:
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch == known:
			if i := slices.Index(last, seq); i >= 0 {
				answer(w, http.StatusOK, map[string]any{"offset": t.firsts[producer][i], "end": len(t.records)})
				return
			}
			if len(last) > 0 && seq != last[len(last)-1]+1 {
				answer(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": last[len(last)-1] + 1})
				return
			}
		}
	}
	if at, ok := number(r, "asOf"); ok && at != uint64(len(t.records)) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": len(t.records)})
		return
	}
	first := s.appendLocked(t, records)
	if s.appended != nil {
		s.appended(name)
	}
	if producer != "" {
		if epoch > t.epochs[producer] {
			t.epochs[producer], t.seqs[producer], t.firsts[producer] = epoch, nil, nil
		}
		t.seqs[producer] = append(t.seqs[producer], seq)
		t.firsts[producer] = append(t.firsts[producer], first)
		if n := len(t.seqs[producer]); n > 5 {
			t.seqs[producer], t.firsts[producer] = t.seqs[producer][n-5:], t.firsts[producer][n-5:]
		}
	}
	answer(w, http.StatusOK, map[string]any{"offset": first, "end": len(t.records)})
}

// first returns the offset of the oldest record that has not expired. The caller holds
// s.mu.
func (s *store) first(t *topic) uint64 {
	if s.keep == 0 {
		return 0
	}
	n := 0
	for n < len(t.written) && time.Since(t.written[n]) > s.keep {
		n++
	}
	return uint64(n)
}

// serveRead serves a read, which may wait for a record.
func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	from, _ := number(r, "from")
	wait, _ := number(r, "waitMs")
	maxKiB, ok := number(r, "maxKb")
	if !ok {
		maxKiB = 1024
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		t, changed := s.topicOf(name), s.changed
		records, first := t.records, s.first(t)
		s.mu.Unlock()
		if from < first {
			answer(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if uint64(len(records)) > from || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, first)
			for i := from; i < uint64(len(records)); i++ {
				if len(out)+4+len(records[i]) > int(maxKiB)<<10 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(records[i])))
				out = append(out, records[i]...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// serveNewest serves the newest record of each key.
func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topicOf(r.URL.Query().Get("topic")).records
	newest := make(map[string]map[string]any)
	for i, rec := range records {
		n := 1 + int(rec[0])
		key := string(rec[1:n])
		if len(rec) == n {
			delete(newest, key)
			continue
		}
		newest[key] = map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(rec[n:]), "offset": i}
	}
	items := []map[string]any{}
	after := r.URL.Query().Get("after")
	for key, item := range newest {
		if strings.Compare(key, after) > 0 {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b map[string]any) int {
		return strings.Compare(a["key"].(string), b["key"].(string))
	})
	answer(w, http.StatusOK, map[string]any{"items": items, "morePages": false, "end": len(records)})
}

// put writes the value of a key as the operator or an executor does. No value drops
// the key.
func (s *store) put(name, key string, value any) {
	rec := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		rec = append(rec, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(s.topicOf(name), [][]byte{rec})
}

// setFault sets what to do with calls.
func (s *store) setFault(f func(r *http.Request) storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// via starts an address of the store, on a free port. Each instance has its own.
func (s *store) via() (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
