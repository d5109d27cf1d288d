package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	answerDelay    = 4 * time.Millisecond // the store's usual answer time
	maxRecordBytes = 262144
	maxCallBytes   = 2097152
	keptResponses  = 5 // of a producer, for repeated appends
)

// Producer is what a partition knows of one producer.
type Producer struct {
	Epoch, Seq uint64
	Responses  []Response // of the last appends, the newest last
}

// Response is the response to one append.
type Response struct {
	Seq, Offset, End uint64
}

// Topic is one partition of a topic.
type Topic struct {
	Records   [][]byte
	Producers map[string]*Producer
	changed   chan struct{}
}

// Fault is what happens to one call of the store.
type Fault struct {
	Lost  bool          // it gets no answer
	Late  time.Duration // it is carried out this much later; only with Lost
	Down  bool          // it is refused with status 503
	Skip  bool          // it is never carried out; only with Lost
	Delay time.Duration // of the answer
}

// Store is a stand-in of the platform's store, a log.
type Store struct {
	Record func(format string, args ...any)
	Fault  func(r *http.Request, body []byte) Fault // nil is none

	mu     sync.Mutex
	topics map[string]*Topic
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{topics: make(map[string]*Topic)} }

// topic returns a topic, which is created on first use. The caller holds the lock.
func (s *Store) topic(name string) *Topic {
	t := s.topics[name]
	if t == nil {
		t = &Topic{Producers: make(map[string]*Producer), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// add appends records. The caller holds the lock.
func (t *Topic) add(records [][]byte) (offset uint64) {
	offset = uint64(len(t.Records))
	t.Records = append(t.Records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
	return offset
}

// Put writes a record of a keyed topic, as the operator or an executor does. An empty
// value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).add([][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var f Fault
	if s.Fault != nil {
		f = s.Fault(r, body)
	}
	time.Sleep(answerDelay/2 + f.Delay/2)
	switch {
	case f.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case f.Lost:
		if !f.Skip {
			query := r.URL.Query()
			path := r.URL.Path
			time.AfterFunc(f.Late, func() {
				if path == names["append"] {
					s.append(query, body)
				}
			})
		}
		<-r.Context().Done() // the connection stays open without an answer
		return
	}
	switch r.URL.Path {
	case names["append"]:
		status, answer := s.append(r.URL.Query(), body)
		time.Sleep(answerDelay/2 + f.Delay/2)
		writeJSON(w, status, answer)
	case names["read"]:
		s.read(w, r)
	case names["newest"]:
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// append carries out one append.
func (s *Store) append(query url.Values, body []byte) (int, any) {
	topic := query.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		return http.StatusForbidden, struct{}{}
	}
	if len(body) > maxCallBytes {
		return http.StatusRequestEntityTooLarge, struct{}{}
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			return http.StatusBadRequest, struct{}{}
		}
		n := binary.BigEndian.Uint32(rest)
		if n > maxRecordBytes {
			return http.StatusRequestEntityTooLarge, struct{}{}
		}
		records = append(records, rest[4:4+n])
		rest = rest[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic + "/" + query.Get("part"))
	if topic != "" && query.Get("part") == "0" {
		t = s.topic(topic)
	}
	epoch, _ := strconv.ParseUint(query.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseUint(query.Get("seq"), 10, 64)
	name := query.Get("producer")
	if name != "" {
		p := t.Producers[name]
		if p == nil {
			p = &Producer{}
			t.Producers[name] = p
		}
		if epoch < p.Epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if epoch == p.Epoch && len(p.Responses) > 0 {
			for _, old := range p.Responses {
				if old.Seq == seq {
					return http.StatusOK, map[string]any{"offset": old.Offset, "end": old.End}
				}
			}
			if seq != p.Seq+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.Seq + 1}
			}
		}
	}
	end := uint64(len(t.Records))
	if at := query.Get("asOf"); at != "" && at != strconv.FormatUint(end, 10) {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	offset := t.add(records)
	resp := Response{seq, offset, uint64(len(t.Records))}
	if name != "" {
		p := t.Producers[name]
		if epoch > p.Epoch {
			p.Epoch, p.Responses = epoch, nil
		}
		p.Seq = seq
		p.Responses = append(p.Responses, resp)
		if len(p.Responses) > keptResponses {
			p.Responses = p.Responses[1:]
		}
	}
	return http.StatusOK, map[string]any{"offset": resp.Offset, "end": resp.End}
}

// read serves a read of records from an offset on.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	kb, err := strconv.Atoi(query.Get("maxKb"))
	if err != nil {
		kb = 1024
	}
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for waiting := waitMs > 0; ; {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		records, changed := t.Records, t.changed
		s.mu.Unlock()
		end := uint64(len(records))
		if from < end || !waiting {
			body := binary.BigEndian.AppendUint64(nil, end)
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, rec := range records[min(from, end):] {
				if len(body) > 16 && len(body)+4+len(rec) > kb<<10 {
					break
				}
				body = binary.BigEndian.AppendUint32(body, uint32(len(rec)))
				body = append(body, rec...)
			}
			time.Sleep(answerDelay / 2)
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// newest serves the newest record of each key of a keyed topic.
func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	byKey := make(map[string]item)
	for i, rec := range t.Records {
		n := 1 + int(rec[0])
		key := string(rec[1:n])
		if len(rec) == n {
			delete(byKey, key)
			continue
		}
		byKey[key] = item{key, base64.StdEncoding.EncodeToString(rec[n:]), i}
	}
	end := len(t.Records)
	s.mu.Unlock()
	items := []item{}
	after := r.URL.Query().Get("after")
	for _, v := range byKey {
		if strings.Compare(v.Key, after) > 0 {
			items = append(items, v)
		}
	}
	time.Sleep(answerDelay / 2)
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "morePages": false, "end": end})
}
