//go:build review

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeVerdict is what the store does with a call of an instance.
type storeVerdict int

const (
	serve   storeVerdict = iota
	lateOne              // the call gets no answer and is executed lateWrite later
)

// lateWrite is how much later a late write is executed.
const lateWrite = 5 * time.Second

// logRecord is a record of a topic.
type logRecord struct {
	data []byte
	at   time.Time
}

// answer is the result of an append, kept for repeats of it.
type answer struct {
	seq, offset, end uint64
}

// topic is partition 0 of a topic.
type topic struct {
	first   uint64
	records []logRecord
	epoch   uint64
	answers []answer // of the producer's last five appends
	newest  map[string]keyed
}

// keyed is the newest record of a key.
type keyed struct {
	value  []byte
	offset uint64
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// store is a stand-in of the platform's metadata store in the form of a log.
type store struct {
	keep  time.Duration // how long records are retained
	fault func(r *http.Request) storeVerdict

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

func newStore(keep time.Duration) *store {
	return &store{keep: keep, topics: make(map[string]*topic), changed: make(chan struct{})}
}

// topic returns a topic without its expired records. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]keyed)}
		s.topics[name] = t
	}
	n := 0
	for n < len(t.records) && time.Since(t.records[n].at) > s.keep {
		n++
	}
	t.records = t.records[n:]
	t.first += uint64(n)
	return t
}

// add appends records to a topic and returns the offset of the first. The caller
// holds the lock.
func (s *store) add(name string, records [][]byte) uint64 {
	t := s.topic(name)
	offset := t.end()
	for _, data := range records {
		if strings.HasPrefix(name, "keyed.") && len(data) > 0 && len(data) > int(data[0]) {
			n := 1 + int(data[0])
			if len(data) > n {
				t.newest[string(data[1:n])] = keyed{data[n:], t.end()}
			} else {
				delete(t.newest, string(data[1:n]))
			}
		}
		t.records = append(t.records, logRecord{data, time.Now()})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// publish writes a value as the operator and the executors do; no value removes
// the key.
func (s *store) publish(name, key string, value any) {
	data := append([]byte{byte(len(key))}, key...)
	if value != nil {
		v, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		data = append(data, v...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, [][]byte{data})
}

// publishRaw writes a value as it is.
func (s *store) publishRaw(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// handler serves the calls of the instances.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.Append, s.append)
	mux.HandleFunc("GET "+names.Read, s.read)
	mux.HandleFunc("GET "+names.Newest, s.serveNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		verdict := serve
		if s.fault != nil {
			verdict = s.fault(r)
		}
		time.Sleep(4 * time.Millisecond)
		if verdict == lateOne {
			body, _ := io.ReadAll(r.Body)
			again, _ := http.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
			time.AfterFunc(lateWrite, func() { mux.ServeHTTP(discard{}, again) })
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// discard is a response writer whose response goes nowhere.
type discard struct{}

func (discard) Header() http.Header         { return make(http.Header) }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func number(r *http.Request, name string) (uint64, bool) {
	v, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return v, err == nil
}

func respond(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	name := r.URL.Query().Get("topic")
	if err != nil {
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		records = append(records, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	epoch, hasProducer := number(r, "epoch")
	seq, _ := number(r, "seq")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if hasProducer {
		if epoch < t.epoch {
			respond(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch == t.epoch && len(t.answers) > 0 {
			for _, a := range t.answers {
				if a.seq == seq {
					respond(w, http.StatusOK, map[string]any{"offset": a.offset, "end": a.end})
					return
				}
			}
			if next := t.answers[len(t.answers)-1].seq + 1; seq != next {
				respond(w, http.StatusConflict, map[string]any{"reason": "seq", "expected": next})
				return
			}
		}
	}
	if at, ok := number(r, "asOf"); ok && at != t.end() {
		respond(w, http.StatusPreconditionFailed, map[string]any{"end": t.end()})
		return
	}
	offset := s.add(name, records)
	if hasProducer {
		if epoch > t.epoch {
			t.epoch, t.answers = epoch, nil
		}
		t.answers = append(t.answers, answer{seq, offset, t.end()})
		t.answers = t.answers[max(0, len(t.answers)-5):]
	}
	respond(w, http.StatusOK, map[string]any{"offset": offset, "end": t.end()})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	from, _ := number(r, "from")
	maxKb, ok := number(r, "maxKb")
	if !ok {
		maxKb = 1024
	}
	waitMs, _ := number(r, "waitMs")
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for expired := waitMs == 0; ; {
		s.mu.Lock()
		t := s.topic(name)
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			respond(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if from < t.end() || expired {
			out := binary.BigEndian.AppendUint64(nil, t.end())
			out = binary.BigEndian.AppendUint64(out, t.first)
			for i := from; i < t.end(); i++ {
				data := t.records[i-t.first].data
				if i > from && len(out)+4+len(data) > int(maxKb)<<10 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
				out = append(out, data...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	const maxItems = 500
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > maxItems
	keys = keys[:min(len(keys), maxItems)]
	items := []map[string]any{}
	for _, k := range keys {
		v := t.newest[k]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(v.value), "offset": v.offset})
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "end": t.end()})
}
