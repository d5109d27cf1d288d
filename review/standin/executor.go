//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	holdMax   = 6 * time.Second
	stopGrace = 400 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
)

// orderVerdict is what an executor does with an order.
type orderVerdict int

const (
	obey      orderVerdict = iota
	busy                   // 503, nothing is done
	carryLate              // no answer, carried out later
	hang                   // no answer, nothing is done
)

// run is one run of a task. ended is zero while it runs.
type run struct {
	task     string
	number   int
	executor string
	began    time.Time
	ended    time.Time
	how      string
	stopAt   time.Time
	noted    bool // its end was acknowledged
}

// executors is the set of all executors and the record of what they ran.
type executors struct {
	rec   *recorder
	store *store
	work  func(job string) time.Duration // how long a task of the job runs
	fault func(e *executor, call, task string, run int) (orderVerdict, time.Duration)

	damage atomic.Pointer[func([]byte) []byte] // of two in five answers

	mu   sync.Mutex
	list []*executor
	runs []*run // all runs that ever began
}

// executor is a stand-in of one executor.
type executor struct {
	set    *executors
	id     string
	addr   string
	labels []string
	born   time.Time
	up     bool
	server *http.Server

	seq     int
	fence   uint64
	until   int64
	running map[string]*run
	highest map[string]int
	ended   []endedRun
	lastEnd int
	changed chan struct{}
	lapsed  time.Time // last time without a lease
}

type endedRun struct {
	n   int
	run *run
}

// add starts an executor with 128 cores and 8 GPUs.
func (s *executors) add(id string, labels ...string) (*executor, error) {
	e := &executor{set: s, id: id, labels: labels, addr: "127.0.0.1:0"}
	if err := e.boot(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.list = append(s.list, e)
	s.mu.Unlock()
	return e, nil
}

// boot starts a new life of the executor at its address.
func (e *executor) boot() error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.set.mu.Lock()
	e.addr = ln.Addr().String()
	e.born, e.up = time.Now(), true
	e.seq, e.fence, e.until, e.lastEnd = 0, 0, 0, 0
	e.running, e.highest, e.ended = make(map[string]*run), make(map[string]int), nil
	e.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.Start, e.serveStart)
	mux.HandleFunc("POST "+names.Stop, e.serveStop)
	mux.HandleFunc("POST "+names.Hold, e.serveHold)
	e.server = &http.Server{Handler: mux}
	go e.server.Serve(ln)
	e.set.mu.Unlock()
	e.set.rec.add("%s up", e.id)
	e.beat()
	return nil
}

// crash ends the executor's process; what runs there ends and is forgotten.
func (e *executor) crash() {
	e.set.mu.Lock()
	e.up = false
	for _, r := range e.running {
		r.ended, r.how = time.Now(), "lost in the crash"
	}
	e.running = make(map[string]*run)
	server := e.server
	e.set.mu.Unlock()
	server.Close()
	e.set.rec.add("%s crashed", e.id)
}

// losePower ends the executor for good: it answers nothing any more, and its
// connections stay silent.
func (e *executor) losePower() {
	e.set.mu.Lock()
	defer e.set.mu.Unlock()
	e.up = false
	for _, r := range e.running {
		r.ended, r.how = time.Now(), "lost with the executor"
	}
	e.running = make(map[string]*run)
	e.set.rec.add("%s lost power for good", e.id)
}

// beat writes the executor's entry to the store.
func (e *executor) beat() {
	e.set.mu.Lock()
	up := e.up
	e.seq++
	entry := map[string]any{
		"service": "press", "addr": e.addr, "zone": "kochi", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": 128000, "memMb": 262144, "gpu": 8}, "labels": e.labels,
		"clockMs": e.clock(), "born": e.born.UnixMilli(), "seq": e.seq,
	}
	e.set.mu.Unlock()
	if up {
		e.set.store.publish("keyed.servers", e.id, entry)
	}
}

// clock returns the executor's clock in ms.
func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1000 }

// play moves the executors on until the channel is closed: it ends runs, and
// writes the entries to the store. An entry is removed after three intervals of
// silence.
func (s *executors) play(stop <-chan struct{}) {
	tick := time.NewTicker(10 * time.Millisecond)
	beat := time.NewTicker(heartbeat)
	defer tick.Stop()
	defer beat.Stop()
	silent := make(map[string]int)
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			s.advance()
		case <-beat.C:
			s.mu.Lock()
			list := slices.Clone(s.list)
			s.mu.Unlock()
			for _, e := range list {
				s.mu.Lock()
				up := e.up
				s.mu.Unlock()
				if up {
					silent[e.id] = 0
					e.beat()
				} else if silent[e.id]++; silent[e.id] == 3 {
					s.store.publish("keyed.servers", e.id, nil)
				}
			}
		}
	}
}

