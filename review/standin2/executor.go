package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beat          = 1500 * time.Millisecond // heartbeatMs of the settings
	maxLeaseMs    = 6000                    // holdMaxMs
	executorCores = 128
	stopTime      = 50 * time.Millisecond // within stopGraceMs
	tickInterval  = 10 * time.Millisecond
	lateInLife    = 100 * time.Millisecond // from the begin of a life to late starts of the one before
)

// TaskRun is one run of a task on an executor.
type TaskRun struct {
	Task    string
	Run     int
	Started time.Time
	Takes   time.Duration // 0 is until it is stopped
	stopAt  time.Time
}

// Ended is the end of a run.
type Ended struct {
	N    int
	Task string
	Run  int
	How  string
}

// Executor is one machine and the executor on it.
type Executor struct {
	Machine  string
	Rack     string
	Cloud    *Cloud
	ID       string // of the present life
	Up       bool
	Draining bool

	addr     string
	server   *http.Server
	mu       sync.Mutex
	born     time.Time
	fence    uint64
	lease    int64
	seq      int
	runs     map[string]*TaskRun
	highest  map[string]int
	ended    []Ended
	lastEnd  int
	late     []message // starts that the next life carries out as it begins
	changed  chan struct{}
	lastBeat time.Time
}

// Cloud is a stand-in of the executors and of the list of machines.
type Cloud struct {
	Store  *Store
	Record func(format string, args ...any)
	// LosesStart, if set, says whether a start gets no answer and is carried out late, by
	// the next life of the executor.
	LosesStart func(task string, run int) bool
	// OnAck, if set, is called for each end that is taken note of.
	OnAck func(e *Executor, end Ended)
	// OnStart and OnEnd, if set, are called for each run that begins or ends.
	OnStart func(e *Executor, r TaskRun)
	OnEnd   func(e *Executor, r TaskRun, how string)

	mu        sync.Mutex
	executors []*Executor
	lives     int
}

// Add starts an executor on a new machine.
func (c *Cloud) Add(machine, rack string) (*Executor, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Executor{Machine: machine, Rack: rack, Cloud: c, addr: ln.Addr().String()}
	c.mu.Lock()
	c.executors = append(c.executors, e)
	c.mu.Unlock()
	e.boot(ln, "")
	return e, nil
}

// Executors returns all executors.
func (c *Cloud) Executors() []*Executor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Executor(nil), c.executors...)
}

// Running returns the number of tasks that run on all executors, and of those whose names
// begin with the prefix.
func (c *Cloud) Running(prefix string) (total, matching int) {
	for _, e := range c.Executors() {
		e.mu.Lock()
		for task := range e.runs {
			total++
			if strings.HasPrefix(task, prefix) {
				matching++
			}
		}
		e.mu.Unlock()
	}
	return total, matching
}

// boot begins a life of the executor, under the id or, if that is empty, a new one.
func (e *Executor) boot(ln net.Listener, id string) {
	if id == "" {
		e.Cloud.mu.Lock()
		e.Cloud.lives++
		id = fmt.Sprintf("i-%08x", 0x7f3a0000+e.Cloud.lives)
		e.Cloud.mu.Unlock()
	}
	e.mu.Lock()
	e.ID, e.Up, e.Draining = id, true, false
	e.born = time.Now()
	e.fence, e.lease, e.seq, e.lastEnd = 0, 0, 0, 0
	e.runs, e.highest, e.ended = make(map[string]*TaskRun), make(map[string]int), nil
	e.changed = make(chan struct{})
	e.server = &http.Server{Handler: e}
	server, late := e.server, e.late
	e.late = nil
	e.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	time.AfterFunc(lateInLife, func() { e.carryOut(late) })
	e.report()
}

// carryOut carries out starts that were sent to an earlier life under the same id.
func (e *Executor) carryOut(late []message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range late {
		if uint64(m.number("fence")) < e.fence {
			e.Cloud.Record("executor %s refuses a late start: it has seen a higher fence", e.ID)
			continue
		}
		e.Cloud.Record("executor %s carries out a late start", e.ID)
		e.start(m)
	}
}

