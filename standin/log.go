package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/stream"
)

const (
	maxEntryBytes = 512 << 10
	maxPageBytes  = 4 << 20 // entries beyond this go into the next page
	maxWait       = 30 * time.Second
)

// Log is a stand-in for the platform's log, held in memory. The zero value is
// an empty log; exported fields are set before use. It is safe for concurrent
// use.
type Log struct {
	Retention time.Duration // entries older than this expire; 0 keeps all
	Rate      int           // appends accepted in a second; 0 means no limit

	mu      sync.Mutex
	first   uint64
	entries []logEntry
	changed chan struct{} // closed at the next append or change of the faults
	second  int64         // the second that accepted counts
	count   int           // appends accepted in it
	fault   logFaults
}

type logEntry struct {
	data []byte
	at   time.Time
}

type logFaults struct {
	slow, late                       int64
	down, noReads, noAppends, freeze bool
	lose, drop, twice                int
}

// ServeHTTP answers POST /log, GET /log and POST /fault.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /fault":
		serveFault(w, r, l.Fault)
	case "POST /log":
		l.append(w, r)
	case "GET /log":
		l.read(w, r)
	default:
		http.NotFound(w, r)
	}
}

// Fault changes the injected failures.
func (l *Log) Fault(f LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set(&l.fault.slow, f.Slow)
	set(&l.fault.late, f.Late)
	set(&l.fault.down, f.Down)
	set(&l.fault.noReads, f.NoReads)
	set(&l.fault.noAppends, f.NoAppends)
	set(&l.fault.freeze, f.Freeze)
	set(&l.fault.lose, f.Lose)
	set(&l.fault.drop, f.Drop)
	set(&l.fault.twice, f.Twice)
	if f.Expire != nil {
		l.expire(*f.Expire)
	}
	l.wake()
}

// Append adds an entry directly, without injected failures, and returns its
// offset.
func (l *Log) Append(data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.add(data)
}

// Entries returns the retained entries and the offset of the first of them.
func (l *Log) Entries() (first uint64, entries [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		entries = append(entries, e.data)
	}
	return l.first, entries
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEntryBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !l.admit(r) {
		return
	}
	l.mu.Lock()
	f := &l.fault
	if f.down || f.noAppends {
		l.mu.Unlock()
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if f.drop > 0 {
		f.drop--
		if f.late > 0 {
			time.AfterFunc(time.Duration(f.late)*time.Millisecond, func() { l.Append(data) })
		}
		l.mu.Unlock()
		hangUp()
	}
	if !l.underRate() {
		l.mu.Unlock()
		http.Error(w, "over rate", http.StatusTooManyRequests)
		return
	}
	offset := l.add(data)
	if f.twice > 0 {
		f.twice--
		l.add(data)
	}
	lose := f.lose > 0
	if lose {
		f.lose--
	}
	l.mu.Unlock()
	if lose {
		hangUp()
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"offset\":%d}\n", offset)
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("limit"))
	wait, err3 := strconv.ParseInt(q.Get("wait"), 10, 64)
	if err != nil || err2 != nil || err3 != nil || limit < 1 {
		http.Error(w, "want from, limit and wait", http.StatusBadRequest)
		return
	}
	if !l.admit(r) {
		return
	}
	timeout := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timeout.Stop()
	for {
		l.mu.Lock()
		if l.fault.down || l.fault.noReads {
			l.mu.Unlock()
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		l.expireOld()
		if from < l.first {
			first := l.first
			l.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusGone)
			_, _ = fmt.Fprintf(w, "{\"first\":%d}\n", first)
			return
		}
		page := l.page(from, limit)
		changed := l.signal()
		l.mu.Unlock()
		if len(page.Entries) == 0 {
			select {
			case <-changed:
				if !l.admit(r) {
					return
				}
				continue
			case <-r.Context().Done():
				return
			case <-timeout.C:
			}
		}
		data, err := record.Marshal(page)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		_, _ = w.Write(data)
		return
	}
}

// admit holds a request while the log is slow or frozen; it reports whether
// the client is still there.
func (l *Log) admit(r *http.Request) bool {
	l.mu.Lock()
	slow := time.Duration(l.fault.slow) * time.Millisecond
	l.mu.Unlock()
	if !pause(r, slow) {
		return false
	}
	for {
		l.mu.Lock()
		frozen, changed := l.fault.freeze, l.signal()
		l.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (l *Log) page(from uint64, limit int) stream.Page {
	p := stream.Page{First: l.first, End: l.first + uint64(len(l.entries))}
	size := 0
	for at := from; at < p.End && len(p.Entries) < limit; at++ {
		data := l.entries[at-l.first].data
		size += len(data)
		if size > maxPageBytes && len(p.Entries) > 0 {
			break
		}
		p.Entries = append(p.Entries, stream.Entry{Offset: at, Data: data})
	}
	return p
}

func (l *Log) add(data []byte) uint64 {
	l.entries = append(l.entries, logEntry{data, time.Now()})
	l.wake()
	return l.first + uint64(len(l.entries)) - 1
}

func (l *Log) underRate() bool {
	if l.Rate == 0 {
		return true
	}
	if now := time.Now().Unix(); now != l.second {
		l.second, l.count = now, 0
	}
	l.count++
	return l.count <= l.Rate
}

func (l *Log) expireOld() {
	if l.Retention == 0 {
		return
	}
	n := 0
	for n < len(l.entries) && time.Since(l.entries[n].at) > l.Retention {
		n++
	}
	l.expire(l.first + uint64(n))
}

func (l *Log) expire(before uint64) {
	if before <= l.first {
		return
	}
	n := min(before-l.first, uint64(len(l.entries)))
	l.entries = append([]logEntry(nil), l.entries[n:]...)
	l.first += n
}

func (l *Log) signal() chan struct{} {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

func (l *Log) wake() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