func (s *executors) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, e := range s.list {
		if !e.up {
			continue
		}
		if e.clock() >= e.until {
			e.lapsed = now
		}
		for _, r := range slices.Collect(maps.Values(e.running)) {
			job, _, _ := strings.Cut(r.task, ".")
			switch work := s.work(job); {
			case e.clock() >= e.until:
				e.end(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				e.end(r, "stopped")
			case work > 0 && now.Sub(r.began) >= work:
				e.end(r, "done")
			}
		}
	}
}

// end ends a run. The caller holds the lock.
func (e *executor) end(r *run, how string) {
	delete(e.running, r.task)
	r.ended, r.how = time.Now(), how
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.lastEnd++
	e.ended = append(e.ended, endedRun{e.lastEnd, r})
	close(e.changed)
	e.changed = make(chan struct{})
	e.set.rec.add("%s: run %d of %s ended %s", e.id, r.number, r.task, how)
}

// order is the body of a call to an executor.
type order struct {
	Task      string
	Run       int
	Fence     uint64
	UntilMs   int64
	AckCursor int
	WaitMs    int
}

// receive decodes a call and applies the fault of the case. It responds and
// returns false if the call is not to be carried out now.
func (e *executor) receive(w http.ResponseWriter, r *http.Request, call string, carryOut func(o order) (int, map[string]any)) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get(names.Expect) != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	verdict, later := obey, time.Duration(0)
	if e.set.fault != nil {
		verdict, later = e.set.fault(e, call, o.Task, o.Run)
	}
	e.set.mu.Lock()
	born := e.born
	if !e.up {
		verdict = hang
	}
	e.set.mu.Unlock()
	switch verdict {
	case busy:
		e.set.rec.add("%s: %s of run %d of %s answered 503, nothing done", e.id, call, o.Run, o.Task)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case hang:
		e.set.rec.add("%s: %s of run %d of %s not answered, nothing done", e.id, call, o.Run, o.Task)
		<-r.Context().Done()
		return
	case carryLate:
		e.set.rec.add("%s: %s of run %d of %s not answered, to be carried out %v later", e.id, call, o.Run, o.Task, later)
		time.AfterFunc(later, func() {
			e.set.mu.Lock()
			defer e.set.mu.Unlock()
			if e.up && e.born.Equal(born) {
				status, out := carryOut(o)
				e.set.rec.add("%s: late %s of run %d of %s carried out: %d %v", e.id, call, o.Run, o.Task, status, out["reason"])
			}
		})
		<-r.Context().Done()
		return
	}
	e.set.mu.Lock()
	status, out := carryOut(o)
	e.set.mu.Unlock()
	if call != "hold" {
		e.set.rec.add("%s: %s of run %d of %s answered %d %v", e.id, call, o.Run, o.Task, status, out["reason"])
	}
	if damage := e.set.damage.Load(); damage != nil && time.Now().UnixNano()/1000%5 < 2 {
		data, _ := json.Marshal(out)
		w.WriteHeader(status)
		_, _ = w.Write((*damage)(data))
		return
	}
	respond(w, status, out)
}

// fenced notes the fence number of an order and reports whether a higher one has
// been seen. The caller holds the lock.
func (e *executor) fenced(o order) bool {
	if o.Fence < e.fence {
		return true
	}
	e.fence = o.Fence
	return false
}

// answer returns a response with the clock. The caller holds the lock.
func (e *executor) answer(status int, reason string) (int, map[string]any) {
	out := map[string]any{"clockMs": e.clock(), "born": e.born.UnixMilli()}
	if reason != "" {
		out["reason"] = reason
	}
	return status, out
}

// extend extends the lease of all that runs there. The caller holds the lock.
func (e *executor) extend(until int64) {
	e.until = max(e.until, min(until, e.clock()+holdMax.Milliseconds()))
}

func (e *executor) serveStart(w http.ResponseWriter, r *http.Request) {
	e.receive(w, r, "start", func(o order) (int, map[string]any) {
		if e.fenced(o) {
			return e.answer(http.StatusConflict, "fence")
		}
		if here := e.running[o.Task]; here != nil && here.number == o.Run {
			return e.answer(http.StatusOK, "")
		}
		if o.UntilMs <= e.clock() {
			return e.answer(http.StatusConflict, "late")
		}
		e.extend(o.UntilMs)
		if o.Run <= e.highest[o.Task] {
			return e.answer(http.StatusConflict, "old")
		}
		n := &run{task: o.Task, number: o.Run, executor: e.id, began: time.Now()}
		e.running[o.Task] = n
		e.set.runs = append(e.set.runs, n)
		e.set.rec.add("%s: run %d of %s begins", e.id, o.Run, o.Task)
		return e.answer(http.StatusOK, "")
	})
}

