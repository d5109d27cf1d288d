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
	maxPageBytes  = 4 << 20 // further entries go into the next page
	maxReadWait   = 30 * time.Second
)

// Log is an in-memory stand-in for the platform's log. The zero value is an
// empty log. Set the exported fields before use. It is safe for concurrent use.
type Log struct {
	Retention           time.Duration // entries older than this expire; 0: never
	MaxAppendsPerSecond int           // further appends are refused; 0: no limit

	mu         sync.Mutex
	first      uint64
	entries    []logEntry
	changed    chan struct{} // closed at the next append or change of faults
	rateSecond int64         // Unix second that rateCount belongs to
	rateCount  int           // appends in rateSecond
	fault      logFaults
}

type logEntry struct {
	data []byte
	at   time.Time
}

type logFaults struct {
	delayMs, lateMs                              int64
	down, noReads, noAppends, freeze             bool
	loseResponses, dropAppends, duplicateAppends int
}

// ServeHTTP serves POST /log, GET /log and POST /fault.
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

// Fault changes the injected faults.
func (l *Log) Fault(f LogFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	setIfPresent(&l.fault.delayMs, f.DelayMs)
	setIfPresent(&l.fault.lateMs, f.LateMs)
	setIfPresent(&l.fault.down, f.Down)
	setIfPresent(&l.fault.noReads, f.NoReads)
	setIfPresent(&l.fault.noAppends, f.NoAppends)
	setIfPresent(&l.fault.freeze, f.Freeze)
	setIfPresent(&l.fault.loseResponses, f.LoseResponses)
	setIfPresent(&l.fault.dropAppends, f.DropAppends)
	setIfPresent(&l.fault.duplicateAppends, f.DuplicateAppends)
	if f.ExpireBefore != nil {
		l.expire(*f.ExpireBefore)
	}
	l.notifyChange()
}

// Append stores an entry without injected faults and returns its offset.
func (l *Log) Append(data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.store(data)
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
	if !l.waitForService(r) {
		return
	}
	l.mu.Lock()
	f := &l.fault
	if f.down || f.noAppends {
		l.mu.Unlock()
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if f.dropAppends > 0 {
		f.dropAppends--
		if f.lateMs > 0 {
			time.AfterFunc(time.Duration(f.lateMs)*time.Millisecond, func() { l.Append(data) })
		}
		l.mu.Unlock()
		abortConnection()
	}
	if !l.countAppend() {
		l.mu.Unlock()
		http.Error(w, "over rate", http.StatusTooManyRequests)
		return
	}
	offset := l.store(data)
	if f.duplicateAppends > 0 {
		f.duplicateAppends--
		l.store(data)
	}
	lose := f.loseResponses > 0
	if lose {
		f.loseResponses--
	}
	l.mu.Unlock()
	if lose {
		abortConnection()
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
	if !l.waitForService(r) {
		return
	}
	timeout := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxReadWait))
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
		changed := l.changeSignal()
		l.mu.Unlock()
		if len(page.Entries) == 0 {
			select {
			case <-changed:
				if !l.waitForService(r) {
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

// waitForService delays a request by the injected delay and while the log is
// frozen. It reports whether the client is still connected.
func (l *Log) waitForService(r *http.Request) bool {
	l.mu.Lock()
	slow := time.Duration(l.fault.delayMs) * time.Millisecond
	l.mu.Unlock()
	if !sleepForClient(r, slow) {
		return false
	}
	for {
		l.mu.Lock()
		frozen, changed := l.fault.freeze, l.changeSignal()
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

func (l *Log) store(data []byte) uint64 {
	l.entries = append(l.entries, logEntry{data, time.Now()})
	l.notifyChange()
	return l.first + uint64(len(l.entries)) - 1
}

// countAppend counts an append and reports whether it is within
// MaxAppendsPerSecond.
func (l *Log) countAppend() bool {
	if l.MaxAppendsPerSecond == 0 {
		return true
	}
	if now := time.Now().Unix(); now != l.rateSecond {
		l.rateSecond, l.rateCount = now, 0
	}
	l.rateCount++
	return l.rateCount <= l.MaxAppendsPerSecond
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

// changeSignal returns a channel that is closed at the next change.
func (l *Log) changeSignal() chan struct{} {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

func (l *Log) notifyChange() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