// report writes the executor's entry.
func (e *Executor) report() {
	e.mu.Lock()
	e.seq++
	e.lastBeat = time.Now()
	state := "ready"
	if e.Draining {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{
		"service": "badge-desk", "addr": e.addr, "zone": "kochi", "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": 128000, "memMb": 262144, "gpu": 8}, "labels": []string{"a", e.Rack},
		"clockMs": e.clock(), "seq": e.seq, "born": e.born.UnixMilli(),
	})
	id := e.ID
	e.mu.Unlock()
	e.Cloud.Store.Put("keyed.servers", id, entry)
}

// clock returns the executor's clock in ms. The caller holds the lock.
func (e *Executor) clock() int64 { return time.Since(e.born).Milliseconds() }

// Crash ends the present life without a word. All that runs ends. The executor comes
// back after the time, as a new one or under its id. The entry of one that comes back as
// a new one goes after three intervals.
func (e *Executor) Crash(down time.Duration, sameID bool) {
	e.mu.Lock()
	id := e.ID
	e.Up = false
	var lost []TaskRun
	for _, r := range e.runs {
		lost = append(lost, *r)
	}
	e.runs = make(map[string]*TaskRun)
	_ = e.server.Close()
	e.mu.Unlock()
	for _, r := range lost {
		e.Cloud.Record("executor %s crashes under %s run %d", id, r.Task, r.Run)
		if e.Cloud.OnEnd != nil {
			e.Cloud.OnEnd(e, r, "crashed")
		}
	}
	next := id
	if !sameID {
		next = ""
		time.AfterFunc(3*beat, func() { e.Cloud.Store.Put("keyed.servers", id, nil) })
	}
	time.AfterFunc(down, func() {
		for {
			ln, err := net.Listen("tcp", e.addr)
			if err == nil {
				e.boot(ln, next)
				e.Cloud.Record("executor %s is back as %s", id, e.ID)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Tick advances all executors.
func (c *Cloud) Tick() {
	for range time.Tick(tickInterval) {
		for _, e := range c.Executors() {
			e.advance(time.Now())
		}
	}
}

func (e *Executor) advance(now time.Time) {
	e.mu.Lock()
	if !e.Up {
		e.mu.Unlock()
		return
	}
	var ends []Ended
	var runs []TaskRun
	for task, r := range e.runs {
		how := ""
		switch {
		case e.clock() >= e.lease:
			how = "lapsed"
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			how = "stopped"
		case r.Takes > 0 && now.Sub(r.Started) >= r.Takes:
			how = "done"
		}
		if how == "" {
			continue
		}
		delete(e.runs, task)
		e.highest[task] = max(e.highest[task], r.Run)
		e.lastEnd++
		ends = append(ends, Ended{e.lastEnd, task, r.Run, how})
		runs = append(runs, *r)
	}
	if len(ends) > 0 {
		e.ended = append(e.ended, ends...)
		close(e.changed)
		e.changed = make(chan struct{})
	}
	due := now.Sub(e.lastBeat) >= beat
	id := e.ID
	e.mu.Unlock()
	for i, end := range ends {
		e.Cloud.Record("executor %s ends %s run %d: %s", id, end.Task, end.Run, end.How)
		if e.Cloud.OnEnd != nil {
			e.Cloud.OnEnd(e, runs[i], end.How)
		}
	}
	if due {
		e.report()
	}
}

// message is the body of a call.
type message map[string]any

func (m message) text(name string) string {
	v, _ := m[name].(string)
	return v
}

func (m message) number(name string) int64 {
	v, _ := m[name].(json.Number)
	n, _ := v.Int64()
	return n
}

// ServeHTTP serves one order.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.Up {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get(names["instance"]); id != "" && id != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m := make(message)
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.UseNumber()
	if err := d.Decode(&m); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence := uint64(m.number("fence"))
	if fence < e.fence {
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": e.clock(), "reason": "fence"})
		return
	}
	e.fence = fence
	switch r.URL.Path {
	case names["start"]:
		if lose := e.Cloud.LosesStart; lose != nil && lose(m.text("task"), int(m.number("run"))) {
			e.Cloud.Record("executor %s: a start of %s run %d gets no answer and is carried out late", e.ID, m.text("task"), m.number("run"))
			e.late = append(e.late, m)
			e.mu.Unlock()
			<-r.Context().Done()
			e.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		status, answer := e.start(m)
		writeJSON(w, status, answer)
	case names["stop"]:
		task, run := m.text("task"), int(m.number("run"))
		e.highest[task] = max(e.highest[task], run)
		if t := e.runs[task]; t != nil && t.Run <= run && t.stopAt.IsZero() {
			t.stopAt = time.Now().Add(stopTime)
		}
		writeJSON(w, http.StatusOK, map[string]any{"clockMs": e.clock()})
	case names["sync"]:
		e.sync(w, r, m)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// extend extends the lease. The caller holds the lock.
func (e *Executor) extend(until int64) {
	e.lease = max(e.lease, min(until, e.clock()+maxLeaseMs))
}

// start carries out a start. The caller holds the lock.
func (e *Executor) start(m message) (int, any) {
	task, run := m.text("task"), int(m.number("run"))
	answer := map[string]any{"clockMs": e.clock()}
	if t := e.runs[task]; t != nil && t.Run == run {
		e.extend(m.number(names["lease"]))
		return http.StatusOK, answer
	}
	if run <= e.highest[task] || e.runs[task] != nil {
		e.extend(m.number(names["lease"]))
		answer["reason"] = "old"
		return http.StatusConflict, answer
	}
	if m.number(names["lease"]) <= e.clock() {
		answer["reason"] = "late"
		return http.StatusConflict, answer
	}
	e.extend(m.number(names["lease"]))
	t := &TaskRun{Task: task, Run: run, Started: time.Now(), Takes: taskTime(m.text("spec"))}
	e.runs[task] = t
	e.Cloud.Record("executor %s starts %s run %d", e.ID, task, run)
	if e.Cloud.OnStart != nil {
		go e.Cloud.OnStart(e, *t)
	}
	return http.StatusOK, answer
}

// taskTime returns how long the tasks of a job take: its spec names the milliseconds.
func taskTime(spec string) time.Duration {
	word, _, _ := strings.Cut(spec, " ")
	ms, _ := strconv.Atoi(word)
	return time.Duration(ms) * time.Millisecond
}

// sync carries out a renewal and answers with what runs and what has ended. The caller
// holds the lock.
func (e *Executor) sync(w http.ResponseWriter, r *http.Request, m message) {
	if until := m.number(names["lease"]); until > 0 {
		e.extend(until)
	}
	acked := int(m.number(names["ack"]))
	for len(e.ended) > 0 && e.ended[0].N <= acked {
		if e.Cloud.OnAck != nil {
			e.Cloud.OnAck(e, e.ended[0])
		}
		e.ended = e.ended[1:]
	}
	if wait := m.number("waitMs"); wait > 0 && len(e.ended) == 0 {
		changed, server := e.changed, e.server
		e.mu.Unlock()
		t := time.NewTimer(time.Duration(min(wait, 2000)) * time.Millisecond)
		select {
		case <-changed:
		case <-t.C:
		case <-r.Context().Done():
		}
		t.Stop()
		e.mu.Lock()
		if server != e.server || !e.Up {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range e.runs {
		percent := 100
		if t.Takes > 0 {
			percent = min(100, int(100*time.Since(t.Started)/t.Takes))
		}
		running = append(running, []any{t.Task, t.Run, "", percent, 1000})
	}
	for _, t := range e.ended[:min(len(e.ended), 500)] {
		ended = append(ended, []any{t.N, t.Task, t.Run, t.How, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli(), "running": running, "ended": ended})
}

// ServeHTTP serves the list of machines.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != names["machines"] {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	rows := []map[string]any{}
	for _, e := range c.Executors() {
		e.mu.Lock()
		row := map[string]any{"machine": e.Machine, "pool": "badge-desk", "state": "up", "zone": "kochi", "labels": []string{"a", e.Rack},
			"capacity": map[string]int{"cpu": 128000, "memMb": 262144, "gpu": 8}, "id": e.ID}
		if !e.Up {
			row["state"] = "down"
			delete(row, "id")
		}
		e.mu.Unlock()
		rows = append(rows, row)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}