func (e *executor) serveStop(w http.ResponseWriter, r *http.Request) {
	e.receive(w, r, "stop", func(o order) (int, map[string]any) {
		if e.fenced(o) {
			return e.answer(http.StatusConflict, "fence")
		}
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		if here := e.running[o.Task]; here != nil && here.number <= o.Run && here.stopAt.IsZero() {
			here.stopAt = time.Now().Add(stopGrace / 4)
		}
		return e.answer(http.StatusOK, "")
	})
}

func (e *executor) serveHold(w http.ResponseWriter, r *http.Request) {
	var wait int
	var changed chan struct{}
	listed := false
	report := func(o order) (int, map[string]any) {
		if e.fenced(o) {
			return e.answer(http.StatusConflict, "fence")
		}
		if o.UntilMs > 0 {
			e.extend(o.UntilMs)
		}
		for len(e.ended) > 0 && e.ended[0].n <= o.AckCursor {
			// An end counts as taken note of unless the lease lapsed in between.
			r := e.ended[0].run
			r.noted = e.clock() < e.until && !e.lapsed.After(r.ended)
			e.ended = e.ended[1:]
		}
		status, out := e.answer(http.StatusOK, "")
		running, ended := [][]any{}, [][]any{}
		for _, n := range e.running {
			running = append(running, []any{n.task, n.number, "", 50, 100})
		}
		for _, n := range e.ended {
			ended = append(ended, []any{n.n, n.run.task, n.run.number, n.run.how, ""})
		}
		out["running"], out["ended"] = running, ended
		wait, changed, listed = o.WaitMs, e.changed, len(ended) > 0
		return status, out
	}
	var first order
	e.receive(w, r, "hold", func(o order) (int, map[string]any) {
		first = o
		life := e.born
		status, out := report(o)
		if status != http.StatusOK || listed || wait == 0 {
			return status, out
		}
		// The answer waits for an end.
		e.set.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.set.mu.Lock()
		if !e.up || !e.born.Equal(life) {
			return http.StatusServiceUnavailable, nil // its channel was closed by the crash
		}
		first.UntilMs = 0
		return report(first)
	})
}

// serveMachines lists the machines; each keeps its executor's id over a crash.
func (s *executors) serveMachines(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []map[string]any{}
	for _, e := range s.list {
		state := "up"
		if !e.up {
			state = "down"
		}
		rows = append(rows, map[string]any{
			"machine": "m-" + e.id, "pool": "press", "state": state, "zone": "kochi", "labels": e.labels, "id": e.id,
			"capacity": map[string]int{"cpu": 128000, "memMb": 262144, "gpu": 8},
		})
	}
	respond(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
}

// runsOf returns the runs of the job's tasks.
func (s *executors) runsOf(job string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []run
	for _, r := range s.runs {
		if strings.HasPrefix(r.task, job+".") {
			out = append(out, *r)
		}
	}
	return out
}

// twice returns a description of two runs of one task that ran at the same time.
func (s *executors) twice() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := func(r *run) time.Time {
		if r.ended.IsZero() {
			return time.Now()
		}
		return r.ended
	}
	for i, a := range s.runs {
		for _, b := range s.runs[i+1:] {
			if a.task == b.task && a.began.Before(end(b)) && b.began.Before(end(a)) {
				return fmt.Sprintf("TWICE: task %s: run %d on %s from %.3f to %.3f (%s), run %d on %s from %.3f to %.3f (%s)", a.task,
					a.number, a.executor, s.rec.at(a.began), s.rec.at(end(a)), a.how, b.number, b.executor, s.rec.at(b.began), s.rec.at(end(b)), b.how)
			}
		}
	}
	return ""
}

// startedAgain returns a description of the starts after a run of the task had ended
// done and this end had been taken note of.
func (s *executors) startedAgain() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, a := range s.runs {
		for _, b := range s.runs {
			if a.task == b.task && a.how == "done" && a.noted && b.began.After(a.ended) {
				out = append(out, fmt.Sprintf("task %s: run %d ended done at %.3f on %s, run %d began at %.3f on %s", a.task,
					a.number, s.rec.at(a.ended), a.executor, b.number, s.rec.at(b.began), b.executor))
			}
		}
	}
	if len(out) == 0 {
		return ""
	}
	return "TWICE: " + strings.Join(out, "; ")
}

// idle returns the number of executors that are up and run nothing.
func (s *executors) idle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.list {
		if e.up && len(e.running) == 0 {
			n++
		}
	}
	return n
}
